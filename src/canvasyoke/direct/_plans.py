"""How long a request may wait for a group that does not execute steps.

Without a source of the groups' states they count as open, and no wait is planned.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from canvasyoke.admission import PendingRequest, ServiceRoom
from canvasyoke.direct._group_states import ServiceState
from canvasyoke.direct._roster import Roster


class PlannedWait(Protocol):
    """Plan for one caller; times in milliseconds."""

    @property
    def wait(self) -> int:
        """Longest wait at this entry; 0 for none."""

    @property
    def return_after(self) -> int:
        """Time after the wait at which the caller is told to return; 0 for none."""


class WaitPlanner(Protocol):
    """Plans the wait of a request while its group is closed."""

    def plan(self, request: PendingRequest, room: ServiceRoom, now: int) -> PlannedWait:
        """Return the plan for one caller."""


@dataclass(frozen=True, slots=True)
class _NoWait:
    wait: int = 0
    return_after: int = 0


class NoWaitPlanner:
    """Plans no wait, so that requests for a closed group are refused at once."""

    def plan(self, request: PendingRequest, room: ServiceRoom, now: int) -> PlannedWait:
        """Return a plan without a wait."""
        return _NoWait()


def assume_open(roster: Roster, service: str) -> ServiceState:
    """Return the state of a service whose groups count as open."""
    return ServiceState(
        is_open=True,
        closed_since=0,
        opens_in=None,
        is_single_group=roster.is_single_group(service),
    )
