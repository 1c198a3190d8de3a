"""What waiting requests need of the planner of a service."""

from __future__ import annotations

from typing import Protocol

from canvasyoke.admission import PendingRequest, ServiceRoom, WaitPlan


class WaitPlanner(Protocol):
    """Plans the wait of a request while its group executes no steps."""

    def plan(self, request: PendingRequest, room: ServiceRoom, now: int) -> WaitPlan:
        """Return the plan for one caller."""
