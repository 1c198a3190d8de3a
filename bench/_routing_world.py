"""A small world for the routing decisions: entries, targets and time, no sockets.

It runs the package's own filter, rankers, ejection, retry rules and target queue;
only arrivals, service times and the delay of reports are made up. It is no model of
a fleet: nothing but these decisions is in it.
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

#: Milliseconds one way between an entry and a target.
LINK: Final = 1.5
#: Milliseconds between two tokens of a running stream.
TOKEN: Final = 50.0
_REPORT_EVERY: Final = 250.0


@dataclass(frozen=True)
class WorldSpec:
    """What an experiment sets."""

    ranker: str
    #: Whether answers carry the target's load, so that an entry hears of it with
    #: each token of its own streams there.
    piggyback: bool
    #: Requests a second, by organisation.
    rates: dict[str, float]
    seed: int
    entries: int = 8
    targets: int = 16
    slots: int = 8
    queue: int = 64
    #: Mean milliseconds a request holds its slot, and until its first token.
    duration: float = 400.0
    prefill: float = 40.0
    deadline: float = 3_000.0
    #: Milliseconds by which reports lag.
    lag: float = 1_000.0
    seconds: float = 60.0
    #: Milliseconds at the start that are not counted.
    warmup: float = 5_000.0
    #: Factor on the service time of each target that is slow.
    slow: dict[int, float] = field(default_factory=dict)
    #: Targets that are dead, from and until (in ms); they answer with a lost link.
    dead: dict[int, list[tuple[float, float]]] = field(default_factory=dict)
    #: Distinct prompt prefixes (0 for none) and prefixes a target's cache holds.
    prefixes: int = 0
    cache: int = 0
    #: Part of the cache events that is lost.
    events_lost: float = 0.0
    affinity: bool = False
    #: Places at which a request that has to wait stands in line at once; 1 for none
    #: but its first.
    places: int = 1


@dataclass
class Job:
    """One request."""

    organisation: str
    entry: int
    arrived: float
    service: float
    prefix: int
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    #: Places where it stands in line, and whether one of them has started it.
    lines: dict[int, QueuedRequest[Job]] = field(default_factory=dict)
    granted: bool = False


@dataclass
class Tally:
    """What came of the requests of one organisation."""

    first: list[float] = field(default_factory=list)
    good: int = 0
    late: int = 0
    refused: int = 0
    hits: int = 0
    misses: int = 0

    @property
    def total(self) -> int:
        """Return all requests counted."""
        return self.good + self.late + self.refused


class _Target:
    """One target: the package's queue, and a history of its load."""

    def __init__(self, index: int, spec: WorldSpec, clock: ManualClock) -> None:
        self.name = f"t-{index}"
        self.queue: FairQueue[Job] = FairQueue(clock, spec.slots, spec.queue)
        self.times: list[float] = [0.0]
        self.loads: list[tuple[int, int, int]] = [(0, 0, 0)]
        self.cached: dict[int, None] = {}

    def note(self, now: float) -> None:
        """Remember the load as it is now."""
        self.times.append(now)
        queue = self.queue
        self.loads.append((queue.running + queue.waiting, queue.waiting, queue.duration))

    def at(self, moment: float) -> tuple[int, int, int]:
        """Return load, waiting and duration as they were at ``moment``."""
        return self.loads[max(0, bisect.bisect_right(self.times, moment) - 1)]


@dataclass
class _View:
    """What one entry knows of one target."""

    ejection: Ejection
    own: int = 0
    #: Own requests under way by time, to tell what a report includes.
    own_times: list[float] = field(default_factory=lambda: [0.0])
    own_counts: list[int] = field(default_factory=lambda: [0])
    prefixes: dict[int, None] = field(default_factory=dict)

    def change(self, now: float, by: int) -> None:
        """Count a request sent or ended."""
        self.own += by
        self.own_times.append(now)
        self.own_counts.append(self.own)

    def own_at(self, moment: float) -> int:
        """Return own requests under way at ``moment``."""
        return self.own_counts[max(0, bisect.bisect_right(self.own_times, moment) - 1)]


class World:
    """Runs one specification to its end."""

    def __init__(self, spec: WorldSpec) -> None:
        self.spec = spec
        self.tallies = {name: Tally() for name in spec.rates}
        #: Tries that met a dead target, by entry.
        self.dead_tries = [0] * spec.entries
        self._rng = random.Random(spec.seed)
        self._clock = ManualClock()
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._targets = [_Target(i, spec, self._clock) for i in range(spec.targets)]
        self._views = [
            [_View(Ejection(self._clock)) for _ in self._targets] for _ in range(spec.entries)
        ]
        ranker = RANKERS.get(spec.ranker)
        self._rankers = [ranker(random.Random(spec.seed + i)) for i in range(spec.entries)]
        self._budgets = [RetryBudget() for _ in range(spec.entries)]

    def run(self) -> World:
        """Run to the end and return itself."""
        for name in self.spec.rates:
            # Arrivals and service times are drawn apart from all choices, so that
            # every way of choosing meets the very same requests.
            self._plan_arrival(name, random.Random(f"{self.spec.seed}/{name}"))
        self._plan(100.0, self._expire)
        end = self.spec.seconds * 1_000
        while self._events:
            moment, _, action = heapq.heappop(self._events)
            if moment > end + self.spec.deadline:
                break
            self._clock.advance(max(0, round(moment) - self._clock.now()))
            self._now = moment
            action()
        return self

    def _plan(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now + delay, next(self._order), action))

    def _plan_arrival(self, name: str, rng: random.Random) -> None:
        gap = rng.expovariate(self.spec.rates[name] / 1_000)
        if self._now + gap < self.spec.seconds * 1_000:
            self._plan(gap, lambda: self._arrive(name, rng))

    def _arrive(self, name: str, rng: random.Random) -> None:
        spec = self.spec
        prefix = min(spec.prefixes - 1, int(rng.paretovariate(0.6)) - 1)
        service = rng.lognormvariate(-0.32, 0.8) * spec.duration
        entry = rng.randrange(1 << 16) % spec.entries
        self._plan_arrival(name, rng)
        self._route(Job(name, entry, self._now, service, prefix))

    # At the entry.

    def _route(self, job: Job) -> None:
        req = RouteRequest("s", "d", frozenset(job.tried))
        candidates = [self._candidate(job, i) for i in range(len(self._targets))]
        filtered = filter_candidates(candidates, req)
        if not filtered.candidates:
            self._refused(job, Refusal(Outcome.NOT_RUN, filtered.reason))
            return
        able = filtered.candidates
        if self.spec.affinity and job.prefix >= 0:
            able = self._prefer_cached(job, able)
        chosen = self._rankers[job.entry].choose(able, req)
        index = int(chosen.instance.split("-")[1])
        view = self._views[job.entry][index]
        view.change(self._now, 1)
        view.ejection.record_request()
        job.tried.add(chosen.instance)
        job.attempts += 1
        self._plan(LINK, lambda: self._offer(job, index))

    def _candidate(self, job: Job, index: int) -> Candidate:
        spec, view, target = self.spec, self._views[job.entry][index], self._targets[index]
        heard = self._now - spec.lag - self._now % _REPORT_EVERY
        if spec.piggyback and view.own:
            heard = max(heard, self._now - LINK - self._rng.uniform(0, TOKEN / view.own))
        load, waiting, duration = target.at(heard)
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
            own_in_flight_at_report=view.own_at(heard),
            own_in_flight=view.own,
            duration=duration,
        )

    def _prefer_cached(self, job: Job, able: tuple[Candidate, ...]) -> tuple[Candidate, ...]:
        """Keep to targets thought to hold the prefix, while one of them is not busy."""
        views = self._views[job.entry]
        warm = tuple(
            c
            for c in able
            if job.prefix in views[int(c.instance.split("-")[1])].prefixes and c.load < c.slots
        )
        return warm or able

    def _end_attempt(self, job: Job, index: int, failed: Reason | None) -> None:
        view = self._views[job.entry][index]
        view.change(self._now, -1)
        if failed is Reason.LINK_LOST:
            view.ejection.record_failure()
            self.dead_tries[job.entry] += 1
        elif failed is None:
            view.ejection.record_success()
            self._budgets[job.entry].record_success()

    def _refused(self, job: Job, refusal: Refusal) -> None:
        remaining = round(job.arrived + self.spec.deadline - self._now)
        attempted = FailedAttempt(refusal, True, job.attempts, remaining)
        if (
            job.attempts
            and decide_retry(attempted, self._budgets[job.entry]) is RetryDecision.RETRY
        ):
            self._route(job)
        elif job.arrived >= self.spec.warmup:
            self.tallies[job.organisation].refused += 1

    # At the target.

    def _is_dead(self, index: int) -> bool:
        return any(a <= self._now < b for a, b in self.spec.dead.get(index, []))

    def _offer(self, job: Job, index: int) -> None:
        if self._is_dead(index):
            lost = Refusal(Outcome.UNKNOWN, Reason.LINK_LOST)
            self._plan(LINK, lambda: self._fail(job, index, lost))
            return
        self._stand(job, index)
        if self.spec.places > 1 and job.lines and not job.granted:
            self._plan(LINK, lambda: self._stand_elsewhere(job))

    def _stand(self, job: Job, index: int) -> None:
        """Put a request into one target's line."""
        deadline = round(job.arrived + self.spec.deadline)
        now = self._clock.now()
        waiting = QueuedRequest(job, job.organisation, 1, 0, 3, now, deadline)
        job.lines[index] = waiting
        self._settle(index, self._targets[index].queue.offer(waiting))

    def _stand_elsewhere(self, job: Job) -> None:
        """At the entry: the request has to wait, so it stands in further lines."""
        for _ in range(self.spec.places - 1):
            req = RouteRequest("s", "d", frozenset(job.tried))
            able = filter_candidates(
                [self._candidate(job, i) for i in range(len(self._targets))], req
            ).candidates
            if job.granted or not able:
                return
            chosen = self._rankers[job.entry].choose(able, req)
            index = int(chosen.instance.split("-")[1])
            job.tried.add(chosen.instance)
            self._views[job.entry][index].change(self._now, 1)
            self._plan(LINK, lambda i=index: self._stand_late(job, i))  # type: ignore[misc]

    def _stand_late(self, job: Job, index: int) -> None:
        if job.granted or self._is_dead(index):
            self._views[job.entry][index].change(self._now, -1)
            return
        self._stand(job, index)

    def _leave_lines(self, job: Job, but: int) -> None:
        """Take a request that was granted a slot out of all other lines."""
        for index, waiting in list(job.lines.items()):
            if index != but:
                del job.lines[index]
                self._views[job.entry][index].change(self._now, -1)
                self._targets[index].queue.remove(waiting)
                self._targets[index].note(self._now)

    def _settle(self, index: int, offer: QueueUpdate[Job]) -> None:
        target = self._targets[index]
        target.note(self._now)
        for waiting, refusal in offer.refused:
            waiting.item.lines.pop(index, None)
            if waiting.item.lines:
                self._views[waiting.item.entry][index].change(self._now, -1)
                continue
            self._plan(LINK, lambda j=waiting.item, r=refusal: self._fail(j, index, r))  # type: ignore[misc]
        for waiting in offer.started:
            self._start(index, waiting)

    def _start(self, index: int, waiting: QueuedRequest[Job]) -> None:
        job, spec = waiting.item, self.spec
        if job.granted:
            # Two lines gave it a slot within a round trip: the later is given back.
            job.lines.pop(index, None)
            self._views[job.entry][index].change(self._now, -1)
            self._plan(
                2 * LINK, lambda: self._settle(index, self._targets[index].queue.finish(waiting))
            )
            return
        waited = waiting.started > waiting.arrived
        job.granted = True
        if len(job.lines) > 1:
            self._plan(2 * LINK, lambda: self._leave_lines(job, index))
        # A slot that was waited for in several lines is granted over one round trip.
        prefill = spec.prefill + (2 * LINK if waited and spec.places > 1 else 0)
        hit = self._use_cache(index, job)
        if spec.prefixes and not hit:
            prefill += 4 * spec.prefill
        factor = spec.slow.get(index, 1.0)
        held = (prefill + job.service) * factor
        first = self._now + prefill * factor + LINK
        self._plan(held, lambda: self._finish(index, waiting, first, hit))

    def _use_cache(self, index: int, job: Job) -> bool:
        """Look the prefix up in the target's cache and put it there; tell the entries."""
        if not self.spec.prefixes:
            return False
        cached = self._targets[index].cached
        hit = job.prefix in cached
        cached.pop(job.prefix, None)
        cached[job.prefix] = None
        gone = [next(iter(cached))] if len(cached) > self.spec.cache else []
        for old in gone:
            del cached[old]
        if self._rng.random() >= self.spec.events_lost:
            self._plan(self.spec.lag, lambda: self._hear_cached(index, job.prefix, gone))
        return hit

    def _hear_cached(self, index: int, prefix: int, gone: list[int]) -> None:
        for views in self._views:
            known = views[index].prefixes
            known[prefix] = None
            for old in gone:
                known.pop(old, None)
            while len(known) > self.spec.cache:
                del known[next(iter(known))]

    def _finish(self, index: int, waiting: QueuedRequest[Job], first: float, hit: bool) -> None:
        job = waiting.item
        self._settle(index, self._targets[index].queue.finish(waiting))
        self._plan(LINK, lambda: self._end_attempt(job, index, None))
        if job.arrived < self.spec.warmup:
            return
        tally = self.tallies[job.organisation]
        in_time = self._now + LINK <= job.arrived + self.spec.deadline
        tally.good += in_time
        tally.late += not in_time
        tally.first.append(first - job.arrived)
        tally.hits += hit
        tally.misses += not hit

    def _fail(self, job: Job, index: int, refusal: Refusal) -> None:
        self._end_attempt(job, index, refusal.reason)
        self._refused(job, refusal)

    def _expire(self) -> None:
        for index, target in enumerate(self._targets):
            self._settle(index, target.queue.expire())
        if self._now < self.spec.seconds * 1_000:
            self._plan(100.0, self._expire)


def single_queue(spec: WorldSpec) -> World:
    """Run the same arrivals through one queue that sees everything; the best there is."""
    from dataclasses import replace

    pooled = replace(
        spec,
        ranker="random",
        entries=1,
        targets=1,
        slots=spec.slots * spec.targets,
        queue=spec.queue * spec.targets,
        lag=0.0,
        slow={},
        dead={},
    )
    return World(pooled).run()
