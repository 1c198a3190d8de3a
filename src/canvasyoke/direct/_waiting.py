"""Holds the threads of requests that wait for a place, and gives them places.

A request waits in its own thread. Places are assigned when a request ends, when a load report
or a change of a group's state arrives, and periodically while a request waits. A new request
asks for its place under the same lock, so that it overtakes no waiting one.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.admission import PendingRequest
from canvasyoke.direct._call import DirectCall
from canvasyoke.direct._choice import BackendQuery, Chosen, NoneAvailable
from canvasyoke.direct._group_states import ServiceState
from canvasyoke.direct._metrics import DirectMetrics
from canvasyoke.direct._place_queue import PlaceQueue, Settled
from canvasyoke.direct._plans import WaitPlanner
from canvasyoke.direct._roster import Roster
from canvasyoke.observe import part_logger
from canvasyoke.protocol import Reason

_log = part_logger("waiting")
#: Maximum number of requests that wait at this entry.
MAX_WAITING: Final = 200
#: Milliseconds between assignments and reviews while a request waits.
_REVIEW_INTERVAL: Final = 50
#: Milliseconds after the end of its patience at which a waiting thread gives up on its own.
_OVERDUE: Final = 1 * SECOND
#: Duration of a stream in milliseconds until one of its route has finished.
_ASSUMED_DURATION: Final = 1_500.0
#: Weight of a new sample in the mean duration of a route's requests.
_DURATION_WEIGHT: Final = 0.1
#: Multiple of the mean duration that a request is expected to take at most. The lengths of streams
#: spread widely; three in four stay below it. With the mean, half of those that started last would
#: reach the deadline of their callers.
_DURATION_MARGIN: Final = 1.3


@dataclass(slots=True)
class _Holder:
    """A thread that waits for the result of its request."""

    call: DirectCall
    began: int
    result: Chosen | NoneAvailable | None = None
    done: threading.Event = field(default_factory=threading.Event)


class WaitingRequests:
    """Gives places to the requests of this entry; thread-safe."""

    def __init__(
        self,
        roster: Roster,
        state_of: Callable[[str], ServiceState],
        planner_of: Callable[[str], WaitPlanner],
        clock: Clock,
        metrics: DirectMetrics,
    ) -> None:
        self._roster = roster
        self._state_of = state_of
        #: Returns the planner of a service.
        self._planner_of = planner_of
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._queues: dict[str, PlaceQueue] = {}
        self._holders: dict[tuple[str, int], _Holder] = {}
        #: Services for which the begin of waiting was logged.
        self._logged: set[str] = set()
        #: Moving average of request durations in milliseconds, by route.
        self._durations: dict[str, float] = {}
        #: Returns whether a request is known to be unservable.
        self._is_unservable: Callable[[DirectCall], bool] = lambda _call: False
        self._changed = threading.Event()
        #: Assigns places; started with the first request that waits.
        self._thread = threading.Thread(target=self._run, name="waiting", daemon=True)

    def refuse_when(self, is_unservable: Callable[[DirectCall], bool]) -> None:
        """Set which requests do not wait any longer; checked at each review."""
        self._is_unservable = is_unservable

    def applies_to(self, call: DirectCall) -> bool:
        """Return whether a request asks for its place here."""
        route = call.route
        if not route.is_stream or not route.longest_pause:
            return False
        return self._state_of(call.service).is_single_group

    def choose(self, call: DirectCall, query: BackendQuery) -> Chosen | NoneAvailable:
        """Return the backend for a request, after a wait if one is worth it."""
        service, began = call.service, self._clock.now()
        with self._lock:
            queue = self._queues.get(service)
            if queue is None:
                queue = PlaceQueue(service, self._roster, self._state_of, self._planner_of(service))
                self._queues[service] = queue
            ticket = queue.ask(self._pending(call), query, began)
            holder = _Holder(call, began)
            self._holders[service, ticket] = holder
            try:
                self._decide(service, queue, ticket, began)
            except Exception:
                self._withdraw(service, ticket, holder)
                raise
            result = holder.result
            if result is None and not self._thread.is_alive():
                self._thread.start()
        if result is not None:
            self._count_refusal("at once", result)
            return result
        self._changed.set()
        return self._wait(service, ticket, holder)

    def _decide(self, service: str, queue: PlaceQueue, ticket: int, now: int) -> None:
        """Assign places after a new request has come, and refuse it if it would wait in vain."""
        self._settle(service, queue.assign(now))
        self._settle(service, queue.review_new(ticket, now))
        if len(self._holders) > MAX_WAITING:
            last = queue.refuse_last(now)
            self._settle(service, [last] if last is not None else [])

    def _withdraw(self, service: str, ticket: int, holder: _Holder) -> None:
        """Remove a request whose thread does not wait for its result, and free its place."""
        self._queues[service].leave(ticket)
        self._holders.pop((service, ticket), None)
        if isinstance(holder.result, Chosen):
            run = holder.result.endpoint.run
            self._roster.record_not_sent(run)
            self._roster.record_cancelled(run)

    def on_change(self) -> None:
        """Assign places again: a request has ended, or a load or a state has changed."""
        if self._holders:
            self._changed.set()

    def record_duration(self, call: DirectCall, duration: int) -> None:
        """Record the duration of a complete response, in milliseconds."""
        name = call.route.name
        with self._lock:
            mean = self._durations.get(name, float(duration))
            self._durations[name] = mean + _DURATION_WEIGHT * (duration - mean)

    def waiting(self) -> dict[str, dict[int, int]]:
        """Return the number of waiting requests by service and priority."""
        with self._lock:
            return {name: dict(queue.waiting()) for name, queue in self._queues.items() if queue}

    def places(self) -> dict[str, tuple[int, int, int]]:
        """Return places, places in use and reserved places by service."""
        with self._lock:
            rooms = {name: (queue.room(), queue.reserved()) for name, queue in self._queues.items()}
        return {name: (room.places, room.in_use, kept) for name, (room, kept) in rooms.items()}

    def _pending(self, call: DirectCall) -> PendingRequest:
        duration = self._durations.get(call.route.name, _ASSUMED_DURATION)
        return PendingRequest(
            priority=call.priority,
            organisation=call.organisation,
            arrived_at=self._clock.now(),
            deadline=call.deadline,
            patience_until=call.patience_until,
            expected_duration=round(duration * _DURATION_MARGIN),
        )

    def _wait(self, service: str, ticket: int, holder: _Holder) -> Chosen | NoneAvailable:
        """Wait in the thread of the request for its result."""
        longest = holder.call.patience_until - holder.began + _OVERDUE
        holder.done.wait(max(0, longest) / SECOND)
        with self._lock:
            if holder.result is None:
                self._queues[service].leave(ticket)
                self._holders.pop((service, ticket), None)
                holder.result = NoneAvailable(Reason.OVERLOADED)
            result = holder.result
        took = self._clock.now() - holder.began
        self._metrics.record_wait(took)
        if isinstance(result, Chosen):
            self._metrics.count_admitted_after_wait()
        else:
            self._count_refusal("after a wait", result)
        return result

    def _count_refusal(self, when: str, result: Chosen | NoneAvailable) -> None:
        if isinstance(result, NoneAvailable):
            self._metrics.count_place_refused(f"{result.reason} {when}")

    def _run(self) -> None:
        reviewed_at = 0
        while True:
            self._changed.wait(_REVIEW_INTERVAL / SECOND if self._holders else None)
            self._changed.clear()
            now = self._clock.now()
            is_review = now - reviewed_at >= _REVIEW_INTERVAL
            reviewed_at = now if is_review else reviewed_at
            self.update(is_review)

    def update(self, is_review: bool) -> None:
        """Assign free places; with ``is_review``, also refuse requests that wait in vain."""
        with self._lock:
            now = self._clock.now()
            if is_review:
                self._remove_withdrawn()
            for service, queue in self._queues.items():
                if queue:
                    self._settle(service, queue.assign(now))
                if queue and is_review:
                    self._settle(service, queue.review(now))
                self._log_change(service, queue)

    def _remove_withdrawn(self) -> None:
        withdrawn = [
            key
            for key, holder in self._holders.items()
            if holder.call.is_disconnected() or self._is_unservable(holder.call)
        ]
        for service, ticket in withdrawn:
            self._queues[service].leave(ticket)
            self._settle(service, [Settled(ticket, NoneAvailable(Reason.CANCELLED))])

    def _settle(self, service: str, settled: Iterable[Settled]) -> None:
        for each in settled:
            holder = self._holders.pop((service, each.ticket))
            holder.result = each.result
            holder.done.set()

    def _log_change(self, service: str, queue: PlaceQueue) -> None:
        """Log when requests of a service begin to wait, and when none waits any more."""
        waits = len(queue) > 0
        if waits == (service in self._logged):
            return
        self._logged.symmetric_difference_update({service})
        room = queue.room()
        _log.info(
            "requests wait" if waits else "no request waits",
            service=service,
            places=room.places,
            in_use=room.in_use,
            waiting={str(priority): count for priority, count in queue.waiting().items()},
            information_age=self._roster.information_age(),
        )
