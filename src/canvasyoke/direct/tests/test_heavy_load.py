"""Simulation of a large fleet under heavy load.

Guards against requests that miss their objective while slots are free. The home-share strategy
is compared with a full mesh of all entries, whose load reports are later and less frequent.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from canvasyoke.direct.tests.load_model import LoadScenario, LoadSimulation, Outcome

BASE = LoadScenario()


def simulate(load: float, **change: object) -> Outcome:
    scenario = replace(BASE, rates=tuple(rate * load for rate in BASE.rates), **change)  # type: ignore[arg-type]
    return LoadSimulation(scenario).run()


#: Load factor, minimum fraction in time with home shares, and maximum with a full mesh.
LOADS = [
    ("58%", 1.0, 0.95, 0.80),
    ("72%", 1.25, 0.83, 0.65),
    ("83%", 1.44, 0.70, 0.52),
]


@pytest.mark.parametrize(
    ("load", "min_in_time", "max_full_mesh_in_time"), [case[1:] for case in LOADS]
)
def test_most_requests_have_a_slot_in_time(
    load: float, min_in_time: float, max_full_mesh_in_time: float
) -> None:
    outcome = simulate(load)
    full_mesh = simulate(load, is_full_mesh=True, report_delay=1_300.0, report_interval=2_000.0)
    assert outcome.in_time / outcome.total >= min_in_time
    assert full_mesh.in_time / full_mesh.total <= max_full_mesh_in_time


def test_few_requests_are_refused_while_slots_are_free() -> None:
    outcome = simulate(1.25)
    assert outcome.refused_with_room <= outcome.total // 100
    assert outcome.turned_away <= outcome.total // 50


def test_requests_stay_in_the_domain_while_it_has_free_slots() -> None:
    assert simulate(1.0).crossed == 0


def test_a_domain_without_engines_is_served_by_the_others() -> None:
    scenario = replace(BASE, engines=(0, 39, 38, 38, 38), rates=(20.0, 20.0, 20.0, 20.0, 20.0))
    outcome = LoadSimulation(scenario).run()
    assert outcome.crossed > 0
    assert outcome.in_time / outcome.total > 0.9
