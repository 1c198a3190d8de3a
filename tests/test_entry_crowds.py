"""Crowds of callers that send too much or never finish must not end an entry or a target."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import pytest
import urllib3

from fakes.launcher import Fleet, FleetSpec, TargetSpec
from tests.caller import TOKEN, Caller
from tests.conftest import start
from tests.crowd import (
    BODY,
    CROWD_SIZE,
    ILLEGAL,
    IN_CALM,
    LEGAL,
    MACHINE_DESCRIPTORS,
    MACHINE_MEMORY,
    MEGABYTE,
    Crowd,
    Head,
    Script,
    Usage,
)

CONFIGURATION = Path(__file__).resolve().parent / "crowds.yaml"
ENTRY, TARGET = "nbo-a-entry-1", "inkmodel-1"
#: Settings that tell the processes what their machines have.
SETTINGS: dict[str, Any] = {
    "machine": {"memory_mb": MACHINE_MEMORY / MEGABYTE, "descriptors": MACHINE_DESCRIPTORS}
}
#: Long enough that requests of a crowd wait for one another at the target.
TOKEN_MS = 200.0


def head(request_id: str, framing: str) -> bytes:
    """Return the head of a request with a body of this framing."""
    lines = (
        "POST /inkmodel/generate HTTP/1.1",
        "Host: reader.example",
        f"Authorization: Bearer {TOKEN}",
        f"X-Request-Id: {request_id}",
        framing,
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Return a fleet for one test, as the peaks of memory are for the lifetime of its processes."""
    target = TargetSpec(TARGET, "nbo-a", "inkmodel", "engine")
    spec = FleetSpec(("nbo-a",), 1, [target], token_ms=TOKEN_MS, settings=SETTINGS)
    with start(spec, CONFIGURATION) as running:
        yield running


def _ask_until_answered(fleet: Fleet, body: bytes) -> None:
    """Send a request as a sound caller does, which returns when it is told to."""
    answer = None
    for _ in range(20):
        try:
            answer = Caller(fleet).call("POST", "/inkmodel/generate", body)
        except urllib3.exceptions.HTTPError:
            time.sleep(0.2)
            continue
        if answer.status == 200:
            return
        time.sleep(float(answer.headers.get("Retry-After", 0)))
    raise AssertionError(f"an ordinary request is not answered: {answer}")


def _check(fleet: Fleet, script: Script, is_legal: bool) -> None:
    address = fleet.ports.entries[ENTRY]
    with ExitStack() as stack:
        usages = [
            stack.enter_context(Usage(fleet.pid(ENTRY), address)),
            stack.enter_context(Usage(fleet.pid(TARGET), fleet.ports.links[TARGET])),
        ]
        with Crowd(address, CROWD_SIZE, script, head) as crowd:
            crowd.wait_sent()
            _ask_until_answered(fleet, b'{"max_tokens": 1}')
        _ask_until_answered(fleet, b'{"max_tokens": 2}')
        _ask_until_answered(fleet, BODY)
        assert {ENTRY, TARGET} <= fleet.pids().keys()
        for usage in usages:
            usage.check()
    crowd.check_promises(set(), is_legal)


@pytest.mark.parametrize("kind", LEGAL)
def test_callers_inside_the_limits_do_not_exhaust_a_fleet(fleet: Fleet, kind: str) -> None:
    _check(fleet, LEGAL[kind], is_legal=True)


@pytest.mark.parametrize("kind", ILLEGAL)
def test_callers_over_the_limits_do_not_exhaust_a_fleet(fleet: Fleet, kind: str) -> None:
    _check(fleet, ILLEGAL[kind], is_legal=False)


@pytest.mark.parametrize("framing", IN_CALM)
def test_the_longest_legal_body_is_served_in_calm(fleet: Fleet, framing: str) -> None:
    field, pieces = IN_CALM[framing]

    def script(head: Head, _number: int) -> Iterator[bytes]:
        yield head(field)
        yield from pieces

    with Crowd(fleet.ports.entries[ENTRY], 1, script, head) as crowd:
        client = crowd.clients[0]
        deadline = time.monotonic() + 60.0
        while not client.received and time.monotonic() < deadline:
            time.sleep(0.02)
    assert client.status == 200, client.received
