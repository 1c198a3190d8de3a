"""Estimate how long demand stays stable from how long expert maps stay balanced."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from canvasyoke._clock import SECOND

#: Initial estimate in milliseconds, and the bounds of the estimate. Applying a new map takes
#: about half a second, so shorter periods cannot be followed.
_INITIAL_DURATION: Final = 5 * SECOND
_MIN_DURATION: Final = 1 * SECOND
_MAX_DURATION: Final = 60 * SECOND
#: Weight of a new sample in the exponential moving average.
_SMOOTHING: Final = 0.4
#: Increase over a map's lowest skew from which the map counts as outdated. It exceeds the sampling
#: noise of a single reading. One reading's counts vary the skew by about 0.1.
_OUTDATED_SKEW_INCREASE: Final = 0.4


@dataclass(slots=True)
class DemandStabilityEstimator:
    """Tracks the maps in force one after the other and learns how long each stays balanced."""

    #: Milliseconds for which demand is expected to stay stable after a change.
    expected_duration: float = float(_INITIAL_DURATION)
    _activated_at: int | None = None
    _min_skew: float = 0.0
    _is_outdated: bool = False

    def record_activation(self, now: int) -> None:
        """Record that a map planned for the current demand is in force."""
        self._activated_at = now
        self._min_skew = 0.0
        self._is_outdated = False

    def forget_activation(self) -> None:
        """Learn nothing from the map in force, as another process may have changed it."""
        self._activated_at = None

    def record_skew(self, now: int, skew: float) -> None:
        """Record the skew of the map in force under the current demand."""
        if self._activated_at is None or self._is_outdated:
            return
        age = now - self._activated_at
        self._min_skew = min(self._min_skew or skew, skew)
        if skew < self._min_skew + _OUTDATED_SKEW_INCREASE:
            if age > self.expected_duration:
                self.expected_duration = _clamp(age)
            return
        self._is_outdated = True
        self.expected_duration = _clamp(
            self.expected_duration + _SMOOTHING * (age - self.expected_duration)
        )


def _clamp(duration: float) -> float:
    return min(float(_MAX_DURATION), max(float(_MIN_DURATION), duration))
