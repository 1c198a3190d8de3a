"""Discovery of direct entries through notes in the platform's store.

A store restored from an older copy may have lost notes. Each entry then rewrites its own note
and the link key, after a random delay that spreads the writes of a large fleet.
"""

from __future__ import annotations

import random
from typing import Annotated, Final

import msgspec

from canvasyoke._clock import SECOND, Clock
from canvasyoke.membership import Node
from canvasyoke.observe import part_logger
from canvasyoke.state import (
    FleetStore,
    Note,
    SocketAddress,
    Unusable,
    read_link_key,
    read_note,
)

_log = part_logger("peers")
#: Milliseconds between polls until this entry is registered and linked.
_POLL_INTERVAL: Final = 1 * SECOND
#: Milliseconds between polls after that.
_SETTLED_POLL_INTERVAL: Final = 15 * SECOND
#: Milliseconds per entry of the fleet over which rewrites are spread after a restore, to stay
#: within the rate of calls that the store accepts. Two calls per entry, at 200 calls a second, are
#: half of what the store accepts from a small fleet.
_REWRITE_SPREAD: Final = 10
_KIND: Final = "entries"
_KEY_NAME: Final = "entries"


class _EntryNote(msgspec.Struct, frozen=True):
    """Body of the note of an entry."""

    peer: SocketAddress
    #: Failure domain of the entry; empty in notes of older versions.
    domain: Annotated[str, msgspec.Meta(max_length=200)] = ""


class EntryNotes:
    """Writes this entry's note and reads those of the others."""

    def __init__(self, own: Node, store: FleetStore, clock: Clock, rng: random.Random) -> None:
        self._own = own
        self._store = store
        self._clock = clock
        self._rng = rng
        self._is_registered = False
        #: Latest known era of the store, and when this entry rewrites its note; 0 if not
        #: scheduled.
        self._era = 0
        self._rewrite_at = 0
        #: Other entries at the last poll, and until when those missing in the store are kept.
        self._nodes: dict[str, Node] = {}
        self._keep_until = 0
        self._polled_at = -_POLL_INTERVAL
        self._unreadable: set[Note] = set()
        #: Key with which entries of a fleet authenticate links to each other; empty until read
        #: from the store.
        self.link_key = b""

    def poll(self, is_linked: bool, era: int = 0) -> list[Node] | None:
        """Return the other entries, or ``None`` if no poll is due or the store has no answer.

        Also writes the note of this entry if it is missing, as at the start and after the
        store was restored, which a higher ``era`` indicates.
        """
        now = self._clock.now()
        self._rewrite_after_restore(era, now)
        is_settled = self._is_registered and is_linked
        if now - self._polled_at < (_SETTLED_POLL_INTERVAL if is_settled else _POLL_INTERVAL):
            return None
        self._polled_at = now
        if not self._is_registered:
            self.link_key = read_link_key(self._store, _KEY_NAME, self.link_key) or self.link_key
        if not self.link_key:
            return None
        if not self._is_registered:
            body = msgspec.json.encode(_EntryNote(self._own.address, self._own.domain))
            note = self._store.put_note(_KIND, self._own.name, body)
            self._is_registered = isinstance(note, Note)
        # Once linked, a stale list is good enough, and cheaper.
        notes = self._store.notes(_KIND, allow_stale=is_settled)
        if not isinstance(notes, list):
            _log.warning("cannot list entries", cause=notes.detail)
            return None
        nodes = [self._parse_note(note) for note in notes if note.name != self._own.name]
        found = {node.name: node for node in nodes if node is not None}
        if now < self._keep_until:
            found = self._nodes | found
        self._nodes = found
        return list(found.values())

    def _rewrite_after_restore(self, era: int, now: int) -> None:
        """Schedule a rewrite of the note in a new era, and force a poll once it is due."""
        if era > self._era:
            self._era = era
            if self._is_registered:
                spread = _REWRITE_SPREAD * len(self._nodes)
                self._rewrite_at = now + self._rng.randint(1, 1 + spread)
                # Keep links with entries that have not rewritten their notes yet.
                self._keep_until = now + spread + 2 * _SETTLED_POLL_INTERVAL
        if self._rewrite_at and now >= self._rewrite_at:
            self._rewrite_at = 0
            self._is_registered = False
            self._polled_at = now - _POLL_INTERVAL

    def _parse_note(self, note: Note) -> Node | None:
        """Return the entry of a note; an unreadable note is logged once."""
        parsed = read_note(note, _EntryNote)
        if not isinstance(parsed, Unusable):
            return Node(note.name, parsed.peer, parsed.domain)
        if note not in self._unreadable:
            self._unreadable.add(note)
            _log.warning("ignoring unreadable note of an entry", cause=parsed.detail)
        return None
