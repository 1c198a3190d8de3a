"""Connection pool to the fake object store in simulated time.

Calls take no time except for waiting watches. Concurrent events are scheduled on the clock.
"""

from __future__ import annotations

import heapq
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final
from urllib.parse import parse_qsl, urlsplit

import urllib3

from canvasyoke._clock import SECOND, ManualClock
from fakes.object_store import ObjectStore

#: Milliseconds between polls of a waiting watch.
_POLL_INTERVAL: Final = 50


class SchedulingClock(ManualClock):
    """Manual clock that runs scheduled actions as it advances past their times."""

    def __init__(self, start: int) -> None:
        super().__init__(start)
        self._scheduled: list[tuple[int, int, Callable[[], object]]] = []

    def at(self, time: int, action: Callable[[], object]) -> None:
        """Schedule ``action`` for a time on this clock."""
        heapq.heappush(self._scheduled, (time, len(self._scheduled), action))

    def advance(self, duration: int) -> None:
        """Advance by ``duration`` milliseconds and run the actions that become due."""
        end = self.now() + duration
        while self._scheduled and self._scheduled[0][0] <= end:
            time, _, action = heapq.heappop(self._scheduled)
            super().advance(max(0, time - self.now()))
            action()
        super().advance(end - self.now())


@dataclass(frozen=True)
class StoreAnswer:
    """A response of the store."""

    status: int
    data: bytes
    headers: dict[str, str]


@dataclass
class StorePool:
    """Connection pool of one store client."""

    store: ObjectStore
    clock: SchedulingClock
    #: Time spans on the clock; calls in progress during one time out.
    outages: list[tuple[int, int]] = field(default_factory=list)

    def urlopen(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout: urllib3.Timeout | None = None,
        **_rest: Any,
    ) -> StoreAnswer:
        """Make one call to the store."""
        assert timeout is not None
        assert timeout.read_timeout is not None
        read_timeout_ms = round(float(timeout.read_timeout) * SECOND)
        started_at = self.clock.now()
        parts = urlsplit(path)
        query = dict(parse_qsl(parts.query))
        wait = int(query.get("WaitMs", 0))
        while True:
            status, value = self.store.answer(
                method, parts.path, query | {"WaitMs": "0"}, body or b""
            )
            if self._overlaps_outage(started_at):
                self.clock.advance(started_at + read_timeout_ms - self.clock.now())
                pool = urllib3.HTTPConnectionPool("store")
                raise urllib3.exceptions.ReadTimeoutError(pool, path, "no answer")
            waited = self.clock.now() - started_at
            if "watch" not in query or status != 200 or value["events"] or waited >= wait:
                return StoreAnswer(status, json.dumps(value).encode(), self.store.headers())
            self.clock.advance(min(_POLL_INTERVAL, wait - waited))

    def _overlaps_outage(self, started_at: int) -> bool:
        return any(begin <= self.clock.now() and started_at < end for begin, end in self.outages)
