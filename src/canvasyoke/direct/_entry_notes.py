"""How direct entries find each other: a note of each in the platform's store.

A store that is back from an older copy may have lost them. Each entry then writes its own
again, and puts the links' key back; entries of a large fleet do not do so all at once.
"""

from __future__ import annotations

import random
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
#: Milliseconds for each entry of the fleet over which their notes are spread after a return:
#: two calls each, at 200 a second, are half of what the store takes of a small fleet.
_SPREAD: Final = 10
_KIND: Final = "entries"
_KEY_NAME: Final = "entries"


class _EntryNote(msgspec.Struct, frozen=True):
    """Where an entry listens for the others."""

    peer: NotedAddress
    #: Failure domain of the entry; empty in notes of older ones.
    domain: str = ""


class EntryNotes:
    """This entry's note, and looks for those of others."""

    def __init__(self, own: Place, store: FleetStore, clock: Clock, rng: random.Random) -> None:
        self._own = own
        self._store = store
        self._clock = clock
        self._rng = rng
        self._is_noted = False
        #: Era of the store in which this entry has noted itself, and when it is to do so in
        #: a later one.
        self._era = 0
        self._again_at = 0
        #: Other entries at the last look, and until when those are kept that the store lacks.
        self._places: dict[str, Place] = {}
        self._keep_until = 0
        self._looked_at = -_LOOK_EVERY
        self._unreadable: set[Note] = set()
        #: The key that entries prove to each other that they are of one fleet; empty
        #: while the store has not given it.
        self.link_key = b""

    def look(self, is_linked: bool, era: int = 0) -> list[Place] | None:
        """Return where the other entries are; ``None`` when it is not due or not known.

        The first looks see that this entry can be found, too, and so do those after the
        store has come back from a copy, in the ``era`` that is known of.
        """
        now = self._clock.now()
        self._note_again_after_return(era, now)
        is_settled = self._is_noted and is_linked
        if now - self._looked_at < (_LOOK_AGAIN_EVERY if is_settled else _LOOK_EVERY):
            return None
        self._looked_at = now
        if not self._is_noted:
            self.link_key = read_link_key(self._store, _KEY_NAME, self.link_key) or self.link_key
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
        found = {place.name: place for place in places if place is not None}
        if now < self._keep_until:
            found = self._places | found
        self._places = found
        return list(found.values())

    def _note_again_after_return(self, era: int, now: int) -> None:
        """See that the entry notes itself again, and looks who is there, in a new era."""
        if era > self._era:
            self._era = era
            if self._is_noted:
                spread = _SPREAD * len(self._places)
                self._again_at = now + self._rng.randint(1, 1 + spread)
                # Links with entries that have not noted themselves again yet stay: of three
                # linked entries one had lost both of its links 1.2 s after a return.
                self._keep_until = now + spread + 2 * _LOOK_AGAIN_EVERY
        if self._again_at and now >= self._again_at:
            self._again_at = 0
            self._is_noted = False
            self._looked_at = now - _LOOK_EVERY

    def _place(self, note: Note) -> Place | None:
        """Return where an entry is; a note that cannot be read is logged once."""
        told = read_note(note, _EntryNote)
        if not isinstance(told, Unusable):
            return Place(note.name, told.peer, told.domain)
        if note not in self._unreadable:
            self._unreadable.add(note)
            _log.warning("note of an entry passed over", cause=told.detail)
        return None
