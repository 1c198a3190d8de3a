"""How an entry finds the others among notes that not all can be read."""

from __future__ import annotations

import random
from typing import cast

import msgspec

from canvasyoke._clock import ManualClock
from canvasyoke.direct._entry_notes import EntryNotes
from canvasyoke.direct.tests.fleet_model import SimStore
from canvasyoke.membership import Place
from canvasyoke.platform._store import ObjectsFleetStore
from canvasyoke.state import FleetStore, Note
from fakes.object_store import ObjectStore, StoreDoor


def test_a_note_that_cannot_be_read_hides_no_other_entry() -> None:
    """It ended the task that finds the others, and with it every link that was to come."""
    own, other = Place("a", "10.0.0.1:7340", "nbo-a"), Place("b", "10.0.0.2:7340", "nbo-a")
    store = SimStore([own, other])
    for name, body in (("odd-1", b"\xff"), ("odd-2", msgspec.json.encode({"peer": 7}))):
        store.notes_now.insert(0, Note(name, 1, body))
    notes = EntryNotes(own, cast(FleetStore, store), ManualClock(start=10_000), random.Random(1))
    assert notes.look(is_linked=False) == [other]


def test_an_entry_notes_itself_again_after_a_return() -> None:
    """The others are not there yet; links with them stay, and the key is put back."""
    own, other = Place("a", "10.0.0.1:7340", "nbo-a"), Place("b", "10.0.0.2:7340", "nbo-a")
    store = ObjectStore()
    door = StoreDoor(store)
    clock = ManualClock(start=100_000)
    client = ObjectsFleetStore(door.address)
    notes = EntryNotes(own, client, clock, random.Random(1))
    empty = store.copy()
    try:
        store.put("entries", "b", {"peer": other.address, "domain": "nbo-a"})
        assert notes.look(is_linked=False, era=0) == [other]
        key = notes.link_key
        store.return_from(empty)
        clock.advance(500)
        assert notes.look(is_linked=True, era=0) is None, "nothing is due"
        assert notes.look(is_linked=True, era=1) is None, "it waits for its turn"
        clock.advance(100)
        assert notes.look(is_linked=True, era=1) == [other]
        assert set(store.get("entries")) == {"a"}
        assert store.get("link-keys") == {"entries": key.hex()}
        clock.advance(40_000)
        assert notes.look(is_linked=True, era=1) == [], "who does not come back is let go"
    finally:
        door.close()


def test_entries_come_to_one_key_again() -> None:
    store = ObjectStore()
    door = StoreDoor(store)
    clock = ManualClock(start=100_000)
    notes = {
        name: EntryNotes(
            Place(name, "10.0.0.1:7340", "nbo-a"),
            ObjectsFleetStore(door.address),
            clock,
            random.Random(name),
        )
        for name in ("old-1", "old-2", "new")
    }
    empty = store.copy()
    try:
        for name in ("old-1", "old-2"):
            notes[name].look(is_linked=False)
        store.return_from(empty)
        notes["new"].look(is_linked=False, era=1)
        for _ in range(3):
            clock.advance(1_000)
            for each in notes.values():
                each.look(is_linked=True, era=1)
        assert len({each.link_key for each in notes.values()}) == 1
    finally:
        door.close()
