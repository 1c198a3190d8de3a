"""What one entry learns of a backend reaches all that are in touch, and never goes back."""

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
from canvasyoke.direct.tests.fleet_model import SETTLE_TURNS, SimFleet, SimLinks
from canvasyoke.protocol import BackendNews
from canvasyoke.state import EndpointState, Note

#: Seconds after which an event that is waited for has failed to come.
PATIENCE = 20
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
        fleet.list_at(name)
    fleet.pass_turns(SETTLE_TURNS)
    return fleet


def test_news_reach_ninety_nine_entries_in_few_hops_and_few_messages() -> None:
    """Told by each of 99 to 98 others, one change was 9,702 messages."""
    fleet = started(SIZES)
    for entry in fleet.entries.values():
        for session in entry.links.open.values():
            session.queue.clear()
    fleet.carried = 0
    fleet.change("b-1", EndpointState.LEAVING)
    fleet.watch_at(fleet.places[0].name)
    hops = 0
    while any(e.knows() != fleet.expected() for e in fleet.entries.values()):
        assert fleet.carry()
        hops += 1
    while fleet.carry():
        pass
    assert hops <= 6
    assert fleet.carried < 1_000


def test_a_link_that_is_opened_brings_what_was_missed() -> None:
    fleet = started(SIZES)
    fleet.cut = {"domain-1"}
    fleet.pass_turns(2)
    fleet.change("b-1", None)
    fleet.change("b-9", EndpointState.READY)
    fleet.watch_at(fleet.places[0].name)
    fleet.pass_turns(SETTLE_TURNS)
    behind = [n for n, e in fleet.entries.items() if e.knows() != fleet.expected()]
    assert {fleet.entries[n].place.domain for n in behind} == {"domain-1"}
    fleet.cut = set()
    fleet.pass_turns(SETTLE_TURNS)
    assert all(e.knows() == fleet.expected() for e in fleet.entries.values())


def test_what_one_entry_missed_is_passed_on_to_those_behind_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One link joins two domains; behind it all links have stood for long."""
    fleet = started((6, 5, 4))
    near = {pair for pair in fleet.wanted() if pair[0][:7] == pair[1][:7]}
    bridge = {("front-0-0", "front-1-0"), ("front-1-0", "front-2-0")}
    monkeypatch.setattr(fleet, "wanted", lambda: near)
    fleet.pass_turns(2)
    fleet.change("b-1", None)
    fleet.change("b-9", EndpointState.READY)
    fleet.watch_at("front-0-0")
    fleet.pass_turns(SETTLE_TURNS)
    monkeypatch.setattr(fleet, "wanted", lambda: near | bridge)
    fleet.pass_turns(SETTLE_TURNS)
    assert all(e.knows() == fleet.expected() for e in fleet.entries.values())


def test_an_event_that_the_store_lost_is_made_good_everywhere() -> None:
    """The watcher finds it in a later list, where it is older than what all others know."""
    fleet = started(SIZES)
    watcher = fleet.places[0].name
    fleet.revision += 1
    lost = next(iter(fleet.truth.values()))
    fleet.truth["b-lost"] = type(lost)(
        "b-lost", "ink", "10.9.9.9:1", "domain-0", 3, EndpointState.READY, fleet.revision
    )
    fleet.change("b-2", EndpointState.LEAVING)
    fleet.watch_at(watcher)
    fleet.pass_turns(SETTLE_TURNS)
    assert all("b-lost" not in e.knows() for e in fleet.entries.values())
    fleet.list_at(watcher)
    fleet.pass_turns(SETTLE_TURNS)
    assert all("b-lost" in e.knows() for e in fleet.entries.values())


def test_a_backend_that_ended_before_a_list_was_read_is_forgotten_by_all() -> None:
    """Its news is still on the way when another entry lists: the list says nothing of it."""
    fleet = started((6, 5, 4))
    fleet.change("b-9", EndpointState.READY)
    fleet.watch_at("front-0-5")
    fleet.change("b-9", None)
    fleet.list_at("front-0-0")
    fleet.pass_turns(SETTLE_TURNS)
    assert all(e.knows() == fleet.expected() for e in fleet.entries.values())


def test_a_session_that_its_peer_replaced_is_not_kept() -> None:
    """Its end is not told: links tell only of the session that a peer has now."""
    fleet = started((2, 2))
    entry = fleet.entries["front-0-0"]
    for _ in range(20):
        fleet.open("front-0-0", "front-0-1")
        fleet.open("front-0-1", "front-0-0")
        fleet.pass_turns(4)
    gc.collect()
    assert len(entry.peers._backends._synced) <= len(entry.links.open)


def test_a_group_is_learned_from_one_entry_by_all() -> None:
    fleet = started(SIZES)
    first = fleet.entries[fleet.places[0].name]
    assert first.roster.learn_group("b-1", "g-1")
    first.peers.tell_group("b-1", "g-1")
    fleet.pass_turns(SETTLE_TURNS)
    assert all(e.roster.groups() == {"b-1": "g-1"} for e in fleet.entries.values())


def say_leaving(fleet: SimFleet, name: str, backend: str) -> None:
    """Have a backend say to one entry that it leaves."""
    entry = fleet.entries[name]
    endpoint = next((e for e in entry.roster.endpoints() if e.id == backend), None)
    if endpoint is not None and entry.roster.took_notice(endpoint, LEAVES).leaves:
        entry.peers.tell_word(SharedNotice(endpoint.run, endpoint.address, is_leaving=True))


def test_a_backend_s_word_reaches_ninety_nine_entries_in_few_hops() -> None:
    fleet = started(SIZES)
    fleet.carried = 0
    while fleet.carry():
        pass
    fleet.carried = 0
    say_leaving(fleet, fleet.places[0].name, "b-1")
    hops = 0
    while any(e.roster.is_ready("b-1") for e in fleet.entries.values()):
        assert fleet.carry()
        hops += 1
    while fleet.carry():
        pass
    assert hops <= 6
    assert fleet.carried < 1_000


def test_a_link_that_is_opened_brings_the_words_that_hold() -> None:
    fleet = started((6, 5, 4))
    fleet.cut = {"domain-1"}
    fleet.pass_turns(2)
    say_leaving(fleet, fleet.places[0].name, "b-1")
    fleet.pass_turns(2)
    ready = {e.place.domain for e in fleet.entries.values() if e.roster.is_ready("b-1")}
    assert ready == {"domain-1"}
    fleet.cut = set()
    fleet.pass_turns(2)
    assert not any(e.roster.is_ready("b-1") for e in fleet.entries.values())


def test_parts_of_a_limit_follow_callers_where_all_hear_each_other() -> None:
    fleet = started((4, 3))
    busy, *others = fleet.entries.values()
    for _ in range(20):
        busy.peers._budget.saw_request("ink")
    assert busy.peers._shares.share("ink").fraction < 0.3, "nothing is told without a limit"
    busy.roster.heard_word(SharedNotice("b-1", "10.9.0.1:b-1", limit=RateLimit(7.0)))
    busy.peers.tell_word(SharedNotice("b-1", "10.9.0.1:b-1", limit=RateLimit(7.0)))
    for _ in range(SETTLE_TURNS):
        busy.peers._budget.saw_request("ink")
        fleet.pass_turns(1)
    assert all(entry.roster.has_limits for entry in others)
    assert busy.peers._shares.share("ink").fraction > 0.9
    assert all(entry.peers._shares.share("ink").fraction < 0.05 for entry in others)


def test_a_limit_taken_back_is_known_to_all() -> None:
    fleet = started((6, 5, 4))
    entry = next(iter(fleet.entries.values()))
    for rate, holds in ((7.0, True), (None, False)):
        fleet.clock.advance(10)
        told = SharedNotice("b-1", "10.9.0.1:b-1", limit=RateLimit(rate))
        entry.roster.heard_word(told)
        entry.peers.tell_word(told)
        fleet.pass_turns(SETTLE_TURNS)
        assert {e.roster.has_limits for e in fleet.entries.values()} == {holds}


def test_loads_are_told_within_the_domain_only() -> None:
    fleet = started(SIZES)
    first = fleet.entries[fleet.places[0].name]
    first.roster._members["b-1"].own = 2
    fleet.pass_turns(SETTLE_TURNS // 2)
    heard = {
        e.place.domain
        for e in fleet.entries.values()
        if e is not first and e.roster._peers.of("b-1")
    }
    assert heard == {"domain-0"}
    near = [e for e in fleet.entries.values() if e.place.domain == "domain-0" and e is not first]
    assert all(e.roster._peers.of("b-1") == 2 for e in near)


def test_old_word_by_another_way_changes_nothing() -> None:
    fleet = started(SIZES)
    entry = fleet.entries[fleet.places[3].name]
    before = entry.knows()
    session = next(iter(entry.links.open.values()))
    old = BackendNews("b-1", "ink", "10.9.0.1:9", "domain-0", 3, False, True, 2)
    entry.peers._took(session, old)  # type: ignore[arg-type]
    assert entry.knows() == before


def test_a_store_that_does_not_answer_holds_up_no_link(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = started((6, 5, 4))
    entry = fleet.entries["front-0-0"]
    asked, let_go = threading.Event(), threading.Event()

    def notes(_kind: str, may_be_old: bool = False) -> list[Note]:
        asked.set()
        let_go.wait(PATIENCE)
        return []

    monkeypatch.setattr(fleet.store, "notes", notes)
    looked = threading.Event()
    monkeypatch.setattr(entry.links, "look", looked.set)
    fleet.clock.advance(20 * SECOND)
    entry.peers.start()
    try:
        assert asked.wait(PATIENCE)
        looked.clear()
        assert looked.wait(PATIENCE)
        assert not let_go.is_set()
    finally:
        entry.peers._stop.set()
        let_go.set()


class SpreadMachine(RuleBasedStateMachine):
    """Joins, deaths, cuts and changes in any order, over an overlay of 15 entries."""

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
        self.fleet.watch_at(self.watcher(n))

    @rule(
        backend=st.integers(0, 7),
        state=st.sampled_from([EndpointState.READY, EndpointState.LEAVING, None]),
        starts_again=st.booleans(),
    )
    def change(self, backend: int, state: EndpointState | None, starts_again: bool) -> None:
        self.fleet.change(f"b-{backend}", state, starts_again)

    @rule(n=st.integers(0, 14), backend=st.integers(0, 7))
    def say_leaving(self, n: int, backend: int) -> None:
        say_leaving(self.fleet, self.watcher(n), f"b-{backend}")

    @rule(turns=st.integers(1, 6))
    def wait(self, turns: int) -> None:
        self.fleet.pass_turns(turns)

    @rule(domain=st.integers(0, 2))
    def cut(self, domain: int) -> None:
        self.fleet.cut = {f"domain-{domain}"}

    @rule()
    def heal(self) -> None:
        self.fleet.cut = set()

    @precondition(lambda self: len(self.fleet.entries) > 10)
    @rule(n=st.integers(0, 14))
    def kill(self, n: int) -> None:
        self.fleet.kill(self.watcher(n))

    @rule(n=st.integers(0, 14), reads_list=st.booleans())
    def start(self, n: int, reads_list: bool) -> None:
        name = self.fleet.places[n].name
        if name not in self.fleet.entries:
            self.fleet.restart(name)
            if reads_list:
                self.fleet.list_at(name)

    @rule()
    def settle(self) -> None:
        """In touch and with one watcher that reads the list, all come to know the truth."""
        self.fleet.cut = set()
        self.fleet.keep_links()
        self.fleet.list_at(self.watcher(0))
        self.fleet.pass_turns(SETTLE_TURNS)
        for name, entry in self.fleet.entries.items():
            known = {backend: state for backend, (_, state) in entry.knows().items()}
            true = {e.id: e.state.name for e in self.fleet.truth.values()}
            assert known == true, name
            runs = {e.run for e in entry.roster.endpoints()}
            assert runs == {e.run for e in self.fleet.truth.values()}, name
        told = {frozenset(e.roster.words_to_tell()) for e in self.fleet.entries.values()}
        assert len(told) == 1

    @invariant()
    def nothing_goes_back(self) -> None:
        for name, entry in self.fleet.entries.items():
            for backend, (position, _) in entry.knows().items():
                key = (name, id(entry), backend)
                assert position >= self.seen.get(key, 0)
                self.seen[key] = position


SpreadMachine.TestCase.settings = settings(max_examples=25, stateful_step_count=25, deadline=None)
TestSpread = SpreadMachine.TestCase
