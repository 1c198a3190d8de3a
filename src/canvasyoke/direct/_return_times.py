"""Return times for callers of a service whose only rank group is closed or full."""

from __future__ import annotations

from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.admission import PendingRequest, ReturnPlanner, ServiceRoom
from canvasyoke.direct._call import DirectCall
from canvasyoke.direct._roster import Roster
from canvasyoke.state import TableRoute

#: A caller waits for an event at most this long in milliseconds, or these multiples of the route's
#: objective and of its longest pause, if they are longer.
_MIN_PATIENCE: Final = 2 * SECOND
_OBJECTIVE_PATIENCE: Final = 4
_PAUSE_PATIENCE: Final = 8


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
        return self._roster.group_states.service_state(call.service).is_single_group

    def assign(self, call: DirectCall) -> int:
        """Return the milliseconds after which a caller returns; 0 if it cannot be served then."""
        room = service_room(self._roster, call.service)
        now = self._clock.now()
        request = pending_request(call, room.mean_duration)
        return self.planner(call.service).assign_return(request, room, now)


def caller_patience(route: TableRoute) -> int:
    """Return the milliseconds for which a caller waits for the next event of a stream."""
    return max(
        _MIN_PATIENCE,
        _OBJECTIVE_PATIENCE * route.objective,
        _PAUSE_PATIENCE * route.longest_pause,
    )


def pending_request(call: DirectCall, duration: int) -> PendingRequest:
    """Return what a call brings to the admission decision."""
    return PendingRequest(
        priority=call.priority,
        organisation=call.organisation,
        arrived_at=call.arrived_at,
        deadline=call.deadline,
        patience_until=call.arrived_at + caller_patience(call.route),
        expected_duration=duration,
    )


def service_room(roster: Roster, service: str) -> ServiceRoom:
    """Return what this entry knows of the places of a service."""
    state = roster.group_states.service_state(service)
    load = roster.service_load(service)
    rate = load.places * SECOND / load.mean_duration / load.entries
    return ServiceRoom(
        places=load.places,
        in_use=load.in_use,
        is_open=state.is_open,
        opens_in=state.opens_in,
        entry_rate=rate,
        mean_duration=load.mean_duration,
    )
