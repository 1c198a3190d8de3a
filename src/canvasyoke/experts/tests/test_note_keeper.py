"""A rank's note and the links' key are in the store again after it came back without them."""

from __future__ import annotations

import random
from collections.abc import Iterator

import pytest

from canvasyoke.experts._note_keeper import NoteKeeper
from canvasyoke.platform._store import ObjectsFleetStore
from canvasyoke.state import Note, read_link_key
from fakes.object_store import ObjectStore, StoreDoor

KEY = b"k" * 32
BODY = b'{"peer":"10.0.0.1:7340","engine":"10.0.0.1:8080"}'


@pytest.fixture
def store() -> ObjectStore:
    return ObjectStore()


@pytest.fixture
def door(store: ObjectStore) -> Iterator[StoreDoor]:
    made = StoreDoor(store)
    yield made
    made.close()


def made(door: StoreDoor, used: list[bytes]) -> tuple[ObjectsFleetStore, NoteKeeper]:
    client = ObjectsFleetStore(door.address)
    return client, NoteKeeper(client, "map-ranks", "ranks", used.append, random.Random(1))


def test_what_was_lost_is_written_again(store: ObjectStore, door: StoreDoor) -> None:
    used: list[bytes] = []
    client, keeper = made(door, used)
    empty = store.copy()
    assert read_link_key(client, "ranks", KEY) == KEY
    assert isinstance(client.put_note("map-ranks", "g-1.0", BODY), Note)
    keeper.keep("g-1.0", BODY, KEY)
    store.return_from(empty)
    keeper.look()
    assert set(store.get("map-ranks")) == {"g-1.0"}
    assert store.get("link-keys") == {"ranks": KEY.hex()}
    assert not used


def test_a_key_that_another_made_meanwhile_is_taken(store: ObjectStore, door: StoreDoor) -> None:
    used: list[bytes] = []
    client, keeper = made(door, used)
    keeper.keep("g-1.0", BODY, KEY)
    store.return_from(store.copy())
    theirs = read_link_key(client, "ranks")
    keeper.look()
    assert used == [theirs] != [KEY]


def test_a_note_that_is_there_costs_one_look(store: ObjectStore, door: StoreDoor) -> None:
    client, keeper = made(door, [])
    keeper.look()
    assert door.calls == 0, "nothing to keep yet"
    assert isinstance(client.put_note("map-ranks", "g-1.0", BODY), Note)
    keeper.keep("g-1.0", BODY, KEY)
    before = door.calls
    keeper.look()
    assert door.calls == before + 1


def test_a_store_that_is_dark_is_left_alone(store: ObjectStore, door: StoreDoor) -> None:
    _, keeper = made(door, [])
    keeper.keep("g-1.0", BODY, KEY)
    door.faults.status = 503
    keeper.look()
    assert door.calls == 1
