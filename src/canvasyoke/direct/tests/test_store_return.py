"""The store comes back from an older copy: what a fleet of entries goes by then."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from canvasyoke.direct import _peers
from canvasyoke.direct.tests.fleet_model import SETTLE_TURNS, SimLinks
from canvasyoke.direct.tests.returning_fleet import RETURN_TURNS, Copy, ReturningFleet
from canvasyoke.state import EndpointState

SIZES = (4, 3, 3)
READY, LEAVING = EndpointState.READY, EndpointState.LEAVING


@pytest.fixture(autouse=True)
def simulated_links(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr(_peers, "OverlayLinks", SimLinks)
    yield


def started() -> ReturningFleet:
    """Return a fleet in which all know of four backends."""
    fleet = ReturningFleet(SIZES)
    for n in range(4):
        fleet.change(f"b-{n}", READY)
    for name in fleet.entries:
        fleet.list_at(name)
    fleet.pass_turns(SETTLE_TURNS)
    assert not fleet.wrong()
    return fleet


def test_nobody_goes_by_the_copy_at_any_moment() -> None:
    """One leaves, one ended and one is new since the copy; each turn is looked at."""
    fleet = started()
    older = fleet.copy()
    for _ in range(40):
        fleet.change("b-0", READY, starts_again=True)
    fleet.change("b-1", LEAVING)
    fleet.change("b-2", None)
    fleet.change("b-4", READY)
    fleet.watch_all()
    fleet.pass_turns(SETTLE_TURNS)
    assert not fleet.wrong()
    fleet.return_from(older)
    for turn in range(RETURN_TURNS):
        fleet.pass_turns(1)
        for name, known in fleet.wrong().items():
            assert known.get("b-1") == "LEAVING", (turn, name)
            assert "b-2" not in known, (turn, name)
            assert "b-4" in known, (turn, name)
    assert not fleet.wrong()


def test_what_ended_with_the_store_is_forgotten() -> None:
    """A backend that nobody has heard of again is gone, and the store's word counts again."""
    fleet = started()
    older = fleet.copy()
    fleet.change("b-4", READY)
    fleet.change("b-1", LEAVING)
    fleet.watch_all()
    fleet.pass_turns(SETTLE_TURNS)
    fleet.return_from(older)
    fleet.change("b-4", None)
    fleet.change("b-1", READY, starts_again=True)
    fleet.watch_all()
    fleet.pass_turns(RETURN_TURNS)
    assert not fleet.wrong()


def test_a_return_is_told_of_in_few_messages() -> None:
    """What the copy has right is told by nobody: it is 195 backends of 200.

    Each of the other five is told of twice, when the store is back and when it is written
    again, at most once over each link in each direction; and each entry asks for one list.
    """
    fleet = ReturningFleet((4, 4, 4))
    entries = len(fleet.entries)
    for n in range(200):
        fleet.change(f"b-{n}", READY)
    for name in fleet.entries:
        fleet.list_at(name)
    fleet.pass_turns(SETTLE_TURNS)
    older = fleet.copy()
    for n in range(5):
        fleet.change(f"b-{n}", LEAVING)
    fleet.watch_all()
    fleet.pass_turns(SETTLE_TURNS)
    fleet.carried = 0
    fleet.pass_turns(RETURN_TURNS)
    calm = fleet.carried
    fleet.return_from(older)
    fleet.carried = 0
    fleet.pass_turns(RETURN_TURNS)
    assert not fleet.wrong()
    assert fleet.carried <= calm + 2 * 5 * entries * (entries - 1) + 2 * entries


def test_an_entry_that_starts_meanwhile_learns_what_the_others_know() -> None:
    fleet = started()
    older = fleet.copy()
    fleet.change("b-1", LEAVING)
    fleet.change("b-2", None)
    fleet.watch_all()
    fleet.pass_turns(SETTLE_TURNS)
    fleet.return_from(older, lists=False)
    fleet.kill("front-0-0")
    fleet.restart("front-0-0")
    fleet.list_at("front-0-0")  # the newcomer is the first that the store answers
    fleet.pass_turns(1)
    fleet.list_at_watchers()
    fleet.pass_turns(3)
    known = fleet.entries["front-0-0"].knows()
    assert known["b-1"][1] == "LEAVING"
    assert "b-2" not in known


class ReturnMachine(RuleBasedStateMachine):
    """Changes, copies, returns, cuts and entries that start again, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(_peers, "OverlayLinks", SimLinks)
        self.fleet = started()
        self.copies: list[Copy] = [self.fleet.copy()]
        self.ended: set[str] = set()
        self.made = 4

    def teardown(self) -> None:
        self.patch.undo()

    @rule()
    def begin(self) -> None:
        self.fleet.change(f"b-{self.made}", READY)
        self.made += 1
        self.fleet.watch_all()

    @precondition(lambda self: bool(self.fleet.said))
    @rule(n=st.integers(0, 9), ends=st.booleans())
    def leave(self, n: int, ends: bool) -> None:
        """A backend says that it leaves, or ends; neither is taken back."""
        names = sorted(self.fleet.said)
        self.fleet.change(names[n % len(names)], None if ends else LEAVING)
        self.fleet.watch_all()

    @rule()
    def copy(self) -> None:
        self.copies.append(self.fleet.copy())

    @rule(n=st.integers(0, 9), at_once=st.booleans())
    def return_from(self, n: int, at_once: bool) -> None:
        """Come back from one of the last copies of this era, which are seconds old."""
        self.fleet.return_from(self.copies[-1 - n % len(self.copies[-3:])], lists=at_once)
        self.copies = [self.fleet.copy()]
        if not at_once:
            self.fleet.pass_turns(2)
            self.fleet.list_at_watchers()

    @rule(turns=st.integers(1, 20))
    def wait(self, turns: int) -> None:
        self.fleet.pass_turns(turns)

    @rule(domain=st.integers(1, 2))
    def cut(self, domain: int) -> None:
        self.fleet.cut = {f"domain-{domain}"}

    @rule()
    def heal(self) -> None:
        self.fleet.cut = set()

    @rule(n=st.integers(0, 9), reads_list=st.booleans())
    def start_again(self, n: int, reads_list: bool) -> None:
        name = self.fleet.places[n].name
        self.fleet.kill(name)
        self.fleet.restart(name)
        if reads_list or name in self.fleet.watchers():
            self.fleet.list_at(name)

    @rule()
    def settle(self) -> None:
        self.fleet.cut = set()
        self.fleet.pass_turns(RETURN_TURNS)
        assert not self.fleet.wrong()
        self.copies = [self.fleet.copy()]


ReturnMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)
TestReturns = ReturnMachine.TestCase
