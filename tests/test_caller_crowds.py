"""Crowds of callers that send too much or never finish must not end a direct entry."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any

import pytest

from tests.crowd import (
    BODY,
    CROWD_SIZE,
    ILLEGAL,
    IN_CALM,
    LEGAL,
    MACHINE_DESCRIPTORS,
    MACHINE_MEMORY,
    MAX_BODY,
    MEGABYTE,
    Crowd,
    Head,
    Script,
    Usage,
    half_a_head,
)
from tests.direct import HOST, KEY, DirectEntry, DirectFleet, Reply, configuration, wait_until

LIMITS = {
    "MaxHeaderBytes": 16_384,
    "MaxBodyBytes": MAX_BODY,
    "HeaderTimeoutMs": 60_000,
    "IdleTimeoutMs": 60_000,
}
#: Settings that tell the entry what its machine has.
SETTINGS: dict[str, Any] = {
    "machine": {"memory_mb": MACHINE_MEMORY / MEGABYTE, "descriptors": MACHINE_DESCRIPTORS}
}
CONNECTIONS = 300


def head(request_id: str, framing: str) -> bytes:
    """Return the head of a request with a body of this framing."""
    lines = (
        "POST /save/1 HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {KEY}",
        f"Attempt-Id: {request_id}",
        "Request-Deadline: 60000",
        framing,
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


@pytest.fixture
def fleet() -> Iterator[DirectFleet]:
    """Return a fleet with one entry, for one test, as its peak of memory is for its lifetime."""
    fleet = DirectFleet()
    fleet.populate_store()
    fleet.store.put("config", "main", configuration(4) | {"Limits": LIMITS})
    entry = fleet.add_entry(retry_slack=10_000, **SETTINGS)
    entry.wait_ready()
    wait_until(lambda: entry.metric("canvasyoke_config_version") == 4, "the limits are in force")
    yield fleet
    fleet.close()


def _ask_until_answered(entry: DirectEntry, request_id: str, body: bytes = b"page 7") -> None:
    """Send a request as a sound caller does, which returns when it is told to."""

    def reply() -> Reply | None:
        try:
            return entry.call("/save/1", body=body, request_id=request_id)
        except OSError:
            return None

    for _ in range(20):
        answer = reply()
        if answer is not None and answer.status == 200:
            return
        time.sleep(float(answer.headers.get("Retry-After", 0)) if answer else 0.2)
    raise AssertionError(f"an ordinary request is not answered: {answer}")


def _check(fleet: DirectFleet, size: int, script: Script, is_legal: bool) -> None:
    entry = fleet.entries[0]
    with Usage(entry.process.pid, entry.http) as usage:
        with Crowd(entry.http, size, script, head) as crowd:
            crowd.wait_sent()
            _ask_until_answered(entry, "ordinary")
        _ask_until_answered(entry, "afterwards")
        _ask_until_answered(entry, "longest", BODY)
        wait_until(lambda: not entry.metric("canvasyoke_request_bytes"), "all memory is released")
        assert entry.process.poll() is None
        usage.check()
    run = {a.headers["Attempt-Id"] for engine in fleet.shelf for a in engine.arrivals}
    crowd.check_promises(run, is_legal)


@pytest.mark.parametrize("kind", LEGAL)
def test_callers_inside_the_limits_do_not_exhaust_an_entry(fleet: DirectFleet, kind: str) -> None:
    _check(fleet, CROWD_SIZE, LEGAL[kind], is_legal=True)


@pytest.mark.parametrize("kind", ILLEGAL)
def test_callers_over_the_limits_do_not_exhaust_an_entry(fleet: DirectFleet, kind: str) -> None:
    _check(fleet, CROWD_SIZE, ILLEGAL[kind], is_legal=False)


def test_unfinished_heads_do_not_exhaust_the_descriptors(fleet: DirectFleet) -> None:
    _check(fleet, CONNECTIONS, half_a_head, is_legal=False)


@pytest.mark.parametrize("framing", IN_CALM)
def test_the_longest_legal_body_is_served_in_calm(fleet: DirectFleet, framing: str) -> None:
    entry = fleet.entries[0]
    field, pieces = IN_CALM[framing]

    def script(head: Head, _number: int) -> Iterator[bytes]:
        yield head(field)
        yield from pieces

    with Crowd(entry.http, 1, script, head) as crowd:
        client = crowd.clients[0]
        wait_until(lambda: client.received, "an answer", timeout=60.0)
    assert client.status == 200, client.received
    arrival = next(a for engine in fleet.shelf for a in engine.arrivals)
    assert arrival.body == BODY


def test_a_body_over_the_limit_is_refused_as_too_large(fleet: DirectFleet) -> None:
    entry = fleet.entries[0]
    assert entry.call("/save/1", body=BODY + b"x").status == 413
