"""Pace at which an entry sends requests to backends whose load it does not know exactly."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.backend import ReportedLoad

#: Bounds of the pause in milliseconds. The upper one limits how many requests 40 entries queue at
#: full backends, the lower one is below the time between requests of an entry.
_MIN_PAUSE: Final = 25
_MAX_PAUSE: Final = 8 * SECOND
#: Divisor of the pause after an answer from a backend with a free slot.
_RECOVERY: Final = 4
#: First pause in milliseconds. From a shorter one, 40 entries that meet full backends would send
#: several hundred requests until their pauses are long enough.
_FIRST_PAUSE: Final = 1_600


@dataclass(slots=True)
class ForeignUse:
    """Spaces such requests, the wider the more often the backends turn out to be full."""

    _pause: int = _FIRST_PAUSE
    _next_at: int = 0

    def is_allowed(self, now: int) -> bool:
        """Return whether a request may be sent."""
        return now >= self._next_at

    def record_sent(self, now: int) -> None:
        """Record a request; the pause grows until its answer shows that there was room."""
        self._next_at = now + self._pause
        self._pause = min(_MAX_PAUSE, self._pause * 2)

    def record_answer(self, load: ReportedLoad, slots: int) -> None:
        """Record the load that a backend reports with its answer."""
        # A backend whose slots are just all in use may have had the request in its queue.
        if load.running + load.waiting < slots:
            self._pause = max(_MIN_PAUSE, self._pause // _RECOVERY)
