"""Return times for callers of a service whose only rank group is closed or full."""

from __future__ import annotations

from canvasyoke._clock import Clock
from canvasyoke.admission import PendingRequest, ReturnPlanner
from canvasyoke.direct._call import DirectCall
from canvasyoke.direct._roster import Roster


class ReturnTimes:
    """Names return times where one group serves the whole service."""

    def __init__(self, roster: Roster, clock: Clock) -> None:
        self._roster = roster
        self._clock = clock
        #: Planner of each service.
        self._planners: dict[str, ReturnPlanner] = {}

    def planner(self, service: str) -> ReturnPlanner:
        """Return the planner of a service; waits and refusals share it."""
        return self._planners.setdefault(service, ReturnPlanner())

    def applies(self, call: DirectCall) -> bool:
        """Return whether the call's service has one group and its route limits pauses."""
        if not (call.route.is_stream and call.route.longest_pause):
            return False
        return self._roster.is_single_group(call.service)

    def assign(self, call: DirectCall) -> int:
        """Return the milliseconds after which a caller returns; 0 if it cannot be served then."""
        room = self._roster.room(
            call.service, self._roster.group_states.service_state(call.service)
        )
        request = PendingRequest(
            priority=call.priority,
            organisation=call.organisation,
            arrived_at=call.arrived_at,
            deadline=call.deadline,
            patience_until=call.patience_until,
            expected_duration=room.mean_duration,
        )
        planner = self.planner(call.service)
        return planner.assign_return(request, room, self._clock.now())
