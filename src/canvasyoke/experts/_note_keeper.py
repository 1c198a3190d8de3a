"""Keeps a process's note and the link key in the store.

A store restored from an older copy may lack both. Existing links do not need them, but a process
that starts later would find no other process, or create a link key that the others do not accept.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.observe import part_logger
from canvasyoke.state import FleetStore, Note, Unavailable, Unusable, read_link_key

_log = part_logger("ranks")
#: Mean milliseconds between checks. A check accepts an outdated answer, which the platform's store
#: serves at a fraction of the cost of a regular call. With 10,000 processes these are 333 checks a
#: second.
_CHECK_INTERVAL: Final = 30 * SECOND


class NoteKeeper:
    """Keeps one note, on a separate thread because calls to an unavailable store block."""

    def __init__(
        self,
        store: FleetStore,
        kind: str,
        key_name: str,
        use_key: Callable[[bytes], None],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._kind = kind
        self._key_name = key_name
        self._use_key = use_key
        self._rng = rng
        #: Name and body of the note; ``None`` until it has been written.
        self._note: tuple[str, bytes] | None = None
        self._link_key = b""
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="note-keeper", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stop.set()

    def keep(self, name: str, body: bytes, link_key: bytes) -> None:
        """Keep this note from now on; the caller has just written it."""
        self._link_key = link_key
        self._note = (name, body)

    def _run(self) -> None:
        while not self._stop.wait(_CHECK_INTERVAL * self._rng.uniform(0.5, 1.5) / SECOND):
            self.check()

    def check(self) -> None:
        """Restore the note, and the link key if it is missing too."""
        if self._note is None:
            return
        name, body = self._note
        found = self._store.note(self._kind, name, allow_stale=True)
        if isinstance(found, Unavailable | Unusable) or found is not None:
            return
        key = read_link_key(self._store, self._key_name, self._link_key)
        if key and key != self._link_key:
            self._link_key = key
            self._use_key(key)
        written = self._store.put_note(self._kind, name, body)
        _log.warning("note was gone from the store", note=name, again=isinstance(written, Note))
