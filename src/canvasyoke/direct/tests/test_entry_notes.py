"""Tests of the discovery of entries through notes in the store."""

from __future__ import annotations

import random
from typing import cast

import msgspec

from canvasyoke._clock import ManualClock
from canvasyoke.direct._entry_notes import EntryNotes
from canvasyoke.direct.tests.fleet_model import SimStore
from canvasyoke.membership import Node
from canvasyoke.platform._store import ObjectsFleetStore
from canvasyoke.state import FleetStore, Note
from fakes.object_store import ObjectStore, StoreEndpoint


def test_unreadable_notes_do_not_hide_other_entries() -> None:
    """Unreadable notes must not end the discovery thread."""
    own, other = Node("a", "10.0.0.1:7340", "nbo-a"), Node("b", "10.0.0.2:7340", "nbo-a")
    store = SimStore([own, other])
    for name, body in (("odd-1", b"\xff"), ("odd-2", msgspec.json.encode({"peer": 7}))):
        store.entry_notes.insert(0, Note(name, 1, body))
    notes = EntryNotes(own, cast(FleetStore, store), ManualClock(start=10_000), random.Random(1))
    assert notes.poll(is_linked=False) == [other]


def test_note_is_rewritten_after_a_restore() -> None:
    """It keeps entries that have not rewritten their notes yet, and restores the key."""
    own, other = Node("a", "10.0.0.1:7340", "nbo-a"), Node("b", "10.0.0.2:7340", "nbo-a")
    store = ObjectStore()
    door = StoreEndpoint(store)
    clock = ManualClock(start=100_000)
    client = ObjectsFleetStore(door.address)
    notes = EntryNotes(own, client, clock, random.Random(1))
    empty = store.snapshot()
    try:
        store.put("entries", "b", {"peer": other.address, "domain": "nbo-a"})
        assert notes.poll(is_linked=False, era=0) == [other]
        key = notes.link_key
        store.restore(empty)
        clock.advance(500)
        assert notes.poll(is_linked=True, era=0) is None, "no poll is due"
        assert notes.poll(is_linked=True, era=1) is None, "the rewrite is delayed"
        clock.advance(100)
        assert notes.poll(is_linked=True, era=1) == [other]
        assert set(store.get("entries")) == {"a"}
        assert store.get("link-keys") == {"entries": key.hex()}
        clock.advance(40_000)
        assert notes.poll(is_linked=True, era=1) == [], "an entry that does not return is dropped"
    finally:
        door.close()


def test_entries_agree_on_one_link_key_after_a_restore() -> None:
    store = ObjectStore()
    door = StoreEndpoint(store)
    clock = ManualClock(start=100_000)
    notes = {
        name: EntryNotes(
            Node(name, "10.0.0.1:7340", "nbo-a"),
            ObjectsFleetStore(door.address),
            clock,
            random.Random(name),
        )
        for name in ("old-1", "old-2", "new")
    }
    empty = store.snapshot()
    try:
        for name in ("old-1", "old-2"):
            notes[name].poll(is_linked=False)
        store.restore(empty)
        notes["new"].poll(is_linked=False, era=1)
        for _ in range(3):
            clock.advance(1_000)
            for each in notes.values():
                each.poll(is_linked=True, era=1)
        assert len({each.link_key for each in notes.values()}) == 1
    finally:
        door.close()
