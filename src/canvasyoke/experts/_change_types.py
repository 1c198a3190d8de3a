"""What a change of an expert map is told, and what it tells."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Final

#: The rank beside the owner of a group's map; armed last and disarmed first.
OWNER_RANK: Final = 0
#: The rank on which holds are put; the process beside it stands by for the owner.
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


@dataclass(slots=True)
class ChangeTimes:
    """What parts of a change took, in milliseconds."""

    #: Orders to prepare until all ranks have taken them, and with the copies.
    taken: int = 0
    prepare: int = 0
    #: Times that all ranks were asked whether they have copied.
    asked: int = 0
    #: Arming all ranks; the group stands still once it has reached the held step.
    arm: int = 0
    #: Times that ranks were told to arm.
    arm_tries: int = 0
