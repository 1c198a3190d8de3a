"""How often requests may be sent to a second backend, counted in a sliding window.

The bound holds for all entries together. Each spends a part of it that it can work out
alone: the ratio of the requests that it has seen itself, and an equal part of the slack.
Half of the slack is left unspent, because an entry that was restarted has forgotten
what it spent in the same window.
"""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass
from typing import Final

from canvasyoke._clock import SECOND, Clock

#: Part of the fleet's slack that entries share out among themselves.
_SLACK_SHARED: Final = 0.5
#: Part of the ratio that is used: requests are counted when they come, not when they
#: are judged, so the windows of entry and judge differ a little.
_RATIO_USED: Final = 0.8


@dataclass(frozen=True, slots=True)
class RetryAllowance:
    """The bound for the whole fleet."""

    #: Retries for each request to a service.
    ratio: float
    #: Retries in a window beyond the ratio.
    slack: float
    #: Length of the window in milliseconds.
    window: int


class _Window:
    """Times of events, as far back as the window goes."""

    def __init__(self) -> None:
        self._times: deque[int] = deque()

    def add(self, now: int) -> None:
        self._times.append(now)

    def count(self, since: int) -> int:
        while self._times and self._times[0] < since:
            self._times.popleft()
        return len(self._times)


class FleetRetryBudget:
    """One entry's part of the fleet's retries, service by service; thread-safe."""

    def __init__(self, allowance: RetryAllowance, clock: Clock) -> None:
        self._allowance = allowance
        self._clock = clock
        self._lock = threading.Lock()
        self._requests: dict[str, _Window] = {}
        self._retries: dict[str, _Window] = {}
        #: Entries that share the slack.
        self.entries = 1

    def set_allowance(self, allowance: RetryAllowance) -> None:
        """Put another bound in force."""
        self._allowance = allowance

    def saw_request(self, service: str) -> None:
        """Note a caller's request."""
        with self._lock:
            self._requests.setdefault(service, _Window()).add(self._clock.now())

    def demand(self, service: str) -> float:
        """Return the requests a second that callers have asked of a service here."""
        window = self._allowance.window
        with self._lock:
            requests = self._requests.get(service)
            if requests is None or not window:
                return 0.0
            return requests.count(self._clock.now() - window) * SECOND / window

    def spend(self, service: str) -> bool:
        """Take one retry; false when there is none left."""
        now = self._clock.now()
        allowance = self._allowance
        with self._lock:
            requests = self._requests.setdefault(service, _Window())
            retries = self._retries.setdefault(service, _Window())
            earned = requests.count(now - allowance.window) * allowance.ratio * _RATIO_USED
            shared = allowance.slack * _SLACK_SHARED / max(1, self.entries)
            if retries.count(now - allowance.window) + 1 > earned + shared:
                return False
            retries.add(now)
            return True
