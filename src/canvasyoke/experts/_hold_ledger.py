"""Places at which a process holds its group: pairs of a rank and a step, each used only once.

A release names the rank and the step. One that is executed late, or by a process that resumes,
must not release another hold. The owner and the standby therefore prefer different ranks, and a
process does not use a place again.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from canvasyoke.experts._change_types import HOLD_RANK, OWNER_RANK


@dataclass(frozen=True, slots=True)
class HoldPlace:
    """A rank and the step that it prevents its group from beginning."""

    rank: int
    step: int


class HoldLedger:
    """Places that this process has used in the current epoch of its group."""

    def __init__(self) -> None:
        self._epoch = 0
        self._used: set[HoldPlace] = set()

    def begin(self, epoch: int) -> None:
        """Start a new record if the group has entered another epoch, which drops all holds."""
        if epoch != self._epoch:
            self._epoch = epoch
            self._used = set()

    def unused(self, own_rank: int, size: int, step: int) -> Iterator[HoldPlace]:
        """Yield the unused places at ``step``, the preferred one first."""
        for rank in _ranks_in_order(own_rank, size):
            place = HoldPlace(rank, step)
            if place not in self._used:
                yield place

    def record(self, place: HoldPlace, current_step: int) -> None:
        """Record a place before an order for it is sent; drop those that cannot be used again."""
        self._used = {each for each in self._used if each.step > current_step} | {place}


def _ranks_in_order(own_rank: int, size: int) -> list[int]:
    """Return the ranks on which a process places holds, the preferred one first.

    The owner's rank and those of the other role are needed in groups of a few ranks only.
    """
    by_role = [range(HOLD_RANK, size, 2), range(HOLD_RANK + 1, size, 2)]
    own, other = by_role if own_rank == OWNER_RANK else reversed(by_role)
    return [*own, OWNER_RANK, *other]
