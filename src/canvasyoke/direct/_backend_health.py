"""Which backends hold up others or say nothing, as far as an entry has seen or was told.

Both show in a rank group only from the outside of one engine: all ranks make their steps
together, so a slow one makes every stream late, and one that takes requests without
answering looks idle while the others are busy.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from canvasyoke._clock import SECOND, Clock

#: Milliseconds for which a backend is passed over that takes requests and says nothing
#: although its group makes steps. Each look at it costs a caller half a second.
_SILENT_PAUSE: Final = 5 * SECOND
#: Milliseconds without the first event of a stream after which a backend counts as
#: silent: so many times the usual, and no less than the second figure. Of streams at
#: engines that answered, one in a hundred began after 540 ms, at a mean of 190.
_SILENT_TIMES: Final = 4.0
_SILENT_LEAST: Final = 600
#: Milliseconds for which word of a backend's pace holds, and after which the same word is
#: news again.
_PACE_AGE: Final = 3 * SECOND
_PACE_AGAIN: Final = 500
#: Times that a backend takes for the same work from which on its streams go on elsewhere.
#: Each of them holds up all steps of the group until it ends; moved, it waits for its
#: prompt to be read once more.
_CRAWLING: Final = 3.0
#: Part of a new wait for a first event in the running mean.
_WAIT_WEIGHT: Final = 0.2


@dataclass(slots=True)
class _Health:
    #: How many times as long as usual it takes for its work, and when that was told.
    pace: float = 1.0
    told_at: int = 0
    #: Time on the clock of the last event of a stream from it.
    heard_at: int = 0
    #: Time on the clock until which it is known to say nothing.
    silent_until: int = 0


class BackendHealth:
    """Not thread-safe, the roster guards it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._known: dict[str, _Health] = {}
        #: Running mean of the milliseconds to the first event of a stream, by service.
        self._first_waits: dict[str, float] = {}

    def forget(self, backend: str) -> None:
        """Forget a backend that has gone."""
        self._known.pop(backend, None)

    def pace(self, backend: str) -> float:
        """Return how many times as long as usual it takes for its work, as far as is known."""
        health = self._known.get(backend)
        if health is None or self._clock.now() - health.told_at >= _PACE_AGE:
            return 1.0
        return health.pace

    def crawls(self, backend: str) -> bool:
        """Tell whether a backend is so slow that its streams had better go on elsewhere."""
        return self.pace(backend) >= _CRAWLING

    def learn_pace(self, backend: str, pace: float) -> bool:
        """Take note of how long a backend takes for its work; false if that is no news."""
        health = self._known.setdefault(backend, _Health())
        now = self._clock.now()
        is_news = pace != health.pace or now - health.told_at > _PACE_AGAIN
        health.pace, health.told_at = pace, now
        return is_news

    def heard(self, backend: str) -> None:
        """Take note of an event of a stream."""
        self._known.setdefault(backend, _Health()).heard_at = self._clock.now()

    def began(self, backend: str, service: str, waited: int) -> None:
        """Take note of the first event of a stream, after a wait for it."""
        self.heard(backend)
        usual = self._first_waits.get(service, float(waited))
        self._first_waits[service] = usual + _WAIT_WEIGHT * (waited - usual)

    def is_overdue(self, backend: str, service: str, waited: int) -> bool:
        """Tell whether the first event of a stream is overdue, and nothing else came since."""
        usual = self._first_waits.get(service)
        if usual is None or waited <= max(_SILENT_LEAST, _SILENT_TIMES * usual):
            return False
        health = self._known.get(backend)
        return health is None or self._clock.now() - health.heard_at > waited

    def fell_silent(self, backend: str) -> bool:
        """Take note that a backend says nothing; false if that is known."""
        health = self._known.setdefault(backend, _Health())
        now = self._clock.now()
        if now < health.silent_until:
            return False
        health.silent_until = now + _SILENT_PAUSE
        return True

    def is_silent(self, backend: str) -> bool:
        """Tell whether a backend is known to say nothing."""
        health = self._known.get(backend)
        return health is not None and self._clock.now() < health.silent_until
