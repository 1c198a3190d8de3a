"""Follows the configuration in the store."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from canvasyoke._clock import Clock
from canvasyoke.direct._store_follower import (
    IDLE_INTERVAL,
    PAUSE_AFTER_CHANGES,
    PAUSE_AFTER_TIMEOUT,
    WATCH_TIMEOUT,
    StoreFollower,
)
from canvasyoke.observe import part_logger
from canvasyoke.state import (
    FleetStore,
    HistoryGone,
    NoChange,
    RoutingTable,
    StorePosition,
    TableRead,
    TableWatchResult,
    format_position,
)

_log = part_logger("store")


class TableView:
    """The configuration in force; its version never decreases, whatever the source."""

    def __init__(self, on_change: Callable[[RoutingTable], None]) -> None:
        self._lock = threading.Lock()
        self._on_change = on_change
        #: Routing table in force; version 0 before the first one.
        self.current = RoutingTable()
        #: Document that the table was parsed from, for peers.
        self.document = b""

    def form_time(self, service: str) -> int:
        """Return the milliseconds in which a service's rank group forms; 0 if unknown."""
        found = self.current.services.get(service)
        return found.form_time if found is not None else 0

    def adopt(self, table: RoutingTable, document: bytes, source: str) -> bool:
        """Put ``table`` in force if it is newer; return whether it was."""
        with self._lock:
            if table.version <= self.current.version:
                return False
            before = self.current.version
            self.current, self.document = table, document
        _log.info("configuration in force", version=table.version, before=before, source=source)
        self._on_change(table)
        return True


class TableFollower(StoreFollower):
    """Puts new configurations from the store in force."""

    def __init__(
        self,
        store: FleetStore,
        view: TableView,
        is_watching: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__("configuration", clock, rng)
        self._store = store
        self._view = view
        self._is_watching = is_watching

    def _fetch(self, position: StorePosition) -> TableWatchResult:
        if position:
            return self._store.watch_table(position, WATCH_TIMEOUT)
        return self._store.table(self._availability.timeout)

    def _run(self) -> None:
        position: StorePosition = 0
        while not self._stop.is_set():
            if self._view.current.version and not self._is_watching():
                position = 0
                self._availability.suspend()
                self._pause(IDLE_INTERVAL)
                continue
            self._availability.resume()
            match self._fetch(position):
                case TableRead() as seen:
                    self._availability.record_success()
                    position = seen.position
                    self._view.adopt(seen.table, seen.document, "store")
                    self._pause(PAUSE_AFTER_CHANGES)
                case NoChange() as seen:
                    self._availability.record_success()
                    position = position or seen.position
                    self._pause(PAUSE_AFTER_TIMEOUT)
                case HistoryGone():
                    _log.info(
                        "the store forgot its history",
                        what="configuration",
                        at=format_position(position),
                    )
                    position = 0
                case seen:
                    position = 0
                    self._availability.record_failure(seen)
