"""How common shared traits are among the requests and the answers of one entry.

What most requests have in common is under the end of each backend, whatever its cause, and without
it hardly any request is served.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from typing import Final

from canvasyoke._clock import SECOND, Clock

#: Milliseconds after which counting starts anew; the counts of the interval before are kept.
_INTERVAL: Final = 60 * SECOND
#: Maximum number of traits counted in an interval; a new interval starts early when it is reached.
_MAX_TRAITS: Final = 16_384
#: Fewest requests from which a share is taken; a trait of fewer counts as common.
_MIN_SAMPLE: Final = 10
#: Largest share of the requests that may have a trait to blame.
_MAX_REQUEST_SHARE: Final = 0.5
#: Largest share of the answers that may have a trait to blame which was answered before. Of a dozen
#: requests that a backend runs, every second dozen has one with such a trait.
_MAX_ANSWER_SHARE: Final = 0.05


class Prevalence:
    """Counts requests and answers by shared trait; not thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._requests = _RecentCounts(clock)
        self._answers = _RecentCounts(clock)

    def record_request(self, traits: Collection[str]) -> None:
        """Count a caller's request."""
        self._requests.record(traits)

    def record_answer(self, traits: Collection[str]) -> None:
        """Count an answer."""
        self._answers.record(traits)

    def was_answered(self, trait: str) -> bool:
        """Return whether a request with a trait was answered in the last counts."""
        return self._answers.has(trait)

    def is_common(self, trait: str, was_answered: bool) -> bool:
        """Return whether a trait is too common to be blamed for ends of backends.

        ``was_answered`` tells whether any entry has had it answered.
        """
        if self._requests.share(trait) > _MAX_REQUEST_SHARE:
            return True
        return was_answered and self._answers.share(trait) > _MAX_ANSWER_SHARE


class _RecentCounts:
    """Counts over the current and the previous interval.

    Intervals end with what is recorded, so that counts outlast a time in which nothing comes.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began = clock.now()
        self._current: Counter[str] = Counter()
        self._previous: Counter[str] = Counter()
        self._current_total = 0
        self._previous_total = 0

    def record(self, traits: Collection[str]) -> None:
        now = self._clock.now()
        if now - self._began >= _INTERVAL or len(self._current) >= _MAX_TRAITS:
            self._previous, self._previous_total = self._current, self._current_total
            self._current, self._current_total = Counter(), 0
            self._began = now
        self._current.update(traits)
        self._current_total += 1

    def has(self, trait: str) -> bool:
        return trait in self._current or trait in self._previous

    def share(self, trait: str) -> float:
        """Return the part of all counted that have a trait; 1 if too few were counted."""
        total = self._current_total + self._previous_total
        if total < _MIN_SAMPLE:
            return 1.0
        return (self._current[trait] + self._previous[trait]) / total
