"""Answers of backends in trouble, spoilt or reset, must not reach callers as answers."""

from __future__ import annotations

from collections.abc import Iterator
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
