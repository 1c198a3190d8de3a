"""Discrete-event simulation of many entries and engines with delayed load reports.

Each entry uses a real roster with its rankers and admission rule; arrivals, engines and the
exchange of loads between entries are simulated.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from canvasyoke._clock import ManualClock
from canvasyoke.backend import BackendNotice, ReportedLoad
from canvasyoke.direct._choice import BackendQuery, Chosen
from canvasyoke.direct._peer_loads import PeerLoad
from canvasyoke.direct._roster import FleetView, Roster
from canvasyoke.state import Endpoint, EndpointState

SERVICE = "ink"


@dataclass(frozen=True)
class LoadScenario:
    """Parameters of a simulation; times in milliseconds."""

    #: Entries, engines and requests per second of each domain.
    entries: tuple[int, ...] = (22, 17, 21, 19, 20)
    engines: tuple[int, ...] = (39, 39, 38, 38, 38)
    rates: tuple[float, ...] = (37.0, 39.0, 51.0, 35.0, 46.0)
    slots: int = 3
    #: Capacity of an engine's queue, beyond its slots.
    queue: int = 6
    #: Mean time that a request occupies a slot, and time until its first event there.
    mean_duration: float = 1_600.0
    first_event_delay: float = 150.0
    objective: float = 500.0
    #: Delay of a load report, and time between reports.
    report_delay: float = 450.0
    report_interval: float = 300.0
    #: Fraction of the objective that a request may wait for a slot.
    max_wait_fraction: float = 0.5
    attempts: int = 2
    length: float = 12_000.0
    warmup: float = 4_000.0
    is_full_mesh: bool = False
    seed: int = 1


@dataclass
class Outcome:
    """Results of a simulation, in requests."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    #: Refused while more than a tenth of all slots was free.
    refused_with_room: int = 0
    #: Attempts that an engine rejected because its queue was full.
    turned_away: int = 0
    #: Requests served in another domain than their entry's.
    crossed: int = 0

    @property
    def total(self) -> int:
        return self.in_time + self.late + self.refused


@dataclass
class _Engine:
    endpoint: Endpoint
    running: int = 0
    waiting: list[Callable[[], None]] = field(default_factory=list)


class LoadSimulation:
    """Runs one scenario."""

    def __init__(self, scenario: LoadScenario) -> None:
        self.scenario = scenario
        self.clock = ManualClock(start=10_000)
        self.rng = random.Random(scenario.seed)
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
                    scenario.slots,
                    EndpointState.READY,
                    5,
                )
            )
            for domain, count in enumerate(scenario.engines)
            for n in range(count)
        }
        self.rosters = [
            [self._roster(domain, n) for n in range(count)]
            for domain, count in enumerate(scenario.entries)
        ]

    def _roster(self, domain: int, n: int) -> Roster:
        roster = Roster(
            f"d-{domain}", self.clock, random.Random(f"{self.scenario.seed}/{domain}/{n}")
        )
        roster.merge([engine.endpoint for engine in self.engines.values()], position=5)
        domain_peers = frozenset(
            f"f-{domain}-{i}" for i in range(self.scenario.entries[domain]) if i != n
        )
        roster.set_fleet(
            FleetView(
                sum(self.scenario.entries),
                f"f-{domain}-{n}",
                domain_peers,
                self.scenario.is_full_mesh,
            )
        )
        return roster

    def run(self) -> Outcome:
        for domain in range(len(self.scenario.entries)):
            self._schedule_arrival(domain, random.Random(f"{self.scenario.seed}/{domain}"))
            for n, roster in enumerate(self.rosters[domain]):
                self._schedule(
                    self.rng.uniform(0, self.scenario.report_interval),
                    self._make_reporter(domain, n, roster),
                )
        while self.events:
            time, _, action = heapq.heappop(self.events)
            if time > self.scenario.length:
                break
            self.now = time
            self.clock.advance(max(0, 10_000 + round(time) - self.clock.now()))
            action()
        return self.outcome

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.order), action))

    def _make_reporter(self, domain: int, n: int, roster: Roster) -> Callable[[], None]:
        def report() -> None:
            load = PeerLoad(self.clock.now(), roster.own_load())
            groups = self.rosters if self.scenario.is_full_mesh else [self.rosters[domain]]
            others = [other for group in groups for other in group if other is not roster]

            def arrive() -> None:
                for other in others:
                    other.update_peer_load(f"{domain}-{n}", load)

            self._schedule(self.scenario.report_delay, arrive)
            self._schedule(self.scenario.report_interval, report)

        return report

    def _schedule_arrival(self, domain: int, rng: random.Random) -> None:
        def arrive() -> None:
            self._schedule_arrival(domain, rng)
            # Callers are distributed unevenly over the entries.
            rosters = self.rosters[domain]
            roster = rosters[min(len(rosters) - 1, int(len(rosters) * rng.random() ** 1.5))]
            service = rng.lognormvariate(-0.18, 0.6) * self.scenario.mean_duration
            self._send(roster, service, self.now, frozenset())

        self._schedule(rng.expovariate(self.scenario.rates[domain] / 1_000), arrive)

    def _send(self, roster: Roster, service: float, started: float, tried: frozenset[str]) -> None:
        scenario = self.scenario
        query = BackendQuery(SERVICE, tried, round(scenario.max_wait_fraction * scenario.objective))
        chosen = roster.choose(query) if len(tried) < scenario.attempts else None
        if not isinstance(chosen, Chosen):
            self._refuse(started)
            return
        engine = self.engines[chosen.endpoint.id]
        if engine.running >= scenario.slots and len(engine.waiting) >= scenario.queue:
            roster.record_refusal(chosen.endpoint.id, 150)
            self._count(started, "turned_away")
            self._schedule(
                4.0, lambda: self._send(roster, service, started, tried | {chosen.endpoint.id})
            )
            return
        if engine.endpoint.domain != roster.domain:
            self._count(started, "crossed")
        self._start_or_wait(engine, roster, service, started)

    def _start_or_wait(
        self, engine: _Engine, roster: Roster, service: float, started: float
    ) -> None:
        def start() -> None:
            engine.running += 1
            load = ReportedLoad(engine.running, len(engine.waiting), self.scenario.slots)
            roster.record_notice(engine.endpoint, BackendNotice(load))
            in_time = (
                self.now + self.scenario.first_event_delay - started <= self.scenario.objective
            )
            self._count(started, "in_time" if in_time else "late")
            self._schedule(service, lambda: self._end(engine, roster, service))

        if engine.running < self.scenario.slots:
            start()
        else:
            engine.waiting.append(start)

    def _end(self, engine: _Engine, roster: Roster, service: float) -> None:
        engine.running -= 1
        roster.record_finished(engine.endpoint.id, round(service), failed=False)
        if engine.waiting:
            engine.waiting.pop(0)()

    def _refuse(self, started: float) -> None:
        self._count(started, "refused")
        taken = sum(engine.running for engine in self.engines.values())
        if taken < 0.9 * self.scenario.slots * len(self.engines):
            self._count(started, "refused_with_room")

    def _count(self, started: float, what: str) -> None:
        if started >= self.scenario.warmup:
            setattr(self.outcome, what, getattr(self.outcome, what) + 1)
