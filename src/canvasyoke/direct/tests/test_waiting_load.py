"""Simulation of a burst of the least urgent kind at several entries with one group.

Guards against two failures: urgent requests that are late because less urgent ones took the
places, and places that stay free while requests wait. Figures for more entries and other bursts
are in docs/design/waiting.md.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from canvasyoke.direct.tests.waiting_model import WaitingSimulation
from canvasyoke.direct.tests.waiting_scenario import Kind, Outcome, Scenario

#: Requests a second that 21 engines with 5 slots serve.
_CAPACITY = 105 / 1.6
_URGENT = Kind(0, 0.3 * _CAPACITY)
_OTHERS = Kind(2, 0.3 * _CAPACITY, "o-2", burst_rate=2 * _CAPACITY)
_SCENARIO = Scenario((_URGENT, _OTHERS), engines=21, burst=(2_000, 6_000), length=8_000)


def simulate(entries: int) -> Outcome:
    return WaitingSimulation(replace(_SCENARIO, entries=entries)).run()


@pytest.mark.parametrize(("entries", "min_on_time"), [(3, 0.9), (18, 0.6)])
def test_a_burst_of_the_least_urgent_kind(entries: int, min_on_time: float) -> None:
    single, outcome = simulate(1), simulate(entries)
    urgent = outcome.kinds[_URGENT]
    assert urgent.on_time / urgent.asked >= min_on_time
    assert urgent.served == urgent.asked
    assert outcome.used >= 0.9 * single.used
    assert outcome.kinds[_OTHERS].served > 0
    assert outcome.counts["rejected by an engine"] == 0


def test_a_single_queue_serves_urgent_requests_as_if_alone() -> None:
    urgent = simulate(1).kinds[_URGENT]
    assert urgent.on_time / urgent.asked >= 0.98


@pytest.mark.parametrize("entries", [3, 18])
def test_a_group_that_opens_is_soon_full_and_not_overloaded(entries: int) -> None:
    """Load reports from before the opening show all engines as idle."""
    kind = Kind(1, 1.2 * _CAPACITY)
    scenario = replace(_SCENARIO, kinds=(kind,), entries=entries, closes=True)
    outcome = WaitingSimulation(scenario).run()
    assert outcome.in_use_after >= 0.8 * 105
    assert outcome.counts["rejected by an engine"] == 0
    assert outcome.queued_after <= 0.2 * 105


@pytest.mark.parametrize("entries", [3, 8, 40, 99])
@pytest.mark.parametrize("concentration", [0.4, 0.95])
def test_an_entry_that_gets_most_callers_serves_them(entries: int, concentration: float) -> None:
    """Places that other entries do not use must not stay free for them."""
    kind = Kind(1, 0.8 * _CAPACITY)
    even = replace(_SCENARIO, kinds=(kind,), entries=entries)
    before = WaitingSimulation(even).run().kinds[kind]
    during = WaitingSimulation(replace(even, concentration=concentration)).run().kinds[kind]
    ratio = (during.served_first / during.asked) / (before.served_first / before.asked)
    assert ratio >= 0.75
