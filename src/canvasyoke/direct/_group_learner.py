"""Discovery of the rank groups that engines belong to.

To limit the number of queries, only the entries that watch the store for a failure domain
query the engines of that domain, and share the results. Other entries query an engine only
if its group stays unknown.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.backend import DirectBackendPort
from canvasyoke.direct._roster import Roster
from canvasyoke.observe import part_logger
from canvasyoke.state import Endpoint, RoutingTable

_log = part_logger("groups")
#: Milliseconds between rounds of queries. A query costs an engine as much as a health probe.
_POLL_INTERVAL: Final = 1 * SECOND
#: Milliseconds after which any entry queries an engine whose group is still unknown. This is five
#: rounds of the entries that should have queried it.
_FALLBACK_DELAY: Final = 5 * SECOND


class GroupLearner:
    """Queries backends of the roster for their groups."""

    def __init__(
        self,
        port: DirectBackendPort,
        roster: Roster,
        table: Callable[[], RoutingTable],
        is_watching: Callable[[], bool],
        on_learned: Callable[[str, str], None],
        clock: Clock,
    ) -> None:
        self._port = port
        self._is_watching = is_watching
        self._on_learned = on_learned
        self._clock = clock
        #: Time since which the group of a backend is unknown, or of the last fallback query.
        self._missing_since: dict[str, int] = {}
        self._roster = roster
        self._table = table
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="groups", daemon=True)

    def start(self) -> None:
        """Start the query thread."""
        self._thread.start()

    def _run(self) -> None:
        while not self._stop.wait(_POLL_INTERVAL / SECOND):
            self.poll()

    def poll(self) -> None:
        """Query the backends whose group is unknown, as far as this entry is to do so."""
        services = self._table().services.values()
        grouped = frozenset(s.name for s in services if s.geometry is not None)
        for endpoint in self._due(self._roster.with_unknown_group(grouped)):
            if not self._roster.may_query(endpoint):
                continue
            group = self._port.group_of(endpoint)
            if group is not None and self._roster.learn_group(endpoint.run, group):
                self._on_learned(endpoint.run, group)
                _log.info("group learned", backend=endpoint.run, group=group)

    def _due(self, missing: list[Endpoint]) -> list[Endpoint]:
        """Return the backends that this entry should query now."""
        now = self._clock.now()
        missing_since = self._missing_since
        self._missing_since = {e.run: missing_since.get(e.run, now) for e in missing}
        own_domain = self._roster.domain if self._is_watching() else ""
        overdue = [e for e in missing if now - self._missing_since[e.run] >= _FALLBACK_DELAY]
        for endpoint in overdue:
            self._missing_since[endpoint.run] = now
        return [e for e in missing if e.domain == own_domain or e in overdue]
