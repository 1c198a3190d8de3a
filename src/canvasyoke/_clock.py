"""Time in milliseconds, behind one small type so that tests can set it.

Two readings exist because they answer different questions. ``now`` never jumps
and is for durations; ``wall`` agrees between machines within their clock error
and is for times that travel: audit entries and time-bearing keys.

>>> clock = ManualClock(start=1_000)
>>> clock.advance(250)
>>> clock.now()
1250
"""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from typing import Final

#: Milliseconds in a second.
SECOND: Final = 1_000
_NANOSECONDS: Final = 1_000_000


class Clock(ABC):
    """A source of time; every decision takes one instead of asking the system."""

    @abstractmethod
    def now(self) -> int:
        """Return milliseconds since an arbitrary start; never goes back.

        It counts time during which the machine was suspended, so that a lease
        is seen to have lapsed after a pause.
        """

    @abstractmethod
    def wall(self) -> int:
        """Return milliseconds since 1970-01-01 UTC; may jump."""


class SystemClock(Clock):
    """The operating system's clocks."""

    def now(self) -> int:
        """Return ``CLOCK_BOOTTIME`` in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NANOSECONDS

    def wall(self) -> int:
        """Return ``CLOCK_REALTIME`` in milliseconds."""
        return time.time_ns() // _NANOSECONDS


class ManualClock(Clock):
    """A clock that moves only when a test or an experiment moves it."""

    def __init__(self, start: int = 0, wall_offset: int = 0) -> None:
        self._now = start
        self._wall_offset = wall_offset

    def now(self) -> int:
        """Return the time set so far."""
        return self._now

    def wall(self) -> int:
        """Return the time set so far plus the wall offset."""
        return self._now + self._wall_offset

    def advance(self, duration: int) -> None:
        """Move the clock forward by ``duration`` milliseconds."""
        if duration < 0:
            raise ValueError(f"a clock moves forward only, not by {duration} ms")
        self._now += duration
