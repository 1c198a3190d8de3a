"""Simulates a fleet whose engines are cold, without a network.

Each entry runs the real roster. Engines record what arrives, and when it was sent.
"""

from __future__ import annotations

import heapq
import itertools
import random
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.backend import BackendNotice
from canvasyoke.direct._choice import BackendQuery, Chosen
from canvasyoke.direct._cold_backends import ColdRule
from canvasyoke.direct._roster import FleetView, Roster
from canvasyoke.membership import is_mesh
from canvasyoke.state import Endpoint, EndpointState

SERVICE = "ink"
DOMAINS = ("nbo-a", "nbo-b", "nbo-c")
#: The platform's figures: 26 a second, of which 1.5 times and 5 more are tolerated.
RULE = ColdRule(26.0, 3_000, 44.0)
_DELAY = 3
#: Longest delay in milliseconds after which an entry learns of a change of the list.
_LIST_DELAY = 800


@dataclass(frozen=True)
class ColdScenario:
    """Parameters of a simulation; times in milliseconds."""

    entries: int
    engines: int = 63
    slots: int = 5
    #: Requests a second.
    rate: float = 110.0
    duration: float = 1_000.0
    length: int = 8_000
    #: Milliseconds for which the first list states all engines as cold.
    cold_at_start: int = 0
    #: Time at which one engine crashes, and at which it has restarted; 0 for none.
    crash_at: int = 0
    restart_at: int = 0
    #: Fraction of the entries that restart when the engine does.
    restarting: float = 0.0
    #: Entries that are cut off from the lists when the engine crashes, as a fraction.
    cut_off: float = 0.0
    #: Entries that join when the engine restarts, as a fraction; the others learn of them late.
    joining: float = 0.0
    is_limited: bool = True
    seed: int = 1


@dataclass
class ColdEngine:
    """An engine and the requests that it got."""

    endpoint: Endpoint
    cold_until: int = 0
    down_until: int = 0
    running: int = 0
    #: Send times of the requests that arrived while it was cold.
    cold_sends: list[int] = field(default_factory=list)

    def peak(self) -> int:
        """Return the most requests that were sent within a second while it was cold."""
        times = sorted(self.cold_sends)
        counts = (bisect_left(times, at + SECOND) - i for i, at in enumerate(times))
        return max(counts, default=0)


class ColdSimulation:
    """Runs one scenario."""

    def __init__(self, scenario: ColdScenario) -> None:
        self.scenario = scenario
        self.clock = ManualClock(start=100_000)
        self.rng = random.Random(scenario.seed)
        self.arrived = self.placed = 0
        self._events: list[tuple[int, int, Callable[[], object]]] = []
        self._order = itertools.count()
        self._position = 5
        self.engines = {f"ink-{n}": self._engine(n) for n in range(scenario.engines)}
        self.domains = {f"entry-{n}": DOMAINS[n % 3] for n in range(scenario.entries)}
        self.entries = {name: self._entry(name) for name in self.domains}
        self._cut = set(list(self.domains)[: round(scenario.cut_off * scenario.entries)])

    def run(self) -> int:
        """Run the scenario; return the most requests an engine got within a cold second."""
        self._schedule(0, self._arrive)
        if self.scenario.crash_at:
            self._schedule(self.scenario.crash_at, self._crash)
            self._schedule(self.scenario.restart_at, self._restart)
        end = self.clock.now() + self.scenario.length
        while self._events and self._events[0][0] <= end:
            time, _, action = heapq.heappop(self._events)
            self.clock.advance(time - self.clock.now())
            action()
        return max(engine.peak() for engine in self.engines.values())

    def _engine(self, number: int) -> ColdEngine:
        name, cold = f"ink-{number}", self.scenario.cold_at_start
        endpoint = Endpoint(
            name, SERVICE, f"b:{number}", DOMAINS[number % 3], self.scenario.slots,
            EndpointState.READY, 5, 1, cold,
        )  # fmt: skip
        return ColdEngine(endpoint, self.clock.now() + cold)

    def _entry(self, name: str) -> Roster:
        rng = random.Random(f"{self.scenario.seed}/{name}/{self.clock.now()}")
        roster = Roster(self.domains[name], self.clock, rng)
        if self.scenario.is_limited:
            roster.set_cold_rules({SERVICE: RULE})
        now = self.clock.now()
        listed = [
            replace(e.endpoint, cold_remaining=max(0, e.cold_until - now))
            for e in self.engines.values()
        ]
        roster.merge(listed, self._position)
        self._set_fleet(name, roster)
        return roster

    def _set_fleet(self, name: str, roster: Roster) -> None:
        near = frozenset(n for n, d in self.domains.items() if d == self.domains[name]) - {name}
        count = len(self.domains)
        roster.set_fleet(FleetView(count, name, near, is_mesh(count), dict(self.domains)))

    def _schedule(self, delay: float, action: Callable[[], object]) -> None:
        heapq.heappush(self._events, (self.clock.now() + round(delay), next(self._order), action))

    def _arrive(self) -> None:
        self._schedule(self.rng.expovariate(self.scenario.rate / SECOND), self._arrive)
        self.arrived += 1
        entry = self.entries[self.rng.choice(list(self.entries))]
        tried: frozenset[str] = frozenset()
        while len(tried) < 3:
            chosen = entry.choose(BackendQuery(SERVICE, tried))
            if not isinstance(chosen, Chosen):
                return
            if self._send(entry, chosen.endpoint):
                self.placed += 1
                return
            tried |= {chosen.endpoint.run}

    def _send(self, entry: Roster, endpoint: Endpoint) -> bool:
        engine, now = self.engines[endpoint.id], self.clock.now()
        if now < engine.down_until:
            entry.record_connect_failure(endpoint)
            entry.record_not_sent(endpoint.run)
            entry.record_cancelled(endpoint.run)
            return False
        if not entry.may_send(endpoint):
            return False
        if endpoint.run != engine.endpoint.run:
            entry.record_address_conflict(endpoint.run)  # answered with 421
            return False
        if now < engine.cold_until:
            engine.cold_sends.append(now)
        engine.running += 1

        def end() -> None:
            engine.running -= 1
            entry.record_notice(endpoint, BackendNotice(is_limit_known=True))
            entry.record_finished(endpoint.run, round(self.scenario.duration), failed=False)

        self._schedule(self.rng.lognormvariate(-0.18, 0.6) * self.scenario.duration, end)
        return True

    def _crash(self) -> None:
        engine = self.engines["ink-0"]
        engine.down_until = self.clock.now() + SECOND * 600

    def _restart(self) -> None:
        """Restart the engine as another run, together with some entries; others join."""
        scenario, engine = self.scenario, self.engines["ink-0"]
        self._position += 1
        engine.endpoint = replace(
            engine.endpoint, started=2, position=self._position, cold_remaining=0
        )
        engine.down_until, engine.cold_until = 0, self.clock.now() + RULE.time
        restarting = round(scenario.restarting * scenario.entries)
        for name in self.rng.sample(list(self.domains), restarting):
            self._schedule(self.rng.randrange(500), partial(self._start, name))
        for name, roster in self.entries.items():
            if name not in self._cut:
                change = replace(engine.endpoint)
                self._schedule(self.rng.randrange(_LIST_DELAY), partial(roster.put, change))
        for number in range(round(scenario.joining * scenario.entries)):
            name = f"joined-{number}"
            self.domains[name] = DOMAINS[number % 3]
            self._schedule(self.rng.randrange(500), partial(self._start, name))

    def _start(self, name: str) -> None:
        self.entries[name] = self._entry(name)
