"""Simulates a fleet in which overloaded backends ask to back off or limit the request rate.

Each entry runs the real roster, retry budget and refusals. Callers, backends and links are
simulated; backends record requests in the ledger that ``fakes.engine_ledger`` checks.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.backend import BackendNotice, NotRun, NotRunCause
from canvasyoke.direct._backend_notices import SharedNotice
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._call import Attempt, DirectCall, ErrorAnswer
from canvasyoke.direct._choice import BackendQuery, Chosen, NoneAvailable
from canvasyoke.direct._demand_shares import DemandShares
from canvasyoke.direct._peer_loads import PeerLoad
from canvasyoke.direct._refusals import RefusalPolicy
from canvasyoke.direct._return_times import ReturnTimes
from canvasyoke.direct._roster import FleetView, Roster
from canvasyoke.direct.tests.calls import ROUTE, make_call
from canvasyoke.membership import is_mesh
from canvasyoke.state import Endpoint, EndpointState
from fakes.engine_ledger import EngineNotice, Exchange, backoff_violations, peak_limit_ratio

_SERVICE = "ink"
#: One-way delay in milliseconds between an entry and a backend.
_BACKEND_DELAY = 2
#: Delay in milliseconds of messages between entries.
_PEER_DELAY = 40
#: Milliseconds between two reports of an entry's load.
_REPORT_INTERVAL = 150
_REFUSAL_PAUSE = 150
_MAX_WAIT = 200


@dataclass(frozen=True)
class Overload:
    """A period in which backends reject all requests or limit their rate; times in milliseconds."""

    begin: int
    end: int
    #: Number of overloaded backends.
    backends: int
    #: Backoff that they request; 0 if they state a rate limit instead.
    backoff: int = 0
    #: Rate limit of each in requests a second from all entries; requests are then not rejected.
    limit: float = 0.0


@dataclass(frozen=True)
class Scenario:
    """Parameters of a simulation; times in milliseconds."""

    entries: int = 8
    backends: int = 16
    slots: int = 6
    #: Requests a second.
    rate: float = 45.0
    #: Mean duration of a request.
    duration: float = 1_200.0
    overloads: tuple[Overload, ...] = (Overload(3_000, 11_000, 5, 3_000),)
    length: int = 20_000
    #: Time until a request's deadline; a refused caller retries once.
    time_left: int = 8_000
    #: Whether entries apply backends' notices, and share them with each other.
    reads_notices: bool = True
    shares_notices: bool = True
    #: Whether callers are distributed over entries by Zipf's law.
    is_uneven: bool = False
    seed: int = 1


@dataclass
class SimulationResult:
    """Counts of requests by their outcome, and checks of the backends' ledgers."""

    answered: int = 0
    refused: int = 0
    #: Refused again after retrying at the time given.
    refused_twice: int = 0
    #: Requests that overloaded backends have rejected.
    rejected: int = 0
    #: Requests that arrived at backends, by second.
    arrivals: dict[int, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    #: Highest ratio of requests in a window to what a limit tolerates.
    peak_limit_ratio: float = 0.0
    #: Fraction of the limits that was used while they were in effect and known.
    utilization: float = 0.0


@dataclass
class _Backend:
    endpoint: Endpoint
    running: int = 0
    waiting: list[Callable[[], None]] = field(default_factory=list)
    ledger: list[Exchange] = field(default_factory=list)


class _Entry:
    def __init__(self, name: str, simulation: BackoffSimulation) -> None:
        scenario, rng = simulation.scenario, random.Random(f"{simulation.scenario.seed}/{name}")
        self.name = name
        self.roster = Roster("nbo-a", simulation.clock, rng)
        self.roster.merge([backend.endpoint for backend in simulation.backends.values()], 5)
        near = frozenset(f"entry-{n}" for n in range(scenario.entries)) - {name}
        everyone = dict.fromkeys([f"entry-{n}" for n in range(scenario.entries)], "nbo-a")
        self.roster.set_fleet(
            FleetView(scenario.entries, name, near, is_mesh(scenario.entries), everyone)
        )
        self.budget = FleetRetryBudget(RetryAllowance(0.2, 92, 10 * SECOND), simulation.clock)
        self.budget.entries = scenario.entries
        self.shares = DemandShares(self.budget.request_rate, simulation.clock)
        self.shares.set_fleet(scenario.entries, is_mesh(scenario.entries))
        self.roster.set_share(self.shares.share)
        self.refusals = RefusalPolicy(
            self.roster, ReturnTimes(self.roster, simulation.clock), simulation.clock, rng
        )


class BackoffSimulation:
    """Runs one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.clock = ManualClock(start=10_000)
        self.rng = random.Random(scenario.seed)
        self.result = SimulationResult()
        self._events: list[tuple[int, int, Callable[[], object]]] = []
        self._order = itertools.count()
        self.backends = {
            f"b-{n}": _Backend(
                Endpoint(
                    f"b-{n}", _SERVICE, f"b:{n}", "nbo-a", scenario.slots, EndpointState.READY, 5
                )
            )
            for n in range(scenario.backends)
        }
        #: Relative number of callers by entry.
        self.weights = [1 / (n + 1) if scenario.is_uneven else 1.0 for n in range(scenario.entries)]
        self.entries = [_Entry(f"entry-{n}", self) for n in range(scenario.entries)]

    def run(self) -> SimulationResult:
        self._schedule_arrival()
        for entry in self.entries if is_mesh(self.scenario.entries) else ():
            self._schedule(self.rng.randrange(_REPORT_INTERVAL), self._load_reports(entry))
        end = 10_000 + self.scenario.length
        while self._events and self._events[0][0] <= end:
            time, _, action = heapq.heappop(self._events)
            self.clock.advance(time - self.clock.now())
            action()
        for backend in self.backends.values():
            self.result.violations += backoff_violations(backend.ledger)
            self.result.peak_limit_ratio = max(
                self.result.peak_limit_ratio, peak_limit_ratio(backend.ledger)
            )
        self.result.utilization = self._utilization()
        return self.result

    def _schedule(self, delay: float, action: Callable[[], object]) -> None:
        time = self.clock.now() + round(delay)
        heapq.heappush(self._events, (time, next(self._order), action))

    def _load_reports(self, entry: _Entry) -> Callable[[], None]:
        def report() -> None:
            load = PeerLoad(self.clock.now(), entry.roster.own_load())
            demands = {_SERVICE: entry.budget.request_rate(_SERVICE)}
            self._broadcast(entry, lambda other: other.roster.update_peer_load(entry.name, load))
            self._broadcast(entry, lambda other: other.shares.report_demand(entry.name, demands))
            self._schedule(_REPORT_INTERVAL, report)

        return report

    def _broadcast(self, entry: _Entry, receive: Callable[[_Entry], object]) -> None:
        for other in self.entries:
            if other is not entry:
                self._schedule(_PEER_DELAY, partial(receive, other))

    def _schedule_arrival(self) -> None:
        def arrive() -> None:
            self._schedule_arrival()
            call = make_call(ROUTE, self.scenario.time_left)
            call.arrived_at = self.clock.now()
            call.deadline = call.arrived_at + self.scenario.time_left
            self._submit(call, is_retry=False)

        self._schedule(self.rng.expovariate(self.scenario.rate / SECOND), arrive)

    def _submit(self, call: DirectCall, is_retry: bool) -> None:
        entry = self.rng.choices(self.entries, self.weights)[0]
        entry.budget.record_request(_SERVICE)
        self._choose(entry, call, frozenset(), is_retry)

    def _choose(
        self, entry: _Entry, call: DirectCall, tried: frozenset[str], is_retry: bool
    ) -> None:
        chosen = entry.roster.choose(BackendQuery(_SERVICE, tried, _MAX_WAIT))
        if isinstance(chosen, Chosen):
            self._schedule(
                _BACKEND_DELAY, lambda: self._arrive(entry, call, chosen, tried, is_retry)
            )
        else:
            self._refuse(entry, call, chosen, is_retry)

    def _arrive(
        self,
        entry: _Entry,
        call: DirectCall,
        chosen: Chosen,
        tried: frozenset[str],
        is_retry: bool,
    ) -> None:
        backend = self.backends[chosen.endpoint.id]
        second = (self.clock.now() - 10_000) // SECOND
        self.result.arrivals[second] = self.result.arrivals.get(second, 0) + 1
        overload = self._overload_of(backend)
        if overload is None or overload.limit:
            self._accept(entry, backend, overload)
            return
        self.result.rejected += 1
        self._record(entry, backend, 503, EngineNotice(backoff=f"{overload.backoff / SECOND:g}"))
        notice = BackendNotice(backoff=overload.backoff if self.scenario.reads_notices else 0)

        def refused() -> None:
            change = entry.roster.record_notice(backend.endpoint, notice)
            entry.roster.record_refusal(backend.endpoint.run, _REFUSAL_PAUSE)
            call.attempts.append(Attempt(chosen, "refused", 2 * _BACKEND_DELAY))
            if change.backoff and self.scenario.shares_notices:
                shared = SharedNotice(
                    backend.endpoint.run, backend.endpoint.address, change.backoff
                )
                self._broadcast(entry, lambda other: other.roster.merge_peer_notice(shared))
            self._retry(entry, call, tried | {backend.endpoint.run}, is_retry)

        self._schedule(_BACKEND_DELAY, refused)

    def _accept(self, entry: _Entry, backend: _Backend, overload: Overload | None) -> None:
        limit = overload.limit if overload is not None else None
        self._record(entry, backend, 200, EngineNotice(limit=f"{limit:g}" if limit else ""))
        self._serve(entry, backend)
        if not self.scenario.reads_notices:
            return

        def answered() -> None:
            notice = BackendNotice(rate_limit=limit, is_limit_known=True)
            change = entry.roster.record_notice(backend.endpoint, notice)
            if change.limit is not None and self.scenario.shares_notices:
                run, address = backend.endpoint.run, backend.endpoint.address
                shared = SharedNotice(run, address, limit=change.limit)
                self._broadcast(entry, lambda other: other.roster.merge_peer_notice(shared))

        self._schedule(_BACKEND_DELAY, answered)

    def _utilization(self) -> float:
        """Return the fraction of the limits that was used, from one window after their start."""
        allowed = used = 0.0
        for overload in self.scenario.overloads:
            begin, end = (10_000 + overload.begin) / SECOND + 4, (10_000 + overload.end) / SECOND
            for backend in list(self.backends.values())[: overload.backends]:
                allowed += overload.limit * (end - begin)
                used += sum(1 for e in backend.ledger if begin <= e.at < end)
        return used / allowed if allowed else 0.0

    def _retry(
        self, entry: _Entry, call: DirectCall, tried: frozenset[str], is_retry: bool
    ) -> None:
        may_retry = len(tried) < 2 and entry.roster.has_alternative(_SERVICE, tried)
        if may_retry and entry.budget.spend(_SERVICE):
            self._choose(entry, call, tried, is_retry)
        else:
            cause = NotRun(NotRunCause.FULL, "refused")
            self._refuse(entry, call, cause, is_retry)

    def _refuse(
        self, entry: _Entry, call: DirectCall, cause: NotRun | NoneAvailable, is_retry: bool
    ) -> None:
        if is_retry:
            self.result.refused_twice += 1
            return
        self.result.refused += 1
        last = entry.refusals.final_answer(call, "", cause)
        assert isinstance(last, ErrorAnswer)
        self._schedule(last.retry_after, lambda: self._submit(call, is_retry=True))

    def _serve(self, entry: _Entry, backend: _Backend) -> None:
        duration = self.rng.lognormvariate(-0.18, 0.6) * self.scenario.duration

        def start() -> None:
            backend.running += 1
            self._schedule(duration, end)

        def end() -> None:
            backend.running -= 1
            entry.roster.record_finished(backend.endpoint.run, round(duration), failed=False)
            self.result.answered += 1
            if backend.waiting:
                backend.waiting.pop(0)()

        if backend.running < self.scenario.slots:
            start()
        else:
            backend.waiting.append(start)

    def _overload_of(self, backend: _Backend) -> Overload | None:
        now = self.clock.now() - 10_000
        number = int(backend.endpoint.id.removeprefix("b-"))
        for overload in self.scenario.overloads:
            if overload.begin <= now < overload.end and number < overload.backends:
                return overload
        return None

    def _record(self, entry: _Entry, backend: _Backend, status: int, notice: EngineNotice) -> None:
        at = self.clock.now() / SECOND
        backend.ledger.append(Exchange(entry.name, at, at, status, notice))
