"""Waits and return times, and the share of callers that they serve in an outage."""

from __future__ import annotations

import itertools

import pytest

from canvasyoke.admission import (
    FIRST_EVENT_MARGIN,
    OutageForecast,
    PendingRequest,
    ReturnPlanner,
    ServiceRoom,
)
from canvasyoke.admission.tests.outage_model import (
    OutageModel,
    planned,
    refuse_at_once,
    wait_fully,
)

NOW = 100_000


def request(left: int = 8_000, priority: int = 1, duration: int = 1_500) -> PendingRequest:
    return PendingRequest(priority, "", NOW, NOW + left, NOW + 2_000, duration)


def room(opens_in: int | None, rate: float = 10.0, is_open: bool = False) -> ServiceRoom:
    return ServiceRoom(315, 315, is_open, opens_in, rate, 1_500)


#: Durations learnt, time elapsed and expected forecast.
FORECAST_CASES = [
    ("the first outage begins", [], 0, 600),
    ("the first outage lasts", [], 2_500, 2_500),
    ("a known duration", [6_000], 2_000, 4_000),
    ("only the longer ones count", [2_000, 6_000], 2_500, 3_500),
    ("one that is nearly over", [6_000], 5_900, 600),
    ("longer than all known", [2_000, 6_000], 7_000, 7_000),
    ("a single long one is no rule", [60_000] + [6_000] * 9, 1_000, 5_000),
]


@pytest.mark.parametrize(("known", "elapsed", "expected"), [case[1:] for case in FORECAST_CASES])
def test_forecast(known: list[int], elapsed: int, expected: int) -> None:
    """A forecast that falls in a long outage sends callers back into it."""
    forecast = OutageForecast()
    for duration in known:
        forecast.record(duration)
    assert forecast.remaining(elapsed) == expected


#: Remaining time of the caller, forecast, expected wait and return time.
PLAN_CASES = [
    ("opens during the wait", 8_000, 1_000, 1_750, 1),
    ("opens after the wait", 8_000, 3_000, 1_750, 1_250),
    ("opens after the third", 8_000, 5_000, 1_750, 2_000),
    ("nothing is known", 8_000, None, 1_750, 2_000),
    ("no hope", 8_000, 60_000, 0, 0),
    ("too little time to return", 3_000, 1_000, 1_500, 0),
    ("too little time at all", 1_400, 1_000, 0, 0),
]


@pytest.mark.parametrize(("left", "opens_in", "wait", "back"), [case[1:] for case in PLAN_CASES])
def test_plan(left: int, opens_in: int | None, wait: int, back: int) -> None:
    """A wait beyond the patience or a return beyond the third loses the caller."""
    plan = ReturnPlanner().plan(request(left), room(opens_in), NOW)
    assert (plan.wait, plan.return_after) == (wait, back)
    assert plan.wait <= 2_000 - FIRST_EVENT_MARGIN
    assert plan.return_after <= (left - plan.wait) / 3


def test_each_place_is_assigned_once_and_to_the_urgent_first() -> None:
    """Callers that return at one moment for one place are refused again."""
    planner = ReturnPlanner()
    later = [planner.assign_return(request(priority=2), room(500), NOW) for _ in range(5)]
    urgent = [planner.assign_return(request(priority=0), room(500), NOW) for _ in range(3)]
    last = planner.assign_return(request(priority=2), room(500), NOW)
    times = sorted([*later, *urgent, last])
    assert all(after - before >= 100 for before, after in itertools.pairwise(times))
    assert last > max(urgent)
    assert min(times) == 500


#: Forecast, rate, whether the group is open, calls before, and expected return time.
ASSIGN_CASES = [
    ("the group opens later than a third", 4_000, 10.0, False, 0, 2_560),
    ("unknown opening", None, 10.0, False, 0, 2_560),
    ("the running requests go on", None, 10.0, True, 0, 750),
    ("places are assigned in turn", None, 10.0, True, 3, 1_050),
    ("places for the next seconds are assigned", None, 1.0, True, 10, 0),
    ("no hope", 60_000, 10.0, False, 0, 0),
]


@pytest.mark.parametrize(
    ("opens_in", "rate", "is_open", "before", "expected"), [case[1:] for case in ASSIGN_CASES]
)
def test_assigned_return(
    opens_in: int | None, rate: float, is_open: bool, before: int, expected: int
) -> None:
    """A return time without a place behind it costs the caller its only retry."""
    planner = ReturnPlanner()
    for _ in range(before):
        planner.assign_return(request(), room(opens_in, rate, is_open), NOW)
    assert planner.assign_return(request(), room(opens_in, rate, is_open), NOW) == expected


def test_caller_that_could_not_finish_is_given_no_return() -> None:
    assert ReturnPlanner().assign_return(request(2_000), room(500), NOW) == 0


#: Duration of the outage, durations known before, and least share of the callers that is served.
OUTAGES = [
    (1_500, (), 0.99),
    (3_000, (), 0.99),
    (5_000, (), 0.98),
    (5_600, (), 0.96),
    (6_600, (), 0.87),
    (8_000, (), 0.74),
    (5_600, (2_100, 2_600, 6_000), 0.97),
    (6_600, (6_000,), 0.87),
]


@pytest.mark.parametrize(("outage", "known", "least"), OUTAGES)
def test_planned_returns_serve_most_callers_of_an_outage(
    outage: int, known: tuple[int, ...], least: float
) -> None:
    """Callers told too short a time return into the same outage, and are lost."""
    found = OutageModel(planned, outage, seed=7, known=known).run()
    assert found.share >= least
    assert found.refused_when_open <= found.back_when_open / 20
    assert found.share >= OutageModel(refuse_at_once, outage, seed=7).run().share
    assert found.share >= OutageModel(wait_fully, outage, seed=7).run().share
