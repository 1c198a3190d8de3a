"""Schedule of load updates between entries; the interval grows with their number."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Final

from canvasyoke._clock import Clock

#: Milliseconds between load updates among up to ``_ENTRIES_PER_INTERVAL`` entries. Stale loads make
#: several entries choose the same backend. With more entries the interval grows in proportion,
#: since the number of messages grows quadratically. 32 entries that update all others every 150 ms
#: would send 6,600 messages a second, each with an acknowledgement.
LOAD_INTERVAL: Final = 150
_ENTRIES_PER_INTERVAL: Final = 8
#: Milliseconds after which an unchanged load is sent again.
MAX_INTERVAL: Final = 900


class LoadSchedule:
    """Decides when to send the load to a set of entries."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_load: Hashable = None
        self._sent_at = 0

    def reset(self) -> None:
        """Make the load due at the next check."""
        self._last_load = None

    def is_due(self, load: Hashable, entries: int, max_interval: int = MAX_INTERVAL) -> bool:
        """Return whether to send ``load`` now among ``entries``, and record it as sent.

        ``load`` is any value that changes with what is sent. If it is unchanged, it is due
        every ``max_interval`` milliseconds.
        """
        now = self._clock.now()
        age = now - self._sent_at
        intervals = -(-entries // _ENTRIES_PER_INTERVAL)
        # Checks run every LOAD_INTERVAL; half of it is tolerance for their jitter.
        is_early = age < (intervals - 0.5) * LOAD_INTERVAL
        is_unchanged = load == self._last_load and age < max_interval
        if self._last_load is not None and (is_early or is_unchanged):
            return False
        self._last_load, self._sent_at = load, now
        return True
