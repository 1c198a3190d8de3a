"""Bounds the memory that all requests of a process hold together.

A limit for each request bounds nothing while the number of connections multiplies it. Decides
without sockets which request gets memory and which one is given up; servers carry it out.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from canvasyoke._clock import SECOND, Clock

#: Bytes that each request may hold beside the budget, so that requests of usual size do not depend
#: on what large ones hold. The number of connections bounds their sum.
ALLOWANCE: Final = 16 << 10
#: Milliseconds over which the progress of a request is measured.
_PROGRESS_INTERVAL: Final = 1 * SECOND
#: Bytes per second below which a request that is being received is given up if others need its
#: memory.
_MIN_PROGRESS: Final = 16 << 10
#: ``Retry-After`` in milliseconds of a request for which there is no memory: requests without
#: progress have been found by then.
RETRY_AFTER: Final = _PROGRESS_INTERVAL


@dataclass(slots=True, eq=False)
class Reservation:
    """Memory of one request, from its first byte until its response has been written."""

    #: Called if the request is given up, by the thread of the connection that needs its memory.
    on_given_up: Callable[[], None]
    #: Bytes reserved.
    size: int = 0
    is_given_up: bool = False
    is_released: bool = False
    #: Bytes received, and when the last ones were.
    received: int = 0
    received_at: int = 0
    #: The same when the progress was last measured.
    measured_bytes: int = 0
    measured_at: int = 0
    #: Bytes per second received when last measured; at first, the request has time to begin.
    progress: float = field(default=float("inf"))

    def progress_at(self, now: int) -> float:
        """Return the bytes per second received of late."""
        if now - self.received_at >= _PROGRESS_INTERVAL:
            return 0.0
        elapsed = now - self.measured_at
        if elapsed < _PROGRESS_INTERVAL:
            return self.progress
        return (self.received - self.measured_bytes) * SECOND / elapsed

    def record(self, received: int, now: int) -> None:
        """Record the bytes received until now."""
        self.received, self.received_at = received, now
        if now - self.measured_at >= _PROGRESS_INTERVAL:
            elapsed = now - self.measured_at
            self.progress = (received - self.measured_bytes) * SECOND / elapsed
            self.measured_bytes, self.measured_at = received, now


class RequestBudget:
    """Memory for all requests of a process; shared by its servers and their threads."""

    def __init__(self, clock: Clock, limit: int) -> None:
        self._clock = clock
        self._configured_limit = self._limit = limit
        self._lock = threading.Lock()
        self._held = 0
        #: Requests that are being received.
        self._receiving: set[Reservation] = set()
        #: Number of requests for which there was no memory, and of those given up for others.
        self.refused = 0
        self.given_up = 0

    @property
    def limit(self) -> int:
        """Return the bytes that requests may hold beside their allowances."""
        return self._limit

    @property
    def held(self) -> int:
        """Return the bytes that requests hold beside their allowances."""
        return self._held

    def set_longest_request(self, size: int) -> None:
        """Make room for at least one request of ``size`` bytes, whatever the limit."""
        self._limit = max(self._configured_limit, size)

    def open(self, on_given_up: Callable[[], None]) -> Reservation:
        """Return the reservation of a request that begins."""
        now = self._clock.now()
        reservation = Reservation(on_given_up, received_at=now, measured_at=now)
        with self._lock:
            self._receiving.add(reservation)
        return reservation

    def reserve(self, reservation: Reservation, size: int, received: int) -> bool:
        """Reserve ``size`` bytes in all for a request; return whether it may go on.

        If there is no room, requests that make the least progress are given up for it.
        """
        now = self._clock.now()
        with self._lock:
            if reservation.is_given_up or reservation.is_released:
                return False
            reservation.record(received, now)
            shortfall = self._held + _shared(size) - _shared(reservation.size) - self._limit
            given_up = self._find_slow(shortfall, reservation, now)
            if shortfall > 0 and not given_up:
                self.refused += 1
                return False
            for each in given_up:
                self._give_up(each)
            self._held += _shared(size) - _shared(reservation.size)
            reservation.size = size
        for each in given_up:
            each.on_given_up()
        return True

    def complete(self, reservation: Reservation) -> bool:
        """Record that a request is received; return whether it was not given up before."""
        with self._lock:
            self._receiving.discard(reservation)
            return not reservation.is_given_up

    def release(self, reservation: Reservation) -> None:
        """Release all memory of a request, which gets no more; may be called again."""
        with self._lock:
            reservation.is_released = True
            self._receiving.discard(reservation)
            self._free(reservation)

    def _find_slow(self, shortfall: int, requester: Reservation, now: int) -> list[Reservation]:
        """Return the requests with the least progress that make up for the shortfall, if any do."""
        if shortfall <= 0:
            return []
        slow = [
            (progress, each)
            for each in self._receiving
            if each is not requester
            and _shared(each.size)
            and (progress := each.progress_at(now)) < _MIN_PROGRESS
        ]
        slow.sort(key=lambda pair: pair[0])
        chosen = []
        for _, each in slow:
            chosen.append(each)
            shortfall -= _shared(each.size)
            if shortfall <= 0:
                return chosen
        return []

    def _give_up(self, reservation: Reservation) -> None:
        reservation.is_given_up = True
        self._receiving.discard(reservation)
        self._free(reservation)
        self.given_up += 1

    def _free(self, reservation: Reservation) -> None:
        self._held -= _shared(reservation.size)
        reservation.size = 0


def _shared(size: int) -> int:
    """Return the part of a request's memory that is taken from the budget."""
    return max(0, size - ALLOWANCE)
