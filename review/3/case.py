"""LOST: bytes that are not an answer to a question about an engine end the entries that asked.

Four entries in two zones, engines of a model service and of an application. Callers keep their
channels to the application and send one request after the other; others ask for streams. An engine
of the model service starts and garbles two of its first answers, or none without the disruption.
Processes that end are started again after a short delay.

With WRITER=1 the trouble is an entry of another writer in the store instead, whose ``Slots`` is a
number of 128 bits.
"""

from __future__ import annotations

import http.client
import os
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from fakes import platform_engine  # noqa: E402
from fakes.http_base import Handler  # noqa: E402
from fakes.platform_engine import PlatformEngine  # noqa: E402
from review.harness import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    KEY,
    NOT_RUN,
    CaseError,
    Deployment,
    Record,
    configuration,
    is_trouble_on,
    route,
    wait_until_ready,
)

ZONES = ("hall-delft", "hall-leiden")
MODEL, APPLICATION = "lith-llm", "corelog-app"
GEOMETRY = {
    "LinkMbps": 44_000.0,
    "sets": 3,
    "experts": 96,
    "places": 11,
    "spare": 4,
    "expert_mb": 2_200.0,
    "form_ms": 600.0,
}
#: Kept channels and callers of streams by entry, and seconds that the application works.
CHANNELS, STREAMS, WORK_SECONDS = 7, 4, 0.25
#: Seconds of traffic before the trouble and after it.
BEFORE_SECONDS, AFTER_SECONDS = 4.0, 8.0
#: Seconds of the disturbance of the engine, and the share of its answers that it may garble.
GARBLE_SECONDS, GARBLE_SHARE = 5.0, 0.02
#: Seconds of ``ContactMs``: an entry is in touch if it has run for so long.
CONTACT_SECONDS = 3.0
#: Answers that it garbles, and the bytes that it sends in their place.
GARBLED = 2
GARBAGE = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n\x00"
#: Seconds until a process that has ended is started again.
RESTART_SECONDS = 1.0
#: Requests of kept channels that may be lost.
ALLOWED_LOSSES = 3
#: Whether the trouble is an entry of another writer, and its number of slots.
IS_WRITER, ODD_SLOTS = os.environ.get("WRITER", "0") == "1", 2**128 - 1


@dataclass
class Outcome:
    """What a caller saw of one request."""

    request_id: str
    entry: str
    status: int
    #: Whether an earlier request was answered on the same channel.
    is_kept: bool
    #: Monotonic time in seconds at which it ended.
    at: float = field(default_factory=time.monotonic)


@dataclass
class Callers:
    """Callers of the application that keep their channels, and callers of streams."""

    record: Record
    stop: threading.Event = field(default_factory=threading.Event)
    outcomes: list[Outcome] = field(default_factory=list)
    streams: int = 0

    def run(self, entry: str, address: str, channel: int) -> None:
        """Send requests on one channel after the other until stopped."""
        number = 0
        while not self.stop.is_set():
            conn = http.client.HTTPConnection(address, timeout=6)
            is_kept = False
            while not self.stop.is_set():
                number += 1
                request_id = f"{entry}-{channel}-{number}"
                status = _send(conn, request_id, "/tag/1")
                self.outcomes.append(Outcome(request_id, entry, status, is_kept))
                if status <= 0:
                    self.record.write(f"caller {request_id}: no answer")
                    break
                is_kept = True
            conn.close()
            self.stop.wait(0.2)

    def ask_for_streams(self, entry: str, address: str, caller: int) -> None:
        """Ask for streams, each on a channel of its own, until stopped."""
        number = 0
        while not self.stop.is_set():
            number += 1
            conn = http.client.HTTPConnection(address, timeout=6)
            status = _send(conn, f"{entry}-s{caller}-{number}", "/describe/stream")
            conn.close()
            self.streams += status == 200
            self.stop.wait(0.02 if status > 0 else 0.2)


def _send(conn: http.client.HTTPConnection, request_id: str, path: str) -> int:
    """Send a request and read its answer; return its status.

    It is 0 if the channel ended without a whole answer, and -1 if the caller gave up.
    """
    headers = {
        "Host": HOST,
        "Attempt-Id": request_id,
        "Request-Deadline": "4000",
        "Authorization": f"Bearer {KEY}",
    }
    try:
        conn.request("POST", path, body=request_id.encode(), headers=headers)
        response = conn.getresponse()
        response.read()
    except TimeoutError:
        return -1
    except (OSError, http.client.HTTPException):
        return 0
    return response.status


@dataclass
class ModelEngine(PlatformEngine):
    """An engine that is a rank of a group, and may garble its first answers to ``GET /report``."""

    rank: int = 0
    ranks: int = 1
    #: Number of answers to garble.
    to_garble: int = 0
    started_at: float = field(default_factory=time.monotonic)
    garbled: int = 0

    def report(self, handler: Handler) -> None:
        """Send the report, or bytes that are not an answer."""
        self.reports += 1
        is_over = time.monotonic() - self.started_at > GARBLE_SECONDS
        if self.garbled >= self.to_garble or is_over:
            group = {"Name": self.group, "epoch": 1, "rank": self.rank, "State": "open"}
            handler.reply_json({"Stage": "dual", "group": group, "size": self.ranks})
            return
        self.garbled += 1
        handler.wfile.write(GARBAGE)
        handler.close_connection = True

    def answers_during_disturbance(self) -> int:
        """Return the requests and questions that came within ``GARBLE_SECONDS`` of its start."""
        until = self.started_at + GARBLE_SECONDS
        return self.reports + sum(arrival.at < until for arrival in self.arrivals)


def work(handler: Handler, engine: PlatformEngine) -> None:
    """Answer after some work."""
    time.sleep(WORK_SECONDS)
    platform_engine.answer(handler, engine)


class _Behaviours:
    """A queue of behaviours that never ends."""

    def popleft(self) -> object:
        """Return the behaviour for the next request."""
        return work


def keep_running(deployment: Deployment, ends: dict[str, int], stop: threading.Event) -> None:
    """Start processes that have ended again, and count their ends."""
    ended_at: dict[str, float] = {}
    while not stop.wait(0.05):
        for name, process in list(deployment.processes.items()):
            if process.poll() is None:
                continue
            if name not in ended_at:
                ends[name] += 1
                ended_at[name] = time.monotonic()
            elif time.monotonic() - ended_at[name] >= RESTART_SECONDS:
                del ended_at[name]
                deployment.restart(name)


def start_engine(deployment: Deployment, record: Record, has_trouble: bool) -> ModelEngine:
    """Start another engine of the model service, a group of its own."""
    is_garbling = has_trouble and not IS_WRITER
    engine = ModelEngine("i-new", group="g-2", to_garble=GARBLED if is_garbling else 0)
    deployment.store.put("servers", engine.id, engine.store_entry(MODEL, zone=ZONES[0]))
    record.write(f"{engine.id} starts; it garbles {engine.to_garble} of its answers")
    if has_trouble and IS_WRITER:
        odd = engine.store_entry(APPLICATION, zone=ZONES[0]) | {"Slots": ODD_SLOTS}
        deployment.store.put("servers", "i-other", odd)
        record.write(f"another writer puts servers/i-other with Slots {ODD_SLOTS}")
    return engine


def run(record: Record, has_trouble: bool) -> int:
    """Run the case and return its exit code."""
    deployment = Deployment()
    application = [PlatformEngine(f"i-a{n}") for n in range(5)]
    models = [ModelEngine(f"i-m{n}", group="g-1", rank=n, ranks=4) for n in range(4)]
    callers = Callers(record)
    stop = threading.Event()
    try:
        routes = [
            route("tag", APPLICATION, "unsafe", MaxAttempts=1, TimeoutMs=2_000),
            route("describe", MODEL, "streaming", gap_aim_ms=120),
        ]
        services = [
            {"Name": APPLICATION, "MaxConnections": 96},
            {"Name": MODEL, "MaxConnections": 408, "Engine": GEOMETRY},
        ]
        deployment.store.put("config", "main", configuration(routes, services))
        for number, engine in enumerate([*application, *models]):
            service = APPLICATION if engine in application else MODEL
            entry = engine.store_entry(service, zone=ZONES[number % len(ZONES)])
            deployment.store.put("servers", engine.id, entry)
        for engine in application:
            engine.behaviours = _Behaviours()  # type: ignore[assignment]
        entries = {
            name: deployment.add_entry(name, domain=zone)
            for zone in ZONES
            for name in (f"entry-{zone}-1", f"entry-{zone}-2")
        }
        for settings in entries.values():
            wait_until_ready(settings["ready"])
        ready_at = time.monotonic()
        ends = dict.fromkeys(deployment.processes, 0)
        threads = [threading.Thread(target=keep_running, args=(deployment, ends, stop))]
        for name, settings in entries.items():
            address = settings["http"]
            for target, count in ((callers.run, CHANNELS), (callers.ask_for_streams, STREAMS)):
                threads += [
                    threading.Thread(target=target, args=(name, address, number))
                    for number in range(count)
                ]
        for thread in threads:
            thread.start()
        time.sleep(BEFORE_SECONDS)
        if any(ends.values()):
            raise CaseError("a process has ended before the case began")
        started = start_engine(deployment, record, has_trouble)
        time.sleep(AFTER_SECONDS)
        callers.stop.set()
        stop.set()
        for thread in threads:
            thread.join()
        for name in deployment.processes:
            for line in deployment.log_path(name).read_text().splitlines():
                if "exception" in line:
                    record.write(f"{name}: {line[:140]} ... {line[-90:]}")
        answers = started.answers_during_disturbance()
        record.write(f"{started.id} garbled {started.garbled} of {answers} answers")
        if started.garbled > GARBLE_SHARE * answers:
            raise CaseError("the engine garbled more than its share")
        return judge(record, callers, application, ends, ready_at)
    finally:
        callers.stop.set()
        stop.set()
        deployment.close()


def judge(
    record: Record,
    callers: Callers,
    engines: list[PlatformEngine],
    ends: dict[str, int],
    ready_at: float,
) -> int:
    """Count the requests that were passed on to sound engines and lost with a kept channel."""
    arrived = {a.headers.get("Attempt-Id") for e in engines for a in e.arrivals}
    lost = [
        each
        for each in callers.outcomes
        if each.is_kept
        and each.status == 0
        and each.request_id in arrived
        and each.at - ready_at > CONTACT_SECONDS
    ]
    answered = sum(each.status == 200 for each in callers.outcomes)
    record.write(
        f"application: {len(callers.outcomes)} requests, answered {answered}; "
        f"streams answered: {callers.streams}"
    )
    for each in lost:
        record.write(f"lost after it was passed on: {each.request_id} at {each.entry}")
    record.write(f"lost from kept channels after they were passed on: {len(lost)}")
    record.write(f"ends of processes on their own: {ends}")
    if not answered or not callers.streams:
        raise CaseError("requests were not answered")
    return BROKEN if len(lost) > ALLOWED_LOSSES else HELD


def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).with_name("record.txt"))
    try:
        code = run(record, is_trouble_on())
    except CaseError as exc:
        record.write(f"not run: {exc}")
        code = NOT_RUN
    record.write(f"exit {code}")
    return code


if __name__ == "__main__":
    sys.exit(main())
