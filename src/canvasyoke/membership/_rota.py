"""Who watches the platform's store on behalf of a failure domain.

Each call to the store is priced, and a watch of every entry is woken by every change: 99
entries made most of their 6,600 calls in 24 s for what any one of them could have told
the others. So one process of each domain watches, and what it learns goes over the links.

Nobody appoints it. Every process hears, from neighbour to neighbour, which processes of
its domain watch and how long ago each was known to. The one that is first in an order
that all agree on goes on; the others stop when they hear of it. Where nobody has been
heard of for a while, processes begin to watch one after the other in that order, so that
an outage of the store does not bring all of them to it at once. A process without a link
watches: nobody could tell it anything. So does one that has just started, until it is
linked with others of its domain; only the first in order goes on then.
"""

from __future__ import annotations

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
#: Watchers told of at the most: the first one and a second that may be about to stop.
_TOLD: Final = 2


@dataclass(frozen=True, slots=True)
class StoreContact:
    """A process that watches the store, and how long ago that was known."""

    name: str
    #: Milliseconds since the process said so itself.
    age: int


class WatchRota:
    """Whether this process watches; thread-safe as far as single calls go.

    ``in_contact`` tells whether the store answers this process.
    """

    def __init__(self, own: str, clock: Clock, in_contact: Callable[[], bool]) -> None:
        self._own = own
        self._clock = clock
        self._in_contact = in_contact
        #: Times on the clock at which other watchers were last known to watch.
        self._heard: dict[str, int] = {}
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
        for contact in contacts:
            if contact.name != self._own:
                at = now - contact.age
                self._heard[contact.name] = max(at, self._heard.get(contact.name, at))

    def tell(self) -> list[StoreContact]:
        """Return what to tell neighbours of the same domain."""
        now = self._clock.now()
        known = {name: now - at for name, at in self._fresh().items()}
        if self.is_watching and self._in_contact():
            known[self._own] = 0
        first = sorted(known, key=precedence)[:_TOLD]
        return [StoreContact(name, known[name]) for name in first]

    def decide(self, is_linked: bool) -> bool:
        """Return whether this process is to watch from now on."""
        now = self._clock.now()
        fresh = self._fresh()
        if fresh or is_linked != self._is_linked:
            self._silent_since = now
        self._is_linked = is_linked
        if self.is_watching:
            self.is_watching = not self._may_stop(fresh)
        elif not fresh:
            self.is_watching = now - self._silent_since >= self._delay()
        self._is_starting = self._is_starting and not is_linked
        return self.is_watching

    def _may_stop(self, fresh: Collection[str]) -> bool:
        """Tell whether another one watches, or is about to since it comes first."""
        if any(precedence(name) < precedence(self._own) for name in fresh):
            return True
        return self._is_starting and self._is_linked and self._order[0] != self._own

    def _fresh(self) -> dict[str, int]:
        limit = self._clock.now() - _SILENCE
        for name in [name for name, at in self._heard.items() if at < limit]:
            del self._heard[name]
        return dict(self._heard)

    def _delay(self) -> int:
        """Return the milliseconds of silence after which this process begins."""
        return self._order.index(self._own) * _STAGGER if self._is_linked else 0
