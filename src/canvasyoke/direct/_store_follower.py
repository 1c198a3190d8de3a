"""A task that follows one kind of object in the store.

It lists once, then watches from the position of the list while this entry watches for its
domain; others hear of changes from it. A watch that was cut begins with a new list, which is
compared and not taken for a loss: the store can lose events before it cuts its watches and
forgets its history, and a watch that goes on from before hears of that only with the next
event.
"""

from __future__ import annotations

import random
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.observe import part_logger
from canvasyoke.state import CALL_PATIENCE, Unavailable, Unusable

_log = part_logger("store")
#: Milliseconds that a watch waits. Each watch is a call that the store counts; a longer
#: one leaves a connection that has gone silent believed for longer. All entries begin
#: their watches together, since the same news ends them, so none can tell the others: at
#: 5 s, given up after 2 s more, a leaving stayed unknown to all of them for 7 s.
WATCH: Final = 1_800
#: Milliseconds between looks of an entry that does not watch at whether it is to.
IDLE: Final = 100
#: Milliseconds between calls that fail, doubled from the first to the second.
_BACKOFF_START: Final = 50
_BACKOFF_LIMIT: Final = 500
#: Milliseconds between two watches without news, should the store end them at once.
PAUSE: Final = 20
#: Milliseconds between news and the next watch. Each watch that wakes is a call that the
#: platform prices, and news come in series: all backends write their entries when they
#: start. Nothing that follows has to be known sooner.
PAUSE_AFTER_NEWS: Final = 120
#: Least patience in milliseconds with a call while the store is lost; the most is
#: ``CALL_PATIENCE``. It is drawn for each call: entries that lost the store together would
#: all find it again up to 2 s after its return, since a call that was begun before gets no
#: answer, and hold removals for as long again as they were late. What the first of them
#: learns it tells the others. In simulated outages of seven entries the first was up to
#: 2,145 ms late with 2 s for each call, and up to 1,149 ms with this.
_LEAST_PATIENCE: Final = 400
#: Milliseconds that the store must have been away for entries to have lapsed: they do
#: after three heartbeats, of which one may have been missed before.
_LAPSE_TIME: Final = 1 * SECOND


class Contact:
    """Whether the store answers one task, and how long that task backs off."""

    def __init__(
        self, what: str, clock: Clock, rng: random.Random, pause: Callable[[float], None]
    ) -> None:
        self._what = what
        self._clock = clock
        self._rng = rng
        self._pause = pause
        self._backoff = _BACKOFF_START
        self._lost_at = 0
        self._is_resting = False
        #: Time on the clock at which the store answered again after it had been away for
        #: so long that entries may have lapsed; 0 if never.
        self.regained_at = 0

    @property
    def is_lost(self) -> bool:
        """Tell whether the last call failed."""
        return self._lost_at > 0

    @property
    def patience(self) -> int:
        """Return the milliseconds for which to wait for the answer to the next call."""
        if not self._lost_at:
            return CALL_PATIENCE
        return self._rng.randint(_LEAST_PATIENCE, CALL_PATIENCE)

    def failed(self, cause: Unavailable | Unusable) -> None:
        """Note a call without a usable answer, and wait a little."""
        if not self._lost_at:
            self._lost_at = self._clock.now()
            _log.warning("lost the store", what=self._what, cause=cause.detail)
        elif isinstance(cause, Unusable):
            _log.warning("cannot use the store's answer", what=self._what, cause=cause.detail)
        self._pause(self._backoff * self._rng.uniform(0.5, 1.5))
        self._backoff = min(_BACKOFF_LIMIT, self._backoff * 2)

    def left_to_others(self) -> None:
        """Note that this task makes no calls for now."""
        self._lost_at = 0
        self._is_resting = True

    def resumes(self) -> None:
        """Note that this task makes calls.

        After a rest entries may have lapsed: it may begin because nobody had contact.
        """
        if self._is_resting:
            self._is_resting = False
            self._lost_at = self._clock.now() - _LAPSE_TIME

    def answered(self) -> None:
        """Note a usable answer."""
        self._backoff = _BACKOFF_START
        if self._lost_at:
            now = self._clock.now()
            away = now - self._lost_at
            if away >= _LAPSE_TIME:
                self.regained_at = now
            _log.info("regained the store", what=self._what, away=away)
            self._lost_at = 0


class StoreFollower(ABC):
    """A task that follows one kind of object."""

    def __init__(self, what: str, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._stop = threading.Event()
        self._contact = Contact(what, clock, rng, self._pause)
        self._task = threading.Thread(target=self._run, name=f"follow-{what}", daemon=True)

    def start(self) -> None:
        """Start following."""
        self._task.start()

    @property
    def is_lost(self) -> bool:
        """Tell whether the store does not answer."""
        return self._contact.is_lost

    def _pause(self, duration: float) -> None:
        self._stop.wait(duration / SECOND)

    @abstractmethod
    def _run(self) -> None:
        """Follow until stopped."""
