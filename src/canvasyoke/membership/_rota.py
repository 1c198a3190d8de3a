"""Who watches the platform's store on behalf of a failure domain.

Each call to the store is priced, and a watch of every entry is woken by every change: 99
entries made most of their 6,600 calls in 24 s for what any one of them could have told
the others. So two processes of each domain watch, and what they learn goes over the links.

Nobody appoints them. Every process hears, from neighbour to neighbour, which processes of
its domain watch, how long ago each was known to, and which have lost the store. Those that
are first in an order that all agree on go on; the others stop when they hear of them. Where
fewer are heard of for a while, processes begin to watch one after the other in that order,
so that an outage of the store does not bring all of them to it at once. A process without
a link watches: nobody could tell it anything. So does one that has just started, until it
is linked with others of its domain; only the first in order go on then.

In a fleet small enough for a mesh all watch. A watcher that falls silent is noticed after
2.5 s, which is longer than some operators give a configuration to be in force (2 s): with one
watcher in each of three domains, a store that turned some machines away kept a revoked key
in use on one of 40 played days.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.membership._places import precedence

#: Milliseconds after which a watcher that was not heard of is taken to be silent. Word
#: goes from neighbour to neighbour every 300 ms; in a domain of 44 it takes six hops.
_SILENCE: Final = 2_500
#: Milliseconds by which each next process in order begins later.
_STAGGER: Final = 700
#: Processes of a domain that watch. A store that turns a third of all machines away leaves
#: a fleet of three domains without any watcher once in 24 times with one a domain, and once
#: in 500 with two.
_WATCHERS: Final = 2
#: Processes told of at the most: the watchers, and others that are about to stop.
_TOLD: Final = 4


@dataclass(frozen=True, slots=True)
class StoreContact:
    """A process that watches the store, and how long ago that was known."""

    name: str
    #: Milliseconds since the process said so itself.
    age: int
    #: Whether it has lost the store.
    is_lost: bool = False


class WatchRota:
    """Whether this process watches; thread-safe.

    ``in_contact`` tells whether the store answers this process.
    """

    def __init__(self, own: str, clock: Clock, in_contact: Callable[[], bool]) -> None:
        self._own = own
        self._clock = clock
        self._in_contact = in_contact
        self._lock = threading.Lock()
        #: Times on the clock at which other watchers were last known to watch, and to
        #: have lost the store.
        self._heard: dict[str, int] = {}
        self._lost: dict[str, int] = {}
        #: Names of the domain's processes, this one included, in order.
        self._order: tuple[str, ...] = (own,)
        self._is_linked = False
        self._is_starting = True
        self._silent_since = clock.now()
        #: Whether this process watches now.
        self.is_watching = True

    def set_domain(self, names: Iterable[str]) -> None:
        """Take note of the domain's processes."""
        self._order = tuple(sorted({*names, self._own}, key=precedence))

    def hear(self, contacts: Collection[StoreContact]) -> None:
        """Take what a neighbour of the same domain tells."""
        now = self._clock.now()
        with self._lock:
            for contact in contacts:
                if contact.name != self._own:
                    known = self._lost if contact.is_lost else self._heard
                    at = now - contact.age
                    known[contact.name] = max(at, known.get(contact.name, at))

    def tell(self) -> list[StoreContact]:
        """Return what to tell neighbours of the same domain."""
        now = self._clock.now()
        with self._lock:
            fresh = self._fresh()
            lost = [
                StoreContact(name, now - at, True)
                for name, at in self._lost.items()
                if name not in fresh
            ]
        known = {name: StoreContact(name, now - at) for name, at in fresh.items()}
        if self.is_watching and self._in_contact():
            known[self._own] = StoreContact(self._own, 0)
        elif self.is_watching:
            lost.append(StoreContact(self._own, 0, True))
        first = sorted(known, key=precedence)[:_TOLD]
        return [known[name] for name in first] + lost

    def decide(self, is_linked: bool, is_mesh: bool) -> bool:
        """Return whether this process is to watch from now on."""
        now = self._clock.now()
        with self._lock:
            fresh = self._fresh()
        is_watched = len(fresh) >= _WATCHERS
        if is_watched or is_linked != self._is_linked:
            self._silent_since = now
        self._is_linked = is_linked
        if is_mesh:
            self.is_watching = True
        elif self.is_watching:
            self.is_watching = not self._may_stop(fresh)
        elif not is_watched:
            self.is_watching = now - self._silent_since >= self._delay()
        self._is_starting = self._is_starting and not is_linked
        return self.is_watching

    def _may_stop(self, fresh: Collection[str]) -> bool:
        """Tell whether others watch, or are about to since they come first."""
        before = [name for name in fresh if precedence(name) < precedence(self._own)]
        if len(before) >= _WATCHERS:
            return True
        is_first = self._own in self._order[:_WATCHERS]
        return self._is_starting and self._is_linked and not is_first

    def _fresh(self) -> dict[str, int]:
        """Return who is known to watch with success, and when; the lock must be held."""
        limit = self._clock.now() - _SILENCE
        self._heard = {name: at for name, at in self._heard.items() if at >= limit}
        self._lost = {name: at for name, at in self._lost.items() if at >= limit}
        return {name: at for name, at in self._heard.items() if at > self._lost.get(name, 0)}

    def _delay(self) -> int:
        """Return the milliseconds of silence after which this process begins."""
        if not self._is_linked:
            return 0
        return max(0, self._order.index(self._own) + 1 - _WATCHERS) * _STAGGER
