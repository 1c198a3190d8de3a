"""Chooses how many steps ahead a map change is armed.

The group is held before the chosen step until all ranks are armed. If the step is too near, the
group is stopped for the rest of the arming; each additional step prolongs the use of the old map.
"""

from __future__ import annotations

from typing import Final

#: Initial estimate of the milliseconds to arm one rank.
_INITIAL_ARM_TIME_PER_RANK: Final = 2.5
#: Initial estimate of the milliseconds between steps.
_INITIAL_STEP_TIME: Final = 75.0
#: Weight of a new sample in the moving averages.
_SMOOTHING_FACTOR: Final = 0.3
#: Maximum number of additional steps.
_MAX_EXTRA_STEPS: Final = 8


class StepTiming:
    """Estimates the arming time and the step interval."""

    def __init__(self, ranks: int) -> None:
        self._arm_time = ranks * _INITIAL_ARM_TIME_PER_RANK
        self._step_time = _INITIAL_STEP_TIME
        #: Last observed step and the time of the observation.
        self._last_step: tuple[int, int] | None = None

    @property
    def extra_steps(self) -> int:
        """Return the number of steps to skip beyond the nearest one.

        This is the arming time in steps, rounded to the nearest integer.
        """
        return min(_MAX_EXTRA_STEPS, int(self._arm_time / self._step_time + 0.5))

    def record_arming(self, duration: int) -> None:
        """Add a sample of the time to arm all ranks."""
        self._arm_time += _SMOOTHING_FACTOR * (duration - self._arm_time)

    def record_step(self, step: int, now: int) -> None:
        """Add an observation of the current step."""
        if self._last_step is not None:
            last_step, seen_at = self._last_step
            if step > last_step and now > seen_at:
                mean = (now - seen_at) / (step - last_step)
                self._step_time += _SMOOTHING_FACTOR * (mean - self._step_time)
        self._last_step = (step, now)

    def forget_last_step(self) -> None:
        """Discard the last observation, as the group was stopped in between."""
        self._last_step = None
