"""Finds the engines that hold up their group.

All ranks of a group make their steps together, so one slow engine makes the streams of all
of them late, and no entry can tell from the outside which one it is. An engine says so when
it is asked. Asking costs as much as a health probe: it is done while events of a group come
later than they may, by the entries that watch the store for a failure domain, and what they
find is passed on.
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
#: Milliseconds between two looks: half of a second passes unnoticed on the mean, and 63
#: engines are asked by two entries each.
_LOOK_EVERY: Final = 1 * SECOND
#: Times that an engine takes for its work from which on it is told as slow.
_SLOW: Final = 1.2


class PaceWatch:
    """Asks the engines of slow groups for their pace."""

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
        self._task = threading.Thread(target=self._run, name="pace", daemon=True)

    def start(self) -> None:
        """Start looking."""
        self._task.start()

    def _run(self) -> None:
        while not self._stop.wait(_LOOK_EVERY / SECOND):
            if self._is_watching():
                self.look()

    def look(self) -> None:
        """Ask the engines of this domain whose groups are late, once."""
        for service, longest in self._limits():
            for endpoint in self._roster.in_slow_groups(service, longest):
                pace = self._port.pace_of(endpoint)
                was_slow = self._roster.is_slow(endpoint.run)
                if pace is None or (pace < _SLOW and not was_slow):
                    continue
                told = pace if pace >= _SLOW else 1.0
                if self._roster.learn_pace(endpoint.run, told):
                    self._on_learned(endpoint.run, told)
                    _log.info("pace learned", backend=endpoint.run, pace=told)

    def _limits(self) -> Iterator[tuple[str, int]]:
        """Yield the services of groups with the longest pause that their routes allow."""
        table = self._table()
        grouped = {s.name for s in table.services.values() if s.geometry is not None}
        limits: dict[str, int] = {}
        for route in table.routes:
            for share in route.shares:
                if share.service in grouped and route.longest_pause:
                    known = limits.get(share.service, route.longest_pause)
                    limits[share.service] = min(known, route.longest_pause)
        yield from limits.items()
