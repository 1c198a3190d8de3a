"""A connection pool to the stand-in store in simulated time.

Calls take no time unless the store withholds the answer; then the clock moves by what the
caller is willing to wait, and the call fails as the library's would.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import urllib3

from canvasyoke._clock import SECOND, ManualClock
from fakes.object_store import ObjectStore


@dataclass(frozen=True)
class StoreAnswer:
    """What the store answered."""

    status: int
    data: bytes


@dataclass
class StorePool:
    """The calls of one client of the store."""

    store: ObjectStore
    clock: ManualClock
    #: Whether the connection that is open has fallen silent; the next one works.
    is_silent: bool = False
    #: Called before each call, with what happens at that moment.
    before_call: list[Callable[[], None]] = field(default_factory=list)

    def urlopen(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout: urllib3.Timeout | None = None,
        **_rest: Any,
    ) -> StoreAnswer:
        """Make one call."""
        if self.before_call:
            self.before_call.pop(0)()
        if self.is_silent:
            self.is_silent = False
            assert timeout is not None
            assert timeout.read_timeout is not None
            self.clock.advance(round(float(timeout.read_timeout) * SECOND))
            raise urllib3.exceptions.ReadTimeoutError(
                urllib3.HTTPConnectionPool("store"), path, "no answer"
            )
        parts = urlsplit(path)
        query = dict(parse_qsl(parts.query))
        if "WaitMs" in query:
            query["WaitMs"] = "1"  # real time; what must wait is withheld instead
        status, value = self.store.answer(method, parts.path, query, body or b"")
        return StoreAnswer(status, json.dumps(value).encode())
