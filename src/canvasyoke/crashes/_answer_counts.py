"""Counts answers of one entry by shared trait, over the last minutes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Final

from canvasyoke._clock import SECOND, Clock

#: Milliseconds after which counting starts anew; the counts of the interval before are kept. Longer
#: than an outage of a group, during which no answers come.
_INTERVAL: Final = 60 * SECOND
#: Maximum number of traits counted in an interval; a new interval starts early when it is reached.
_MAX_TRAITS: Final = 16_384


class AnswerCounts:
    """Counts over the current and the previous interval; not thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._created = self._began = clock.now()
        self._current: Counter[str] = Counter()
        self._previous: Counter[str] = Counter()
        #: Answers in both intervals, whatever their traits.
        self._current_total = 0
        self._previous_total = 0

    def record(self, traits: Iterable[str]) -> None:
        """Count one answer to a request with ``traits``."""
        self._advance()
        self._current.update(traits)
        self._current_total += 1

    def has(self, trait: str) -> bool:
        """Return whether any request with a trait was answered."""
        self._advance()
        return trait in self._current or trait in self._previous

    def prevalence(self, trait: str) -> float:
        """Return the part of all answers whose requests had a trait, from 0 to 1.

        Without any answer it is 1 in the first interval, in which others may know better, and 0
        afterwards: nothing is served that a quarantine could keep away.
        """
        self._advance()
        total = self._current_total + self._previous_total
        if not total:
            return 0.0 if self._clock.now() - self._created >= _INTERVAL else 1.0
        return (self._current[trait] + self._previous[trait]) / total

    def _advance(self) -> None:
        now = self._clock.now()
        if now - self._began < _INTERVAL and len(self._current) < _MAX_TRAITS:
            return
        is_recent = now - self._began < 2 * _INTERVAL
        self._previous = self._current if is_recent else Counter()
        self._previous_total = self._current_total if is_recent else 0
        self._current, self._current_total = Counter(), 0
        self._began = now
