"""Constants, results and timings of expert map changes."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Final

#: Rank whose process owns the group's map; it is armed last and disarmed first.
OWNER_RANK: Final = 0
#: Rank on which the owner prefers to place holds; its process is the owner's standby.
HOLD_RANK: Final = 1


#: Milliseconds of silence after which the owner counts as unresponsive. It normally answers each
#: reading, five times a second, within milliseconds.
OWNER_TIMEOUT: Final = 600


class OwnerReplacedError(Exception):
    """Raised when another process owns the group's map, also by the ``pause`` of a changer."""


class ChangeResult(enum.StrEnum):
    """Result of a map change."""

    IN_FORCE = "in force"
    #: A rank did not copy its experts; no rank was armed or held.
    NOT_PREPARED = "not prepared"
    #: No step could be held; no rank was armed.
    NOT_HELD = "not held"
    #: Not every rank could be armed; all were disarmed.
    ABANDONED = "abandoned"
    #: The group entered a new epoch, which drops prepared maps, armed maps and holds.
    REFORMED = "reformed"
    #: Another owner has taken over the group.
    REPLACED = "replaced"


@dataclass(slots=True)
class ChangeTimings:
    """Durations in milliseconds and attempt counts of a change."""

    #: From the first prepare order until all ranks accepted it, and until all finished copying.
    accept_time: int = 0
    prepare_time: int = 0
    #: Times that the ranks were polled for finished copies.
    polls: int = 0
    #: Time to arm all ranks. The group is stopped once it has reached the held step.
    arm_time: int = 0
    #: Attempts to arm the ranks.
    arm_attempts: int = 0
