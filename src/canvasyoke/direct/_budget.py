"""Fleet-wide retry budget over a sliding window.

The limit applies to all entries together. Each entry spends, without coordination, the ratio of its
own requests and an equal part of the slack. Half of the slack is reserved, because a restarted
entry has lost its record of the retries in the window.
"""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.state import DirectSettings

#: Fraction of the fleet's slack that is divided among entries.
_SLACK_FRACTION: Final = 0.5
#: Fraction of the ratio that is used. The margin covers the difference between the windows of the
#: entry and of an external observer, which may count a request later.
_RATIO_FRACTION: Final = 0.8


@dataclass(frozen=True, slots=True)
class RetryAllowance:
    """Retry limits of the whole fleet."""

    #: Retries per request to a service.
    ratio: float
    #: Additional retries per window.
    slack: float
    #: Length of the window in milliseconds.
    window: int


class _Window:
    """Timestamps of events within a sliding window."""

    def __init__(self) -> None:
        self._times: deque[int] = deque()

    def add(self, now: int) -> None:
        self._times.append(now)

    def count(self, since: int) -> int:
        while self._times and self._times[0] < since:
            self._times.popleft()
        return len(self._times)


def retry_allowance(settings: DirectSettings) -> RetryAllowance:
    """Return the operator's limits of retries."""
    window = round(settings.retry_window_s * SECOND)
    return RetryAllowance(settings.retry_ratio, settings.retry_slack, window)


class FleetRetryBudget:
    """One entry's part of the fleet's retry budget, per service; thread-safe."""

    def __init__(self, allowance: RetryAllowance, clock: Clock) -> None:
        self._allowance = allowance
        self._clock = clock
        self._lock = threading.Lock()
        self._requests: dict[str, _Window] = {}
        self._retries: dict[str, _Window] = {}
        #: Number of entries that share the slack.
        self.entries = 1

    def set_allowance(self, allowance: RetryAllowance) -> None:
        """Replace the limits."""
        self._allowance = allowance

    def record_request(self, service: str) -> None:
        """Record a caller's request."""
        with self._lock:
            self._requests.setdefault(service, _Window()).add(self._clock.now())

    def request_rate(self, service: str) -> float:
        """Return the rate of callers' requests to a service at this entry, per second."""
        window = self._allowance.window
        with self._lock:
            requests = self._requests.get(service)
            if requests is None or not window:
                return 0.0
            return requests.count(self._clock.now() - window) * SECOND / window

    def spend(self, service: str) -> bool:
        """Consume one retry; return false if the budget is exhausted."""
        now = self._clock.now()
        allowance = self._allowance
        with self._lock:
            requests = self._requests.setdefault(service, _Window())
            retries = self._retries.setdefault(service, _Window())
            from_ratio = requests.count(now - allowance.window) * allowance.ratio * _RATIO_FRACTION
            from_slack = allowance.slack * _SLACK_FRACTION / max(1, self.entries)
            if retries.count(now - allowance.window) + 1 > from_ratio + from_slack:
                return False
            retries.add(now)
            return True
