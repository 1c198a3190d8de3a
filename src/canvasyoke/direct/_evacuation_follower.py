"""Follows the evacuations in the store.

Each call to the store is priced, and an evacuation is rare. So a watch waits as long as the
operator's time limit allows: if its connection is dead, that is found early enough to list the
evacuations within the limit. A store can also lose an event without ending the watch, and then
reports the loss only with the next event of this kind, which may come hours later. Therefore every
few watches without a change a list replaces one.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.direct._evacuations import Evacuations
from canvasyoke.direct._store_follower import (
    IDLE_INTERVAL,
    PAUSE_AFTER_CHANGES,
    PAUSE_AFTER_TIMEOUT,
    StoreFollower,
)
from canvasyoke.observe import part_logger
from canvasyoke.state import (
    EvacuationChanges,
    EvacuationRead,
    EvacuationWatchResult,
    FleetStore,
    HistoryGone,
    NoChange,
    StorePosition,
    Unavailable,
    Unusable,
    format_position,
    revision_of,
)

_log = part_logger("store")
#: Duration of a watch as a fraction of the time limit: 3 s of 5 s. A dead connection is found 0.7 s
#: later, which leaves 1.3 s to list the evacuations and to tell the other entries.
_WATCH_FRACTION: Final = 0.6
#: Watches without a change after which the evacuations are listed again. With 3 s for a watch,
#: this makes 3 calls in 6 s, fewer than the watches of 1.8 s of the other kinds make.
_MAX_QUIET_WATCHES: Final = 2


class EvacuationFollower(StoreFollower):
    """Puts new evacuations from the store in force while this entry watches the store."""

    def __init__(
        self,
        store: FleetStore,
        evacuations: Evacuations,
        time_limit: int,
        is_watching: Callable[[], bool],
        announce: Callable[[], None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """``time_limit`` is in milliseconds; with 0 nothing is followed and no call is made.

        ``announce`` tells the other entries of the set in force.
        """
        super().__init__("evacuations", clock, rng)
        self._store = store
        self._evacuations = evacuations
        self._time_limit = time_limit
        self._watch_time = round(time_limit * _WATCH_FRACTION)
        self._is_watching = is_watching
        self._announce = announce
        #: Clock time since which only the evacuations are missing; ``None`` before.
        self._blocked_since: int | None = None
        #: Evacuated domains in the store as of a position; the position is 0 if a list is needed.
        self._domains: frozenset[str] = frozenset()
        self._position: StorePosition = 0
        self._quiet_watches = 0

    def start(self) -> None:
        """Start following if the operators use evacuations."""
        if self._time_limit:
            super().start()

    def is_settled(self, has_rest: bool, has_heard_peer: bool) -> bool:
        """Return whether this entry may accept callers.

        It must not send requests to an evacuated domain because it has just started. It waits for
        the store; without the store for its first link, over which a set that is not empty would
        have come before all else; and at most for the time limit, since the kind may be unreadable.
        ``has_rest`` tells whether it knows all else that callers need, and begins this time.
        """
        if not self._time_limit or self._evacuations.is_known:
            return True
        if not has_rest:
            return False
        now = self._clock.now()
        if self._blocked_since is None:
            self._blocked_since = now
        has_asked_peers = has_heard_peer and self.is_lost
        return has_asked_peers or now - self._blocked_since >= self._time_limit

    def _run(self) -> None:
        while not self._stop.is_set():
            if self._evacuations.is_known and not self._is_watching():
                self._position = 0
                self._availability.suspend()
                self._pause(IDLE_INTERVAL)
                continue
            self._availability.resume()
            self._handle(self._fetch())

    def _fetch(self) -> EvacuationRead | EvacuationWatchResult:
        if self._position and self._quiet_watches < _MAX_QUIET_WATCHES:
            return self._store.watch_evacuations(self._position, self._watch_time)
        return self._store.evacuations(self._availability.timeout)

    def _handle(self, result: EvacuationRead | EvacuationWatchResult) -> None:
        match result:
            case EvacuationRead():
                self._handle_list(result)
            case EvacuationChanges():
                self._availability.record_success()
                for domain, is_evacuated in result.changes:
                    self._domains -= {domain}
                    if is_evacuated:
                        self._domains |= {domain}
                self._adopt(result.position)
                self._pause(PAUSE_AFTER_CHANGES)
            case NoChange():
                self._availability.record_success()
                self._evacuations.confirm()
                self._quiet_watches += 1
                self._pause(PAUSE_AFTER_TIMEOUT)
            case HistoryGone():
                at = format_position(self._position)
                _log.info("the store forgot its history", what="evacuations", at=at)
                self._position = 0
            case failure:
                self._handle_failure(failure)

    def _handle_list(self, result: EvacuationRead) -> None:
        self._availability.record_success()
        self._domains = result.domains
        self._adopt(result.position)
        if not revision_of(result.position):
            # The store does not know the kind yet, and has no position to watch from.
            self._position = 0
            self._pause(self._watch_time)
        else:
            self._pause(PAUSE_AFTER_TIMEOUT)

    def _handle_failure(self, failure: Unavailable | Unusable) -> None:
        self._position = 0
        self._availability.record_failure(failure)

    def _adopt(self, position: StorePosition) -> None:
        self._position = position
        self._quiet_watches = 0
        if self._evacuations.adopt(self._domains, position, "store"):
            self._announce()
