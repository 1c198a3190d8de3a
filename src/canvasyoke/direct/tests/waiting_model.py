"""Discrete-event simulation of entries that give scarce places of one group to their requests.

Each entry uses a real roster and place queue; callers, engines and the exchange of loads are
simulated. One entry with all callers is the reference of a single queue.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from canvasyoke._clock import ManualClock
from canvasyoke.admission import PendingRequest, ServiceRoom, WaitPlan
from canvasyoke.backend import BackendNotice, ReportedLoad
from canvasyoke.direct._choice import BackendQuery, Chosen
from canvasyoke.direct._group_states import ServiceState
from canvasyoke.direct._load_schedule import LOAD_INTERVAL
from canvasyoke.direct._peer_loads import PeerLoad
from canvasyoke.direct._place_queue import PlaceQueue, Settled
from canvasyoke.direct._roster import FleetView, Roster
from canvasyoke.direct._waiting import MAX_WAITING
from canvasyoke.direct.tests.waiting_scenario import Kind, KindOutcome, Outcome, Scenario
from canvasyoke.membership._overlay import MESH_LIMIT
from canvasyoke.state import Endpoint, EndpointState

SERVICE = "ink"
_START = 10_000
_FIRST_EVENT = 100
_QUEUE = 20
_DOMAINS = 3
_OPEN = ServiceState(True, 0, None, True)


class _Planner:
    """Lets callers wait that are still there when the group opens."""

    def plan(self, request: PendingRequest, room: ServiceRoom, now: int) -> WaitPlan:
        patience = request.latest_start - now
        return WaitPlan(
            patience if room.opens_in is not None and room.opens_in < patience else 0, 0
        )


@dataclass
class _Caller:
    kind: Kind
    started: float
    duration: float
    is_retry: bool = False
    is_counted: bool = True


@dataclass
class _Engine:
    endpoint: Endpoint
    running: int = 0
    #: Priority, order of arrival and start of each queued request; urgent ones start first.
    waiting: list[tuple[int, int, Callable[[], None]]] = field(default_factory=list)


@dataclass
class _Entry:
    name: str
    domain: str
    roster: Roster
    places: PlaceQueue
    callers: dict[int, tuple[_Caller, float]] = field(default_factory=dict)
    running: dict[int, _Caller] = field(default_factory=dict)
    is_ticking: bool = False
    is_gone: bool = False


class WaitingSimulation:
    """Runs one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.clock = ManualClock(start=_START)
        self.rng = random.Random(scenario.seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.outcome = Outcome({kind: KindOutcome() for kind in scenario.kinds})
        self.busy = 0
        self.busy_since = 0.0
        endpoints = [
            Endpoint(
                f"e-{n}", SERVICE, f"{n}:1", f"d-{n % _DOMAINS}", scenario.slots,
                EndpointState.READY, 5,
            )
            for n in range(scenario.engines)
        ]  # fmt: skip
        self.engines = {endpoint.id: _Engine(endpoint) for endpoint in endpoints}
        self.is_mesh = scenario.entries <= MESH_LIMIT
        self.entries = [self._entry(n, endpoints) for n in range(scenario.entries)]
        self.report_interval = LOAD_INTERVAL * -(
            -(scenario.entries if self.is_mesh else scenario.entries // _DOMAINS) // 8
        )

    def _entry(self, n: int, endpoints: list[Endpoint]) -> _Entry:
        domain = f"d-{n % _DOMAINS}"
        roster = Roster(domain, self.clock, random.Random(f"{self.scenario.seed}/{n}"))
        roster.merge(endpoints, position=5)
        for endpoint in endpoints:
            roster.learn_group(endpoint.run, "g-1")
        peers = frozenset(
            f"f-{i}" for i in range(self.scenario.entries) if i % _DOMAINS == n % _DOMAINS
        )
        name = f"f-{n}"
        roster.set_fleet(FleetView(self.scenario.entries, name, peers - {name}, self.is_mesh))
        queue = PlaceQueue(SERVICE, roster, lambda _: self._state(), _Planner())
        return _Entry(name, domain, roster, queue)

    def run(self) -> Outcome:
        for index, kind in enumerate(self.scenario.kinds):
            self._schedule_arrivals(kind, random.Random(f"{self.scenario.seed}/{index}"))
        for entry in self.entries if len(self.entries) > 1 else []:
            self._schedule(self.rng.uniform(0, self.report_interval), self._reporter(entry))
        if self.scenario.loses_half:
            self._schedule(sum(self.scenario.burst) / 2, self._lose_half)
        self._schedule(self.scenario.burst[1] + 1_000, self._count_in_use)
        while self.events:
            time, _, action = heapq.heappop(self.events)
            if time > self.scenario.length:
                break
            self.now = time
            self.clock.advance(max(0, _START + round(time) - self.clock.now()))
            action()
        return self.outcome

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.order), action))

    def _state(self) -> ServiceState:
        if not (self.scenario.closes and self._is_burst()):
            return _OPEN
        first, last = self.scenario.burst
        return ServiceState(False, _START + first, round(last - self.now), True)

    def _count_in_use(self) -> None:
        self.outcome.in_use_after = self.busy
        self.outcome.queued_after = sum(len(e.waiting) for e in self.engines.values())

    def _is_burst(self) -> bool:
        first, last = self.scenario.burst
        return first <= self.now < last

    def _schedule_arrivals(self, kind: Kind, rng: random.Random) -> None:
        peak = max(kind.rate, kind.burst_rate or 0.0)

        def arrive() -> None:
            self._schedule_arrivals(kind, rng)
            where, chance = rng.random(), rng.random()
            duration = rng.lognormvariate(-0.125, 0.5) * self.scenario.mean_duration
            rate = kind.burst_rate if kind.burst_rate and self._is_burst() else kind.rate
            if chance * peak < rate:
                caller = _Caller(kind, self.now, duration, is_counted=self._is_burst())
                self.outcome.kinds[kind].asked += caller.is_counted
                self._connect(caller, where)

        self._schedule(rng.expovariate(peak / 1_000), arrive)

    def _connect(self, caller: _Caller, where: float) -> None:
        entries = [entry for entry in self.entries if not entry.is_gone]
        concentration = self.scenario.concentration
        # Callers are distributed unevenly over the entries.
        entry = entries[min(len(entries) - 1, int(len(entries) * where**1.2))]
        if not caller.is_retry and self._is_burst() and self.rng.random() < concentration:
            entry = entries[0]
        now, kind = self.clock.now(), caller.kind
        request = PendingRequest(
            priority=kind.priority,
            organisation=kind.organisation,
            arrived_at=now,
            deadline=_START + round(caller.started) + self.scenario.deadline,
            patience_until=now + kind.patience,
            expected_duration=round(self.scenario.mean_duration),
        )
        ticket = entry.places.ask(request, BackendQuery(SERVICE, max_wait=kind.objective // 2), now)
        entry.callers[ticket] = caller, self.now
        self._settle(entry, entry.places.assign(now))
        self._settle(entry, entry.places.review_new(ticket, now))
        if len(entry.places) > MAX_WAITING and len(self.entries) > 1:
            last = entry.places.refuse_last(now)
            self._settle(entry, [last] if last else [])
        if entry.places and not entry.is_ticking:
            entry.is_ticking = True
            self._schedule(50, lambda: self._tick(entry))

    def _tick(self, entry: _Entry) -> None:
        now = self.clock.now()
        if entry.is_gone:
            return
        self._settle(entry, entry.places.assign(now))
        self._settle(entry, entry.places.review(now))
        entry.is_ticking = len(entry.places) > 0
        if entry.is_ticking:
            self._schedule(50, lambda: self._tick(entry))

    def _settle(self, entry: _Entry, settled: Iterable[Settled]) -> None:
        for each in settled:
            caller, asked_at = entry.callers.pop(each.ticket)
            has_waited = self.now > asked_at
            if caller.is_counted:
                self.outcome.counts["waited"] += has_waited
            if isinstance(each.result, Chosen):
                self._send(entry, caller, each.result, each.ticket)
            else:
                if caller.is_counted:
                    self.outcome.counts["wait refused"] += has_waited
                self._refuse(caller)

    def _send(self, entry: _Entry, caller: _Caller, chosen: Chosen, ticket: int) -> None:
        engine = self.engines[chosen.endpoint.id]
        entry.running[ticket] = caller

        def start() -> None:
            self._count_busy(engine, 1)
            load = ReportedLoad(engine.running, len(engine.waiting), self.scenario.slots)
            if not entry.is_gone:
                entry.roster.record_notice(engine.endpoint, BackendNotice(load))
            self._count_start(caller)
            slow = self.scenario.slowdown if self._is_burst() else 1.0
            self._schedule(caller.duration * slow, lambda: self._end(entry, engine, ticket))

        if engine.running < self.scenario.slots:
            start()
        elif len(engine.waiting) < _QUEUE:
            self.outcome.counts["queued at an engine"] += caller.is_counted
            heapq.heappush(engine.waiting, (caller.kind.priority, next(self.order), start))
        else:
            del entry.running[ticket]
            self.outcome.counts["rejected by an engine"] += caller.is_counted
            entry.roster.record_refusal(engine.endpoint.run, 150)
            self._refuse(caller)

    def _count_start(self, caller: _Caller) -> None:
        outcome = self.outcome.kinds[caller.kind]
        if caller.is_counted:
            outcome.served += 1
            outcome.served_first += not caller.is_retry
            elapsed = self.now + _FIRST_EVENT - caller.started
            outcome.on_time += elapsed <= caller.kind.objective

    def _count_busy(self, engine: _Engine, change: int) -> None:
        first, last = self.scenario.burst
        begin, end = max(self.busy_since, first), min(self.now, last)
        self.outcome.used += self.busy * max(0.0, end - begin)
        self.busy_since = self.now
        self.busy += change
        engine.running += change

    def _end(self, entry: _Entry, engine: _Engine, ticket: int) -> None:
        caller = entry.running.pop(ticket, None)
        self._count_busy(engine, -1)
        if engine.waiting:
            heapq.heappop(engine.waiting)[2]()
        if caller is not None and not entry.is_gone:
            entry.roster.record_finished(engine.endpoint.run, round(caller.duration), failed=False)
            if entry.places:
                self._settle(entry, entry.places.assign(self.clock.now()))

    def _refuse(self, caller: _Caller) -> None:
        time_left = caller.started + self.scenario.deadline - self.now
        after = min(self.rng.uniform(*self.scenario.returns_after), time_left / 3)
        if caller.is_retry:
            if caller.is_counted:
                self.outcome.kinds[caller.kind].lost += 1
            return
        caller.is_retry = True
        self._schedule(after, lambda: self._connect(caller, self.rng.random()))

    def _reporter(self, entry: _Entry) -> Callable[[], None]:
        others = [o for o in self.entries if self.is_mesh or o.domain == entry.domain]

        def report() -> None:
            if entry.is_gone:
                return
            waiting = {SERVICE: dict(entry.places.waiting())} if entry.places else {}
            load = PeerLoad(self.clock.now(), entry.roster.own_load(), waiting)

            def receive() -> None:
                for other in others:
                    if other is not entry and not other.is_gone:
                        other.roster.update_peer_load(entry.name, load)
                        if other.places:
                            self._settle(other, other.places.assign(self.clock.now()))

            self._schedule(20, receive)
            self._schedule(self.report_interval, report)

        return report

    def _lose_half(self) -> None:
        """End every second entry; its callers connect to the others."""
        lost = self.entries[::2]
        for entry in lost:
            entry.is_gone = True
            for other in self.entries if self.is_mesh else []:
                other.roster.remove_peer(entry.name)
        for entry in lost:
            callers = [caller for caller, _ in entry.callers.values()]
            entry.callers.clear()
            for caller in callers:
                self._refuse(caller)
