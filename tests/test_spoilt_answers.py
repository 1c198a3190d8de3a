"""Answers of backends in trouble, spoilt or reset, must not reach callers as answers."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import pytest

from fakes import platform_engine as engines
from tests.direct import LIMITS, DirectFleet, configuration, wait_until

#: More than the kernel takes for an engine that does not read.
UPLOAD = bytes(24 << 20)
MAX_BODY = 32 << 20


@pytest.fixture(scope="module")
def fleet() -> Iterator[DirectFleet]:
    fleet = DirectFleet()
    fleet.populate_store()
    limits = LIMITS | {"MaxBodyBytes": MAX_BODY}
    fleet.store.put("config", "main", configuration(4) | {"Limits": limits})
    entry = fleet.add_entry(retry_slack=10_000)
    entry.wait_ready()
    wait_until(lambda: entry.metric("canvasyoke_config_version") == 4, "the limits are in force")
    yield fleet
    fleet.close()


def _spoilt(status_line: str, *fields: str) -> Callable[[Any, Any], None]:
    """Return a behaviour that sends a sealed answer with this status line and these fields."""

    def behaviour(handler: Any, engine: Any) -> None:
        seal = (
            f"Response-Seal: seal-of-{engine.id}",
            f"Attempt-Id: {handler.headers['Attempt-Id']}",
        )
        head = "\r\n".join([status_line, *seal, *fields]) + "\r\n\r\n"
        handler.wfile.write(head.encode("latin-1") + b"abcdef")
        handler.close_connection = True

    return behaviour


_OK = "HTTP/1.1 200 OK"
_LENGTH = "Content-Length: 6"
SPOILT = {
    "status 000": _spoilt("HTTP/1.1 000 OK", _LENGTH),
    "a length with a sign": _spoilt(_OK, "Content-Length: +6"),
    "a length behind a blank": _spoilt(_OK, "Content-Length : 6"),
    "an unknown coding": _spoilt(_OK, "Transfer-Encoding: chunkee"),
    "a line that is no field": _spoilt(_OK, "no field", _LENGTH),
    "a blank in a name": _spoilt(_OK, "Na me: value", _LENGTH),
    "a control byte in a name": _spoilt(_OK, "Na\x1bme: value", _LENGTH),
}


@pytest.mark.parametrize("name", SPOILT)
def test_a_spoilt_answer_does_not_reach_the_caller(fleet: DirectFleet, name: str) -> None:
    for engine in fleet.shelf:
        engine.behaviours.clear()
    fleet.queue_behaviour(fleet.shelf, SPOILT[name])
    reply = fleet.entries[0].call("/save/1", body=b"page 7")
    assert (reply.status, "Response-Seal" in reply.headers) == (502, False)


def _answer_and_reset(handler: Any, engine: Any) -> None:
    """Begin an answer without a length, and reset the connection."""
    engines.begin_answer(handler, engine, {})
    handler.wfile.write(b"abc")
    handler.wfile.flush()
    engines.reset(handler)


def test_an_answer_that_a_reset_ends_during_an_upload_is_not_complete(fleet: DirectFleet) -> None:
    for engine in fleet.shelf:
        engine.reads_bodies = False
        engine.behaviours.clear()
    fleet.queue_behaviour(fleet.shelf, _answer_and_reset)
    reply = fleet.entries[0].call("/save/1", body=UPLOAD)
    assert (reply.status, reply.body == b"abc") == (502, False)
