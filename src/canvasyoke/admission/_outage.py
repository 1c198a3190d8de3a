"""Forecast of how much longer a stalled rank group executes no steps."""

from __future__ import annotations

from collections import deque
from typing import Final

#: Number of past outages that the forecast uses.
_MAX_OUTAGES: Final = 16
#: Shortest forecast in milliseconds. A group whose ranks are all back still forms for 600 ms.
_MIN_REMAINING: Final = 600
#: Forecast rest of an outage without precedent, as a multiple of the time elapsed. Its length is
#: unknown, and one that has lasted long tends to last longer. With 0.5, callers return too early:
#: 0.92 of them are served in a first outage of 5.6 s, against 0.99 with 1.
_REST_FACTOR: Final = 1.0
#: Quantile of the known longer outages. Outages are short (crashes) or long (cuts); a return
#: planned for a short one is in vain in a long one, while a late return costs little.
_QUANTILE: Final = 0.75


class OutageForecast:
    """Learns durations of outages; not thread-safe."""

    def __init__(self) -> None:
        self._durations: deque[int] = deque(maxlen=_MAX_OUTAGES)

    def record(self, duration: int) -> None:
        """Add the duration of an outage in milliseconds."""
        if duration > 0:
            self._durations.append(duration)

    def remaining(self, elapsed: int) -> int:
        """Return the forecast rest in milliseconds of an outage that began ``elapsed`` ago.

        It is a high quantile of the known outages that lasted longer. If none did, it is as long
        as the time elapsed.
        """
        longer = sorted(each for each in self._durations if each > elapsed)
        if longer:
            return max(_MIN_REMAINING, longer[round(_QUANTILE * (len(longer) - 1))] - elapsed)
        return max(_MIN_REMAINING, round(_REST_FACTOR * elapsed))
