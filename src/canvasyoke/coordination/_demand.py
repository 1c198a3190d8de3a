"""For how long demand stays as it is, learned from how long maps stayed good."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from canvasyoke._clock import SECOND

#: Milliseconds for which demand is expected to stay before any change of it was seen,
#: and the bounds of what is learned. Nothing that stays for less than a second can be
#: followed: a change takes half of that.
_ASSUMED: Final = 5 * SECOND
_LEAST: Final = 1 * SECOND
_MOST: Final = 60 * SECOND
#: Weight of one span in the running mean. Four changes of demand teach it well enough.
_WEIGHT: Final = 0.4
#: Skew above the least that a map has shown from which on it counts as outdated. Counts
#: of one reading scatter by some 0.1.
_OUTDATED: Final = 0.4


@dataclass(slots=True)
class DemandSpan:
    """Watches one map after the other, and learns how long each one serves."""

    #: Milliseconds for which demand is expected to stay after it has changed.
    expected: float = float(_ASSUMED)
    _began: int | None = None
    _least_skew: float = 0.0
    _is_outdated: bool = False

    def began(self, now: int) -> None:
        """Take note that a map made for the present demand is in force."""
        self._began = now
        self._least_skew = 0.0
        self._is_outdated = False

    def saw(self, now: int, skew: float) -> None:
        """Take note of the skew that the map in force has under the present demand."""
        if self._began is None or self._is_outdated:
            return
        age = now - self._began
        self._least_skew = min(self._least_skew or skew, skew)
        if skew < self._least_skew + _OUTDATED:
            if age > self.expected:
                self.expected = _bounded(age)
            return
        self._is_outdated = True
        self.expected = _bounded(self.expected + _WEIGHT * (age - self.expected))


def _bounded(span: float) -> float:
    return min(float(_MOST), max(float(_LEAST), span))
