"""Entries that meet answers without end keep their time limits, their memory and other requests."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path

import pytest

from fakes.endless_answer import (
    BYTE_INTERVAL,
    CHUNKED,
    DRIPS,
    FILL,
    FLOODS,
    OK,
    EndlessAnswer,
)
from fakes.http_base import Handler
from fakes.platform_engine import PlatformEngine
from tests.direct import TIMEOUT_SECONDS, DirectEntry, DirectFleet, read_reply, wait_until

#: Largest memory of an entry, in KiB: that of the smallest machine it runs on.
MAX_MEMORY_KIB = 160 << 10
#: Milliseconds that callers wait.
PATIENCE = "1500"
#: Requests at the same time.
CONCURRENT = 6
SEALED = OK + b"Attempt-Id: r-1\r\nResponse-Seal: s\r\n"
STREAM = SEALED + b"Content-Type: text/event-stream\r\n" + CHUNKED


ANSWERS = {
    "interim answers": FLOODS["interim answers"],
    "header lines": FLOODS["header lines"],
    "trailers": EndlessAnswer(SEALED + CHUNKED + b"0\r\n", b"A: b\r\n" * 50),
    "no length": EndlessAnswer(SEALED + b"\r\n", FILL),
    "slow interim answers": DRIPS["interim answers"],
    "slow header line": EndlessAnswer(SEALED + b"A: ", b"a", BYTE_INTERVAL),
    "slow length": EndlessAnswer(SEALED + b"Content-Length: 99999\r\n\r\n", b"a", BYTE_INTERVAL),
    "slow trailers": EndlessAnswer(SEALED + CHUNKED + b"0\r\n", b"A: b\r\n", BYTE_INTERVAL),
}
STREAMS = {
    "trailers": EndlessAnswer(STREAM + b"0\r\n", b"A: b\r\n" * 50),
    "slow event": EndlessAnswer(STREAM, b"1\r\na\r\n", BYTE_INTERVAL),
    "slow trailers": EndlessAnswer(STREAM + b"0\r\n", b"A: b\r\n", BYTE_INTERVAL),
}
REQUESTS = [("/safe/1", name, answer) for name, answer in ANSWERS.items()]
REQUESTS += [("/shelf-stream/stream", name, answer) for name, answer in STREAMS.items()]


@pytest.fixture
def fleet() -> Iterator[DirectFleet]:
    running = DirectFleet()
    running.populate_store()
    yield running
    for engine in [*running.shelf, *running.ink]:
        engine.exited.set()
    running.close()


@pytest.fixture
def entry(fleet: DirectFleet) -> DirectEntry:
    entry = fleet.add_entry()
    entry.wait_ready()
    return entry


def behaviour(answer: EndlessAnswer) -> Callable[[Handler, PlatformEngine], None]:
    """Return the behaviour of an engine that sends ``answer`` until the connection ends."""

    def send(handler: Handler, engine: PlatformEngine) -> None:
        handler.close_connection = True
        request_id = handler.headers.get("Attempt-Id", "").encode()
        begin = answer.begin.replace(b"r-1", request_id)
        replace(answer, begin=begin).send(handler.wfile.write, engine.exited)

    return send


def incomplete_answers(entry: DirectEntry) -> float:
    """Return the number of answers that ended at a limit of this project or of its library."""
    name = 'canvasyoke_incomplete_answers_total{cause="%s"}'
    causes = ("timeout", "too large", "connection lost")
    return sum(entry.metric(name % cause) for cause in causes)


def peak_memory(entry: DirectEntry) -> int:
    """Return the peak of an entry's memory in KiB."""
    status = Path(f"/proc/{entry.process.pid}/status").read_text()
    (line,) = (line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1])


@pytest.mark.parametrize(
    ("path", "answer"), [r[::2] for r in REQUESTS], ids=[f"{r[0]} {r[1]}" for r in REQUESTS]
)
def test_a_request_whose_answer_has_no_end_fails_at_its_time_limit(
    fleet: DirectFleet, entry: DirectEntry, path: str, answer: EndlessAnswer
) -> None:
    """Guards against requests that stay open and collect bytes until their callers leave."""
    for _ in range(2):
        fleet.queue_behaviour(fleet.shelf, behaviour(answer))
    replies: list[int] = []

    def call() -> None:
        reply = entry.call(path, Request_Deadline=PATIENCE)
        replies.append(reply.status if reply.complete else 0)

    caller = threading.Thread(target=call, daemon=True)
    caller.start()
    wait_until(lambda: fleet.arrivals(), "the request has arrived")
    assert entry.call("/stream/1").status == 200
    caller.join(TIMEOUT_SECONDS)
    assert replies
    assert replies[0] not in range(200, 300)
    assert incomplete_answers(entry) >= 1
    assert peak_memory(entry) < MAX_MEMORY_KIB


def test_a_stream_whose_event_has_no_end_fails_at_once(
    fleet: DirectFleet, entry: DirectEntry
) -> None:
    """Guards against collecting an event until the time limit of its request."""
    event = EndlessAnswer(STREAM, b"1f40\r\n" + FILL + b"\r\n")
    for _ in range(CONCURRENT):
        fleet.queue_behaviour(fleet.shelf, behaviour(event))
    calls = [
        entry.send("/shelf-stream/stream", request_id=f"r-{n}", Request_Deadline="4000")
        for n in range(CONCURRENT)
    ]
    replies = [read_reply(conn) for conn in calls]
    assert [reply.status for reply in replies] == [502] * CONCURRENT
    assert incomplete_answers(entry) >= CONCURRENT
    assert peak_memory(entry) < MAX_MEMORY_KIB


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_a_report_without_end_is_given_up(fleet: DirectFleet, answer: EndlessAnswer) -> None:
    """Guards against a report that is read for good, so that no other one is requested."""
    asked = threading.Event()

    class _Backend(PlatformEngine):
        def report(self, handler: Handler) -> None:
            self.reports += 1
            if self.reports > 1:
                asked.set()
            behaviour(answer)(handler, self)

    backend = _Backend("ink-9", group="g-9")
    fleet.ink.append(backend)
    fleet.store.put("servers", backend.id, backend.store_entry("ink"))
    entry = fleet.add_entry()
    entry.wait_ready()
    assert asked.wait(TIMEOUT_SECONDS)
    assert entry.metric("canvasyoke_missing_reports_total") >= 1
    assert f'"no readable report from a backend","run":"{backend.id}' in entry.logged()
    assert entry.call("/safe/1").status == 200
    assert peak_memory(entry) < MAX_MEMORY_KIB
