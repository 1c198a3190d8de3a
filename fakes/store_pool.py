"""A connection pool to the stand-in store in simulated time.

Calls take no time but what a watch waits. What happens meanwhile is planned on the clock.
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

#: Milliseconds between two looks of a watch that waits.
_LOOK_EVERY: Final = 50


class PlannedClock(ManualClock):
    """A clock on which things are planned that happen as it is moved past them."""

    def __init__(self, start: int) -> None:
        super().__init__(start)
        self._planned: list[tuple[int, int, Callable[[], object]]] = []

    def at(self, time: int, action: Callable[[], object]) -> None:
        """Plan ``action`` for a time on this clock."""
        heapq.heappush(self._planned, (time, len(self._planned), action))

    def advance(self, duration: int) -> None:
        """Move forward by ``duration`` milliseconds, through what is planned on the way."""
        end = self.now() + duration
        while self._planned and self._planned[0][0] <= end:
            time, _, action = heapq.heappop(self._planned)
            super().advance(max(0, time - self.now()))
            action()
        super().advance(end - self.now())


@dataclass(frozen=True)
class StoreAnswer:
    """What the store answered."""

    status: int
    data: bytes
    headers: dict[str, str]


@dataclass
class StorePool:
    """The calls of one client of the store."""

    store: ObjectStore
    clock: PlannedClock
    #: Spans of time on the clock; what is under way within one is never answered.
    silences: list[tuple[int, int]] = field(default_factory=list)

    def urlopen(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout: urllib3.Timeout | None = None,
        **_rest: Any,
    ) -> StoreAnswer:
        """Make one call."""
        assert timeout is not None
        assert timeout.read_timeout is not None
        limit = round(float(timeout.read_timeout) * SECOND)
        began = self.clock.now()
        parts = urlsplit(path)
        query = dict(parse_qsl(parts.query))
        wait = int(query.get("WaitMs", 0))
        while True:
            status, value = self.store.answer(
                method, parts.path, query | {"WaitMs": "0"}, body or b""
            )
            if self._was_silent(began):
                self.clock.advance(began + limit - self.clock.now())
                pool = urllib3.HTTPConnectionPool("store")
                raise urllib3.exceptions.ReadTimeoutError(pool, path, "no answer")
            waited = self.clock.now() - began
            if "watch" not in query or status != 200 or value["events"] or waited >= wait:
                return StoreAnswer(status, json.dumps(value).encode(), self.store.headers())
            self.clock.advance(min(_LOOK_EVERY, wait - waited))

    def _was_silent(self, began: int) -> bool:
        return any(begin <= self.clock.now() and began < end for begin, end in self.silences)
