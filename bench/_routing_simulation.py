"""Discrete-event simulation of routing decisions, without sockets.

It runs the package's own filter, rankers, ejection, retry rules and target queue. Only
arrivals, service times and report delays are simulated; other parts of a fleet are not.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from canvasyoke import ManualClock
from canvasyoke.coordination import (
    RANKERS,
    Candidate,
    Ejection,
    FailedAttempt,
    FairQueue,
    QueuedRequest,
    QueueUpdate,
    RetryBudget,
    RetryDecision,
    RouteRequest,
    decide_retry,
    filter_candidates,
)
from canvasyoke.protocol import Outcome, Reason, Refusal

#: One-way delay between an entry and a target, in milliseconds.
LINK_DELAY: Final = 1.5
#: Interval between tokens of a stream, in milliseconds.
TOKEN_INTERVAL: Final = 50.0
_REPORT_INTERVAL: Final = 250.0


@dataclass(frozen=True)
class SimulationSpec:
    """Parameters of a simulation."""

    ranker: str
    #: Whether each token of a stream carries the target's load to the entry.
    is_load_piggybacked: bool
    #: Requests per second, by organisation.
    rates: dict[str, float]
    seed: int
    entries: int = 8
    targets: int = 16
    slots: int = 8
    queue: int = 64
    #: Mean service time after prefill, and prefill time, in milliseconds.
    duration: float = 400.0
    prefill: float = 40.0
    deadline: float = 3_000.0
    #: Delay of load reports and cache events, in milliseconds.
    report_delay: float = 1_000.0
    seconds: float = 60.0
    #: Initial milliseconds excluded from the results.
    warmup: float = 5_000.0
    #: Service time factor by index of a slow target.
    slow: dict[int, float] = field(default_factory=dict)
    #: Outages by target index, as (start, end) in milliseconds; requests get LINK_LOST.
    dead: dict[int, list[tuple[float, float]]] = field(default_factory=dict)
    #: Number of distinct prompt prefixes (0 for none), and cache capacity of a target.
    prefixes: int = 0
    cache: int = 0
    #: Fraction of cache events that is lost.
    events_lost: float = 0.0
    affinity: bool = False
    #: Maximum number of target queues in which a waiting request is placed at once.
    max_queues: int = 1


@dataclass
class Request:
    """A simulated request."""

    organisation: str
    entry: int
    arrived: float
    service: float
    prefix: int
    attempted_targets: set[str] = field(default_factory=set)
    attempts: int = 0
    #: Queue entries by target index, and whether one of them was granted a slot.
    queue_entries: dict[int, QueuedRequest[Request]] = field(default_factory=dict)
    granted: bool = False


@dataclass
class RequestStats:
    """Outcomes of the requests of one organisation."""

    first_token_ms: list[float] = field(default_factory=list)
    on_time: int = 0
    late: int = 0
    refused: int = 0
    hits: int = 0
    misses: int = 0

    @property
    def total(self) -> int:
        """Return the number of counted requests."""
        return self.on_time + self.late + self.refused


class _SimulatedTarget:
    """A simulated target with the package's queue and a load history."""

    def __init__(self, index: int, spec: SimulationSpec, clock: ManualClock) -> None:
        self.name = f"t-{index}"
        self.queue: FairQueue[Request] = FairQueue(clock, spec.slots, spec.queue)
        self.load_times: list[float] = [0.0]
        self.load_history: list[tuple[int, int, int]] = [(0, 0, 0)]
        self.cached: dict[int, None] = {}

    def record_load(self, now: float) -> None:
        """Record the current load."""
        self.load_times.append(now)
        queue = self.queue
        self.load_history.append((queue.running + queue.waiting, queue.waiting, queue.duration))

    def load_at(self, moment: float) -> tuple[int, int, int]:
        """Return load, waiting requests and duration at ``moment``."""
        return self.load_history[max(0, bisect.bisect_right(self.load_times, moment) - 1)]


@dataclass
class _TargetView:
    """An entry's view of one target."""

    ejection: Ejection
    own_in_flight: int = 0
    #: History of own requests in flight, to determine which ones a report includes.
    in_flight_times: list[float] = field(default_factory=lambda: [0.0])
    in_flight_counts: list[int] = field(default_factory=lambda: [0])
    prefixes: dict[int, None] = field(default_factory=dict)

    def adjust_in_flight(self, now: float, delta: int) -> None:
        """Change the number of own requests in flight."""
        self.own_in_flight += delta
        self.in_flight_times.append(now)
        self.in_flight_counts.append(self.own_in_flight)

    def in_flight_at(self, moment: float) -> int:
        """Return the number of own requests in flight at ``moment``."""
        return self.in_flight_counts[max(0, bisect.bisect_right(self.in_flight_times, moment) - 1)]


class Simulation:
    """Executes a simulation as a sequence of timed events."""

    def __init__(self, spec: SimulationSpec) -> None:
        self.spec = spec
        self.stats = {name: RequestStats() for name in spec.rates}
        #: Attempts that reached a dead target, by entry.
        self.dead_attempts = [0] * spec.entries
        self._rng = random.Random(spec.seed)
        self._clock = ManualClock()
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._targets = [_SimulatedTarget(i, spec, self._clock) for i in range(spec.targets)]
        self._views = [
            [_TargetView(Ejection(self._clock)) for _ in self._targets] for _ in range(spec.entries)
        ]
        ranker = RANKERS.get(spec.ranker)
        self._rankers = [ranker(random.Random(spec.seed + i)) for i in range(spec.entries)]
        self._budgets = [RetryBudget() for _ in range(spec.entries)]

    def run(self) -> Simulation:
        """Run to the end and return ``self``."""
        for name in self.spec.rates:
            # Arrivals and service times have their own generator, so that every
            # routing variant receives identical requests.
            self._schedule_arrival(name, random.Random(f"{self.spec.seed}/{name}"))
        self._schedule(100.0, self._expire)
        end = self.spec.seconds * 1_000
        while self._events:
            moment, _, action = heapq.heappop(self._events)
            if moment > end + self.spec.deadline:
                break
            self._clock.advance(max(0, round(moment) - self._clock.now()))
            self._now = moment
            action()
        return self

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now + delay, next(self._sequence), action))

    def _schedule_arrival(self, name: str, rng: random.Random) -> None:
        gap = rng.expovariate(self.spec.rates[name] / 1_000)
        if self._now + gap < self.spec.seconds * 1_000:
            self._schedule(gap, lambda: self._arrive(name, rng))

    def _arrive(self, name: str, rng: random.Random) -> None:
        spec = self.spec
        prefix = min(spec.prefixes - 1, int(rng.paretovariate(0.6)) - 1)
        service = rng.lognormvariate(-0.32, 0.8) * spec.duration
        entry = rng.randrange(1 << 16) % spec.entries
        self._schedule_arrival(name, rng)
        self._route(Request(name, entry, self._now, service, prefix))

    # Entry side.

    def _route(self, request: Request) -> None:
        route_request = RouteRequest("s", "d", frozenset(request.attempted_targets))
        candidates = [self._candidate(request, i) for i in range(len(self._targets))]
        filtered = filter_candidates(candidates, route_request)
        if not filtered.candidates:
            self._handle_refusal(request, Refusal(Outcome.NOT_RUN, filtered.reason))
            return
        eligible = filtered.candidates
        if self.spec.affinity and request.prefix >= 0:
            eligible = self._prefer_cached(request, eligible)
        chosen = self._rankers[request.entry].choose(eligible, route_request)
        index = int(chosen.instance.split("-")[1])
        view = self._views[request.entry][index]
        view.adjust_in_flight(self._now, 1)
        view.ejection.record_request()
        request.attempted_targets.add(chosen.instance)
        request.attempts += 1
        self._schedule(LINK_DELAY, lambda: self._deliver(request, index))

    def _candidate(self, request: Request, index: int) -> Candidate:
        spec, view, target = self.spec, self._views[request.entry][index], self._targets[index]
        report_time = self._now - spec.report_delay - self._now % _REPORT_INTERVAL
        if spec.is_load_piggybacked and view.own_in_flight:
            report_time = max(
                report_time,
                self._now - LINK_DELAY - self._rng.uniform(0, TOKEN_INTERVAL / view.own_in_flight),
            )
        load, waiting, duration = target.load_at(report_time)
        return Candidate(
            instance=target.name,
            domain="d",
            service="s",
            connected=True,
            leaving=False,
            healthy=True,
            ejected=view.ejection.ejected,
            slots=spec.slots,
            queue_limit=spec.queue,
            reported_load=load,
            reported_waiting=waiting,
            report_age=0,
            own_in_flight_at_report=view.in_flight_at(report_time),
            own_in_flight=view.own_in_flight,
            duration=duration,
        )

    def _prefer_cached(
        self, request: Request, eligible: tuple[Candidate, ...]
    ) -> tuple[Candidate, ...]:
        """Return targets believed to cache the prefix and to have a free slot, or all."""
        views = self._views[request.entry]
        cached_candidates = tuple(
            c
            for c in eligible
            if request.prefix in views[int(c.instance.split("-")[1])].prefixes and c.load < c.slots
        )
        return cached_candidates or eligible

    def _end_attempt(self, request: Request, index: int, failed: Reason | None) -> None:
        view = self._views[request.entry][index]
        view.adjust_in_flight(self._now, -1)
        if failed is Reason.LINK_LOST:
            view.ejection.record_failure()
            self.dead_attempts[request.entry] += 1
        elif failed is None:
            view.ejection.record_success()
            self._budgets[request.entry].record_success()

    def _handle_refusal(self, request: Request, refusal: Refusal) -> None:
        remaining = round(request.arrived + self.spec.deadline - self._now)
        failed_attempt = FailedAttempt(refusal, True, request.attempts, remaining)
        if (
            request.attempts
            and decide_retry(failed_attempt, self._budgets[request.entry]) is RetryDecision.RETRY
        ):
            self._route(request)
        elif request.arrived >= self.spec.warmup:
            self.stats[request.organisation].refused += 1

    # Target side.

    def _is_dead(self, index: int) -> bool:
        return any(a <= self._now < b for a, b in self.spec.dead.get(index, []))

    def _deliver(self, request: Request, index: int) -> None:
        if self._is_dead(index):
            lost = Refusal(Outcome.UNKNOWN, Reason.LINK_LOST)
            self._schedule(LINK_DELAY, lambda: self._handle_failure(request, index, lost))
            return
        self._enqueue(request, index)
        if self.spec.max_queues > 1 and request.queue_entries and not request.granted:
            self._schedule(LINK_DELAY, lambda: self._enqueue_elsewhere(request))

    def _enqueue(self, request: Request, index: int) -> None:
        """Add a request to a target's queue."""
        deadline = round(request.arrived + self.spec.deadline)
        now = self._clock.now()
        waiting = QueuedRequest(request, request.organisation, 1, 0, 3, now, deadline)
        request.queue_entries[index] = waiting
        self._apply_update(index, self._targets[index].queue.offer(waiting))

    def _enqueue_elsewhere(self, request: Request) -> None:
        """Add a waiting request to the queues of further targets."""
        for _ in range(self.spec.max_queues - 1):
            route_request = RouteRequest("s", "d", frozenset(request.attempted_targets))
            eligible = filter_candidates(
                [self._candidate(request, i) for i in range(len(self._targets))], route_request
            ).candidates
            if request.granted or not eligible:
                return
            chosen = self._rankers[request.entry].choose(eligible, route_request)
            index = int(chosen.instance.split("-")[1])
            request.attempted_targets.add(chosen.instance)
            self._views[request.entry][index].adjust_in_flight(self._now, 1)
            self._schedule(LINK_DELAY, lambda i=index: self._enqueue_additional(request, i))  # type: ignore[misc]

    def _enqueue_additional(self, request: Request, index: int) -> None:
        if request.granted or self._is_dead(index):
            self._views[request.entry][index].adjust_in_flight(self._now, -1)
            return
        self._enqueue(request, index)

    def _cancel_other_entries(self, request: Request, kept_index: int) -> None:
        """Remove a request that was granted a slot from all other queues."""
        for index, waiting in list(request.queue_entries.items()):
            if index != kept_index:
                del request.queue_entries[index]
                self._views[request.entry][index].adjust_in_flight(self._now, -1)
                self._targets[index].queue.remove(waiting)
                self._targets[index].record_load(self._now)

    def _apply_update(self, index: int, update: QueueUpdate[Request]) -> None:
        target = self._targets[index]
        target.record_load(self._now)
        for waiting, refusal in update.refused:
            waiting.item.queue_entries.pop(index, None)
            if waiting.item.queue_entries:
                self._views[waiting.item.entry][index].adjust_in_flight(self._now, -1)
                continue
            self._schedule(
                LINK_DELAY,
                lambda j=waiting.item, r=refusal: self._handle_failure(j, index, r),  # type: ignore[misc]
            )
        for waiting in update.started:
            self._start(index, waiting)

    def _start(self, index: int, waiting: QueuedRequest[Request]) -> None:
        request, spec = waiting.item, self.spec
        if request.granted:
            # Two targets granted a slot within a round trip: release the later one.
            request.queue_entries.pop(index, None)
            self._views[request.entry][index].adjust_in_flight(self._now, -1)
            self._schedule(
                2 * LINK_DELAY,
                lambda: self._apply_update(index, self._targets[index].queue.finish(waiting)),
            )
            return
        waited = waiting.started > waiting.arrived
        request.granted = True
        if len(request.queue_entries) > 1:
            self._schedule(2 * LINK_DELAY, lambda: self._cancel_other_entries(request, index))
        # With several queues, granting a slot to a waiting request takes a round trip.
        prefill = spec.prefill + (2 * LINK_DELAY if waited and spec.max_queues > 1 else 0)
        hit = self._use_cache(index, request)
        if spec.prefixes and not hit:
            prefill += 4 * spec.prefill
        factor = spec.slow.get(index, 1.0)
        slot_time = (prefill + request.service) * factor
        first_token_ms = self._now + prefill * factor + LINK_DELAY
        self._schedule(slot_time, lambda: self._finish(index, waiting, first_token_ms, hit))

    def _use_cache(self, index: int, request: Request) -> bool:
        """Look up and insert the prefix in the target's cache, and notify the entries."""
        if not self.spec.prefixes:
            return False
        cached = self._targets[index].cached
        hit = request.prefix in cached
        cached.pop(request.prefix, None)
        cached[request.prefix] = None
        evicted = [next(iter(cached))] if len(cached) > self.spec.cache else []
        for evicted_prefix in evicted:
            del cached[evicted_prefix]
        if self._rng.random() >= self.spec.events_lost:
            self._schedule(
                self.spec.report_delay,
                lambda: self._apply_cache_event(index, request.prefix, evicted),
            )
        return hit

    def _apply_cache_event(self, index: int, prefix: int, evicted: list[int]) -> None:
        for views in self._views:
            known_prefixes = views[index].prefixes
            known_prefixes[prefix] = None
            for evicted_prefix in evicted:
                known_prefixes.pop(evicted_prefix, None)
            while len(known_prefixes) > self.spec.cache:
                del known_prefixes[next(iter(known_prefixes))]

    def _finish(
        self, index: int, waiting: QueuedRequest[Request], first_token_ms: float, hit: bool
    ) -> None:
        request = waiting.item
        self._apply_update(index, self._targets[index].queue.finish(waiting))
        self._schedule(LINK_DELAY, lambda: self._end_attempt(request, index, None))
        if request.arrived < self.spec.warmup:
            return
        counts = self.stats[request.organisation]
        is_on_time = self._now + LINK_DELAY <= request.arrived + self.spec.deadline
        counts.on_time += is_on_time
        counts.late += not is_on_time
        counts.first_token_ms.append(first_token_ms - request.arrived)
        counts.hits += hit
        counts.misses += not hit

    def _handle_failure(self, request: Request, index: int, refusal: Refusal) -> None:
        self._end_attempt(request, index, refusal.reason)
        self._handle_refusal(request, refusal)

    def _expire(self) -> None:
        for index, target in enumerate(self._targets):
            self._apply_update(index, target.queue.expire())
        if self._now < self.spec.seconds * 1_000:
            self._schedule(100.0, self._expire)


def run_shared_queue(spec: SimulationSpec) -> Simulation:
    """Run the same arrivals through one shared queue, as the ideal baseline."""
    from dataclasses import replace

    shared_spec = replace(
        spec,
        ranker="random",
        entries=1,
        targets=1,
        slots=spec.slots * spec.targets,
        queue=spec.queue * spec.targets,
        report_delay=0.0,
        slow={},
        dead={},
    )
    return Simulation(shared_spec).run()
