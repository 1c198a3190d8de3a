"""What a change of an expert map is told, and what it tells."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Final

#: The rank on which owners put their holds: not their own, which is rank 0.
HOLD_RANK: Final = 1


class ChangeResult(enum.StrEnum):
    """How a change of the map ended."""

    IN_FORCE = "in force"
    #: A rank did not copy its experts; nothing else was done.
    NOT_PREPARED = "not prepared"
    #: No step could be held; nothing else was done.
    NOT_HELD = "not held"
    #: Not every rank could be armed; all were disarmed.
    ABANDONED = "abandoned"
    #: The group was formed anew, with nothing prepared, armed or held.
    REFORMED = "reformed"
    #: Another owner has given orders.
    REPLACED = "replaced"


@dataclass(frozen=True, slots=True)
class ChangeRanks:
    """Ranks with a part of their own in a change."""

    #: Beside the process that carries the change out; its report costs nothing.
    own: int
    #: Beside the owner of the map; armed last and disarmed first.
    owner: int
    #: The rank on which a hold is put.
    hold: int


@dataclass(slots=True)
class ChangeTimes:
    """What parts of a change took, in milliseconds."""

    #: Orders to prepare, and the copies.
    prepare: int = 0
    #: Arming all ranks; the group stands still once it has reached the held step.
    arm: int = 0
    #: Times that ranks were told to arm.
    arm_tries: int = 0
