"""Exchange of configurations between entries.

Configurations are large, and most entries receive them from the store at the same time.
Entries therefore announce only the version, and request the document if theirs is older.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.direct._packed_document import DocumentError, pack_document, unpack_document
from canvasyoke.direct._table_follower import TableView
from canvasyoke.observe import part_logger
from canvasyoke.protocol import TableDocument, TableRequest
from canvasyoke.state import FleetStore, Unusable
from canvasyoke.transport import Session

_log = part_logger("peers")
#: Milliseconds for which an entry that watches the store waits for it to deliver a newer
#: configuration before requesting that from a peer.
_STORE_GRACE: Final = 150
#: Milliseconds between requests.
_RETRY_INTERVAL: Final = 500


class TableExchange:
    """Sends, requests and adopts configurations."""

    def __init__(
        self, store: FleetStore, view: TableView, is_watching: Callable[[], bool], clock: Clock
    ) -> None:
        self._store = store
        self._view = view
        self._is_watching = is_watching
        self._clock = clock
        #: Newest version announced by a peer, that peer, and the time.
        self._newer: tuple[int, Session, int] | None = None
        self._requested_at = -_RETRY_INTERVAL

    def adopt(self, session: Session, message: TableDocument) -> None:
        """Put a configuration sent by a peer in force if it is newer."""
        if message.version <= self._view.current.version:
            return
        try:
            document = unpack_document(message.document)
        except DocumentError as exc:
            _log.warning("cannot decompress configuration", peer=session.peer, cause=exc)
            return
        table = self._store.parse_table(document)
        if isinstance(table, Unusable):
            _log.warning("configuration rejected", peer=session.peer, cause=table.detail)
            return
        self._view.adopt(table, document, f"peer {session.peer}")

    def observe_version(self, version: int, session: Session) -> None:
        """Record the configuration version that a peer has announced."""
        if version <= self._view.current.version:
            return
        newer = self._newer
        if newer is None or newer[0] < version:
            self._newer = (version, session, self._clock.now())
            self.request_newer()
        elif newer[1].closed or self._requested_at >= newer[2]:
            self._newer = (version, session, newer[2])  # request from this peer next

    def request_newer(self) -> None:
        """Request a newer configuration that the store has not delivered in time."""
        newer, now = self._newer, self._clock.now()
        if newer is None:
            return
        version, session, observed_at = newer
        current = self._view.current.version
        if version <= current:
            self._newer = None
            return
        grace = _STORE_GRACE if current and self._is_watching() else 0
        if now - observed_at >= grace and now - self._requested_at >= _RETRY_INTERVAL:
            self._requested_at = now
            session.send(TableRequest(current))

    def send(self, session: Session, version: int) -> None:
        """Send the configuration in force to a peer that has the older ``version``."""
        table, document = self._view.current, self._view.document
        if document and table.version > version:
            session.send(TableDocument(table.version, pack_document(document)))
