"""The requests of one service that wait at this entry, and the assignment of places to them.

Neither sockets nor threads: the caller holds a lock around each method.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Final

from canvasyoke.admission import (
    NEW_REQUEST_MARGIN,
    Decision,
    PendingRequest,
    ServiceRoom,
    WaitQueue,
    decide,
    forecast_wait,
)
from canvasyoke.direct._choice import BackendQuery, Chosen, NoneAvailable, PlaceForecast
from canvasyoke.direct._group_states import ServiceState
from canvasyoke.direct._plans import WaitPlanner
from canvasyoke.direct._roster import Roster
from canvasyoke.protocol import Reason

#: Milliseconds without a known state of a closed group after which a waiting request is sent as
#: a probe, and the interval between probes.
_PROBE_AFTER: Final = 1_500
_PROBE_INTERVAL: Final = 500
#: Margin of the forecast, in standard deviations, for a request that already waits: it is refused
#: only when its forecast has clearly turned, since it has used up time of its caller.
_WAITING_MARGIN: Final = -1.0
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
        is_probe = not state.is_open and self._is_probe_due(state, now)
        while state.is_open or is_probe:
            ticket = self._queue.next(now)
            if ticket is None:
                return
            chosen = self._choose(ticket)
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

    def review(self, now: int, new: int | None = None) -> Iterator[Settled]:
        """Refuse requests that will not get a place in time.

        With ``new`` only this request is reviewed, with the margin for new requests.
        """
        tickets = list(self._waiters) if new is None else [new] if new in self._waiters else []
        if not tickets:
            return
        state = self._observe_state(now)
        room = self._roster.room(self._service, state)
        positions = self._queue.positions(now)
        for ticket in tickets:
            refusal = self._judge(ticket, positions[ticket], room, now, new is not None)
            if refusal is not None:
                self.leave(ticket)
                yield Settled(ticket, refusal)

    def refuse_last(self, now: int) -> Settled | None:
        """Refuse the last request in the order."""
        ticket = self._queue.last(now)
        if ticket is None:
            return None
        refusal = self._refusal(ticket, self._queue.ahead_of(ticket, now), self.room())
        self.leave(ticket)
        return Settled(ticket, refusal)

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

    def _choose(self, ticket: int) -> Chosen | NoneAvailable:
        waiter = self._waiters[ticket]
        reserved = 0
        if not self._queue.is_owed(ticket):
            reserved = self._roster.reserved_places(self._service, waiter.request.priority)
        return self._roster.choose(
            replace(
                waiter.query, needs_free_slot=True, reserved=reserved, opened_at=self._opened_at
            )
        )

    def _is_final(self, ticket: int, refused: NoneAvailable, now: int) -> bool:
        """Return whether waiting cannot help a request for which no backend was found."""
        returns_at = now + refused.wait
        is_passing = refused.reason in _PASSING
        return not is_passing or returns_at > self._waiters[ticket].request.patience_until

    def _judge(
        self, ticket: int, ahead: int, room: ServiceRoom, now: int, is_new: bool
    ) -> NoneAvailable | None:
        """Return the refusal of a request that should not wait on; ``None`` if it should."""
        waiter = self._waiters[ticket]
        request = waiter.request
        if not room.is_open:
            if waiter.planned_until is None:
                plan = self._planner.plan(request, room, now)
                waiter.planned_until = min(now + plan.wait, request.patience_until)
                waiter.return_after = plan.return_after
            waits = now < waiter.planned_until
        else:
            reserved = self._roster.reserved_places(self._service, request.priority)
            room = replace(room, in_use=min(room.places, room.in_use + reserved))
            margin = NEW_REQUEST_MARGIN if is_new else _WAITING_MARGIN
            decision = decide(request, ahead, room, now, margin)
            waits = decision is not Decision.REFUSE and now < request.patience_until
        return None if waits else self._refusal(ticket, ahead, room)

    def _refusal(self, ticket: int, ahead: int, room: ServiceRoom) -> NoneAvailable:
        waiter = self._waiters[ticket]
        forecast = PlaceForecast(
            waiter.request, room, ahead, forecast_wait(ahead, room), waiter.return_after
        )
        return NoneAvailable(Reason.OVERLOADED, forecast=forecast)
