"""Base of the threads that follow one kind of object in the store.

A follower lists the objects, and then watches for changes from the position of the list
while this entry is a watcher of its domain; peers receive the changes from it. After a failed
watch it lists again, since the store may have lost events before it dropped its history.
"""

from __future__ import annotations

import random
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.observe import part_logger
from canvasyoke.state import CALL_TIMEOUT, Unavailable, Unusable

_log = part_logger("store")
#: Milliseconds for which a watch waits for changes. Shorter watches make more calls; longer ones
#: take longer to detect a dead connection. The watches of all entries run in step, since the same
#: changes end them, so peers do not hide the delay. At 5 s, with a timeout 2 s later, a leaving
#: backend stayed unknown to all entries for 7 s.
WATCH_TIMEOUT: Final = 1_800
#: Milliseconds between checks whether an entry that does not watch has to start.
IDLE_INTERVAL: Final = 100
#: First and longest delay in milliseconds after a failed call; doubled for each failure.
_BACKOFF_START: Final = 50
_BACKOFF_LIMIT: Final = 500
#: Milliseconds between watches without changes, in case the store ends them at once.
PAUSE_AFTER_TIMEOUT: Final = 20
#: Milliseconds between a change and the next watch. Calls are priced and changes come in
#: bursts, for example when backends start; the pause batches them.
PAUSE_AFTER_CHANGES: Final = 120
#: Shortest timeout in milliseconds of a call while the store is lost; the longest is
#: ``CALL_TIMEOUT``. Random timeouts desynchronize the entries, so that one of them detects early
#: that the store is back and informs the others. Calls started during an outage are never answered.
#: In simulated outages of seven entries, the first of them was up to 2,145 ms late with 2 s for
#: each call, and up to 1,149 ms with random timeouts.
_MIN_TIMEOUT: Final = 400
#: Milliseconds of an outage after which entries of backends may have expired. They expire
#: after three missed heartbeats, one of which may precede the outage.
_EXPIRY_TIME: Final = 1 * SECOND


class StoreAvailability:
    """Tracks whether the store answers one follower, and its backoff."""

    def __init__(
        self, what: str, clock: Clock, rng: random.Random, pause: Callable[[float], None]
    ) -> None:
        self._what = what
        self._clock = clock
        self._rng = rng
        self._pause = pause
        self._backoff = _BACKOFF_START
        self._lost_at = 0
        self._is_suspended = False
        #: Time at which the store answered again after an outage so long that backend entries
        #: may have expired; 0 if never.
        self.reconnected_at = 0

    @property
    def is_lost(self) -> bool:
        """Whether the last call failed."""
        return self._lost_at > 0

    @property
    def timeout(self) -> int:
        """Timeout of the next call in milliseconds."""
        if not self._lost_at:
            return CALL_TIMEOUT
        return self._rng.randint(_MIN_TIMEOUT, CALL_TIMEOUT)

    def record_failure(self, cause: Unavailable | Unusable) -> None:
        """Record a call without a usable answer, and wait for the backoff."""
        if not self._lost_at:
            self._lost_at = self._clock.now()
            _log.warning("lost the store", what=self._what, cause=cause.detail)
        elif isinstance(cause, Unusable):
            _log.warning("cannot use the store's answer", what=self._what, cause=cause.detail)
        self._pause(self._backoff * self._rng.uniform(0.5, 1.5))
        self._backoff = min(_BACKOFF_LIMIT, self._backoff * 2)

    def suspend(self) -> None:
        """Record that the follower makes no calls for now."""
        self._lost_at = 0
        self._is_suspended = True

    def resume(self) -> None:
        """Record that the follower makes calls.

        After a suspension backend entries may have expired, since this process may have been
        elected because no other one could reach the store.
        """
        if self._is_suspended:
            self._is_suspended = False
            self._lost_at = self._clock.now() - _EXPIRY_TIME

    def record_success(self) -> None:
        """Record a usable answer."""
        self._backoff = _BACKOFF_START
        if self._lost_at:
            now = self._clock.now()
            away = now - self._lost_at
            if away >= _EXPIRY_TIME:
                self.reconnected_at = now
            _log.info("regained the store", what=self._what, away=away)
            self._lost_at = 0


class StoreFollower(ABC):
    """A thread that follows one kind of object."""

    def __init__(self, what: str, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._stop = threading.Event()
        self._availability = StoreAvailability(what, clock, rng, self._pause)
        self._thread = threading.Thread(target=self._run, name=f"follow-{what}", daemon=True)

    def start(self) -> None:
        """Start following."""
        self._thread.start()

    @property
    def is_lost(self) -> bool:
        """Whether the store does not answer."""
        return self._availability.is_lost

    def _pause(self, duration: float) -> None:
        self._stop.wait(duration / SECOND)

    @abstractmethod
    def _run(self) -> None:
        """Follow until stopped."""
