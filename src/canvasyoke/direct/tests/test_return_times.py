"""When callers who are turned away are told to come back, and which answers are late."""

from __future__ import annotations

import dataclasses
import random

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.backend import NotRun, NotRunCause
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._call import GaveUp, Lateness
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.calls import ROUTE, CannedPort, make_call, make_forwarder
from canvasyoke.state import Endpoint, EndpointState

LACKS_RANK = NotRun(NotRunCause.FULL, "refused with status 503", at_fault="b-9")
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


#: Why a request was refused, and the earliest and latest return that is asked for.
RETURNS = [
    ("a full backend", FULL, 150, 400),
    ("a group that lacks a rank", LACKS_RANK, 2_400, 2_600),
    ("a list older than the backends", MOVED, 2_400, 2_600),
]


@pytest.mark.parametrize(("refusal", "least", "most"), [case[1:] for case in RETURNS])
def test_return_times_follow_the_cause(
    roster: Roster, clock: ManualClock, refusal: NotRun, least: int, most: int
) -> None:
    budget = FleetRetryBudget(RetryAllowance(0.2, 10, 10_000), clock)
    forwarder = make_forwarder(CannedPort(lambda: refusal), roster, budget, clock)
    last = list(forwarder.run(make_call(dataclasses.replace(ROUTE, max_attempts=2))))[-1]
    assert isinstance(last, GaveUp)
    assert last.status == 503
    assert least <= last.retry_after <= most


#: Milliseconds until the first event and longest pause, and why the answer is late.
LATENESS = [
    ("on time", 300, 100, Lateness.ON_TIME),
    ("at the limits", 400, 120, Lateness.ON_TIME),
    ("a late first event", 401, 100, Lateness.FIRST),
    ("a long pause", 300, 121, Lateness.PAUSE),
]


@pytest.mark.parametrize("time_left", [8_000, 7_000, 5_400])
@pytest.mark.parametrize(("first", "pause", "late"), [case[1:] for case in LATENESS])
def test_lateness(first: int, pause: int, late: Lateness, time_left: int) -> None:
    """It has a cause that was seen, whatever time the caller brought."""
    call = make_call(dataclasses.replace(ROUTE, longest_pause=120), time_left)
    call.first_piece_at = call.began + first
    call.longest_gap = pause
    assert call.lateness is late
