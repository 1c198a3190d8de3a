"""LOST: an entry of another writer in the store ends every process that carries traffic.

Three entries in three zones and two engines of one service. Callers keep their channels and send
one request after the other. Another writer puts an entry of kind ``servers`` whose ``Slots`` is a
number of 128 bits. Processes that end are started again after a short delay.
"""

from __future__ import annotations

import http.client
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

ZONES = ("hall-delft", "hall-leiden", "hall-gouda")
#: Kept channels to each entry, and seconds that an engine works on a request.
CHANNELS, WORK_SECONDS = 5, 0.25
#: Seconds of traffic before the other writer's entry and after it.
BEFORE_SECONDS, AFTER_SECONDS = 4.0, 16.0
#: Seconds until a process that has ended is started again.
RESTART_SECONDS = 1.0
#: Requests of a kept channel that may be lost, and ends of a process that are no fault.
ALLOWED_LOSSES, ALLOWED_ENDS = 3, 2
#: The other writer's number of slots: the largest one of 128 bits, as some write for "no limit".
ODD_SLOTS = 2**128 - 1


@dataclass
class Outcome:
    """What a caller saw of one request."""

    request_id: str
    entry: str
    status: int
    #: Whether an earlier request was answered on the same channel.
    is_kept: bool


@dataclass
class Callers:
    """Callers that keep their channels."""

    record: Record
    stop: threading.Event = field(default_factory=threading.Event)
    outcomes: list[Outcome] = field(default_factory=list)

    def run(self, entry: str, address: str, channel: int) -> None:
        """Send requests on one channel after the other until stopped."""
        number = 0
        while not self.stop.is_set():
            conn = http.client.HTTPConnection(address, timeout=6)
            is_kept = False
            try:
                while not self.stop.is_set():
                    number += 1
                    request_id = f"{entry}-{channel}-{number}"
                    status = self._send(conn, request_id)
                    self.outcomes.append(Outcome(request_id, entry, status, is_kept))
                    if not status:
                        break
                    is_kept = True
            finally:
                conn.close()
            self.stop.wait(0.2)

    def _send(self, conn: http.client.HTTPConnection, request_id: str) -> int:
        headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Request-Deadline": "4000",
            "Authorization": f"Bearer {KEY}",
        }
        try:
            conn.request("POST", "/tag/1", body=b"tray photo", headers=headers)
            response = conn.getresponse()
            response.read()
        except (OSError, http.client.HTTPException) as exc:
            self.record.write(f"caller {request_id}: no answer ({type(exc).__name__})")
            return 0
        return response.status


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
    while not stop.wait(0.05):
        for name, process in list(deployment.processes.items()):
            if process.poll() is not None:
                ends[name] += 1
                stop.wait(RESTART_SECONDS)
                if not stop.is_set():
                    deployment.restart(name)


def run(record: Record, has_trouble: bool) -> int:
    """Run the case and return its exit code."""
    deployment = Deployment()
    engines = [PlatformEngine(f"i-0{n}") for n in (1, 2)]
    callers = Callers(record)
    stop = threading.Event()
    try:
        routes = [route("tag", "corelog-app", "unsafe", MaxAttempts=1, TimeoutMs=2_000)]
        services = [{"Name": "corelog-app", "MaxConnections": 96}]
        deployment.store.put("config", "main", configuration(routes, services))
        for engine in engines:
            engine.behaviours = _Behaviours()  # type: ignore[assignment]
            deployment.store.put(
                "servers", engine.id, engine.store_entry("corelog-app", zone=ZONES[0])
            )
        entries = {
            f"entry-{zone}": deployment.add_entry(f"entry-{zone}", domain=zone) for zone in ZONES
        }
        for settings in entries.values():
            wait_until_ready(settings["ready"])
        ends = dict.fromkeys(deployment.processes, 0)
        threads = [
            threading.Thread(target=callers.run, args=(name, settings["http"], channel))
            for name, settings in entries.items()
            for channel in range(CHANNELS)
        ]
        threads.append(threading.Thread(target=keep_running, args=(deployment, ends, stop)))
        for thread in threads:
            thread.start()
        time.sleep(BEFORE_SECONDS)
        if any(ends.values()):
            raise CaseError("a process has ended before the case began")
        if has_trouble:
            odd = engines[0].store_entry("corelog-app", zone=ZONES[0]) | {"Slots": ODD_SLOTS}
            deployment.store.put("servers", "i-other", odd)
            record.write(f"another writer puts servers/i-other with Slots {ODD_SLOTS}")
        time.sleep(AFTER_SECONDS)
        callers.stop.set()
        stop.set()
        for thread in threads:
            thread.join()
        for name in deployment.processes:
            for line in deployment.log_path(name).read_text().splitlines():
                if "exception" in line:
                    record.write(f"{name}: {line[:120]} ... {line[-90:]}")
        return judge(record, callers.outcomes, engines, ends)
    finally:
        callers.stop.set()
        stop.set()
        deployment.close()
        for engine in engines:
            engine.close()


def judge(
    record: Record, outcomes: list[Outcome], engines: list[PlatformEngine], ends: dict[str, int]
) -> int:
    """Count the requests that were passed on and lost with their kept channel."""
    arrived = {a.headers.get("Attempt-Id") for e in engines for a in e.arrivals}
    lost = [
        each for each in outcomes if each.is_kept and not each.status and each.request_id in arrived
    ]
    answered = sum(each.status == 200 for each in outcomes)
    unanswered = sum(each.status != 200 for each in outcomes)
    record.write(f"requests: {len(outcomes)}, answered {answered}, not answered {unanswered}")
    for each in lost:
        record.write(f"lost after it was passed on: {each.request_id} at {each.entry}")
    record.write(f"lost from kept channels after they were passed on: {len(lost)}")
    record.write(f"ends of processes on their own: {ends}")
    if not answered:
        raise CaseError("no request was answered")
    is_fault = sum(count > ALLOWED_ENDS for count in ends.values()) >= 2
    return BROKEN if len(lost) > ALLOWED_LOSSES or is_fault else HELD


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
