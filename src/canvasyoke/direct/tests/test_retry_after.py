"""``Retry-After`` of refusals, and classification of late responses."""

from __future__ import annotations

import dataclasses
import random

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.backend import NotRun, NotRunCause
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._call import ErrorAnswer, Lateness
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.calls import ROUTE, CannedPort, make_call, make_forwarder
from canvasyoke.state import Endpoint, EndpointState

LACKS_RANK = NotRun(NotRunCause.FULL, "refused with status 503", faulty_backend="b-9")
FULL = NotRun(NotRunCause.FULL, "refused with status 503")
MOVED = NotRun(NotRunCause.MOVED, "another run has the address")


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(start=10_000)


@pytest.fixture
def roster(clock: ManualClock) -> Roster:
    roster = Roster("nbo-a", clock, random.Random(1))
    names = ("b-1", "b-2", "b-3")
    roster.merge(
        [Endpoint(n, "ink", f"{n}:1", "nbo-b", 6, EndpointState.READY, 1) for n in names], 1
    )
    return roster


#: Cause of the refusal, and the bounds of ``Retry-After`` in milliseconds.
RETRY_AFTER_CASES = [
    ("a full backend", FULL, 150, 400),
    ("a group that lacks a rank", LACKS_RANK, 2_400, 2_600),
    ("a list older than the backends", MOVED, 2_400, 2_600),
]


@pytest.mark.parametrize(("refusal", "least", "most"), [case[1:] for case in RETRY_AFTER_CASES])
def test_retry_after_depends_on_the_cause(
    roster: Roster, clock: ManualClock, refusal: NotRun, least: int, most: int
) -> None:
    budget = FleetRetryBudget(RetryAllowance(0.2, 10, 10_000), clock)
    forwarder = make_forwarder(CannedPort(lambda: refusal), roster, budget, clock)
    last = list(forwarder.run(make_call(dataclasses.replace(ROUTE, max_attempts=2))))[-1]
    assert isinstance(last, ErrorAnswer)
    assert last.status == 503
    assert least <= last.retry_after <= most


#: Milliseconds to the first event, longest pause, and expected lateness.
LATENESS_CASES = [
    ("on time", 300, 100, Lateness.ON_TIME),
    ("at the limits", 400, 120, Lateness.ON_TIME),
    ("a late first event", 401, 100, Lateness.FIRST),
    ("a long pause", 300, 121, Lateness.PAUSE),
]


@pytest.mark.parametrize("time_left", [8_000, 7_000, 5_400])
@pytest.mark.parametrize(("first", "pause", "late"), [case[1:] for case in LATENESS_CASES])
def test_lateness(first: int, pause: int, late: Lateness, time_left: int) -> None:
    """Lateness does not depend on the time that the caller has left."""
    call = make_call(dataclasses.replace(ROUTE, longest_pause=120), time_left)
    call.first_chunk_at = call.arrived_at + first
    call.longest_gap = pause
    assert call.lateness is late
