"""Which attempts a target has seen, so that a late copy of one never runs.

An entry numbers its requests upwards for as long as its process lives. Ids are
remembered one by one for a while; of those let go, the highest number is kept
for each incarnation, and anything at or below it counts as seen.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

_LIMIT: Final = 50_000
_INCARNATIONS: Final = 2_000


@dataclass(frozen=True, slots=True)
class AttemptId:
    """One try at one request by one run of an entry."""

    incarnation: str
    request: int
    attempt: int


class SeenIds:
    """A bounded memory of attempts."""

    def __init__(self, limit: int = _LIMIT) -> None:
        self._limit = limit
        self._seen: OrderedDict[AttemptId, None] = OrderedDict()
        self._floor: OrderedDict[str, int] = OrderedDict()

    def add(self, attempt: AttemptId) -> None:
        """Remember ``attempt``."""
        self._seen[attempt] = None
        while len(self._seen) > self._limit:
            old, _ = self._seen.popitem(last=False)
            floor = max(old.request, self._floor.pop(old.incarnation, -1))
            self._floor[old.incarnation] = floor
            if len(self._floor) > _INCARNATIONS:
                self._floor.popitem(last=False)

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self._seen or attempt.request <= self._floor.get(attempt.incarnation, -1)
