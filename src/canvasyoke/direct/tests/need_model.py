"""A fleet some of whose backends turn requests away and ask to back off, in simulated time.

The decisions are the product's own: each entry has its roster, its part of the retry budget and
its refusals. Callers, backends and links are made up; backends keep the ledger that the
operator's rules are judged by.
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
from canvasyoke.direct._backend_words import ToldWord
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._call import DirectCall, GaveUp, Tried
from canvasyoke.direct._choice import Chosen, NoneAble, Wanted
from canvasyoke.direct._demand_shares import DemandShares
from canvasyoke.direct._peer_loads import PeerLoad
from canvasyoke.direct._refusals import Refusals
from canvasyoke.direct._roster import FleetView, Roster
from canvasyoke.direct.tests.calls import ROUTE, make_call
from canvasyoke.membership import is_mesh
from canvasyoke.state import Endpoint, EndpointState
from fakes.engine_ledger import EngineWord, Exchanged, broken_backoffs, worst_limit

_SERVICE = "ink"
#: Milliseconds that a request takes to a backend and a refusal takes back.
_WAY = 2
#: Milliseconds after which other entries know what one of them tells.
_LINK = 40
#: Milliseconds between two tellings of loads.
_TELL_EVERY = 150
_PAUSE = 150
_PATIENCE = 200


@dataclass(frozen=True)
class Need:
    """Backends that turn all requests away for a while; times in milliseconds."""

    begin: int
    end: int
    #: How many of them.
    backends: int
    #: Time that they ask for; 0 where they name a limit instead.
    backoff: int = 0
    #: Requests a second that each takes from all entries, none of which it turns away.
    limit: float = 0.0


@dataclass(frozen=True)
class NeedDay:
    """What is played; times in milliseconds."""

    entries: int = 8
    backends: int = 16
    slots: int = 6
    #: Requests a second.
    rate: float = 45.0
    #: Mean time of a request.
    duration: float = 1_200.0
    needs: tuple[Need, ...] = (Need(3_000, 11_000, 5, 3_000),)
    length: int = 20_000
    #: Time that a caller gives a request, with one return.
    time_left: int = 8_000
    #: Whether entries hear what backends ask for, and tell each other.
    hears: bool = True
    tells: bool = True
    #: Whether the callers of entries are as many as by Zipf's law.
    is_uneven: bool = False
    seed: int = 1


@dataclass
class NeedOutcome:
    """What callers and backends got."""

    answered: int = 0
    refused: int = 0
    #: Refused again after having come back as told.
    refused_twice: int = 0
    #: Requests that backends in need have turned away.
    turned_away: int = 0
    #: Requests at backends by second.
    arrivals: dict[int, int] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    #: The most that came in a window as a part of what a limit grants.
    worst_limit: float = 0.0
    #: Part of the limits that was used while they held and had been heard of.
    used: float = 0.0


@dataclass
class _Backend:
    endpoint: Endpoint
    running: int = 0
    waiting: list[Callable[[], None]] = field(default_factory=list)
    ledger: list[Exchanged] = field(default_factory=list)


class _Entry:
    def __init__(self, name: str, world: NeedWorld) -> None:
        day, rng = world.day, random.Random(f"{world.day.seed}/{name}")
        self.name = name
        self.roster = Roster("nbo-a", world.clock, rng)
        self.roster.merge([backend.endpoint for backend in world.backends.values()], 5)
        near = frozenset(f"entry-{n}" for n in range(day.entries)) - {name}
        self.roster.set_fleet(FleetView(day.entries, name, near, is_mesh(day.entries)))
        self.budget = FleetRetryBudget(RetryAllowance(0.2, 92, 10 * SECOND), world.clock)
        self.budget.entries = day.entries
        self.shares = DemandShares(self.budget.demand, world.clock)
        self.shares.set_fleet(day.entries, is_mesh(day.entries))
        self.roster.set_share(self.shares.share)
        self.refusals = Refusals(self.roster, world.clock, rng)


class NeedWorld:
    """Plays one day."""

    def __init__(self, day: NeedDay) -> None:
        self.day = day
        self.clock = ManualClock(start=10_000)
        self.rng = random.Random(day.seed)
        self.outcome = NeedOutcome()
        self._events: list[tuple[int, int, Callable[[], object]]] = []
        self._order = itertools.count()
        self.backends = {
            f"b-{n}": _Backend(
                Endpoint(f"b-{n}", _SERVICE, f"b:{n}", "nbo-a", day.slots, EndpointState.READY, 5)
            )
            for n in range(day.backends)
        }
        #: Callers are dealt to entries unevenly, as by a hash of few of them.
        self.weights = [1 / (n + 1) if day.is_uneven else 1.0 for n in range(day.entries)]
        self.entries = [_Entry(f"entry-{n}", self) for n in range(day.entries)]

    def run(self) -> NeedOutcome:
        self._plan_arrival()
        for entry in self.entries if is_mesh(self.day.entries) else ():
            self._plan(self.rng.randrange(_TELL_EVERY), self._telling(entry))
        end = 10_000 + self.day.length
        while self._events and self._events[0][0] <= end:
            moment, _, action = heapq.heappop(self._events)
            self.clock.advance(moment - self.clock.now())
            action()
        for backend in self.backends.values():
            self.outcome.broken += broken_backoffs(backend.ledger)
            self.outcome.worst_limit = max(self.outcome.worst_limit, worst_limit(backend.ledger))
        self.outcome.used = self._used()
        return self.outcome

    def _plan(self, delay: float, action: Callable[[], object]) -> None:
        moment = self.clock.now() + round(delay)
        heapq.heappush(self._events, (moment, next(self._order), action))

    def _telling(self, entry: _Entry) -> Callable[[], None]:
        def tell() -> None:
            load = PeerLoad(self.clock.now(), entry.roster.own_load())
            demands = {_SERVICE: entry.budget.demand(_SERVICE)}
            self._tell(entry, lambda other: other.roster.peer_load(entry.name, load))
            self._tell(entry, lambda other: other.shares.told(entry.name, demands))
            self._plan(_TELL_EVERY, tell)

        return tell

    def _tell(self, entry: _Entry, take: Callable[[_Entry], object]) -> None:
        for other in self.entries:
            if other is not entry:
                self._plan(_LINK, partial(take, other))

    def _plan_arrival(self) -> None:
        def arrive() -> None:
            self._plan_arrival()
            call = make_call(ROUTE, self.day.time_left)
            call.began = self.clock.now()
            call.deadline = call.began + self.day.time_left
            self._ask(call, has_returned=False)

        self._plan(self.rng.expovariate(self.day.rate / SECOND), arrive)

    def _ask(self, call: DirectCall, has_returned: bool) -> None:
        entry = self.rng.choices(self.entries, self.weights)[0]
        entry.budget.saw_request(_SERVICE)
        self._choose(entry, call, frozenset(), has_returned)

    def _choose(
        self, entry: _Entry, call: DirectCall, tried: frozenset[str], has_returned: bool
    ) -> None:
        chosen = entry.roster.choose(Wanted(_SERVICE, tried, _PATIENCE))
        if isinstance(chosen, Chosen):
            self._plan(_WAY, lambda: self._reach(entry, call, chosen, tried, has_returned))
        else:
            self._refuse(entry, call, chosen, has_returned)

    def _reach(
        self,
        entry: _Entry,
        call: DirectCall,
        chosen: Chosen,
        tried: frozenset[str],
        has_returned: bool,
    ) -> None:
        backend = self.backends[chosen.endpoint.id]
        second = (self.clock.now() - 10_000) // SECOND
        self.outcome.arrivals[second] = self.outcome.arrivals.get(second, 0) + 1
        need = self._need_of(backend)
        if need is None or need.limit:
            self._answer(entry, backend, need)
            return
        self.outcome.turned_away += 1
        self._note(entry, backend, 503, EngineWord(backoff=f"{need.backoff / SECOND:g}"))
        notice = BackendNotice(backoff=need.backoff if self.day.hears else 0)

        def refused() -> None:
            change = entry.roster.took_notice(backend.endpoint, notice)
            entry.roster.refused(backend.endpoint.run, _PAUSE)
            call.tried.append(Tried(chosen, "refused", 2 * _WAY))
            if change.backoff and self.day.tells:
                told = ToldWord(backend.endpoint.run, backend.endpoint.address, change.backoff)
                self._tell(entry, lambda other: other.roster.heard_word(told))
            self._retry(entry, call, tried | {backend.endpoint.run}, has_returned)

        self._plan(_WAY, refused)

    def _answer(self, entry: _Entry, backend: _Backend, need: Need | None) -> None:
        limit = need.limit if need is not None else None
        self._note(entry, backend, 200, EngineWord(limit=f"{limit:g}" if limit else ""))
        self._serve(entry, backend)
        if not self.day.hears:
            return

        def heard() -> None:
            notice = BackendNotice(rate_limit=limit, tells_limit=True)
            change = entry.roster.took_notice(backend.endpoint, notice)
            if change.limit is not None and self.day.tells:
                run, address = backend.endpoint.run, backend.endpoint.address
                told = ToldWord(run, address, limit=change.limit)
                self._tell(entry, lambda other: other.roster.heard_word(told))

        self._plan(_WAY, heard)

    def _used(self) -> float:
        """Return the part of the limits that was used, from a window after they were named on."""
        allowed = used = 0.0
        for need in self.day.needs:
            begin, end = (10_000 + need.begin) / SECOND + 4, (10_000 + need.end) / SECOND
            for backend in list(self.backends.values())[: need.backends]:
                allowed += need.limit * (end - begin)
                used += sum(1 for e in backend.ledger if begin <= e.at < end)
        return used / allowed if allowed else 0.0

    def _retry(
        self, entry: _Entry, call: DirectCall, tried: frozenset[str], has_returned: bool
    ) -> None:
        may_retry = len(tried) < 2 and entry.roster.has_other(_SERVICE, tried)
        if may_retry and entry.budget.spend(_SERVICE):
            self._choose(entry, call, tried, has_returned)
        else:
            cause = NotRun(NotRunCause.FULL, "refused")
            self._refuse(entry, call, cause, has_returned)

    def _refuse(
        self, entry: _Entry, call: DirectCall, cause: NotRun | NoneAble, has_returned: bool
    ) -> None:
        if has_returned:
            self.outcome.refused_twice += 1
            return
        self.outcome.refused += 1
        last = entry.refusals.give_up(call, "", cause)
        assert isinstance(last, GaveUp)
        self._plan(last.retry_after, lambda: self._ask(call, has_returned=True))

    def _serve(self, entry: _Entry, backend: _Backend) -> None:
        duration = self.rng.lognormvariate(-0.18, 0.6) * self.day.duration

        def start() -> None:
            backend.running += 1
            self._plan(duration, end)

        def end() -> None:
            backend.running -= 1
            entry.roster.finished(backend.endpoint.run, round(duration), failed=False)
            self.outcome.answered += 1
            if backend.waiting:
                backend.waiting.pop(0)()

        if backend.running < self.day.slots:
            start()
        else:
            backend.waiting.append(start)

    def _need_of(self, backend: _Backend) -> Need | None:
        now = self.clock.now() - 10_000
        number = int(backend.endpoint.id.removeprefix("b-"))
        for need in self.day.needs:
            if need.begin <= now < need.end and number < need.backends:
                return need
        return None

    def _note(self, entry: _Entry, backend: _Backend, status: int, word: EngineWord) -> None:
        at = self.clock.now() / SECOND
        backend.ledger.append(Exchanged(entry.name, at, at, status, word))
