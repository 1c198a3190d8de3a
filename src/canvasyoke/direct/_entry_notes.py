"""How direct entries find each other: a note of each in the platform's store."""

from __future__ import annotations

from typing import Final

import msgspec

from canvasyoke._clock import SECOND, Clock
from canvasyoke.membership import Place
from canvasyoke.observe import part_logger
from canvasyoke.state import (
    FleetStore,
    Note,
    NotedAddress,
    Unusable,
    read_link_key,
    read_note,
)

_log = part_logger("peers")
#: Milliseconds between looks into the store while there is something to find there.
_LOOK_EVERY: Final = 1 * SECOND
#: Milliseconds between looks for entries that have come to be without being told of.
_LOOK_AGAIN_EVERY: Final = 15 * SECOND
_KIND: Final = "entries"
_KEY_NAME: Final = "entries"


class _EntryNote(msgspec.Struct, frozen=True):
    """Where an entry listens for the others."""

    peer: NotedAddress
    #: Failure domain of the entry; empty in notes of older ones.
    domain: str = ""


class EntryNotes:
    """This entry's note, and looks for those of others."""

    def __init__(self, own: Place, store: FleetStore, clock: Clock) -> None:
        self._own = own
        self._store = store
        self._clock = clock
        self._is_noted = False
        self._looked_at = -_LOOK_EVERY
        self._unreadable: set[Note] = set()
        #: The key that entries prove to each other that they are of one fleet; empty
        #: while the store has not given it.
        self.link_key = b""

    def look(self, is_linked: bool) -> list[Place] | None:
        """Return where the other entries are; ``None`` when it is not due or not known.

        The first looks see that this entry can be found, too.
        """
        now = self._clock.now()
        is_settled = self._is_noted and is_linked
        if now - self._looked_at < (_LOOK_AGAIN_EVERY if is_settled else _LOOK_EVERY):
            return None
        self._looked_at = now
        if not self.link_key:
            self.link_key = read_link_key(self._store, _KEY_NAME)
        if not self.link_key:
            return None
        if not self._is_noted:
            body = msgspec.json.encode(_EntryNote(self._own.address, self._own.domain))
            note = self._store.put_note(_KIND, self._own.name, body)
            self._is_noted = isinstance(note, Note)
        # Once linked, some seconds of age do no harm, and such a list costs a tenth.
        notes = self._store.notes(_KIND, may_be_old=is_settled)
        if not isinstance(notes, list):
            _log.warning("entries not listed", cause=notes.detail)
            return None
        places = [self._place(note) for note in notes if note.name != self._own.name]
        return [place for place in places if place is not None]

    def _place(self, note: Note) -> Place | None:
        """Return where an entry is; a note that cannot be read is logged once."""
        told = read_note(note, _EntryNote)
        if not isinstance(told, Unusable):
            return Place(note.name, told.peer, told.domain)
        if note not in self._unreadable:
            self._unreadable.add(note)
            _log.warning("note of an entry passed over", cause=told.detail)
        return None
