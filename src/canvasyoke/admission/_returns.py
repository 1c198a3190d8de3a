"""Plans when a caller waits at this entry and when it returns.

A caller honours a return time of up to a third of its remaining time, and retries once. So it can
be served in two windows of time: while it waits now, and while it waits after its return.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.admission._request import FIRST_EVENT_MARGIN, PendingRequest
from canvasyoke.admission._room import ServiceRoom

#: Longest return time as a fraction of the caller's remaining time. Callers ignore a third or more;
#: the remaining time shrinks while the refusal is on its way.
_RETURN_FRACTION: Final = 0.32
#: Forecast time to the opening, relative to the end of the second window, beyond which a request is
#: refused at once without a return time. Forecasts are high, and a caller that has returned can
#: only wait: with 2, 0.78 of the callers are served in a first outage of 6.6 s, and 0.89 with 4.
_HOPELESS_FACTOR: Final = 4.0
#: Fraction of the longest return time over which returns are spread whose places come later still.
#: Callers that have waited together would otherwise return together. With 0.1, fewer than 0.87 of
#: the callers are served in a first outage of 6.6 s.
_LATE_SPREAD: Final = 0.03
#: Number of different return times within that fraction.
_LATE_STEPS: Final = 8
#: Milliseconds between two places if the rate at which they become free is unknown.
_DEFAULT_INTERVAL: Final = 50


@dataclass(frozen=True, slots=True)
class WaitPlan:
    """What one caller does; times in milliseconds."""

    #: Longest wait at this entry; 0 for a refusal at once.
    wait: int
    #: Return time named if the wait ends without a place, counted from its end; 0 for none.
    return_after: int


class ReturnPlanner:
    """Plans waits and assigns return times for one service at one entry; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        #: Clock time of each place that is kept for a caller, and the caller's priority.
        self._assigned: list[tuple[int, int]] = []
        #: Number of callers whose places come later than they may return.
        self._late_returns = 0

    def plan(self, request: PendingRequest, room: ServiceRoom, now: int) -> WaitPlan:
        """Return the wait and the return time that cover the forecast best; assigns nothing.

        The wait is as long as the caller's patience allows: each millisecond of it moves the end of
        the second window by two thirds of a millisecond, and an opening may come sooner than
        forecast.
        """
        wait = max(0, request.latest_start - now)
        longest = _longest_return(request, now + wait)
        window = _second_window(request, now + wait + longest)
        covered = wait + longest + window if window else wait
        opens_in = 0 if room.is_open else room.opens_in
        if opens_in is not None and opens_in > _HOPELESS_FACTOR * covered:
            return WaitPlan(0, 0)
        if not window or opens_in is None:
            return WaitPlan(wait, longest if window else 0)
        return WaitPlan(wait, max(1, min(longest, opens_in - wait)))

    def assign_return(self, request: PendingRequest, room: ServiceRoom, now: int) -> int:
        """Return the milliseconds after which a refused caller returns; 0 for no return.

        A free place is kept for the caller, later than those of more urgent callers. If the place
        comes after the longest time that a caller honours, it returns about then and waits for the
        place.
        """
        longest = _longest_return(request, now)
        window = _second_window(request, now + longest)
        opens_in = _taken_time(room) if room.is_open else room.opens_in
        if not window or opens_in is None:
            return longest if window else 0
        if opens_in > _HOPELESS_FACTOR * (longest + window):
            return 0
        with self._lock:
            self._assigned = [each for each in self._assigned if each[0] >= now]
            place_at = self._next_place(now + opens_in, request.priority, _interval(room))
            if place_at <= now + longest + window:
                self._assigned.append((place_at, request.priority))
            elif room.is_open:
                return 0
            if place_at - now <= longest:
                return max(1, place_at - now)
            step = self._late_returns % _LATE_STEPS
            self._late_returns += 1
        return max(1, round(longest * (1 - _LATE_SPREAD * step / _LATE_STEPS)))

    def _next_place(self, opens_at: int, priority: int, interval: int) -> int:
        """Return the time of the first free place after those of more urgent callers."""
        urgent = max((at for at, owner in self._assigned if owner < priority), default=0)
        place_at = max(opens_at, urgent + interval)
        for at, _ in sorted(self._assigned):
            if at - interval < place_at < at + interval:
                place_at = at + interval
        return place_at


def _interval(room: ServiceRoom) -> int:
    """Return the milliseconds between two places that become free for this entry."""
    return max(1, round(SECOND / room.entry_rate)) if room.entry_rate > 0 else _DEFAULT_INTERVAL


def _taken_time(room: ServiceRoom) -> int:
    """Return for how long the places of an open group are taken, in milliseconds.

    The caller was refused, so places that become free sooner go to requests that wait. It is the
    mean rest of the requests that run, and the time for those that queue beyond the places.
    """
    queued = max(0, room.in_use - room.places) / max(1, room.places)
    return round(room.mean_duration * (0.5 + queued))


def _longest_wait(request: PendingRequest, patience_until: int, now: int) -> int:
    """Return the longest wait in milliseconds after which the caller is still served."""
    latest_start = request.deadline - request.expected_duration
    return max(0, min(patience_until - FIRST_EVENT_MARGIN, latest_start) - now)


def _longest_return(request: PendingRequest, now: int) -> int:
    return max(0, int((request.deadline - now) * _RETURN_FRACTION))


def _second_window(request: PendingRequest, back_at: int) -> int:
    """Return how long a caller that returns at ``back_at`` may wait and still be served."""
    patience = request.patience_until - request.arrived_at
    return _longest_wait(request, back_at + patience, back_at)
