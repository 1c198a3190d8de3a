"""Sees that a process's note stands in the store, and with it the key of the links.

A store that is back from an older copy may have lost both. Who is linked does not miss them;
a process that starts then would find nobody, and with a key of its own reach nobody.
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
#: Milliseconds between looks, on the mean. A look may be answered from seconds ago and costs
#: a tenth of a call: with 10,000 processes 333 a second, which the store's rate leaves out.
_LOOK_EVERY: Final = 30 * SECOND


class NoteKeeper:
    """Keeps one note, on a task of its own: a store that is dark takes two seconds a look."""

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
        #: Name and body of the note to be kept; ``None`` before there is one.
        self._kept: tuple[str, bytes] | None = None
        self._link_key = b""
        self._stop = threading.Event()
        self._task = threading.Thread(target=self._run, name="note-keeper", daemon=True)

    def start(self) -> None:
        """Start the task."""
        self._task.start()

    def stop(self) -> None:
        """End the task."""
        self._stop.set()

    def keep(self, name: str, body: bytes, link_key: bytes) -> None:
        """Keep this note from now on; it has just been written."""
        self._link_key = link_key
        self._kept = (name, body)

    def _run(self) -> None:
        while not self._stop.wait(_LOOK_EVERY * self._rng.uniform(0.5, 1.5) / SECOND):
            self.look()

    def look(self) -> None:
        """Write the note again if it is gone, and the key where there is none."""
        if self._kept is None:
            return
        name, body = self._kept
        found = self._store.note(self._kind, name, may_be_old=True)
        if isinstance(found, Unavailable | Unusable) or found is not None:
            return
        key = read_link_key(self._store, self._key_name, self._link_key)
        if key and key != self._link_key:
            self._link_key = key
            self._use_key(key)
        written = self._store.put_note(self._kind, name, body)
        _log.warning("note was gone from the store", note=name, again=isinstance(written, Note))
