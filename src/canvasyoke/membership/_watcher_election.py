"""Election of the processes that watch the platform's store for a failure domain.

Calls to the store are priced, and every watch is woken by every change. In a large fleet two
processes of each domain therefore watch, and pass on what they learn over the overlay.

There is no coordinator. Processes gossip with their neighbours in the domain about which
processes watch, how old that information is, and which have lost the store. Watchers that
are preceded by enough others in ``hash_order`` stop. If too few watchers are known for a
while, processes start to watch one after the other in that order, so that an outage of the
store does not make all of them call it at once.

A process without a link to its domain watches, since nobody can inform it. So does one that
has just started, until it is linked; after that only the first in order continue.

In a fleet that is a full mesh all processes watch: the failure of a watcher is detected only
after 2.5 s, while operators may require a configuration to be in force within 2 s.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.membership._nodes import hash_order

#: Milliseconds without a report after which a watcher is considered failed. Reports are relayed
#: every 300 ms and take several hops in a large domain. In a domain of 44 processes they take six
#: hops.
_WATCHER_TIMEOUT: Final = 2_500
#: Milliseconds between the starts of successive processes in order.
_START_STAGGER: Final = 700
#: Watchers per domain. Two, so that a store that rejects some machines is unlikely to leave the
#: whole fleet without a watcher. If the store rejects a third of all machines, a fleet of three
#: domains is without any watcher once in 24 times with one watcher per domain, and once in 500 with
#: two.
_WATCHERS_PER_DOMAIN: Final = 2
#: Most active watchers in one report: the elected ones and others that are about to stop.
_MAX_REPORTED: Final = 4


@dataclass(frozen=True, slots=True)
class WatcherStatus:
    """A report that a process watches the store, and its age."""

    name: str
    #: Milliseconds since the process itself sent the report.
    age: int
    #: Whether the process has lost the store.
    is_lost: bool = False


class WatcherElection:
    """Decides whether this process watches the store; thread-safe.

    ``is_store_reachable`` returns whether the store answers this process.
    """

    def __init__(self, own: str, clock: Clock, is_store_reachable: Callable[[], bool]) -> None:
        self._own = own
        self._clock = clock
        self._is_store_reachable = is_store_reachable
        self._lock = threading.Lock()
        #: Times at which other processes were last known to watch, and to have lost the
        #: store.
        self._watching_at: dict[str, int] = {}
        self._lost_at: dict[str, int] = {}
        #: Names of the domain's processes including this one, sorted by ``hash_order``.
        self._order: tuple[str, ...] = (own,)
        self._is_linked = False
        self._is_starting = True
        self._unwatched_since = clock.now()
        #: Whether this process currently watches.
        self.is_watching = True

    def set_domain(self, names: Iterable[str]) -> None:
        """Set the names of the domain's processes."""
        self._order = tuple(sorted({*names, self._own}, key=hash_order))

    def receive(self, statuses: Collection[WatcherStatus]) -> None:
        """Merge the report of a neighbour in the same domain."""
        now = self._clock.now()
        with self._lock:
            for status in statuses:
                if status.name != self._own:
                    times = self._lost_at if status.is_lost else self._watching_at
                    at = now - status.age
                    times[status.name] = max(at, times.get(status.name, at))

    def statuses(self) -> list[WatcherStatus]:
        """Return the report to send to neighbours in the same domain."""
        now = self._clock.now()
        with self._lock:
            active = self._active_watchers()
            lost = [
                WatcherStatus(name, now - at, True)
                for name, at in self._lost_at.items()
                if name not in active
            ]
        reported = {name: WatcherStatus(name, now - at) for name, at in active.items()}
        if self.is_watching and self._is_store_reachable():
            reported[self._own] = WatcherStatus(self._own, 0)
        elif self.is_watching:
            lost.append(WatcherStatus(self._own, 0, True))
        first = sorted(reported, key=hash_order)[:_MAX_REPORTED]
        return [reported[name] for name in first] + lost

    def decide(self, is_linked: bool, is_mesh: bool) -> bool:
        """Update and return whether this process watches."""
        now = self._clock.now()
        with self._lock:
            active = self._active_watchers()
        is_watched = len(active) >= _WATCHERS_PER_DOMAIN
        if is_watched or is_linked != self._is_linked:
            self._unwatched_since = now
        self._is_linked = is_linked
        if is_mesh:
            self.is_watching = True
        elif self.is_watching:
            self.is_watching = not self._may_stop(active)
        elif not is_watched:
            self.is_watching = now - self._unwatched_since >= self._start_delay()
        self._is_starting = self._is_starting and not is_linked
        return self.is_watching

    def _may_stop(self, active: Collection[str]) -> bool:
        """Return whether enough processes that precede this one watch or are about to."""
        preceding = [name for name in active if hash_order(name) < hash_order(self._own)]
        if len(preceding) >= _WATCHERS_PER_DOMAIN:
            return True
        is_first = self._own in self._order[:_WATCHERS_PER_DOMAIN]
        return self._is_starting and self._is_linked and not is_first

    def _active_watchers(self) -> dict[str, int]:
        """Return the watchers in contact with the store and when; the lock must be held."""
        limit = self._clock.now() - _WATCHER_TIMEOUT
        self._watching_at = {name: at for name, at in self._watching_at.items() if at >= limit}
        self._lost_at = {name: at for name, at in self._lost_at.items() if at >= limit}
        return {
            name: at for name, at in self._watching_at.items() if at > self._lost_at.get(name, 0)
        }

    def _start_delay(self) -> int:
        """Return the milliseconds without enough watchers after which this process starts."""
        if not self._is_linked:
            return 0
        return max(0, self._order.index(self._own) + 1 - _WATCHERS_PER_DOMAIN) * _START_STAGGER
