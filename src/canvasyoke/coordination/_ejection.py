"""Passive health checks: eject a target temporarily after consecutive failures.

After the backoff, a single probe request is allowed (half-open state). Success readmits the
target; failure doubles the backoff.
"""

from __future__ import annotations

from typing import Final

from canvasyoke._clock import SECOND, Clock

#: Consecutive failures after which a target is ejected.
FAILURE_THRESHOLD: Final = 2
_INITIAL_BACKOFF: Final = 1 * SECOND
_MAX_BACKOFF: Final = 30 * SECOND
#: Milliseconds after which an unanswered probe is abandoned.
_PROBE_TIMEOUT: Final = 10 * SECOND


class Ejection:
    """Tracks one entry's failures at one target."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._consecutive_failures = 0
        self._backoff = _INITIAL_BACKOFF
        self._ejected_until = 0
        self._probe_sent_at = 0

    @property
    def ejected(self) -> bool:
        """Return whether the target is currently excluded from selection."""
        if self._consecutive_failures < FAILURE_THRESHOLD:
            return False
        now = self._clock.now()
        if now < self._ejected_until:
            return True
        return bool(self._probe_sent_at) and now - self._probe_sent_at < _PROBE_TIMEOUT

    def record_request(self) -> None:
        """Record a request sent to the target; in the half-open state it is the probe."""
        if self._consecutive_failures >= FAILURE_THRESHOLD:
            self._probe_sent_at = self._clock.now()

    def record_success(self) -> None:
        """Record a successful response and readmit the target."""
        self._consecutive_failures = 0
        self._backoff = _INITIAL_BACKOFF
        self._probe_sent_at = 0

    def record_failure(self) -> None:
        """Record a failure attributed to the target."""
        self._consecutive_failures += 1
        if self._consecutive_failures < FAILURE_THRESHOLD:
            return
        self._ejected_until = self._clock.now() + self._backoff
        self._backoff = min(self._backoff * 2, _MAX_BACKOFF)
        self._probe_sent_at = 0
