"""How many steps ahead a change of the map is armed for.

The group is held before that step until all ranks are armed. One that begins too soon has
the group stand still for the rest; with each one more the old map serves a step longer.
"""

from __future__ import annotations

from typing import Final

#: Milliseconds to arm each rank, before any change was seen: 32 ranks take about 80.
_ARM_TIME_A_RANK: Final = 2.5
#: Milliseconds between two steps before any were seen: a step of a busy group.
_STEP_TIME: Final = 75.0
#: Weight of a new arming or step in the running mean.
_WEIGHT: Final = 0.3
#: Steps ahead at the most, whatever arming took.
_MOST: Final = 8


class StepTiming:
    """Learns what arming takes and how fast steps follow each other."""

    def __init__(self, ranks: int) -> None:
        self._arm_time = ranks * _ARM_TIME_A_RANK
        self._step_time = _STEP_TIME
        #: Last step that was seen begun, and when.
        self._seen: tuple[int, int] | None = None

    @property
    def more(self) -> int:
        """Return the steps to arm for beyond the nearest one.

        One for each step that most of the arming lasts. At 63 ranks arming takes 50 to 100
        ms and steps follow each other every 75 to 120: one or none, where one for each 16
        ranks gave three, 0.2 to 0.35 s more with the map that no longer fits.
        """
        return min(_MOST, int(self._arm_time / self._step_time + 0.5))

    def armed(self, took: int) -> None:
        """Take note of how long arming all ranks took."""
        self._arm_time += _WEIGHT * (took - self._arm_time)

    def saw_step(self, step: int, now: int) -> None:
        """Take note of the last step begun."""
        if self._seen is not None:
            before, at = self._seen
            if step > before and now > at:
                mean = (now - at) / (step - before)
                self._step_time += _WEIGHT * (mean - self._step_time)
        self._seen = (step, now)

    def paused(self) -> None:
        """Forget the last step: what follows is not at the pace of steps."""
        self._seen = None
