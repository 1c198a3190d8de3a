"""Tests of the size of map updates in relation to their cost and the expected horizon."""

from __future__ import annotations

import dataclasses
import random
from collections import Counter

import pytest

from canvasyoke.coordination import (
    ExpertMap,
    Layer,
    MapUpdate,
    MapUpdateParameters,
    initial_map,
    map_skew,
    plan_map_update,
)

RANKS, EXPERTS, LAYERS, CAPACITY = 12, 96, 3, 11
SECOND = 1_000


def demand(seed: int) -> list[list[float]]:
    """Return weights by a power law, with different popular experts in each layer."""
    rng = random.Random(seed)
    weights = [1 / (rank + 1) ** 1.3 for rank in range(EXPERTS)]
    return [rng.sample(weights, EXPERTS) for _ in range(LAYERS)]


def plan(
    weights: list[list[float]],
    copy_time: float = 400.0,
    horizon: float = 4 * SECOND,
    layers: tuple[Layer, ...] = (),
    max_new_experts: int = 4,
) -> MapUpdate:
    initial = initial_map(range(RANKS), EXPERTS, LAYERS).layers
    parameters = MapUpdateParameters(CAPACITY, max_new_experts, copy_time, 100.0, horizon)
    return plan_map_update(layers or initial, weights, range(RANKS), parameters)


def copies_by_rank(before: tuple[Layer, ...], after: tuple[Layer, ...]) -> list[Counter[int]]:
    """Return the number of experts added to each rank, layer by layer."""
    return [
        Counter(rank for a, b in zip(new, old, strict=True) for rank in set(a) - set(b))
        for new, old in zip(after, before, strict=True)
    ]


#: Case, copy time in milliseconds, horizon in seconds and expected copies per rank.
SIZES = [
    ("copies are slow and demand moves on soon", 400.0, 4.0, {1}),
    ("copies are slow and demand stays", 400.0, 60.0, {2, 3, 4}),
    ("copies are quick", 80.0, 4.0, {2, 3, 4}),
    ("demand is gone before a copy is made", 400.0, 0.5, {0}),
    ("a copy takes longer than demand stays", 5_000.0, 4.0, {0}),
]


@pytest.mark.parametrize(("copy_time", "seconds", "expected"), [case[1:] for case in SIZES])
@pytest.mark.parametrize("seed", range(4))
def test_number_of_copies_depends_on_copy_time_and_horizon(
    copy_time: float, seconds: float, expected: set[int], seed: int
) -> None:
    update = plan(demand(seed), copy_time, seconds * SECOND)
    assert update.max_copies_per_rank in expected
    assert (update.skew_after < update.skew_before) is bool(update.copies)


@pytest.mark.parametrize("seed", range(4))
def test_one_copy_per_rank_removes_most_of_the_skew(seed: int) -> None:
    update = plan(demand(seed))
    assert update.skew_before > 3
    assert update.skew_after - 1 < 0.25 * (update.skew_before - 1)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("max_new_experts", [1, 2])
def test_updates_respect_the_limits(seed: int, max_new_experts: int) -> None:
    initial = initial_map(range(RANKS), EXPERTS, LAYERS).layers
    update = plan(demand(seed), 80.0, max_new_experts=max_new_experts)
    copies = copies_by_rank(initial, update.layers)
    assert sum(counter.total() for counter in copies) == update.copies
    assert all(max(counter.values(), default=0) <= max_new_experts for counter in copies)
    for layer in update.layers:
        held = Counter(rank for holders in layer for rank in holders)
        assert max(held.values()) <= CAPACITY
        assert all(holders for holders in layer)


def test_balanced_map_is_left_unchanged() -> None:
    weights = demand(1)
    balanced = plan(weights, 80.0)
    repeated = plan(weights, layers=balanced.layers)
    assert repeated.copies == 0
    assert repeated.layers == balanced.layers
    assert repeated.skew_before == pytest.approx(balanced.skew_after)


def test_no_update_without_counts() -> None:
    assert plan([[0.0] * EXPERTS] * LAYERS).copies == 0


#: Slowdown of one rank and the maximum skew of a plan that takes it into account.
SLOWDOWNS = [(3.0, 1.6), (5.0, 1.6), (12.0, 1.7)]


@pytest.mark.parametrize(("slowdown", "max_skew"), SLOWDOWNS)
@pytest.mark.parametrize("seed", range(4))
def test_slow_rank_is_assigned_less_load(seed: int, slowdown: float, max_skew: float) -> None:
    weights = demand(seed)
    balanced = plan(weights, 80.0)
    parameters = MapUpdateParameters(CAPACITY, 4, 80.0, 100.0, 4 * SECOND)
    slowdowns = {5: slowdown}
    uncorrected = plan_map_update(balanced.layers, weights, range(RANKS), parameters)
    assert map_skew(ExpertMap(uncorrected.layers), weights, range(RANKS), slowdowns) > 2
    update = plan_map_update(balanced.layers, weights, range(RANKS), parameters, slowdowns)
    assert update.skew_after == pytest.approx(
        map_skew(ExpertMap(update.layers), weights, range(RANKS), slowdowns)
    )
    assert update.skew_after < max_skew


@pytest.mark.parametrize("seed", range(4))
def test_min_savings_is_respected(seed: int) -> None:
    weights = demand(seed)
    layers = plan(weights, 80.0).layers
    shifted = [
        [old * 0.8 + new * 0.2 for old, new in zip(*pair, strict=True)]
        for pair in zip(weights, demand(seed + 100), strict=True)
    ]
    parameters = MapUpdateParameters(CAPACITY, 4, 10.0, 100.0, 3 * SECOND, min_savings=0.12)
    low_threshold = plan_map_update(layers, shifted, range(RANKS), parameters)
    high_threshold = plan_map_update(
        layers, shifted, range(RANKS), dataclasses.replace(parameters, min_savings=0.5)
    )
    assert high_threshold.copies == 0
    assert low_threshold.copies
    assert low_threshold.skew_after < low_threshold.skew_before - 0.2
