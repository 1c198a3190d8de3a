"""How entries pass configurations on to each other.

A configuration is large, and mostly all entries have it at the same moment. So only its
version is told, and an entry that lacks it asks for it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.direct._packed_document import DocumentError, pack_document, unpack_document
from canvasyoke.direct._table_follower import TableView
from canvasyoke.observe import part_logger
from canvasyoke.protocol import TableDocument, TableWanted
from canvasyoke.state import FleetStore, Unusable
from canvasyoke.transport import Session

_log = part_logger("peers")
#: Milliseconds that an entry which watches the store waits for it after another one told
#: of a newer configuration, and until any entry asks a second one for it.
_STORE_FIRST: Final = 150
_ASK_AGAIN: Final = 500


class TableExchange:
    """One entry's side; all calls but ``ask`` follow a message."""

    def __init__(
        self, store: FleetStore, view: TableView, is_watching: Callable[[], bool], clock: Clock
    ) -> None:
        self._store = store
        self._view = view
        self._is_watching = is_watching
        self._clock = clock
        #: The newest configuration that another entry told of, by whom, and when.
        self._newer: tuple[int, Session, int] | None = None
        self._asked_at = -_ASK_AGAIN

    def adopt(self, session: Session, message: TableDocument) -> None:
        """Take a configuration that another entry has sent."""
        if message.version <= self._view.current.version:
            return
        try:
            document = unpack_document(message.document)
        except DocumentError as exc:
            _log.warning("configuration cannot be read", peer=session.peer, cause=exc)
            return
        table = self._store.parse_table(document)
        if isinstance(table, Unusable):
            _log.warning("configuration not taken", peer=session.peer, cause=table.detail)
            return
        self._view.adopt(table, document, f"peer {session.peer}")

    def heard_of(self, version: int, session: Session) -> None:
        """Take note of the version that another entry follows."""
        if version <= self._view.current.version:
            return
        newer = self._newer
        if newer is None or newer[0] < version:
            self._newer = (version, session, self._clock.now())
            self.ask()
        elif newer[1].closed or self._asked_at >= newer[2]:
            self._newer = (version, session, newer[2])  # ask this one next

    def ask(self) -> None:
        """Ask for a newer configuration that the store has not brought."""
        newer, now = self._newer, self._clock.now()
        if newer is None:
            return
        version, session, heard_at = newer
        current = self._view.current.version
        if version <= current:
            self._newer = None
            return
        store_first = _STORE_FIRST if current and self._is_watching() else 0
        if now - heard_at >= store_first and now - self._asked_at >= _ASK_AGAIN:
            self._asked_at = now
            session.send(TableWanted(current))

    def send(self, session: Session, version: int) -> None:
        """Send the configuration in force to an entry that follows an older one."""
        table, document = self._view.current, self._view.document
        if document and table.version > version:
            session.send(TableDocument(table.version, pack_document(document)))
