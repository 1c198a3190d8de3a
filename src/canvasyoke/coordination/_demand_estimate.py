"""Estimate a group's current expert demand from recent selection counts.

Demand is stable for some seconds and then shifts abruptly. Between shifts, averaging over older
counts reduces noise; after a shift, counts from before it distort the estimate, and a map
planned from a mixture fits neither demand.

Counts are collected in frames, each as long as one reporting interval of the ranks. A shift is
detected by the total variation distance between a new frame and the estimate.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Final

from canvasyoke._registry import Registry

#: Factor applied to the accumulated weights when a frame arrives. A smaller factor would leave
#: too few samples in small groups.
_DECAY: Final = 0.45
#: A frame marks a shift if its distance from the estimate reaches this minimum and this multiple of
#: the mean distance between stable frames. Both lie between the distances recorded without a shift
#: and those recorded with one.
_MIN_SHIFT_DISTANCE: Final = 0.06
_NOISE_FACTOR: Final = 2.0
#: Fraction of the mean shift distance from which a frame is assumed to hold only demand from after
#: the shift. Such a frame can be used without waiting for the next one. A frame can begin at any
#: time after a shift; three in ten hold too little of the new demand to show the shift.
_FULL_SHIFT_RATIO: Final = 0.8
#: Weight of a new sample in the exponential moving averages.
_SMOOTHING: Final = 0.2
#: Consecutive frames that may count as shifts. Further ones are treated as sampling noise, which
#: is high where requests are few.
_MAX_CONSECUTIVE_SHIFTS: Final = 3


class DemandEstimator(ABC):
    """Estimates demand by layer and expert from selection counts."""

    #: Number of shifts detected.
    shift_count: int = 0
    #: Whether the estimate may mix demand from before and after a shift.
    is_transitioning: bool = False

    def __init__(self, frame: int) -> None:
        """Initialise with ``frame``, the ranks' reporting interval in milliseconds."""
        self._frame_duration = frame
        self._frame: list[int] = []
        self._frame_index = 0
        #: Weight of each expert, layer by layer; empty before the first frame.
        self.weights: list[float] = []

    def add_counts(self, wall: int, counts: Sequence[int]) -> bool:
        """Add counts reported at wall time ``wall``; return whether a frame is complete.

        Frames begin at multiples of their duration, as the ranks' reports do.
        """
        if counts:
            has_same_size = len(self._frame) == len(counts)
            old = self._frame if has_same_size else [0] * len(counts)
            self._frame = [a + b for a, b in zip(old, counts, strict=True)]
        index = wall // self._frame_duration
        if index == self._frame_index or not self._frame:
            return False
        self._frame_index = index
        frame, self._frame = self._frame, []
        if not sum(frame):
            return False
        self._add_frame(frame)
        return True

    @abstractmethod
    def _add_frame(self, frame: Sequence[int]) -> None:
        """Update the estimate with a complete frame."""

    def _decay_and_add(self, frame: Sequence[int]) -> None:
        if len(frame) != len(self.weights):
            self.weights = [float(count) for count in frame]
            return
        self.weights = [old * _DECAY + new for old, new in zip(self.weights, frame, strict=True)]


#: Estimators by name.
DEMAND_ESTIMATORS: Registry[type[DemandEstimator]] = Registry("demand estimate")


@DEMAND_ESTIMATORS.register("fading")
class ExponentialDecayEstimator(DemandEstimator):
    """Applies exponential decay to older counts at a fixed rate."""

    def _add_frame(self, frame: Sequence[int]) -> None:
        self._decay_and_add(frame)


@DEMAND_ESTIMATORS.register("moves")
class ShiftDetectingEstimator(DemandEstimator):
    """Discards older counts when it detects a shift.

    The frame of a shift may mix demand from before and after it. Unless its distance is close to
    that of a full shift, the estimate counts as transitional until the next frame.
    """

    def __init__(self, frame: int) -> None:
        super().__init__(frame)
        #: Mean distance of frames from the estimate, apart from shifts.
        self._mean_distance = 0.0
        self._consecutive_shifts = 0
        #: Estimate before the last shift, and the mean distance of a full shift.
        self._weights_before_shift: list[float] = []
        self._mean_shift_distance = 1.0

    def _add_frame(self, frame: Sequence[int]) -> None:
        if len(frame) != len(self.weights):
            self._decay_and_add(frame)
            return
        distance = total_variation_distance(frame, self.weights)
        if distance < max(_MIN_SHIFT_DISTANCE, _NOISE_FACTOR * self._mean_distance):
            if self._consecutive_shifts:
                self._update_mean_shift_distance(
                    total_variation_distance(frame, self._weights_before_shift)
                )
            self._consecutive_shifts = 0
            self.is_transitioning = False
            self._update_mean_distance(distance)
            self._decay_and_add(frame)
            return
        self._consecutive_shifts += 1
        if self._consecutive_shifts > _MAX_CONSECUTIVE_SHIFTS:
            self._update_mean_distance(distance)
        if self._consecutive_shifts == 1:
            self._weights_before_shift = self.weights
            self.shift_count += 1
        self.is_transitioning = (
            self._consecutive_shifts == 1
            and distance < _FULL_SHIFT_RATIO * self._mean_shift_distance
        )
        self.weights = [float(count) for count in frame]

    def _update_mean_shift_distance(self, distance: float) -> None:
        is_first = self._mean_shift_distance >= 1.0
        weight = 1.0 if is_first else _SMOOTHING
        self._mean_shift_distance += weight * (distance - self._mean_shift_distance)

    def _update_mean_distance(self, distance: float) -> None:
        self._mean_distance += _SMOOTHING * (distance - self._mean_distance)


def total_variation_distance(first: Sequence[float], second: Sequence[float]) -> float:
    """Return half the L1 distance of the normalised counts: 0 if equal, 1 if disjoint."""
    total, second_total = sum(first), sum(second)
    if not total or not second_total:
        return 0.0
    return sum(abs(a / total - b / second_total) for a, b in zip(first, second, strict=True)) / 2
