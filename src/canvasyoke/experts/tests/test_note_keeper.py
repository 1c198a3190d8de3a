"""A note and the link key are restored after the store has lost them."""

from __future__ import annotations

import random
from collections.abc import Iterator

import pytest

from canvasyoke.experts._note_keeper import NoteKeeper
from canvasyoke.platform._store import ObjectsFleetStore
from canvasyoke.state import Note, read_link_key
from fakes.object_store import ObjectStore, StoreEndpoint

KEY = b"k" * 32
BODY = b'{"peer":"10.0.0.1:7340","engine":"10.0.0.1:8080"}'


@pytest.fixture
def store() -> ObjectStore:
    return ObjectStore()


@pytest.fixture
def door(store: ObjectStore) -> Iterator[StoreEndpoint]:
    make_keeper = StoreEndpoint(store)
    yield make_keeper
    make_keeper.close()


def make_keeper(door: StoreEndpoint, used: list[bytes]) -> tuple[ObjectsFleetStore, NoteKeeper]:
    client = ObjectsFleetStore(door.address)
    return client, NoteKeeper(client, "map-ranks", "ranks", used.append, random.Random(1))


def test_a_lost_note_and_key_are_restored(store: ObjectStore, door: StoreEndpoint) -> None:
    used: list[bytes] = []
    client, keeper = make_keeper(door, used)
    empty = store.snapshot()
    assert read_link_key(client, "ranks", KEY) == KEY
    assert isinstance(client.put_note("map-ranks", "g-1.0", BODY), Note)
    keeper.keep("g-1.0", BODY, KEY)
    store.restore(empty)
    keeper.check()
    assert set(store.get("map-ranks")) == {"g-1.0"}
    assert store.get("link-keys") == {"ranks": KEY.hex()}
    assert not used


def test_a_key_created_by_another_process_is_adopted(
    store: ObjectStore, door: StoreEndpoint
) -> None:
    used: list[bytes] = []
    client, keeper = make_keeper(door, used)
    keeper.keep("g-1.0", BODY, KEY)
    store.restore(store.snapshot())
    theirs = read_link_key(client, "ranks")
    keeper.check()
    assert used == [theirs] != [KEY]


def test_checking_an_existing_note_takes_one_call(store: ObjectStore, door: StoreEndpoint) -> None:
    client, keeper = make_keeper(door, [])
    keeper.check()
    assert door.calls == 0, "nothing to keep yet"
    assert isinstance(client.put_note("map-ranks", "g-1.0", BODY), Note)
    keeper.keep("g-1.0", BODY, KEY)
    before = door.calls
    keeper.check()
    assert door.calls == before + 1


def test_nothing_is_written_to_an_unavailable_store(
    store: ObjectStore, door: StoreEndpoint
) -> None:
    _, keeper = make_keeper(door, [])
    keeper.keep("g-1.0", BODY, KEY)
    door.faults.status = 503
    keeper.check()
    assert door.calls == 1
