"""Entries stop using a leaving backend within the allowed time.

Regression test: an unreadable entry hid all changes to the list of backends, and a silent
connection to the store delayed them for seconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from canvasyoke.direct._choice import BackendQuery, Chosen
from canvasyoke.direct._endpoint_follower import EndpointFollower
from canvasyoke.direct._known_backends import BackendChange
from canvasyoke.direct._roster import Roster
from canvasyoke.platform._store import ObjectsFleetStore
from fakes.object_store import ObjectStore
from fakes.store_pool import SchedulingClock, StorePool

START = 10_000
#: Milliseconds allowed from a leaving notice to the last request at the backend, and from a
#: connection reset to recovery.
LEAVING_BOUND = 2_000
RESET_BOUND = 3_000
#: Milliseconds after an outage within which lapsed entries are written again.
RECOVERY_BOUND = 2_000


def spec(number: int, state: str = "ready", **fields: Any) -> dict[str, Any]:
    """Return the object that a backend writes to the store."""
    base = {
        "Service": "shelf",
        "Address": f"10.0.0.{number}:8080",
        "Zone": "nbo-a",
        "Version": "v1",
        "Slots": 6,
        "State": state,
        "ColdRemainingMs": 0,
        "Sequence": 1,
    }
    return base | fields


class _Follower(EndpointFollower):
    """Runs in the calling thread and pauses in simulated time."""

    def __init__(
        self,
        clock: SchedulingClock,
        client: ObjectsFleetStore,
        roster: Roster,
        on_news: Callable[[BackendChange], None],
        seed: str,
    ) -> None:
        super().__init__(client, roster, on_news, lambda: True, clock, random.Random(seed))
        self._scheduling_clock = clock

    def _pause(self, duration: float) -> None:
        self._scheduling_clock.advance(round(duration))


class FollowedStore:
    """An endpoint follower with its store and roster, in simulated time."""

    def __init__(self, backends: int = 3, name: str = "nbo-a") -> None:
        self.clock = SchedulingClock(start=START)
        self.store = ObjectStore()
        for number in range(1, backends + 1):
            self.store.put("servers", f"b-{number}", spec(number))
        self.pool = StorePool(self.store, self.clock)
        client = ObjectsFleetStore("127.0.0.1:1")
        client._client = self.pool  # type: ignore[assignment]
        self.roster = Roster(name, self.clock, random.Random(1))
        #: Time of the last removal of each backend, relative to the start.
        self.dropped_at: dict[str, int] = {}
        self.follower = _Follower(self.clock, client, self.roster, self._on_change, name)

    def _on_change(self, change: BackendChange) -> None:
        if change.gone:
            self.dropped_at[change.endpoint.id] = self.clock.now() - START

    def at(self, time: int, action: Callable[[], object]) -> None:
        """Schedule ``action`` for ``time`` milliseconds after the start."""
        self.clock.at(START + time, action)

    def add_outage(self, begin: int, end: int) -> None:
        """Leave calls unanswered between two times relative to the start."""
        self.pool.outages.append((START + begin, START + end))

    def run_until(self, time: int) -> None:
        """Run the follower until ``time`` milliseconds after the start."""
        self.at(time, self.follower._stop.set)
        self.follower._run()

    def chosen(self) -> set[str]:
        """Return the ids of the backends that can be chosen."""
        backends: set[str] = set()
        while True:
            found = self.roster.choose(BackendQuery("shelf", frozenset(backends)))
            if not isinstance(found, Chosen):
                return backends
            backends.add(found.endpoint.id)
            self.roster.record_cancelled(found.endpoint.id)


#: Unreadable store objects by the fault in them.
UNREADABLE: dict[str, Any] = {
    "the slots are a text": spec(9, Slots="six"),
    "the service is a number": spec(9, Service=7),
    "the address is null": spec(9, Address=None),
    "there is nothing": None,
    "a list": [1, 2],
    "a text": "ready",
    "a state of its own": spec(9, State="warming"),
    "no address": {k: v for k, v in spec(9).items() if k != "Address"},
    "an address without a port": spec(9, Address="10.0.0.9"),
}


@pytest.mark.parametrize("case", UNREADABLE)
def test_an_unreadable_entry_hides_no_leaving_backend(case: str) -> None:
    followed = FollowedStore()
    followed.at(500, lambda: followed.store.put("servers", "a-odd", UNREADABLE[case]))
    followed.at(1_000, lambda: followed.store.put("servers", "b-1", spec(1, "draining")))
    followed.at(1_500, lambda: followed.store.remove("servers", "b-2"))
    followed.run_until(2_500)
    assert followed.chosen() == {"b-3"}


@pytest.mark.parametrize("case", UNREADABLE)
def test_an_unreadable_entry_hides_no_ready_backend(case: str) -> None:
    followed = FollowedStore()
    followed.store.put("servers", "a-odd", UNREADABLE[case])
    followed.run_until(500)
    assert followed.chosen() == {"b-1", "b-2", "b-3"}
    assert followed.follower.unreadable == 1


def test_a_backend_whose_entry_becomes_unreadable_gets_no_more_requests() -> None:
    followed = FollowedStore()
    followed.at(1_000, lambda: followed.store.put("servers", "b-1", {"Slots": 6}))
    followed.at(2_000, lambda: followed.store.put("servers", "b-2", None))
    followed.at(3_000, lambda: followed.store.put("servers", "b-2", spec(2)))
    followed.run_until(4_000)
    assert followed.chosen() == {"b-2", "b-3"}
    assert followed.follower.unreadable == 1


def test_an_unreadable_entry_is_not_taken_for_one_that_lapsed() -> None:
    """Removal is held for entries missing after an outage, not for unreadable ones."""
    followed = FollowedStore()
    followed.add_outage(1_000, 5_000)
    followed.at(4_000, lambda: followed.store.put("servers", "b-1", {"Slots": 6}))
    followed.at(4_000, lambda: followed.store.remove("servers", "b-2"))
    followed.run_until(12_000)
    assert followed.chosen() == {"b-3"}
    assert followed.dropped_at["b-1"] + RECOVERY_BOUND < followed.dropped_at["b-2"]


@pytest.mark.parametrize("begin", range(1_000, 3_000, 190))
@pytest.mark.parametrize("state", ["draining", ""])
def test_a_silent_store_connection_delays_a_leaving_within_bounds(begin: int, state: str) -> None:
    """The connection hangs just before the backend's entry is drained or removed."""
    followed = FollowedStore()
    followed.add_outage(begin, begin + 1)
    if state:
        followed.at(begin + 1, lambda: followed.store.put("servers", "b-1", spec(1, state)))
    else:
        followed.at(begin + 1, lambda: followed.store.remove("servers", "b-1"))
    followed.run_until(begin + RESET_BOUND)
    assert followed.chosen() == {"b-2", "b-3"}


LAPSE_BACKENDS = 5


def lapse_during_outage(followed: FollowedStore, begin: int, end: int) -> None:
    """Remove all entries during an outage; all but the first are written again after it."""
    followed.add_outage(begin, end)
    numbers = range(1, LAPSE_BACKENDS + 1)
    for number in numbers:
        followed.at(end - 1, lambda n=number: followed.store.remove("servers", f"b-{n}"))  # type: ignore[misc]
    for number in numbers[1:]:
        after = end + 300 * number
        followed.at(after, lambda n=number: followed.store.put("servers", f"b-{n}", spec(n)))  # type: ignore[misc]


@pytest.mark.parametrize("length", range(400, 9_000, 410))
def test_a_backend_that_left_in_an_outage_is_dropped_in_time_by_all_entries(length: int) -> None:
    """Checks the earliest removal: one entry shares it with the others."""
    begin, dropped = 1_000, []
    for name in ("a", "b", "c", "d", "e", "f", "g"):
        followed = FollowedStore(LAPSE_BACKENDS, name)
        lapse_during_outage(followed, begin, begin + length)
        followed.run_until(begin + length + 6_000)
        assert followed.chosen() == {f"b-{n}" for n in range(2, LAPSE_BACKENDS + 1)}
        dropped.append(followed.dropped_at["b-1"] - begin - length)
    assert min(dropped) <= RECOVERY_BOUND + LEAVING_BOUND


@pytest.mark.parametrize("length", range(400, 9_000, 410))
def test_an_outage_in_which_all_entries_lapse_leaves_a_backend(length: int) -> None:
    begin = 1_000
    followed = FollowedStore(LAPSE_BACKENDS)
    lapse_during_outage(followed, begin, begin + length)
    chosen = []
    for time in range(begin, begin + length + 6_000, 50):
        followed.at(time, lambda: chosen.append(len(followed.chosen())))
    followed.run_until(begin + length + 6_000)
    assert min(chosen) >= 1
