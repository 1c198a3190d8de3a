"""Which set of evacuated domains is in force, how it spreads, and what it keeps requests from."""

from __future__ import annotations

import dataclasses
import random

import pytest

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.backend import BackendNotice, NotRun, NotRunCause
from canvasyoke.direct import _peers
from canvasyoke.direct._backend_records import FleetView
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._call import ErrorAnswer
from canvasyoke.direct._choice import BackendQuery, Chosen, NoneAvailable
from canvasyoke.direct._evacuations import Evacuations
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.calls import ROUTE, CannedPort, make_call, make_forwarder
from canvasyoke.direct.tests.fleet_model import SimFleet, SimLinks
from canvasyoke.protocol import Reason
from canvasyoke.state import (
    Endpoint,
    EndpointState,
    store_position,
)

A, B, C = (
    Endpoint(f"b-{d}", "ink", f"10.0.0.1:{n}", f"nbo-{d}", 6, EndpointState.READY, 1)
    for n, d in enumerate("abc", 1)
)
EVACUATED_B = frozenset({"nbo-b"})
ALL = frozenset({"nbo-a", "nbo-b", "nbo-c"})


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
