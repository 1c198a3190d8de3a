"""Detection of duplicate attempts, so that a delayed copy of a message is never executed.

An entry process numbers its requests in increasing order. The most recent attempts are stored
individually. For evicted ones, only the highest request number of each incarnation is kept, and
every request up to that number counts as seen.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

_MAX_ATTEMPTS: Final = 50_000
_MAX_INCARNATIONS: Final = 2_000


@dataclass(frozen=True, slots=True)
class AttemptId:
    """Identifies one attempt at a request by one incarnation of an entry."""

    incarnation: str
    request: int
    attempt: int


class SeenAttempts:
    """A set of attempts with bounded memory."""

    def __init__(self, limit: int = _MAX_ATTEMPTS) -> None:
        self._limit = limit
        self._seen: OrderedDict[AttemptId, None] = OrderedDict()
        self._highest_dropped: OrderedDict[str, int] = OrderedDict()

    def add(self, attempt: AttemptId) -> None:
        """Add ``attempt``; evict the oldest ones above the limit."""
        self._seen[attempt] = None
        while len(self._seen) > self._limit:
            dropped, _ = self._seen.popitem(last=False)
            highest = max(dropped.request, self._highest_dropped.pop(dropped.incarnation, -1))
            self._highest_dropped[dropped.incarnation] = highest
            if len(self._highest_dropped) > _MAX_INCARNATIONS:
                self._highest_dropped.popitem(last=False)

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self._seen or attempt.request <= self._highest_dropped.get(
            attempt.incarnation, -1
        )
