"""Tests of how fast demand estimators follow shifts and how well they ignore noise."""

from __future__ import annotations

import random

import pytest

from canvasyoke.coordination import DEMAND_ESTIMATORS, DemandEstimator, total_variation_distance

FRAME = 200
EXPERTS, LAYERS = 64, 4
#: Estimators and the number of frames after which they have followed a shift.
ESTIMATORS = [("fading", 5), ("moves", 2)]


def popularity(seed: int) -> list[float]:
    """Return power-law shares of experts, shuffled for each layer."""
    rng = random.Random(seed)
    weights = [1 / (rank + 1) ** 0.67 for rank in range(EXPERTS)]
    return [share for _ in range(LAYERS) for share in rng.sample(weights, EXPERTS)]


class SimulatedGroup:
    """Simulates the counts that a group's ranks report."""

    def __init__(self, estimator: DemandEstimator, scale: int, seed: int) -> None:
        self._estimator = estimator
        self._scale = scale
        self._rng = random.Random(seed)
        self._wall = 0

    def count_frame(self, shares: list[float], first_half: list[float] | None = None) -> None:
        """Report counts of one frame, the first half of it from ``first_half`` if given."""
        for half in (first_half or shares, shares):
            counts = [self._count(share) for share in half]
            self._wall += FRAME // 2
            self._estimator.add_counts(self._wall, counts)

    def _count(self, share: float) -> int:
        mean = share * self._scale
        return max(0, round(self._rng.gauss(mean, mean**0.5)))


def make(name: str, scale: int = 20_000, seed: int = 1) -> tuple[DemandEstimator, SimulatedGroup]:
    estimator = DEMAND_ESTIMATORS.get(name)(FRAME)
    return estimator, SimulatedGroup(estimator, scale, seed)


@pytest.mark.parametrize(("name", "frame_count"), ESTIMATORS)
@pytest.mark.parametrize("seed", range(5))
def test_estimate_converges_after_a_shift(name: str, frame_count: int, seed: int) -> None:
    """Guards against estimators that weight counts from before a shift for too long."""
    estimator, group = make(name, seed=seed)
    old, new = popularity(seed), popularity(100 + seed)
    for _ in range(6):
        group.count_frame(old)
    group.count_frame(new, first_half=old)
    for _ in range(frame_count - 1):
        assert total_variation_distance(estimator.weights, new) > 0.02
        group.count_frame(new)
    assert total_variation_distance(estimator.weights, new) < 0.02


@pytest.mark.parametrize("seed", range(5))
def test_mixed_frame_is_reported_as_transitional(seed: int) -> None:
    estimator, group = make("moves", seed=seed)
    old, new = popularity(seed), popularity(100 + seed)
    for _ in range(6):
        group.count_frame(old)
    group.count_frame(new, first_half=old)
    assert estimator.is_transitioning
    group.count_frame(new)
    assert not estimator.is_transitioning
    assert estimator.shift_count == 1


def test_frame_with_a_full_shift_is_not_transitional_once_shifts_are_known() -> None:
    estimator, group = make("moves")
    for shift in range(6):
        group.count_frame(popularity(shift))
        is_settled = not estimator.is_transitioning
        for _ in range(4):
            group.count_frame(popularity(shift))
    assert estimator.shift_count == 5
    assert is_settled


#: Selections of the most popular expert per frame, for large to small groups.
SCALES = [20_000, 1_000, 200, 50]


@pytest.mark.parametrize("scale", SCALES)
@pytest.mark.parametrize("seed", range(5))
def test_learned_sampling_noise_is_not_a_shift(scale: int, seed: int) -> None:
    estimator, group = make("moves", scale, seed)
    demand = popularity(seed)
    for _ in range(20):
        group.count_frame(demand)
    learned = estimator.shift_count
    for _ in range(200):
        group.count_frame(demand)
    assert estimator.shift_count - learned == 0


@pytest.mark.parametrize("scale", SCALES)
@pytest.mark.parametrize("seed", range(5))
def test_shifts_are_detected_despite_sampling_noise(scale: int, seed: int) -> None:
    estimator, group = make("moves", scale, seed)
    for _ in range(20):
        group.count_frame(popularity(seed))
    learned = estimator.shift_count
    for shift in range(10):
        for _ in range(10):
            group.count_frame(popularity(1_000 * seed + shift))
    assert estimator.shift_count - learned >= 9


def test_empty_counts_do_not_change_the_estimate() -> None:
    estimator, _ = make("moves")
    assert not estimator.add_counts(FRAME, [])
    assert not estimator.add_counts(2 * FRAME, [0] * (EXPERTS * LAYERS))
    assert estimator.weights == []


def test_counts_of_another_size_reset_the_estimate() -> None:
    estimator, _ = make("moves")
    assert estimator.add_counts(FRAME, [5] * 8)
    assert estimator.add_counts(2 * FRAME, [3] * 4)
    assert estimator.weights == [3.0] * 4
