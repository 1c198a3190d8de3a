"""Asks engines once which rank group they belong to, and has the answer passed on.

Each entry asked each engine: 99 entries put 19,008 questions, each over a connection of
its own, before they had answered their first 2,300 requests. Now the entries that watch
the store for a failure domain ask that domain's engines. Whoever has not heard of an
engine's group for some time asks it too.
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
#: Milliseconds between looks for engines whose group is not known. The platform prices
#: each question like a health probe, so an engine that does not answer is not pressed.
_LOOK_EVERY: Final = 1 * SECOND
#: Milliseconds without word after which any entry asks an engine: five looks of those
#: that should have asked it.
_PATIENCE: Final = 5 * SECOND


class GroupLearner:
    """Fills in the groups of a roster's backends."""

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
        #: Since when the group of a backend is missing.
        self._missing_since: dict[str, int] = {}
        self._roster = roster
        self._table = table
        self._stop = threading.Event()
        self._task = threading.Thread(target=self._run, name="groups", daemon=True)

    def start(self) -> None:
        """Start asking."""
        self._task.start()

    def _run(self) -> None:
        while not self._stop.wait(_LOOK_EVERY / SECOND):
            services = self._table().services.values()
            grouped = frozenset(s.name for s in services if s.geometry is not None)
            for endpoint in self._due(self._roster.without_group(grouped)):
                group = self._port.group_of(endpoint)
                if group is not None and self._roster.learn_group(endpoint.run, group):
                    self._on_learned(endpoint.run, group)
                    _log.info("group learned", backend=endpoint.run, group=group)

    def _due(self, missing: list[Endpoint]) -> list[Endpoint]:
        """Return the backends that this entry asks now."""
        now = self._clock.now()
        since = self._missing_since
        self._missing_since = {e.run: since.get(e.run, now) for e in missing}
        mine = self._roster.domain if self._is_watching() else ""
        overdue = [e for e in missing if now - self._missing_since[e.run] >= _PATIENCE]
        for endpoint in overdue:
            self._missing_since[endpoint.run] = now
        return [e for e in missing if e.domain == mine or e in overdue]
