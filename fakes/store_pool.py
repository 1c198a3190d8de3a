"""HTTP client of the fake object store in simulated time.

Calls take no time except for waiting watches. Concurrent events are scheduled on the clock.
"""

from __future__ import annotations

import heapq
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final
from urllib.parse import parse_qsl, urlsplit

from canvasyoke._clock import ManualClock
from canvasyoke.transport import ApiAnswer, CallFailed, HttpFailure
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


@dataclass
class StorePool:
    """HTTP client of one store client."""

    store: ObjectStore
    clock: SchedulingClock
    #: Time spans on the clock; calls in progress during one time out.
    outages: list[tuple[int, int]] = field(default_factory=list)

    def call(
        self,
        method: str,
        path: str,
        *,
        read_timeout: int,
        body: bytes | None = None,
        **_rest: Any,
    ) -> ApiAnswer | CallFailed:
        """Make one call to the store."""
        started_at = self.clock.now()
        parts = urlsplit(path)
        query = dict(parse_qsl(parts.query))
        wait = int(query.get("WaitMs", 0))
        while True:
            status, value = self.store.answer(
                method, parts.path, query | {"WaitMs": "0"}, body or b""
            )
            if self._overlaps_outage(started_at):
                self.clock.advance(started_at + read_timeout - self.clock.now())
                return CallFailed(HttpFailure.MAYBE_SENT, "no answer")
            waited = self.clock.now() - started_at
            if "watch" not in query or status != 200 or value["events"] or waited >= wait:
                return ApiAnswer(status, self.store.headers(), json.dumps(value).encode())
            self.clock.advance(min(_POLL_INTERVAL, wait - waited))

    def _overlaps_outage(self, started_at: int) -> bool:
        return any(begin <= self.clock.now() and started_at < end for begin, end in self.outages)
