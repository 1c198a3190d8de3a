"""A heavy day in simulated time: many entries, many engines, and late word of loads.

The decisions are the product's own: each entry has its roster, with its rankers and its
admission. Arrivals, engines and the way that loads take from entry to entry are made up.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from canvasyoke._clock import ManualClock
from canvasyoke.backend import BackendNotice, ReportedLoad
from canvasyoke.direct._choice import Chosen, Wanted
from canvasyoke.direct._peer_loads import PeerLoad
from canvasyoke.direct._roster import FleetView, Roster
from canvasyoke.state import Endpoint, EndpointState

SERVICE = "ink"


@dataclass(frozen=True)
class HeavyDay:
    """What is played; times in milliseconds."""

    #: Entries and engines of each domain, and requests a second that come there.
    entries: tuple[int, ...] = (22, 17, 21, 19, 20)
    engines: tuple[int, ...] = (39, 39, 38, 38, 38)
    rates: tuple[float, ...] = (37.0, 39.0, 51.0, 35.0, 46.0)
    slots: int = 3
    #: Requests that wait at an engine beyond its slots; one more is turned away.
    queue: int = 6
    #: Mean time that a request has its slot, time until its first event there.
    duration: float = 1_600.0
    first: float = 150.0
    objective: float = 500.0
    #: Word of a load reaches the entries that hear of it so much later.
    lag: float = 450.0
    tell_every: float = 300.0
    #: Part of the objective that a request may wait for a slot.
    patience: float = 0.5
    attempts: int = 2
    length: float = 12_000.0
    warmup: float = 4_000.0
    hears_all: bool = False
    seed: int = 1


@dataclass
class Outcome:
    """What callers got."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    #: Refused although a tenth of all slots or more was free.
    refused_with_room: int = 0
    #: Sends that an engine turned away.
    turned_away: int = 0
    #: Answers that crossed from one domain to another.
    crossed: int = 0

    @property
    def asked(self) -> int:
        return self.in_time + self.late + self.refused


@dataclass
class _Engine:
    endpoint: Endpoint
    running: int = 0
    waiting: list[Callable[[], None]] = field(default_factory=list)


class HeavyWorld:
    """Plays one day."""

    def __init__(self, day: HeavyDay) -> None:
        self.day = day
        self.clock = ManualClock(start=10_000)
        self.rng = random.Random(day.seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.outcome = Outcome()
        self.engines = {
            f"e-{domain}-{n}": _Engine(
                Endpoint(
                    f"e-{domain}-{n}",
                    SERVICE,
                    f"{domain}:{n}",
                    f"d-{domain}",
                    day.slots,
                    EndpointState.READY,
                    5,
                )
            )
            for domain, count in enumerate(day.engines)
            for n in range(count)
        }
        self.rosters = [
            [self._roster(domain, n) for n in range(count)]
            for domain, count in enumerate(day.entries)
        ]

    def _roster(self, domain: int, n: int) -> Roster:
        roster = Roster(f"d-{domain}", self.clock, random.Random(f"{self.day.seed}/{domain}/{n}"))
        roster.merge([engine.endpoint for engine in self.engines.values()], position=5)
        near = frozenset(f"f-{domain}-{i}" for i in range(self.day.entries[domain]) if i != n)
        roster.set_fleet(
            FleetView(sum(self.day.entries), f"f-{domain}-{n}", near, self.day.hears_all)
        )
        return roster

    def run(self) -> Outcome:
        for domain in range(len(self.day.entries)):
            self._plan_arrival(domain, random.Random(f"{self.day.seed}/{domain}"))
            for n, roster in enumerate(self.rosters[domain]):
                self._plan(
                    self.rng.uniform(0, self.day.tell_every), self._telling(domain, n, roster)
                )
        while self.events:
            moment, _, action = heapq.heappop(self.events)
            if moment > self.day.length:
                break
            self.now = moment
            self.clock.advance(max(0, 10_000 + round(moment) - self.clock.now()))
            action()
        return self.outcome

    def _plan(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.order), action))

    def _telling(self, domain: int, n: int, roster: Roster) -> Callable[[], None]:
        def tell() -> None:
            load = PeerLoad(self.clock.now(), roster.own_load())
            groups = self.rosters if self.day.hears_all else [self.rosters[domain]]
            others = [other for group in groups for other in group if other is not roster]

            def arrive() -> None:
                for other in others:
                    other.peer_load(f"{domain}-{n}", load)

            self._plan(self.day.lag, arrive)
            self._plan(self.day.tell_every, tell)

        return tell

    def _plan_arrival(self, domain: int, rng: random.Random) -> None:
        def arrive() -> None:
            self._plan_arrival(domain, rng)
            # Callers are dealt to entries unevenly: some have four times as many as others.
            rosters = self.rosters[domain]
            roster = rosters[min(len(rosters) - 1, int(len(rosters) * rng.random() ** 1.5))]
            service = rng.lognormvariate(-0.18, 0.6) * self.day.duration
            self._send(roster, service, self.now, frozenset())

        self._plan(rng.expovariate(self.day.rates[domain] / 1_000), arrive)

    def _send(self, roster: Roster, service: float, began: float, tried: frozenset[str]) -> None:
        day = self.day
        wanted = Wanted(SERVICE, tried, round(day.patience * day.objective))
        chosen = roster.choose(wanted) if len(tried) < day.attempts else None
        if not isinstance(chosen, Chosen):
            self._refuse(began)
            return
        engine = self.engines[chosen.endpoint.id]
        if engine.running >= day.slots and len(engine.waiting) >= day.queue:
            roster.refused(chosen.endpoint.id, 150)
            self._count(began, "turned_away")
            self._plan(
                4.0, lambda: self._send(roster, service, began, tried | {chosen.endpoint.id})
            )
            return
        if engine.endpoint.domain != roster.domain:
            self._count(began, "crossed")
        self._start_or_wait(engine, roster, service, began)

    def _start_or_wait(self, engine: _Engine, roster: Roster, service: float, began: float) -> None:
        def start() -> None:
            engine.running += 1
            load = ReportedLoad(engine.running, len(engine.waiting), self.day.slots)
            roster.took_notice(engine.endpoint, BackendNotice(load))
            in_time = self.now + self.day.first - began <= self.day.objective
            self._count(began, "in_time" if in_time else "late")
            self._plan(service, lambda: self._end(engine, roster, service))

        if engine.running < self.day.slots:
            start()
        else:
            engine.waiting.append(start)

    def _end(self, engine: _Engine, roster: Roster, service: float) -> None:
        engine.running -= 1
        roster.finished(engine.endpoint.id, round(service), failed=False)
        if engine.waiting:
            engine.waiting.pop(0)()

    def _refuse(self, began: float) -> None:
        self._count(began, "refused")
        taken = sum(engine.running for engine in self.engines.values())
        if taken < 0.9 * self.day.slots * len(self.engines):
            self._count(began, "refused_with_room")

    def _count(self, began: float, what: str) -> None:
        if began >= self.day.warmup:
            setattr(self.outcome, what, getattr(self.outcome, what) + 1)
