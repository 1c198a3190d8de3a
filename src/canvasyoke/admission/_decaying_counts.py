"""Counts of events by key whose weight decays exponentially with their age."""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable
from typing import Final, Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
#: Counts below this value are dropped, which bounds the number of keys.
_MIN_COUNT: Final = 0.01


class DecayingCounts(Generic[Key]):
    """Exponentially decaying counts with their total; times are in milliseconds."""

    def __init__(self, decay_time: int) -> None:
        self._decay_time = decay_time
        self._counts: dict[Key, float] = {}
        self._updated_at = 0
        self.total = 0.0

    def add(self, key: Key, now: int) -> None:
        """Count one event."""
        self.decay(now)
        self._counts[key] = self._counts.get(key, 0.0) + 1
        self.total += 1

    def decay(self, now: int) -> None:
        """Reduce all counts by the time since the last update."""
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        self._updated_at = now
        factor = math.exp(-elapsed / self._decay_time)
        decayed = ((key, count * factor) for key, count in self._counts.items())
        self._counts = {key: count for key, count in decayed if count >= _MIN_COUNT}
        self.total = sum(self._counts.values())

    def count(self, key: Key) -> float:
        """Return the count of a key as of the last update."""
        return self._counts.get(key, 0.0)

    def items(self) -> Iterable[tuple[Key, float]]:
        """Return the keys with their counts as of the last update."""
        return self._counts.items()
