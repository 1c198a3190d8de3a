"""An engine's report of its rank group, as the adapter reads it."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from canvasyoke.backend import GroupReport
from canvasyoke.platform._engine import ObjectsBackendPort
from canvasyoke.state import Endpoint, EndpointState
from fakes.platform_engine import PlatformEngine


@pytest.fixture
def engine() -> Iterator[PlatformEngine]:
    fake = PlatformEngine("i-1", group="g-1", epoch=3)
    yield fake
    if not fake.crashed.is_set():
        fake.close()


def ask(engine: PlatformEngine) -> GroupReport | None:
    endpoint = Endpoint("i-1", "ink", engine.address, "nbo-a", 6, EndpointState.READY, 1)
    return ObjectsBackendPort().group_report(endpoint)


@pytest.mark.parametrize("is_broken", [False, True])
def test_report_of_a_rank(engine: PlatformEngine, is_broken: bool) -> None:
    engine.is_broken = is_broken
    assert ask(engine) == GroupReport("g-1", 3, not is_broken)
    assert not engine.arrivals, "a report takes no slot"


def test_no_report(engine: PlatformEngine) -> None:
    """A plain service and an engine that has ended say nothing of a group."""
    engine.group = ""
    assert ask(engine) is None
    engine.crash()
    assert ask(engine) is None
