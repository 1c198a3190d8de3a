"""Effects of backoffs on callers and backends, in a simulated fleet.

By default eight entries and 16 backends of six slots get 45 requests a second; for eight seconds
some backends reject all requests and ask to back off. Results are summed over three seeds.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from canvasyoke.direct.tests.backoff_simulation import (
    BackoffSimulation,
    Overload,
    Scenario,
    SimulationResult,
)

SEEDS = (1, 2, 3)


def scenario_with(backends: int, backoff: int = 3_000) -> Scenario:
    return Scenario(overloads=(Overload(3_000, 11_000, backends, backoff),))


def simulate(scenario: Scenario) -> SimulationResult:
    total = SimulationResult()
    for seed in SEEDS:
        result = BackoffSimulation(replace(scenario, seed=seed)).run()
        total.answered += result.answered
        total.refused += result.refused
        total.refused_twice += result.refused_twice
        total.rejected += result.rejected
        total.violations += result.violations
    return total


@pytest.mark.parametrize("entries", [3, 8, 30])
@pytest.mark.parametrize("backoff", [500, 1_000, 3_000])
@pytest.mark.parametrize("backends", [1, 5, 8, 16])
def test_no_backoff_is_violated(backends: int, backoff: int, entries: int) -> None:
    scenario = replace(scenario_with(backends, backoff), entries=entries, seed=entries)
    assert BackoffSimulation(scenario).run().violations == []


def test_the_simulation_detects_ignored_backoffs() -> None:
    assert simulate(replace(scenario_with(5), reads_notices=False, shares_notices=False)).violations


@pytest.mark.parametrize("backends", [5, 8])
def test_shared_notices_reduce_refusals(backends: int) -> None:
    """Compares shared notices with notices kept by each entry and with ignored notices."""
    scenario = scenario_with(backends)
    ignoring = simulate(replace(scenario, reads_notices=False, shares_notices=False))
    unshared = simulate(replace(scenario, shares_notices=False))
    shared = simulate(scenario)
    assert shared.refused < unshared.refused < ignoring.refused
    assert shared.rejected <= unshared.rejected / 2
    assert shared.answered > ignoring.answered


def test_backoffs_halve_repeated_refusals_if_half_of_the_backends_are_overloaded() -> None:
    """Guards against retry times at which the callers are refused again."""
    scenario = scenario_with(8)
    ignoring = simulate(replace(scenario, reads_notices=False, shares_notices=False))
    assert simulate(scenario).refused_twice <= ignoring.refused_twice / 2


def test_backoffs_halve_rejections_if_all_backends_are_overloaded() -> None:
    """Guards against sending requests to backends when none is left to choose."""
    scenario = scenario_with(16)
    ignoring = simulate(replace(scenario, reads_notices=False, shares_notices=False))
    assert simulate(scenario).rejected <= ignoring.rejected / 2
