"""How an entry finds the others among notes that not all can be read."""

from __future__ import annotations

from typing import cast

import msgspec

from canvasyoke._clock import ManualClock
from canvasyoke.direct._entry_notes import EntryNotes
from canvasyoke.direct.tests.fleet_model import SimStore
from canvasyoke.membership import Place
from canvasyoke.state import FleetStore, Note


def test_a_note_that_cannot_be_read_hides_no_other_entry() -> None:
    """It ended the task that finds the others, and with it every link that was to come."""
    own, other = Place("a", "10.0.0.1:7340", "nbo-a"), Place("b", "10.0.0.2:7340", "nbo-a")
    store = SimStore([own, other])
    for name, body in (("odd-1", b"\xff"), ("odd-2", msgspec.json.encode({"peer": 7}))):
        store.notes_now.insert(0, Note(name, 1, body))
    notes = EntryNotes(own, cast(FleetStore, store), ManualClock(start=10_000))
    assert notes.look(is_linked=False) == [other]
