"""The requests of one service that wait at this entry, and the assignment of places to them.

Neither sockets nor threads: the caller holds a lock around each method.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.admission import (
    NEW_REQUEST_MARGIN,
    WAITING_MARGIN,
    Decision,
    PendingRequest,
    ServiceRoom,
    WaitQueue,
    decide,
    forecast_wait,
)
from canvasyoke.direct._backend_places import OPENING_TIME
from canvasyoke.direct._choice import BackendQuery, Chosen, NoneAvailable, PlaceForecast
from canvasyoke.direct._group_states import ServiceState
from canvasyoke.direct._plans import WaitPlanner
from canvasyoke.direct._roster import Roster
from canvasyoke.protocol import Reason

#: Milliseconds without a known state of a closed group after which a waiting request is sent as
#: a probe, and the interval between probes.
_PROBE_AFTER: Final = 1_500
_PROBE_INTERVAL: Final = 500
#: Reasons for which a backend may become available again while a request waits.
_PASSING: Final = frozenset({Reason.OVERLOADED, Reason.LIMITED, Reason.BACKOFF})


@dataclass(slots=True)
class _Waiter:
    request: PendingRequest
    query: BackendQuery
    #: Clock time until which the plan lets it wait while the group is closed; ``None`` before.
    planned_until: int | None = None
    #: Milliseconds after which the plan tells the caller to return.
    return_after: int = 0


@dataclass(frozen=True, slots=True)
class Settled:
    """A request that no longer waits."""

    ticket: int
    result: Chosen | NoneAvailable


class PlaceQueue:
    """Requests of one service that ask for a place; not thread-safe."""

    def __init__(
        self,
        service: str,
        roster: Roster,
        state_of: Callable[[str], ServiceState],
        planner: WaitPlanner,
    ) -> None:
        self._service = service
        self._roster = roster
        self._state_of = state_of
        self._planner = planner
        self._queue = WaitQueue()
        self._waiters: dict[int, _Waiter] = {}
        self._was_open = True
        self._opened_at = 0
        self._probed_at = 0
        #: Clock time from which on a request may join a backend's queue again.
        self._next_queued_at = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def waiting(self) -> Mapping[int, int]:
        """Return the number of waiting requests by priority."""
        return self._queue.waiting()

    def room(self) -> ServiceRoom:
        """Return the places of the service."""
        return self._roster.room(self._service, self._state_of(self._service))

    def reserved(self) -> int:
        """Return the places that are left to more urgent requests at other entries."""
        priorities = self._queue.waiting()
        priority = max(priorities, default=0)
        return self._roster.reserved_places(self._service, priority)

    def ask(self, request: PendingRequest, query: BackendQuery, now: int) -> int:
        """Add a request; ``assign`` and ``review`` decide on it."""
        ticket = self._queue.add(request)
        self._waiters[ticket] = _Waiter(request, query)
        return ticket

    def leave(self, ticket: int) -> None:
        """Remove a request whose caller has disconnected."""
        self._queue.remove(ticket)
        self._waiters.pop(ticket, None)

    def assign(self, now: int) -> Iterator[Settled]:
        """Assign free places in order of the queue."""
        state = self._observe_state(now)
        if not state.is_open and self._roster.is_service_evacuated(self._service):
            # An opening of the group would not make its backends available.
            for waiting in list(self._waiters):
                self.leave(waiting)
                yield Settled(waiting, NoneAvailable(Reason.EVACUATED))
            return
        is_probe = not state.is_open and self._is_probe_due(state, now)
        while state.is_open or is_probe:
            ticket = self._queue.next(now)
            if ticket is None:
                return
            request = self._waiters[ticket].request
            if now >= min(request.patience_until, request.deadline):
                # The reviews were missed: this process has not run in between.
                yield self._refuse(ticket, 0, self.room())
                continue
            chosen = self._choose(ticket, now)
            if isinstance(chosen, Chosen):
                self._queue.record_admitted(ticket, now)
                del self._waiters[ticket]
            elif not self._is_final(ticket, chosen, now):
                return
            else:
                self.leave(ticket)
            yield Settled(ticket, chosen)
            if is_probe:
                self._probed_at = now
                return

    def review_new(self, ticket: int, now: int) -> Iterator[Settled]:
        """Refuse a new request that will not get a place in time, or that would break a wait."""
        if ticket not in self._waiters:
            return
        room = self._room_left(now)
        positions = self._queue.positions(now)
        is_in_time = self._may_wait(ticket, positions[ticket], room, now, NEW_REQUEST_MARGIN)
        if not is_in_time or (room.is_open and self._breaks_wait(ticket, positions, room, now)):
            yield self._refuse(ticket, positions[ticket], room)

    def review(self, now: int) -> Iterator[Settled]:
        """Refuse waiting requests that will not get a place in time."""
        room = self._room_left(now)
        positions = self._queue.positions(now)
        refused = 0
        for ticket in sorted(self._waiters, key=positions.__getitem__):
            # Those refused before it no longer get a place first.
            ahead = max(0, positions[ticket] - refused)
            if not self._may_wait(ticket, ahead, room, now, WAITING_MARGIN):
                refused += 1
                yield self._refuse(ticket, ahead, room)

    def refuse_last(self, now: int) -> Settled | None:
        """Refuse the last request in the order."""
        ticket = self._queue.last(now)
        if ticket is None:
            return None
        return self._refuse(ticket, self._queue.ahead_of(ticket, now), self.room())

    def _observe_state(self, now: int) -> ServiceState:
        """Return the state of the service, and note when its group opens."""
        state = self._state_of(self._service)
        if state.is_open and not self._was_open:
            self._opened_at = now
            for waiter in self._waiters.values():
                waiter.planned_until = None
        self._was_open = state.is_open
        return state

    def _is_probe_due(self, state: ServiceState, now: int) -> bool:
        """Return whether to send a request to a closed group of whose state nothing is known."""
        is_unknown = state.opens_in is None and now - state.closed_since >= _PROBE_AFTER
        return is_unknown and now - self._probed_at >= _PROBE_INTERVAL

    def _choose(self, ticket: int, now: int) -> Chosen | NoneAvailable:
        """Choose a backend for a request, with a free slot where the slots in use are known.

        Entries of a large fleet do not hear the loads of other domains. Keeping to free slots that
        they know of, they refused requests while a third of all slots was free. So there a request
        may also join a short queue of a backend, except right after an opening, when all backends
        look idle, and while more urgent requests wait at other entries.
        """
        waiter = self._waiters[ticket]
        reserved = 0
        if not self._queue.is_owed(ticket):
            reserved = self._roster.reserved_places(self._service, waiter.request.priority)
        is_opening = now - self._opened_at < OPENING_TIME
        if self._roster.knows_all_loads or reserved or is_opening or now < self._next_queued_at:
            return self._roster.choose(
                replace(
                    waiter.query, needs_free_slot=True, reserved=reserved, opened_at=self._opened_at
                )
            )
        chosen = self._roster.choose(waiter.query)
        if len(self._queue) > 1 and isinstance(chosen, Chosen):
            # With a backlog at all entries, their sum must not exceed what the group serves.
            self._next_queued_at = now + round(SECOND / max(1.0, self.room().entry_rate))
        return chosen

    def _is_final(self, ticket: int, refused: NoneAvailable, now: int) -> bool:
        """Return whether waiting cannot help a request for which no backend was found."""
        if refused.reason not in _PASSING:
            return True
        # Without a time for the return of a backend the review decides, by the forecast.
        latest_start = self._waiters[ticket].request.latest_start
        return refused.wait > 0 and now + refused.wait > latest_start

    def _room_left(self, now: int) -> ServiceRoom:
        """Return the places of the service after all that this entry may use were assigned."""
        room = self._roster.room(self._service, self._observe_state(now))
        return replace(room, in_use=room.places) if room.is_open else room

    def _may_wait(
        self, ticket: int, ahead: int, room: ServiceRoom, now: int, margin: float
    ) -> bool:
        """Return whether a request gets a place in time, by the forecast or by its plan."""
        waiter = self._waiters[ticket]
        request = waiter.request
        if now >= request.latest_start:
            return False
        if room.is_open:
            return decide(request, ahead, room, now, margin) is not Decision.REFUSE
        if waiter.planned_until is None:
            plan = self._planner.plan(request, room, now)
            waiter.planned_until = now + plan.wait
            waiter.return_after = plan.return_after
        return now < waiter.planned_until

    def _breaks_wait(
        self, ticket: int, positions: Mapping[int, int], room: ServiceRoom, now: int
    ) -> bool:
        """Return whether a request of the same kind would wait in vain because of this one."""
        return any(
            decide(self._waiters[other].request, positions[other], room, now, WAITING_MARGIN)
            is Decision.REFUSE
            for other in self._queue.delayed_by(ticket, now)
        )

    def _refuse(self, ticket: int, ahead: int, room: ServiceRoom) -> Settled:
        """Remove a request that would wait in vain, and return its refusal with the forecast."""
        waiter = self._waiters[ticket]
        forecast = PlaceForecast(
            waiter.request, room, ahead, forecast_wait(ahead, room), waiter.return_after
        )
        self.leave(ticket)
        return Settled(ticket, NoneAvailable(Reason.OVERLOADED, forecast=forecast))
