"""Which calls the follower of evacuations makes, and when an entry accepts callers."""

from __future__ import annotations

import random
from typing import cast

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.direct._evacuation_follower import EvacuationFollower
from canvasyoke.direct._evacuations import Evacuations
from canvasyoke.direct._roster import Roster
from canvasyoke.state import (
    EvacuationChanges,
    EvacuationRead,
    FleetStore,
    HistoryGone,
    NoChange,
    StorePosition,
    Unavailable,
)

EVACUATED_B = frozenset({"nbo-b"})
TIME_LIMIT = 5_000


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(start=10_000)


@pytest.fixture
def roster(clock: ManualClock) -> Roster:
    return Roster("nbo-a", clock, random.Random(1))


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
