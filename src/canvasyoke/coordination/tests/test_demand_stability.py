"""Tests of the estimate of how long demand stays stable."""

from __future__ import annotations

import pytest

from canvasyoke._clock import SECOND
from canvasyoke.coordination import DemandStabilityEstimator


def simulate_map(estimator: DemandStabilityEstimator, start: int, duration: int) -> None:
    """Record a map that stays balanced for ``duration`` milliseconds and is then outdated."""
    estimator.record_activation(start)
    for age in range(0, duration, 100):
        estimator.record_skew(start + age, 1.3 + 0.1 * (age // 100 % 2))
    estimator.record_skew(start + duration, 2.4)


#: Milliseconds for which maps stay balanced, and the resulting estimate.
DURATIONS = [
    ("every three seconds", 3_000, 3_000),
    ("sooner than can be followed", 200, 1_000),
    ("every half minute", 30_000, 30_000),
]


@pytest.mark.parametrize(("duration", "expected"), [case[1:] for case in DURATIONS])
def test_estimate_follows_how_long_maps_stay_balanced(duration: int, expected: int) -> None:
    estimator = DemandStabilityEstimator()
    for index in range(8):
        simulate_map(estimator, index * 100_000, duration)
    assert estimator.expected_duration == pytest.approx(expected, rel=0.05)


def test_long_lived_map_raises_the_estimate_immediately() -> None:
    estimator = DemandStabilityEstimator()
    estimator.record_activation(0)
    for now in range(0, 90 * SECOND, 100):
        estimator.record_skew(now, 1.2)
    assert estimator.expected_duration == 60 * SECOND


def test_outdated_map_is_counted_once() -> None:
    estimator = DemandStabilityEstimator()
    simulate_map(estimator, 0, 2_000)
    learned = estimator.expected_duration
    for now in range(2_100, 20_000, 100):
        estimator.record_skew(now, 2.4)
    assert estimator.expected_duration == learned


def test_skew_without_an_active_map_is_ignored() -> None:
    estimator = DemandStabilityEstimator()
    before = estimator.expected_duration
    estimator.record_skew(100, 1.1)
    estimator.record_skew(60 * SECOND, 3.0)
    assert estimator.expected_duration == before
