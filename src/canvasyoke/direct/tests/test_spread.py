"""Tests that changes of backends reach all connected entries and are never reverted."""

from __future__ import annotations

import gc
import threading
from collections.abc import Iterator

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from canvasyoke._clock import SECOND
from canvasyoke.backend import BackendNotice
from canvasyoke.direct import _peers
from canvasyoke.direct._backend_limits import RateLimit
from canvasyoke.direct._backend_notices import SharedNotice
from canvasyoke.direct.tests.fleet_model import SETTLE_STEPS, SimFleet, SimLinks
from canvasyoke.protocol import BackendUpdate
from canvasyoke.state import EndpointState, Note

#: Timeout in seconds for an expected event.
EVENT_TIMEOUT = 20
SIZES = (22, 17, 21, 19, 20)
LEAVES = BackendNotice(is_leaving=True)


@pytest.fixture(autouse=True)
def simulated_links(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr(_peers, "OverlayLinks", SimLinks)
    yield


def started(sizes: tuple[int, ...]) -> SimFleet:
    fleet = SimFleet(sizes)
    for n in range(5):
        fleet.change(f"b-{n}", EndpointState.READY)
    for name in fleet.entries:
        fleet.list_store(name)
    fleet.run_steps(SETTLE_STEPS)
    return fleet


def test_change_reaches_99_entries_in_few_hops_and_messages() -> None:
    """Flooding all pairs of entries would take 9,702 messages for one change."""
    fleet = started(SIZES)
    for entry in fleet.entries.values():
        for session in entry.links.open.values():
            session.queue.clear()
    fleet.delivered = 0
    fleet.change("b-1", EndpointState.LEAVING)
    fleet.apply_watch_events(fleet.nodes[0].name)
    hops = 0
    while any(e.known_backends() != fleet.expected() for e in fleet.entries.values()):
        assert fleet.deliver_hop()
        hops += 1
    while fleet.deliver_hop():
        pass
    assert hops <= 6
    assert fleet.delivered < 1_000


def test_new_link_delivers_missed_changes() -> None:
    fleet = started(SIZES)
    fleet.partitioned = {"domain-1"}
    fleet.run_steps(2)
    fleet.change("b-1", None)
    fleet.change("b-9", EndpointState.READY)
    fleet.apply_watch_events(fleet.nodes[0].name)
    fleet.run_steps(SETTLE_STEPS)
    behind = [n for n, e in fleet.entries.items() if e.known_backends() != fleet.expected()]
    assert {fleet.entries[n].node.domain for n in behind} == {"domain-1"}
    fleet.partitioned = set()
    fleet.run_steps(SETTLE_STEPS)
    assert all(e.known_backends() == fleet.expected() for e in fleet.entries.values())


def test_missed_changes_are_relayed_over_existing_links(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A single link reconnects each pair of domains; the links within them stayed open."""
    fleet = started((6, 5, 4))
    near = {pair for pair in fleet.wanted() if pair[0][:7] == pair[1][:7]}
    bridge = {("front-0-0", "front-1-0"), ("front-1-0", "front-2-0")}
    monkeypatch.setattr(fleet, "wanted", lambda: near)
    fleet.run_steps(2)
    fleet.change("b-1", None)
    fleet.change("b-9", EndpointState.READY)
    fleet.apply_watch_events("front-0-0")
    fleet.run_steps(SETTLE_STEPS)
    monkeypatch.setattr(fleet, "wanted", lambda: near | bridge)
    fleet.run_steps(SETTLE_STEPS)
    assert all(e.known_backends() == fleet.expected() for e in fleet.entries.values())


def test_change_lost_by_the_store_is_recovered_from_a_list() -> None:
    """Its position is lower than that of the list that the other entries have."""
    fleet = started(SIZES)
    watcher = fleet.nodes[0].name
    fleet.revision += 1
    lost = next(iter(fleet.stored.values()))
    fleet.stored["b-lost"] = type(lost)(
        "b-lost", "ink", "10.9.9.9:1", "domain-0", 3, EndpointState.READY, fleet.revision
    )
    fleet.change("b-2", EndpointState.LEAVING)
    fleet.apply_watch_events(watcher)
    fleet.run_steps(SETTLE_STEPS)
    assert all("b-lost" not in e.known_backends() for e in fleet.entries.values())
    fleet.list_store(watcher)
    fleet.run_steps(SETTLE_STEPS)
    assert all("b-lost" in e.known_backends() for e in fleet.entries.values())


def test_backend_removed_before_a_list_is_removed_everywhere() -> None:
    """Its addition is still being relayed when another entry lists the store without it."""
    fleet = started((6, 5, 4))
    fleet.change("b-9", EndpointState.READY)
    fleet.apply_watch_events("front-0-5")
    fleet.change("b-9", None)
    fleet.list_store("front-0-0")
    fleet.run_steps(SETTLE_STEPS)
    assert all(e.known_backends() == fleet.expected() for e in fleet.entries.values())


def test_replaced_sessions_are_released() -> None:
    """Links do not report the close of a session that the peer has replaced."""
    fleet = started((2, 2))
    entry = fleet.entries["front-0-0"]
    for _ in range(20):
        fleet.open("front-0-0", "front-0-1")
        fleet.open("front-0-1", "front-0-0")
        fleet.run_steps(4)
    gc.collect()
    assert len(entry.peers._backends._synced) <= len(entry.links.open)


def test_group_reaches_all_entries() -> None:
    fleet = started(SIZES)
    first = fleet.entries[fleet.nodes[0].name]
    assert first.roster.learn_group("b-1", "g-1")
    first.peers.announce_group("b-1", "g-1")
    fleet.run_steps(SETTLE_STEPS)
    assert all(e.roster.groups() == {"b-1": "g-1"} for e in fleet.entries.values())


def announce_leaving(fleet: SimFleet, name: str, backend: str) -> None:
    """Make a backend announce to one entry that it leaves."""
    entry = fleet.entries[name]
    endpoint = next((e for e in entry.roster.endpoints() if e.id == backend), None)
    if endpoint is not None and entry.roster.record_notice(endpoint, LEAVES).leaves:
        entry.peers.announce_notice(SharedNotice(endpoint.run, endpoint.address, is_leaving=True))


def test_backend_notice_reaches_99_entries_in_few_hops() -> None:
    fleet = started(SIZES)
    fleet.delivered = 0
    while fleet.deliver_hop():
        pass
    fleet.delivered = 0
    announce_leaving(fleet, fleet.nodes[0].name, "b-1")
    hops = 0
    while any(e.roster.is_ready("b-1") for e in fleet.entries.values()):
        assert fleet.deliver_hop()
        hops += 1
    while fleet.deliver_hop():
        pass
    assert hops <= 6
    assert fleet.delivered < 1_000


def test_new_link_delivers_valid_backend_notices() -> None:
    fleet = started((6, 5, 4))
    fleet.partitioned = {"domain-1"}
    fleet.run_steps(2)
    announce_leaving(fleet, fleet.nodes[0].name, "b-1")
    fleet.run_steps(2)
    ready = {e.node.domain for e in fleet.entries.values() if e.roster.is_ready("b-1")}
    assert ready == {"domain-1"}
    fleet.partitioned = set()
    fleet.run_steps(2)
    assert not any(e.roster.is_ready("b-1") for e in fleet.entries.values())


def test_limit_shares_follow_demand_in_a_mesh() -> None:
    fleet = started((4, 3))
    busy, *others = fleet.entries.values()
    for _ in range(20):
        busy.peers._budget.record_request("ink")
    assert busy.peers._shares.share("ink").fraction < 0.3, "no demand is sent without a limit"
    busy.roster.merge_peer_notice(SharedNotice("b-1", "10.9.0.1:b-1", limit=RateLimit(7.0)))
    busy.peers.announce_notice(SharedNotice("b-1", "10.9.0.1:b-1", limit=RateLimit(7.0)))
    for _ in range(SETTLE_STEPS):
        busy.peers._budget.record_request("ink")
        fleet.run_steps(1)
    assert all(entry.roster.has_limits for entry in others)
    assert busy.peers._shares.share("ink").fraction > 0.9
    assert all(entry.peers._shares.share("ink").fraction < 0.05 for entry in others)


def test_removed_limit_reaches_all_entries() -> None:
    fleet = started((6, 5, 4))
    entry = next(iter(fleet.entries.values()))
    for rate, holds in ((7.0, True), (None, False)):
        fleet.clock.advance(10)
        notice = SharedNotice("b-1", "10.9.0.1:b-1", limit=RateLimit(rate))
        entry.roster.merge_peer_notice(notice)
        entry.peers.announce_notice(notice)
        fleet.run_steps(SETTLE_STEPS)
        assert {e.roster.has_limits for e in fleet.entries.values()} == {holds}


def test_loads_are_sent_within_the_domain_only() -> None:
    fleet = started(SIZES)
    first = fleet.entries[fleet.nodes[0].name]
    first.roster._members["b-1"].own_requests = 2
    fleet.run_steps(SETTLE_STEPS // 2)
    heard = {
        e.node.domain
        for e in fleet.entries.values()
        if e is not first and e.roster._peers.requests_at("b-1")
    }
    assert heard == {"domain-0"}
    near = [e for e in fleet.entries.values() if e.node.domain == "domain-0" and e is not first]
    assert all(e.roster._peers.requests_at("b-1") == 2 for e in near)


def test_waiting_requests_are_told_within_the_domain_only(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without these reports no entry leaves a place to a more urgent request elsewhere."""
    fleet = started(SIZES)
    first = fleet.entries[fleet.nodes[0].name]
    monkeypatch.setattr(first.peers._waiting, "waiting", lambda: {"ink": {0: 30}})
    fleet.run_steps(SETTLE_STEPS // 2)
    others = [e for e in fleet.entries.values() if e is not first]
    heard = {e.node.domain for e in others if e.roster.reserved_places("ink", 1)}
    assert heard == {"domain-0"}
    near = [e for e in others if e.node.domain == "domain-0"]
    assert all(e.roster.reserved_places("ink", 1) == -(-30 // (len(near) + 1)) for e in near)
    assert not any(e.roster.reserved_places("ink", 0) for e in near)


def test_outdated_change_is_ignored() -> None:
    fleet = started(SIZES)
    entry = fleet.entries[fleet.nodes[3].name]
    before = entry.known_backends()
    session = next(iter(entry.links.open.values()))
    old = BackendUpdate("b-1", "ink", "10.9.0.1:9", "domain-0", 3, False, True, 2)
    entry.peers._handle_message(session, old)  # type: ignore[arg-type]
    assert entry.known_backends() == before


def test_unresponsive_store_does_not_delay_links(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = started((6, 5, 4))
    entry = fleet.entries["front-0-0"]
    asked, released = threading.Event(), threading.Event()

    def notes(_kind: str, allow_stale: bool = False) -> list[Note]:
        asked.set()
        released.wait(EVENT_TIMEOUT)
        return []

    monkeypatch.setattr(fleet.store, "notes", notes)
    reconciled = threading.Event()
    monkeypatch.setattr(entry.links, "reconcile", reconciled.set)
    fleet.clock.advance(20 * SECOND)
    entry.peers.start()
    try:
        assert asked.wait(EVENT_TIMEOUT)
        reconciled.clear()
        assert reconciled.wait(EVENT_TIMEOUT)
        assert not released.is_set()
    finally:
        entry.peers._stop.set()
        released.set()


class SpreadMachine(RuleBasedStateMachine):
    """Joins, failures, partitions and changes in any order, in an overlay of 15 entries."""

    def __init__(self) -> None:
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(_peers, "OverlayLinks", SimLinks)
        self.fleet = started((6, 5, 4))
        self.seen: dict[tuple[str, int, str], int] = {}

    def teardown(self) -> None:
        self.patch.undo()

    def watcher(self, n: int) -> str:
        names = sorted(self.fleet.entries)
        return names[n % len(names)]

    @rule(n=st.integers(0, 14))
    def watch(self, n: int) -> None:
        self.fleet.apply_watch_events(self.watcher(n))

    @rule(
        backend=st.integers(0, 7),
        state=st.sampled_from([EndpointState.READY, EndpointState.LEAVING, None]),
        is_restart=st.booleans(),
    )
    def change(self, backend: int, state: EndpointState | None, is_restart: bool) -> None:
        self.fleet.change(f"b-{backend}", state, is_restart)

    @rule(n=st.integers(0, 14), backend=st.integers(0, 7))
    def announce_leaving(self, n: int, backend: int) -> None:
        announce_leaving(self.fleet, self.watcher(n), f"b-{backend}")

    @rule(steps=st.integers(1, 6))
    def wait(self, steps: int) -> None:
        self.fleet.run_steps(steps)

    @rule(domain=st.integers(0, 2))
    def partition(self, domain: int) -> None:
        self.fleet.partitioned = {f"domain-{domain}"}

    @rule()
    def heal(self) -> None:
        self.fleet.partitioned = set()

    @precondition(lambda self: len(self.fleet.entries) > 10)
    @rule(n=st.integers(0, 14))
    def kill(self, n: int) -> None:
        self.fleet.kill(self.watcher(n))

    @rule(n=st.integers(0, 14), reads_list=st.booleans())
    def start(self, n: int, reads_list: bool) -> None:
        name = self.fleet.nodes[n].name
        if name not in self.fleet.entries:
            self.fleet.restart(name)
            if reads_list:
                self.fleet.list_store(name)

    @rule()
    def settle(self) -> None:
        """Without partitions, one entry that lists the store brings all of them up to date."""
        self.fleet.partitioned = set()
        self.fleet.reconcile_links()
        self.fleet.list_store(self.watcher(0))
        self.fleet.run_steps(SETTLE_STEPS)
        for name, entry in self.fleet.entries.items():
            known = {backend: state for backend, (_, state) in entry.known_backends().items()}
            true = {e.id: e.state.name for e in self.fleet.stored.values()}
            assert known == true, name
            runs = {e.run for e in entry.roster.endpoints()}
            assert runs == {e.run for e in self.fleet.stored.values()}, name
        shared = {frozenset(e.roster.notices_to_share()) for e in self.fleet.entries.values()}
        assert len(shared) == 1

    @invariant()
    def positions_never_decrease(self) -> None:
        for name, entry in self.fleet.entries.items():
            for backend, (position, _) in entry.known_backends().items():
                key = (name, id(entry), backend)
                assert position >= self.seen.get(key, 0)
                self.seen[key] = position


SpreadMachine.TestCase.settings = settings(max_examples=25, stateful_step_count=25, deadline=None)
TestSpread = SpreadMachine.TestCase
