"""Which set of evacuated domains is in force, how it spreads, and what it keeps requests from."""

from __future__ import annotations

import dataclasses
import random
from typing import cast

import pytest

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.backend import BackendNotice, NotRun, NotRunCause
from canvasyoke.direct import _peers
from canvasyoke.direct._backend_records import FleetView
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._call import ErrorAnswer
from canvasyoke.direct._choice import BackendQuery, Chosen, NoneAvailable
from canvasyoke.direct._evacuation_follower import EvacuationFollower
from canvasyoke.direct._evacuations import Evacuations
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.calls import ROUTE, CannedPort, make_call, make_forwarder
from canvasyoke.direct.tests.fleet_model import SimFleet, SimLinks
from canvasyoke.protocol import Reason
from canvasyoke.state import (
    Endpoint,
    EndpointState,
    EvacuationChanges,
    EvacuationRead,
    FleetStore,
    HistoryGone,
    NoChange,
    StorePosition,
    Unavailable,
    store_position,
)

A, B, C = (
    Endpoint(f"b-{d}", "ink", f"10.0.0.1:{n}", f"nbo-{d}", 6, EndpointState.READY, 1)
    for n, d in enumerate("abc", 1)
)
EVACUATED_B = frozenset({"nbo-b"})
ALL = frozenset({"nbo-a", "nbo-b", "nbo-c"})
TIME_LIMIT = 5_000


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(start=10_000)


@pytest.fixture
def roster(clock: ManualClock) -> Roster:
    roster = Roster("nbo-a", clock, random.Random(1))
    roster.merge([A, B, C], position=5)
    return roster


def chosen(roster: Roster, tried: frozenset[str] = frozenset()) -> set[str]:
    """Return the ids of the backends that 30 requests choose."""
    found = [roster.choose(BackendQuery("ink", tried)) for _ in range(30)]
    choices = [choice.endpoint for choice in found if isinstance(choice, Chosen)]
    for endpoint in choices:
        roster.record_cancelled(endpoint.run)
    return {endpoint.id for endpoint in choices}


def test_nothing_overrides_an_evacuation(roster: Roster) -> None:
    """Suspected backends are used if no other is left; evacuated ones are not."""
    roster.set_evacuated(EVACUATED_B)
    assert chosen(roster) == {"b-a", "b-c"}
    for endpoint in (A, C):
        roster.record_connection_lost(endpoint.run)
    assert chosen(roster) == {"b-a", "b-c"}
    assert chosen(roster, frozenset({"b-a", "b-c"})) == set()
    assert not roster.has_alternative("ink", frozenset({"b-a", "b-c"}))
    assert [roster.may_send(e) for e in (A, B, C)] == [True, False, True]
    assert {e.id for e in roster.with_unknown_group(frozenset({"ink"}))} == {"b-a", "b-c"}
    roster.set_evacuated(frozenset())
    assert chosen(roster) == {"b-b"}  # the others are still suspected
    assert roster.may_send(B)


def test_a_service_whose_domains_are_all_evacuated_is_refused(
    roster: Roster, clock: ManualClock
) -> None:
    """No backend is tried, and callers return as late as they may."""
    roster.set_evacuated(ALL)
    assert roster.choose(BackendQuery("ink")) == NoneAvailable(Reason.EVACUATED)
    sent: list[int] = []

    def send() -> NotRun:
        sent.append(1)
        return NotRun(NotRunCause.FULL, "refused")

    budget = FleetRetryBudget(RetryAllowance(0.2, 10, 10_000), clock)
    forwarder = make_forwarder(CannedPort(send), roster, budget, clock)
    last = list(forwarder.run(make_call(dataclasses.replace(ROUTE, max_attempts=2))))[-1]
    assert isinstance(last, ErrorAnswer)
    assert (last.status, sent) == (503, [])
    assert 2_400 <= last.retry_after <= 2_600


def test_the_return_time_is_that_of_the_backends_that_are_left(
    roster: Roster, clock: ManualClock
) -> None:
    """An evacuation has no known end, so a backoff that ends before it decides."""
    roster.set_evacuated(frozenset({"nbo-b", "nbo-c"}))
    roster.record_notice(A, BackendNotice(backoff=3_000))
    assert roster.choose(BackendQuery("ink")) == NoneAvailable(Reason.BACKOFF, 3_000)
    assert roster.time_until_available("ink") == 3_000


def test_home_shares_have_no_evacuated_backends(clock: ManualClock) -> None:
    roster = Roster("nbo-a", clock, random.Random(1))
    near = [dataclasses.replace(A, id=f"a-{n}", address=f"10.0.1.1:{n}") for n in range(1, 5)]
    roster.set_fleet(FleetView(50, "front", frozenset(), is_full_mesh=False))
    roster.merge(near, position=5)
    assert len(roster._home_share) == 4
    roster.set_evacuated(frozenset({"nbo-a"}))
    assert roster._home_share == frozenset()
    roster.set_evacuated(frozenset())
    assert len(roster._home_share) == 4


#: Sets in the order of their arrival with their positions, and the domains in force at the end.
ORDERS = [
    ("newer", [("b", 5), ("", 6)], ""),
    ("older", [("b", 5), ("", 4)], "b"),
    ("same position", [("b", 5), ("", 5)], "b"),
    ("higher era, lower revision", [("b", 900), ("c", store_position(1, 3))], "c"),
    ("lower era, higher revision", [("c", store_position(1, 3)), ("b", 900)], "c"),
    ("unchanged, but newer", [("b", 5), ("b", 9), ("", 7)], "b"),
    ("kind unknown to the store", [("", 0), ("b", 2)], "b"),
]


@pytest.mark.parametrize(
    ("arrivals", "expected"), [c[1:] for c in ORDERS], ids=[c[0] for c in ORDERS]
)
def test_the_newest_position_wins(
    roster: Roster, clock: ManualClock, arrivals: list[tuple[str, int]], expected: str
) -> None:
    evacuations = Evacuations(roster, clock)
    for letters, position in arrivals:
        evacuations.adopt(frozenset(f"nbo-{x}" for x in letters), position, "store")
    assert roster.evacuated == {f"nbo-{x}" for x in expected}


class ScriptedStore:
    """Store that returns the given results in turn, and records the calls."""

    def __init__(self, results: list[object]) -> None:
        self.results = results
        self.calls: list[str] = []
        self.follower: EvacuationFollower | None = None

    def evacuations(self, timeout: int) -> object:
        self.calls.append("list")
        return self._next()

    def watch_evacuations(self, after: StorePosition, wait: int) -> object:
        assert wait == 3_000
        self.calls.append(f"watch {after}")
        return self._next()

    def _next(self) -> object:
        result = self.results.pop(0)
        if not self.results and self.follower is not None:
            self.follower._stop.set()  # this result is the last one that is handled
        return result


LIST = EvacuationRead(EVACUATED_B, 7)
NONE = EvacuationRead(frozenset(), 7)
QUIET = NoChange(9)
#: Results of the store, the calls that lead to them, and the evacuated domains at the end.
FOLLOWED = [
    (
        "changes",
        [LIST, EvacuationChanges((("nbo-b", False), ("nbo-c", True)), 8), QUIET],
        ["list", "watch 7", "watch 8"],
        {"nbo-c"},
    ),
    (
        "lost events are found by the list after two quiet watches",
        [NONE, QUIET, QUIET, EvacuationRead(EVACUATED_B, 10), QUIET],
        ["list", "watch 7", "watch 7", "list", "watch 10"],
        {"nbo-b"},
    ),
    (
        "lost history",
        [LIST, HistoryGone(), EvacuationRead(frozenset(), 12)],
        ["list", "watch 7", "list"],
        set(),
    ),
    (
        "failures leave the set in force",
        [LIST, Unavailable("down"), Unavailable("down"), Unavailable("down")],
        ["list", "watch 7", "list", "list"],
        {"nbo-b"},
    ),
    (
        "a store without the kind has nothing to watch",
        [EvacuationRead(frozenset(), 0), EvacuationRead(EVACUATED_B, 3)],
        ["list", "list"],
        {"nbo-b"},
    ),
]


@pytest.mark.parametrize(
    ("results", "calls", "expected"), [c[1:] for c in FOLLOWED], ids=[c[0] for c in FOLLOWED]
)
def test_calls_of_the_follower(
    roster: Roster,
    clock: ManualClock,
    monkeypatch: pytest.MonkeyPatch,
    results: list[object],
    calls: list[str],
    expected: set[str],
) -> None:
    store = ScriptedStore(list(results))
    follower = make_follower(store, roster, clock)
    monkeypatch.setattr(follower, "_pause", lambda _: None)
    store.follower = follower
    follower._run()
    assert store.calls == calls
    assert roster.evacuated == expected


def make_follower(
    store: ScriptedStore,
    roster: Roster,
    clock: ManualClock,
    time_limit: int = TIME_LIMIT,
    is_watching: bool = True,
) -> EvacuationFollower:
    return EvacuationFollower(
        cast(FleetStore, store),
        Evacuations(roster, clock),
        time_limit,
        lambda: is_watching,
        lambda: None,
        clock,
        random.Random(1),
    )


def test_callers_wait_for_the_store_or_the_first_link(roster: Roster, clock: ManualClock) -> None:
    """An entry that has just started would otherwise send requests to an evacuated domain."""
    assert make_follower(ScriptedStore([]), roster, clock, 0).is_settled(True, False)
    follower = make_follower(ScriptedStore([]), roster, clock)
    assert not follower.is_settled(True, has_heard_peer=True)  # the store may still answer
    follower._stop.set()
    follower._handle(Unavailable("down"))
    assert not follower.is_settled(True, has_heard_peer=False)
    assert follower.is_settled(True, has_heard_peer=True)


def test_the_time_limit_begins_when_callers_wait_for_evacuations_alone(
    roster: Roster, clock: ManualClock
) -> None:
    """After a long outage configuration and backends may be read before the evacuations."""
    follower = make_follower(ScriptedStore([]), roster, clock)
    assert not follower.is_settled(has_rest=False, has_heard_peer=False)
    clock.advance(10 * TIME_LIMIT)
    assert not follower.is_settled(has_rest=True, has_heard_peer=False)
    clock.advance(TIME_LIMIT - 1)
    assert not follower.is_settled(has_rest=True, has_heard_peer=False)
    clock.advance(1)
    assert follower.is_settled(has_rest=True, has_heard_peer=False)


def test_an_entry_that_does_not_watch_lists_once(
    roster: Roster, clock: ManualClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Calls to the store are priced; the other entries tell it of changes."""
    store = ScriptedStore([Unavailable("down"), LIST, QUIET])
    follower = make_follower(store, roster, clock, is_watching=False)
    pauses: list[float] = []

    def pause(duration: float) -> None:
        pauses.append(duration)
        if len(pauses) == 10:
            follower._stop.set()

    monkeypatch.setattr(follower, "_pause", pause)
    follower._run()
    assert store.calls == ["list", "list"]


class EvacuatedSim:
    """A fleet in three domains in which some entries read the store."""

    def __init__(self) -> None:
        self.fleet = SimFleet((12, 12, 12))
        self.fleet.run_steps(20)

    def read(self, name: str, domains: frozenset[str], position: int) -> None:
        """Let one entry read a set from the store."""
        exchange = self.fleet.entries[name].peers.evacuations
        if exchange.evacuations.adopt(domains, position, "store"):
            exchange.announce()

    def in_force(self) -> set[frozenset[str]]:
        return {entry.roster.evacuated for entry in self.fleet.entries.values()}


@pytest.fixture
def sim(monkeypatch: pytest.MonkeyPatch) -> EvacuatedSim:
    monkeypatch.setattr(_peers, "OverlayLinks", SimLinks)
    return EvacuatedSim()


def test_one_entry_that_reads_the_store_tells_all_others(sim: EvacuatedSim) -> None:
    sim.read("front-1-3", EVACUATED_B, 50)
    for _ in range(8):
        sim.fleet.deliver_hop()
    assert sim.in_force() == {EVACUATED_B}


def test_an_outdated_set_is_corrected(sim: EvacuatedSim) -> None:
    """An entry missed that the evacuation was taken back and repeated; its set is newer than most.

    The other entries hear of the newer position only because one of them corrects the sender.
    """
    sim.read("front-1-3", EVACUATED_B, 60)
    sim.fleet.run_steps(4)
    sim.read("front-0-0", EVACUATED_B, 90)  # known, so not told
    sim.read("front-2-5", frozenset(), 70)
    sim.fleet.run_steps(SECOND // 50)
    assert sim.in_force() == {EVACUATED_B}


def test_an_entry_gets_the_set_with_its_link(sim: EvacuatedSim) -> None:
    sim.read("front-1-3", EVACUATED_B, 100)
    sim.fleet.run_steps(4)
    sim.fleet.kill("front-0-1")
    sim.fleet.run_steps(2)
    sim.fleet.restart("front-0-1")
    new = sim.fleet.entries["front-0-1"]
    for _ in range(40):
        if new.peers.evacuations.has_heard_peer:
            break
        sim.fleet.run_steps(1)
    assert new.roster.evacuated == EVACUATED_B


def test_entries_are_sent_nothing_while_no_domain_is_evacuated(sim: EvacuatedSim) -> None:
    """Entries of an earlier release would close the link."""
    sim.read("front-0-0", frozenset(), 20)
    sim.fleet.kill("front-0-1")
    sim.fleet.restart("front-0-1")
    sim.fleet.run_steps(20)
    known = [e.peers.evacuations.evacuations.is_known for e in sim.fleet.entries.values()]
    assert sum(known) == 1
