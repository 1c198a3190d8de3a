"""Limits the requests of this entry to a backend within a sliding window."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class SendWindow:
    """Times of the recent requests to one backend. Not thread-safe.

    A token bucket may send its stored tokens and the refilled ones within one window; a log of
    the times bounds their sum.
    """

    #: Clock times at which requests were written.
    _sent: deque[int] = field(default_factory=deque)
    #: Clock times at which the backend was chosen for requests that are not written yet.
    _reserved: deque[int] = field(default_factory=deque)

    def wait(self, allowed: int, window: int, now: int) -> int:
        """Return the milliseconds until one more of ``allowed`` requests fits into the window.

        ``allowed`` is at least 1.
        """
        self._drop_before(now - window)
        excess = len(self._sent) + len(self._reserved) - allowed
        if excess < 0:
            return 0
        return sorted([*self._sent, *self._reserved])[excess] + window - now

    def reserve(self, window: int, now: int) -> None:
        """Count a request for which the backend was chosen."""
        self._drop_before(now - window)
        self._reserved.append(now)

    def record_written(self, now: int) -> None:
        """Count a request from when it is written, which is after its connection was made."""
        if self._reserved:
            self._reserved.popleft()
        self._sent.append(now)

    def refund(self) -> None:
        """Remove a request that was not written."""
        if self._reserved:
            self._reserved.pop()

    def _drop_before(self, begin: int) -> None:
        """Drop the times up to ``begin``."""
        for times in (self._sent, self._reserved):
            while times and times[0] <= begin:
                times.popleft()
