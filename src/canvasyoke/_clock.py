"""Clock abstraction in milliseconds, replaceable in tests.

``now`` is monotonic and used for durations. ``wall`` is comparable between machines,
within their clock error, and used for timestamps that leave the process: audit entries
and keys that contain a time.

>>> clock = ManualClock(start=1_000)
>>> clock.advance(250)
>>> clock.now()
1250
"""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from typing import Final

#: One second in milliseconds.
SECOND: Final = 1_000
_NS_PER_MS: Final = 1_000_000


class Clock(ABC):
    """Source of time, passed in rather than read from the system directly."""

    @abstractmethod
    def now(self) -> int:
        """Return monotonic milliseconds since an arbitrary start.

        Includes time during which the machine was suspended, so that leases
        expire across a suspend.
        """

    @abstractmethod
    def wall(self) -> int:
        """Return milliseconds since the Unix epoch; not monotonic."""


class SystemClock(Clock):
    """Clock backed by the operating system."""

    def now(self) -> int:
        """Return ``CLOCK_BOOTTIME`` in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS

    def wall(self) -> int:
        """Return ``CLOCK_REALTIME`` in milliseconds."""
        return time.time_ns() // _NS_PER_MS


class ManualClock(Clock):
    """Clock that only advances on request, for tests and experiments."""

    def __init__(self, start: int = 0, wall_offset: int = 0) -> None:
        self._now = start
        self._wall_offset = wall_offset

    def now(self) -> int:
        """Return the current manual time."""
        return self._now

    def wall(self) -> int:
        """Return the current manual time plus the wall offset."""
        return self._now + self._wall_offset

    def advance(self, duration: int) -> None:
        """Advance the clock by ``duration`` milliseconds."""
        if duration < 0:
            raise ValueError(f"cannot advance the clock by a negative duration: {duration} ms")
        self._now += duration
