"""Model of callers of a group that stalls and opens again; no network, seeded.

Callers wait, return once and are lost after a second refusal, as the platform's callers are.
Places go to the earliest deadline first.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from canvasyoke.admission import (
    OutageForecast,
    PendingRequest,
    ReturnPlanner,
    ServiceRoom,
    WaitPlan,
)

_PLACES: Final = 315
_DURATION: Final = 1_500
_PATIENCE: Final = 2_000
_DEADLINE: Final = 8_000
_ENTRIES: Final = 37
#: Milliseconds between two arrivals at 110 requests a second.
_ARRIVAL_INTERVAL: Final = 9
#: Milliseconds from the opening for which new callers are counted.
_AFTERMATH: Final = 3_000

#: Returns the plan for a caller, and the return time when its wait ends.
Plan: TypeAlias = Callable[[PendingRequest, ServiceRoom, int], WaitPlan]
Return: TypeAlias = Callable[[PendingRequest, ServiceRoom, int], int]


@dataclass
class Policy:
    """What an entry tells its callers."""

    plan: Plan
    assign: Return


def refuse_at_once(rng: random.Random) -> Policy:
    """Return the policy of the code before: no wait, back in 2.4 to 2.6 s."""

    def assign(request: PendingRequest, _room: ServiceRoom, now: int) -> int:
        return min(rng.randint(2_400, 2_600), round((request.deadline - now) * 0.32))

    return Policy(lambda _request, _room, _now: WaitPlan(0, 1), assign)


def wait_fully(_rng: random.Random) -> Policy:
    """Return the policy of waiting for the whole patience, and back soon."""
    planner = ReturnPlanner()

    def plan(request: PendingRequest, room: ServiceRoom, now: int) -> WaitPlan:
        return WaitPlan(planner.plan(request, room, now).wait, 1)

    return Policy(plan, lambda _request, _room, _now: 1)


def refuse_for_the_forecast(_rng: random.Random) -> Policy:
    """Return the policy of waiting only for an opening within the wait, else a planned return."""
    planner = ReturnPlanner()

    def plan(request: PendingRequest, room: ServiceRoom, now: int) -> WaitPlan:
        found = planner.plan(request, room, now)
        is_soon = room.is_open or (room.opens_in is not None and room.opens_in <= found.wait)
        return found if is_soon else WaitPlan(0, 1)

    return Policy(plan, planner.assign_return)


def planned(_rng: random.Random) -> Policy:
    """Return the policy of ``ReturnPlanner``."""
    planner = ReturnPlanner()
    return Policy(planner.plan, planner.assign_return)


@dataclass
class Outcome:
    """Counts of callers that arrived during an outage or soon after it."""

    callers: int = 0
    served: int = 0
    #: Callers that waited, returned and were refused again.
    in_vain: int = 0
    #: Callers refused without a return time, or after a second wait.
    lost: int = 0
    #: Callers that came back while the group was open, and those of them refused again.
    back_when_open: int = 0
    refused_when_open: int = 0

    @property
    def share(self) -> float:
        """Share of the callers that were served."""
        return self.served / max(1, self.callers)


@dataclass
class _Caller:
    request: PendingRequest
    entry: int
    is_back: bool = False
    was_open_when_back: bool = False
    has_waited: bool = False
    give_up_at: int = 0


@dataclass
class OutageModel:
    """One group, its callers, and one policy at each entry."""

    make_policy: Callable[[random.Random], Policy]
    outage: int
    seed: int
    #: Durations of outages known to the entries beforehand.
    known: tuple[int, ...] = ()
    arrival_interval: float = _ARRIVAL_INTERVAL
    result: Outcome = field(default_factory=Outcome)

    def run(self) -> Outcome:
        """Play the outage and its aftermath in steps of 10 ms."""
        rng = random.Random(self.seed)
        self._policies = [self.make_policy(rng) for _ in range(_ENTRIES)]
        self._forecast = OutageForecast()
        for duration in self.known:
            self._forecast.record(duration)
        self._waiting: list[_Caller] = []
        self._ends: list[int] = []
        back: list[tuple[int, int, _Caller]] = []
        number, next_at = 0, 0.0
        for now in range(0, self.outage + _AFTERMATH + _DEADLINE, 10):
            while next_at <= min(now, self.outage + _AFTERMATH):
                next_at += rng.expovariate(1 / self.arrival_interval)
                self.result.callers += 1
                self._arrive(_Caller(_request(now, now + _DEADLINE), rng.randrange(_ENTRIES)), now)
            while back and back[0][0] <= now:
                self._arrive(heapq.heappop(back)[2], now)
            self._place(now)
            for caller in [c for c in self._waiting if c.give_up_at <= now]:
                self._waiting.remove(caller)
                delay = self._refuse(caller, now)
                if delay:
                    number += 1
                    caller.is_back = True
                    caller.request = _request(now + delay, caller.request.deadline)
                    caller.entry = rng.randrange(_ENTRIES)
                    heapq.heappush(back, (now + delay, number, caller))
        return self.result

    def _room(self, now: int) -> ServiceRoom:
        is_open = now >= self.outage
        rate = _PLACES * 1_000 / _DURATION / _ENTRIES
        opens_in = None if is_open else self._forecast.remaining(now)
        return ServiceRoom(_PLACES, len(self._ends), is_open, opens_in, rate, _DURATION)

    def _arrive(self, caller: _Caller, now: int) -> None:
        room = self._room(now)
        plan = self._policies[caller.entry].plan(caller.request, room, now)
        caller.give_up_at = now + plan.wait
        caller.has_waited = caller.has_waited or plan.wait > 0
        if caller.is_back and room.is_open:
            caller.was_open_when_back = True
            self.result.back_when_open += 1
        self._waiting.append(caller)

    def _place(self, now: int) -> None:
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        self._waiting.sort(key=lambda each: each.request.deadline)
        while now >= self.outage and self._waiting and len(self._ends) < _PLACES:
            caller = self._waiting.pop(0)
            heapq.heappush(self._ends, now + _DURATION)
            self.result.served += now + _DURATION <= caller.request.deadline

    def _refuse(self, caller: _Caller, now: int) -> int:
        """Return the time after which the caller returns; 0 if it is lost."""
        delay = 0
        if not caller.is_back:
            policy = self._policies[caller.entry]
            delay = policy.assign(caller.request, self._room(now), now)
        if not delay:
            self.result.lost += 1
            self.result.in_vain += caller.is_back and caller.has_waited
            self.result.refused_when_open += caller.was_open_when_back
        return delay


def _request(now: int, deadline: int) -> PendingRequest:
    return PendingRequest(1, "", now, deadline, now + _PATIENCE, _DURATION)
