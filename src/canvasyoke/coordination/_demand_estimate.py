"""What a group's requests choose now, from counts of what they chose lately.

Demand stays for some seconds, and then a part of it moves at once. Between moves older
counts make the estimate steadier; right after one they spoil it. A map planned from counts
of before and after serves neither: in a group of 63 ranks whose demand moved every 3.1 s,
each move took two changes of the map, the first planned for a skew of 1.08 to 1.2 and seen
at 1.7 to 2.1, and the one that fitted was in force 1.3 to 2.6 s after the move.

Counts are gathered in frames of the time in which each rank tells what it has counted. Two
frames of the same demand differ by 0.015 to 0.05 (half the sum of the differences of
their shares; frames of 0.2 s, 63 ranks, recorded), frames before and after a move of seven
tenths of the experts by 0.16 to 0.24.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Final

from canvasyoke._registry import Registry

#: Part of the weight of older counts that is left when a frame comes. Faster fading would
#: leave the counts of few requests in small groups.
_OLD_WEIGHT: Final = 0.45
#: Difference between a frame and the ones before it from which on demand has moved, and
#: how many times the usual difference it has to be where that is more. Both lie in the gap
#: between what was recorded without a move and with one; a frame with a third of a move in
#: it shows.
_LEAST_MOVE: Final = 0.06
_USUAL_TIMES: Final = 2.0
#: Part of the difference that moves usually make from which on a frame is taken to be of
#: after the move alone. A frame begins at any time after a move: three in ten hold too
#: little of it to show, and the next one, which does, need not be waited out.
_WHOLE_MOVE: Final = 0.8
#: Weight of one difference in the running mean of usual ones.
_USUAL_WEIGHT: Final = 0.2
#: Frames in a row that may each look like a move. More of them are taken for what is
#: usual here: few requests, whose choices scatter.
_MOVES_IN_A_ROW: Final = 3


class DemandEstimate(ABC):
    """An estimate of demand by layer and expert, fed with what was counted."""

    #: Number of moves that were seen.
    moves: int = 0
    #: Whether the counts at hand may be of demand before a move and after it.
    is_moving: bool = False

    def __init__(self, frame: int) -> None:
        """``frame`` is the time, in milliseconds, in which all ranks tell their counts."""
        self._frame_time = frame
        self._frame: list[int] = []
        self._index = 0
        #: Weight of each expert, layer by layer; empty before the first frame.
        self.weights: list[float] = []

    def took(self, wall: int, counts: Sequence[int]) -> bool:
        """Take new counts at a time of day; true when they complete a frame.

        Frames begin at whole multiples of their time, as the ranks' readings do.
        """
        if counts:
            same = len(self._frame) == len(counts)
            old = self._frame if same else [0] * len(counts)
            self._frame = [a + b for a, b in zip(old, counts, strict=True)]
        index = wall // self._frame_time
        if index == self._index or not self._frame:
            return False
        self._index = index
        frame, self._frame = self._frame, []
        if not sum(frame):
            return False
        self._add(frame)
        return True

    @abstractmethod
    def _add(self, frame: Sequence[int]) -> None:
        """Take a whole frame."""

    def _fade_in(self, frame: Sequence[int]) -> None:
        if len(frame) != len(self.weights):
            self.weights = [float(count) for count in frame]
            return
        self.weights = [
            old * _OLD_WEIGHT + new for old, new in zip(self.weights, frame, strict=True)
        ]


#: Estimates by name.
DEMAND_ESTIMATES: Registry[type[DemandEstimate]] = Registry("demand estimate")


@DEMAND_ESTIMATES.register("fading")
class FadingEstimate(DemandEstimate):
    """Older counts fade, whatever the new ones say."""

    def _add(self, frame: Sequence[int]) -> None:
        self._fade_in(frame)


@DEMAND_ESTIMATES.register("moves")
class MoveEstimate(DemandEstimate):
    """Counts of before a move are dropped when it shows.

    The frame in which a move shows may hold demand of before and after; unless it differs
    as much as moves usually make, the one after it decides.
    """

    def __init__(self, frame: int) -> None:
        super().__init__(frame)
        #: Running mean of the difference between a frame and those before it.
        self._usual = 0.0
        self._in_a_row = 0
        #: Estimate before the last move, and the usual difference that a move makes.
        self._before: list[float] = []
        self._usual_move = 1.0

    def _add(self, frame: Sequence[int]) -> None:
        if len(frame) != len(self.weights):
            self._fade_in(frame)
            return
        distance = share_distance(frame, self.weights)
        if distance < max(_LEAST_MOVE, _USUAL_TIMES * self._usual):
            if self._in_a_row:
                self._learn_move(share_distance(frame, self._before))
            self._in_a_row = 0
            self.is_moving = False
            self._learn(distance)
            self._fade_in(frame)
            return
        self._in_a_row += 1
        if self._in_a_row > _MOVES_IN_A_ROW:
            self._learn(distance)
        if self._in_a_row == 1:
            self._before = self.weights
            self.moves += 1
        self.is_moving = self._in_a_row == 1 and distance < _WHOLE_MOVE * self._usual_move
        self.weights = [float(count) for count in frame]

    def _learn_move(self, distance: float) -> None:
        is_first = self._usual_move >= 1.0
        weight = 1.0 if is_first else _USUAL_WEIGHT
        self._usual_move += weight * (distance - self._usual_move)

    def _learn(self, distance: float) -> None:
        self._usual += _USUAL_WEIGHT * (distance - self._usual)


def share_distance(one: Sequence[float], other: Sequence[float]) -> float:
    """Return half the sum of the differences of shares: 0 for alike, 1 for nothing shared."""
    total, other_total = sum(one), sum(other)
    if not total or not other_total:
        return 0.0
    return sum(abs(a / total - b / other_total) for a, b in zip(one, other, strict=True)) / 2
