"""The queue in front of one target: bounded, fair between organisations, urgent first.

It stands at the target because only there is the number of running requests the
true one, whichever entries they came through. A request waits by urgency, which
grows with its age so that nothing starves; between organisations of the same
urgency, start-time fair queueing gives each its share and lends what is unused.
An organisation that runs well over its share leaves the last slots to the others, so
that a flood of one is not what the others wait for. When the queue is full, the
organisation furthest above its share loses its least urgent, newest request.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final, Generic, TypeVar

from canvasyoke._clock import Clock
from canvasyoke.protocol import Outcome, Reason, Refusal

#: Milliseconds of waiting that raise a request by one step of urgency.
AGEING: Final = 500
_MIN_RETRY_AFTER: Final = 100
#: One slot in so many is kept for organisations that are not over their share.
_KEPT_PART: Final = 4
#: Standard deviations over its share (were its requests to come at random) that an
#: organisation must run to be kept out of those.
_OVER: Final = 1.0
#: Milliseconds for which an organisation that sends nothing counts as there.
_REMEMBERED: Final = 10_000
_SMOOTHING: Final = 0.2

T = TypeVar("T")


@dataclass(slots=True)
class Waiting(Generic[T]):
    """A request in the queue, or running."""

    item: T
    organisation: str
    share: int
    #: Most requests of the organisation at once; 0 for no limit.
    ceiling: int
    priority: int
    #: Times on the clock at which it came and at which its caller gives up.
    arrived: int
    deadline: int
    started: int = 0


@dataclass(slots=True)
class Offer(Generic[T]):
    """What came of offering a request."""

    #: Requests that begin now; may hold the one offered.
    started: list[Waiting[T]] = field(default_factory=list)
    #: Requests that will not run, with the reason; may hold the one offered.
    refused: list[tuple[Waiting[T], Refusal]] = field(default_factory=list)


@dataclass(slots=True)
class _Lane(Generic[T]):
    """One organisation at this target."""

    share: int
    waiting: list[Waiting[T]] = field(default_factory=list)
    running: int = 0
    #: Start-time fair queueing: service received, divided by share.
    virtual: float = 0.0
    #: Time on the clock of its last request.
    seen: int = 0


class FairQueue(Generic[T]):
    """Admits, orders and sheds the requests of one target; used by one task."""

    def __init__(self, clock: Clock, slots: int, limit: int) -> None:
        self._clock = clock
        self._slots = slots
        self._limit = limit
        self._lanes: dict[str, _Lane[T]] = {}
        self._running = 0
        self._waiting = 0
        self._virtual = 0.0
        self._duration = 0.0

    @property
    def running(self) -> int:
        """Return the requests running."""
        return self._running

    @property
    def waiting(self) -> int:
        """Return the requests waiting."""
        return self._waiting

    @property
    def duration(self) -> int:
        """Return the smoothed milliseconds a request runs; 0 when none has ended."""
        return round(self._duration)

    def resize(self, slots: int, limit: int) -> Offer[T]:
        """Change the bounds, as a new configuration asks."""
        self._slots = slots
        self._limit = limit
        return self._start_ready()

    def offer(self, waiting: Waiting[T]) -> Offer[T]:
        """Add a request; it starts, waits or is refused."""
        lane = self._lane(waiting)
        held = lane.running + len(lane.waiting)
        if waiting.ceiling and held >= waiting.ceiling:
            refusal = self._refusal(Reason.OVER_LIMIT, "the organisation is at its ceiling")
            return Offer(refused=[(waiting, refusal)])
        if self._expected_end(waiting, lane) > waiting.deadline:
            refusal = self._refusal(Reason.OVERLOADED, "would end after the deadline")
            return Offer(refused=[(waiting, refusal)])
        if not lane.waiting and not lane.running:
            lane.virtual = max(lane.virtual, self._virtual)
        lane.waiting.append(waiting)
        self._waiting += 1
        offer = self._start_ready()
        if self._waiting > self._limit:
            victim = self._shed()
            offer.refused.append((victim, self._refusal(Reason.OVERLOADED, "the queue is full")))
        return offer

    def finish(self, waiting: Waiting[T]) -> Offer[T]:
        """Note that a running request ended; others may start."""
        lane = self._lanes[waiting.organisation]
        lane.running -= 1
        self._running -= 1
        taken = self._clock.now() - waiting.started
        weight = _SMOOTHING if self._duration else 1.0
        self._duration += weight * (taken - self._duration)
        offer = self._start_ready()
        self._forget_idle()
        return offer

    def decline(self, waiting: Waiting[T]) -> Offer[T]:
        """Give back a slot that was granted and not used; it counts for nothing."""
        lane = self._lanes[waiting.organisation]
        lane.running -= 1
        lane.virtual -= 1.0 / lane.share
        self._running -= 1
        return self._start_ready()

    def withdraw(self, waiting: Waiting[T]) -> bool:
        """Take a waiting request out; false when it is not waiting."""
        lane = self._lanes.get(waiting.organisation)
        if lane is None or not any(w is waiting for w in lane.waiting):
            return False
        lane.waiting = [w for w in lane.waiting if w is not waiting]
        self._waiting -= 1
        return True

    def expire(self) -> Offer[T]:
        """Refuse the requests whose caller will have given up."""
        now = self._clock.now()
        late = [w for lane in self._lanes.values() for w in lane.waiting if w.deadline <= now]
        for waiting in late:
            self.withdraw(waiting)
        refusal = Refusal(Outcome.NOT_RUN, Reason.DEADLINE, "did not start before its deadline")
        return Offer(refused=[(waiting, refusal) for waiting in late])

    def _lane(self, waiting: Waiting[T]) -> _Lane[T]:
        lane = self._lanes.setdefault(waiting.organisation, _Lane(waiting.share))
        lane.share = waiting.share
        lane.seen = self._clock.now()
        return lane

    def _expected_end(self, waiting: Waiting[T], lane: _Lane[T]) -> float:
        """Return the time at which a request offered now would end."""
        if self._running < self._slots:
            return waiting.arrived
        active = sum(other.share for other in self._lanes.values() if other.waiting)
        active += 0 if lane.waiting else lane.share
        rate = self._slots * lane.share / active
        ahead = sum(1 for w in lane.waiting if w.priority <= waiting.priority) + 1
        return waiting.arrived + self._duration * ahead / rate

    def _start_ready(self) -> Offer[T]:
        offer: Offer[T] = Offer()
        now = self._clock.now()
        while self._running < self._slots and self._waiting:
            found = self._next(now)
            if found is None:
                break
            lane, waiting = found
            lane.waiting.remove(waiting)
            self._waiting -= 1
            if waiting.deadline <= now:
                refusal = Refusal(Outcome.NOT_RUN, Reason.DEADLINE, "waited past its deadline")
                offer.refused.append((waiting, refusal))
                continue
            self._virtual = lane.virtual
            lane.virtual += 1.0 / lane.share
            lane.running += 1
            self._running += 1
            waiting.started = now
            offer.started.append(waiting)
        return offer

    def _next(self, now: int) -> tuple[_Lane[T], Waiting[T]] | None:
        """Return the request to start: most urgent first, then by the lanes' service."""
        heads = [
            (lane, name, min(lane.waiting, key=lambda w: (_urgency(w, now), w.arrived)))
            for name, lane in self._lanes.items()
            if lane.waiting and self._may_start(lane)
        ]
        if not heads:
            return None
        # Age lifts a request to the most urgent class that waits, never above it:
        # otherwise the backlog of one organisation would overtake all others.
        floor = min(head.priority for _, _, head in heads)
        lane, _, head = min(
            heads, key=lambda h: (max(floor, _urgency(h[2], now)), h[0].virtual, h[1])
        )
        return lane, head

    def _may_start(self, lane: _Lane[T]) -> bool:
        """Tell whether a free slot is one that this organisation may take."""
        if self._slots - self._running > self._slots // _KEPT_PART or len(self._lanes) == 1:
            return True
        fair = self._slots * lane.share / sum(other.share for other in self._lanes.values())
        return lane.running < fair + _OVER * math.sqrt(fair) + 1

    def _shed(self) -> Waiting[T]:
        """Take out the request that is worth the least, and return it."""
        lanes = [lane for lane in self._lanes.values() if lane.waiting]
        lane = max(lanes, key=lambda g: (len(g.waiting) + g.running) / g.share)
        victim = max(reversed(lane.waiting), key=lambda w: (w.priority, w.arrived))
        lane.waiting = [w for w in lane.waiting if w is not victim]
        self._waiting -= 1
        return victim

    def _refusal(self, reason: Reason, detail: str) -> Refusal:
        backlog = self._duration * (self._waiting + 1) / max(1, self._slots)
        return Refusal(Outcome.NOT_RUN, reason, detail, max(_MIN_RETRY_AFTER, round(backlog)))

    def _forget_idle(self) -> None:
        """Drop lanes that have sent nothing for a while, so that the table stays bounded."""
        limit = self._clock.now() - _REMEMBERED
        idle = [
            name
            for name, lane in self._lanes.items()
            if not lane.waiting and not lane.running and lane.seen < limit
        ]
        for name in idle:
            del self._lanes[name]


def _urgency(waiting: Waiting[T], now: int) -> int:
    return waiting.priority - (now - waiting.arrived) // AGEING
