"""No request reaches a backend once its leaving could be known.

What users saw: requests reached backends that had said they were leaving, more than two
seconds after the store had taken that, from entries of two failure domains in the same
moment, while all of them had the newest configuration.

The order of events, as far as it could be brought about again: all entries follow the
list of backends; something other than the leaving takes the list from all of them at once;
a backend leaves; every entry goes on to take it for ready. Two things do that. An entry of
the list that cannot be read made the whole list unusable, and so did each watch that told
of one. A connection to the store that fell silent without a reset was believed for seven
seconds.

Evidence: both run on the code of the incident's landing in these tests, and failed there.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.direct._choice import Chosen, Wanted
from canvasyoke.direct._follower import EndpointFollower
from canvasyoke.direct._known_backends import BackendChange
from canvasyoke.direct._roster import Roster
from canvasyoke.platform._store import ObjectsFleetStore
from fakes.object_store import ObjectStore
from fakes.store_pool import StorePool
from tests.direct import wait_until

#: Milliseconds that the operator grants from a leaving to the last request that reaches the
#: backend, and from a reset of connections until they count as whole again.
LEAVING_BOUND = 2_000
RESET_BOUND = 3_000


def spec(number: int, state: str = "ready", **fields: Any) -> dict[str, Any]:
    """Return what a backend writes into the store."""
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


class FollowedStore:
    """One entry's follower of the store's list of backends, in simulated time."""

    def __init__(self) -> None:
        self.clock = ManualClock(start=10_000)
        self.store = ObjectStore()
        for number in (1, 2, 3):
            self.store.put("servers", f"b-{number}", spec(number))
        self.pool = StorePool(self.store, self.clock)
        client = ObjectsFleetStore("127.0.0.1:1")
        client._pool = self.pool  # type: ignore[assignment]
        self.roster = Roster("nbo-a", self.clock, random.Random(1))
        self.told: list[BackendChange] = []
        self.follower = EndpointFollower(
            client, self.roster, self.told.append, lambda: True, self.clock, random.Random(1)
        )

    def start(self) -> None:
        """Follow until the first list is known."""
        self.follower.start()
        wait_until(lambda: self.roster.is_known, "the list is known")

    def stop(self) -> None:
        """Follow no further."""
        self.follower._stop.set()

    def chosen(self) -> set[str]:
        """Return the backends that requests go to."""
        taken: set[str] = set()
        while True:
            found = self.roster.choose(Wanted("shelf", frozenset(taken)))
            if not isinstance(found, Chosen):
                return taken
            taken.add(found.endpoint.id)
            self.roster.cancelled(found.endpoint.id)

    def wait_chosen(self, wanted: set[str], what: str) -> None:
        """Wait until requests go to just the backends that are wanted."""
        wait_until(lambda: self.chosen() == wanted, what)


@pytest.fixture
def followed() -> Iterator[FollowedStore]:
    followed = FollowedStore()
    yield followed
    followed.stop()


#: What stands in the store beside sound entries, by what is wrong with it.
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


@pytest.fixture
def make_followed() -> Iterator[Callable[[], FollowedStore]]:
    made: list[FollowedStore] = []

    def make() -> FollowedStore:
        made.append(FollowedStore())
        return made[-1]

    yield make
    for followed in made:
        followed.stop()


def test_an_entry_that_cannot_be_read_hides_no_leaving_backend(
    make_followed: Callable[[], FollowedStore],
) -> None:
    for case, odd in UNREADABLE.items():
        followed = make_followed()
        followed.start()
        followed.store.put("servers", "a-odd", odd)
        followed.store.put("servers", "b-1", spec(1, "draining"))
        followed.store.remove("servers", "b-2")
        followed.wait_chosen({"b-3"}, f"only b-3 is chosen beside {case}")


def test_an_entry_that_cannot_be_read_hides_no_sound_backend(
    make_followed: Callable[[], FollowedStore],
) -> None:
    for case, odd in UNREADABLE.items():
        followed = make_followed()
        followed.store.put("servers", "a-odd", odd)
        followed.start()
        sound = {"b-1", "b-2", "b-3"}
        followed.wait_chosen(sound, f"the sound are chosen beside {case}")


def test_a_silent_connection_to_the_store_hides_a_leaving_no_longer_than_is_granted(
    followed: FollowedStore,
) -> None:
    followed.start()
    wait_until(lambda: followed.store.watching["servers"] == 1, "the watch waits")
    silent_at = followed.clock.now()

    def fall_silent() -> None:
        followed.pool.is_silent = True
        followed.store.put("servers", "b-1", spec(1, "draining"))

    followed.pool.before_call.append(fall_silent)
    followed.wait_chosen({"b-2", "b-3"}, "the leaving is known")
    assert followed.clock.now() - silent_at <= max(LEAVING_BOUND, RESET_BOUND)
