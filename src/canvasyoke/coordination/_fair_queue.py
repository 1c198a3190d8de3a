"""Bounded queue of one target, fair between organisations and ordered by priority.

The queue is at the target because only the target knows its true number of running requests. A
request's effective priority grows with its age to prevent starvation. Among organisations with
equal priority, start-time fair queueing allots slots by share and redistributes unused ones. The
last slots are reserved for organisations that are not well over their share, so that a flood
from one does not delay the others. When the queue is full, the organisation furthest above its
share loses its least urgent, newest request.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final, Generic, TypeVar

from canvasyoke._clock import Clock
from canvasyoke.protocol import Outcome, Reason, Refusal

#: Milliseconds of waiting that raise a request's priority by one level.
AGING_INTERVAL: Final = 500
_MIN_RETRY_AFTER: Final = 100
#: One in this many slots is reserved for organisations within their share.
_RESERVED_DIVISOR: Final = 4
#: Standard deviations above its share, assuming random arrivals, from which an organisation may
#: not use reserved slots.
_BURST_DEVIATIONS: Final = 1.0
#: Milliseconds after which an organisation without requests is removed.
_IDLE_TIMEOUT: Final = 10_000
_SMOOTHING: Final = 0.2

T = TypeVar("T")


@dataclass(slots=True)
class QueuedRequest(Generic[T]):
    """A request that is waiting or running."""

    item: T
    organisation: str
    share: int
    #: Maximum number of concurrent requests of the organisation; 0 for no limit.
    ceiling: int
    priority: int
    #: Clock times of arrival and of the caller's deadline.
    arrived: int
    deadline: int
    started: int = 0


@dataclass(slots=True)
class QueueUpdate(Generic[T]):
    """Requests whose state a queue operation changed."""

    #: Requests that start now; may include the one offered.
    started: list[QueuedRequest[T]] = field(default_factory=list)
    #: Requests that will not run, with the reason; may include the one offered.
    refused: list[tuple[QueuedRequest[T], Refusal]] = field(default_factory=list)


@dataclass(slots=True)
class _Flow(Generic[T]):
    """Scheduling state of one organisation."""

    share: int
    waiting: list[QueuedRequest[T]] = field(default_factory=list)
    running: int = 0
    #: Start-time fair queueing: service received divided by share.
    virtual_time: float = 0.0
    #: Clock time of its last request.
    last_seen: int = 0


class FairQueue(Generic[T]):
    """Admits, schedules and sheds the requests of one target; not thread-safe."""

    def __init__(self, clock: Clock, slots: int, limit: int) -> None:
        self._clock = clock
        self._slots = slots
        self._limit = limit
        self._flows: dict[str, _Flow[T]] = {}
        self._running = 0
        self._waiting = 0
        self._virtual_time = 0.0
        self._mean_duration = 0.0

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return self._running

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return self._waiting

    @property
    def duration(self) -> int:
        """Return the smoothed duration of requests in milliseconds; 0 if none has ended."""
        return round(self._mean_duration)

    def resize(self, slots: int, limit: int) -> QueueUpdate[T]:
        """Apply new limits from a configuration."""
        self._slots = slots
        self._limit = limit
        return self._start_ready()

    def offer(self, request: QueuedRequest[T]) -> QueueUpdate[T]:
        """Add a request, which starts, waits or is refused."""
        flow = self._flow(request)
        request_count = flow.running + len(flow.waiting)
        if request.ceiling and request_count >= request.ceiling:
            refusal = self._refusal(Reason.OVER_LIMIT, "the organisation is at its ceiling")
            return QueueUpdate(refused=[(request, refusal)])
        if self._estimated_completion(request, flow) > request.deadline:
            refusal = self._refusal(Reason.OVERLOADED, "would end after the deadline")
            return QueueUpdate(refused=[(request, refusal)])
        if not flow.waiting and not flow.running:
            flow.virtual_time = max(flow.virtual_time, self._virtual_time)
        flow.waiting.append(request)
        self._waiting += 1
        update = self._start_ready()
        if self._waiting > self._limit:
            victim = self._shed()
            update.refused.append((victim, self._refusal(Reason.OVERLOADED, "the queue is full")))
        return update

    def finish(self, request: QueuedRequest[T]) -> QueueUpdate[T]:
        """Record the end of a running request and start waiting ones."""
        flow = self._flows[request.organisation]
        flow.running -= 1
        self._running -= 1
        elapsed = self._clock.now() - request.started
        weight = _SMOOTHING if self._mean_duration else 1.0
        self._mean_duration += weight * (elapsed - self._mean_duration)
        update = self._start_ready()
        self._remove_idle_flows()
        return update

    def release_unused(self, request: QueuedRequest[T]) -> QueueUpdate[T]:
        """Release a granted slot that was not used, without charging the organisation."""
        flow = self._flows[request.organisation]
        flow.running -= 1
        flow.virtual_time -= 1.0 / flow.share
        self._running -= 1
        return self._start_ready()

    def remove(self, request: QueuedRequest[T]) -> bool:
        """Remove a waiting request; return False if it is not waiting."""
        flow = self._flows.get(request.organisation)
        if flow is None or not any(w is request for w in flow.waiting):
            return False
        flow.waiting = [w for w in flow.waiting if w is not request]
        self._waiting -= 1
        return True

    def expire(self) -> QueueUpdate[T]:
        """Refuse the waiting requests whose deadline has passed."""
        now = self._clock.now()
        late = [w for flow in self._flows.values() for w in flow.waiting if w.deadline <= now]
        for request in late:
            self.remove(request)
        refusal = Refusal(Outcome.NOT_RUN, Reason.DEADLINE, "did not start before its deadline")
        return QueueUpdate(refused=[(request, refusal) for request in late])

    def _flow(self, request: QueuedRequest[T]) -> _Flow[T]:
        flow = self._flows.setdefault(request.organisation, _Flow(request.share))
        flow.share = request.share
        flow.last_seen = self._clock.now()
        return flow

    def _estimated_completion(self, request: QueuedRequest[T], flow: _Flow[T]) -> float:
        """Return the estimated completion time of a request offered now."""
        if self._running < self._slots:
            return request.arrived
        active = sum(other.share for other in self._flows.values() if other.waiting)
        active += 0 if flow.waiting else flow.share
        rate = self._slots * flow.share / active
        ahead = sum(1 for w in flow.waiting if w.priority <= request.priority) + 1
        return request.arrived + self._mean_duration * ahead / rate

    def _start_ready(self) -> QueueUpdate[T]:
        update: QueueUpdate[T] = QueueUpdate()
        now = self._clock.now()
        while self._running < self._slots and self._waiting:
            found = self._select_next(now)
            if found is None:
                break
            flow, request = found
            flow.waiting.remove(request)
            self._waiting -= 1
            if request.deadline <= now:
                refusal = Refusal(Outcome.NOT_RUN, Reason.DEADLINE, "waited past its deadline")
                update.refused.append((request, refusal))
                continue
            self._virtual_time = flow.virtual_time
            flow.virtual_time += 1.0 / flow.share
            flow.running += 1
            self._running += 1
            request.started = now
            update.started.append(request)
        return update

    def _select_next(self, now: int) -> tuple[_Flow[T], QueuedRequest[T]] | None:
        """Return the next request by priority, then by its flow's virtual time."""
        heads = [
            (flow, name, min(flow.waiting, key=lambda w: (_effective_priority(w, now), w.arrived)))
            for name, flow in self._flows.items()
            if flow.waiting and self._may_use_slot(flow)
        ]
        if not heads:
            return None
        # Cap aging at the highest priority class that is waiting, so that one organisation's
        # backlog cannot overtake all others.
        floor = min(head.priority for _, _, head in heads)
        flow, _, head = min(
            heads,
            key=lambda h: (max(floor, _effective_priority(h[2], now)), h[0].virtual_time, h[1]),
        )
        return flow, head

    def _may_use_slot(self, flow: _Flow[T]) -> bool:
        """Return whether the organisation may use a free slot, given the reserved ones."""
        if self._slots - self._running > self._slots // _RESERVED_DIVISOR or len(self._flows) == 1:
            return True
        fair = self._slots * flow.share / sum(other.share for other in self._flows.values())
        return flow.running < fair + _BURST_DEVIATIONS * math.sqrt(fair) + 1

    def _shed(self) -> QueuedRequest[T]:
        """Remove and return the request to shed."""
        flows = [flow for flow in self._flows.values() if flow.waiting]
        flow = max(flows, key=lambda f: (len(f.waiting) + f.running) / f.share)
        victim = max(reversed(flow.waiting), key=lambda w: (w.priority, w.arrived))
        flow.waiting = [w for w in flow.waiting if w is not victim]
        self._waiting -= 1
        return victim

    def _refusal(self, reason: Reason, detail: str) -> Refusal:
        backlog = self._mean_duration * (self._waiting + 1) / max(1, self._slots)
        return Refusal(Outcome.NOT_RUN, reason, detail, max(_MIN_RETRY_AFTER, round(backlog)))

    def _remove_idle_flows(self) -> None:
        """Remove idle flows to bound memory."""
        limit = self._clock.now() - _IDLE_TIMEOUT
        idle = [
            name
            for name, flow in self._flows.items()
            if not flow.waiting and not flow.running and flow.last_seen < limit
        ]
        for name in idle:
            del self._flows[name]


def _effective_priority(request: QueuedRequest[T], now: int) -> int:
    return request.priority - (now - request.arrived) // AGING_INTERVAL
