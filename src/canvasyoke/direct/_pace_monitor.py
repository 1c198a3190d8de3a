"""Detection of the engines that slow down their group.

The ranks of a group run in lockstep, so one slow engine delays the streams of all of them,
and only a query to each engine shows which one it is. A query costs as much as a health
probe: only the entries that watch the store for a failure domain send it, while a group's
events are late, and they share the results.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.backend import DirectBackendPort
from canvasyoke.direct._roster import Roster
from canvasyoke.observe import part_logger
from canvasyoke.state import RoutingTable

_log = part_logger("pace")
#: Milliseconds between rounds of queries. Up to 63 engines are queried by two entries each.
_POLL_INTERVAL: Final = 1 * SECOND
#: Slowdown factor from which an engine is reported as slow.
_SLOW_PACE: Final = 1.2


class PaceMonitor:
    """Queries the engines of slow groups for their pace."""

    def __init__(
        self,
        port: DirectBackendPort,
        roster: Roster,
        table: Callable[[], RoutingTable],
        is_watching: Callable[[], bool],
        on_learned: Callable[[str, float], None],
    ) -> None:
        self._port = port
        self._roster = roster
        self._table = table
        self._is_watching = is_watching
        self._on_learned = on_learned
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="pace", daemon=True)

    def start(self) -> None:
        """Start the query thread."""
        self._thread.start()

    def _run(self) -> None:
        while not self._stop.wait(_POLL_INTERVAL / SECOND):
            if self._is_watching():
                self.poll()

    def poll(self) -> None:
        """Query the engines of this domain whose groups are late or that are known to be slow."""
        for service, longest in self._pause_limits():
            for endpoint in self._roster.in_slow_groups(service, longest):
                if not self._roster.may_query(endpoint):
                    continue
                pace = self._port.slowdown_of(endpoint)
                was_slow = self._roster.is_slow(endpoint.run)
                if pace is None or (pace < _SLOW_PACE and not was_slow):
                    continue
                reported = pace if pace >= _SLOW_PACE else 1.0
                if self._roster.learn_pace(endpoint.run, reported):
                    self._on_learned(endpoint.run, reported)
                    _log.info("pace learned", backend=endpoint.run, pace=reported)

    def _pause_limits(self) -> Iterator[tuple[str, int]]:
        """Yield each grouped service with the shortest pause limit of its routes."""
        table = self._table()
        grouped = {s.name for s in table.services.values() if s.geometry is not None}
        limits: dict[str, int] = {}
        for route in table.routes:
            for share in route.shares:
                if share.service in grouped and route.longest_pause:
                    known = limits.get(share.service, route.longest_pause)
                    limits[share.service] = min(known, route.longest_pause)
        yield from limits.items()
