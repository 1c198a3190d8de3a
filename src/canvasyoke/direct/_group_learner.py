"""Asks engines once which rank group they belong to."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.backend import DirectBackendPort
from canvasyoke.direct._roster import Roster
from canvasyoke.observe import part_logger
from canvasyoke.state import RoutingTable

_log = part_logger("groups")
#: Milliseconds between looks for engines whose group is not known. The platform prices
#: each question like a health probe, so an engine that does not answer is not pressed.
_LOOK_EVERY: Final = 1 * SECOND


class GroupLearner:
    """Fills in the groups of a roster's backends."""

    def __init__(
        self, port: DirectBackendPort, roster: Roster, table: Callable[[], RoutingTable]
    ) -> None:
        self._port = port
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
            for endpoint in self._roster.without_group(grouped):
                group = self._port.group_of(endpoint)
                if group is not None:
                    self._roster.learn_group(endpoint.id, group)
                    _log.info("group learned", backend=endpoint.id, group=group)
