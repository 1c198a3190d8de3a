"""This entry's part of a rate that a backend takes from all entries together.

Parts follow what callers ask of each entry, as the entries tell each other while a limit is in
force; a tenth is dealt evenly, so that an entry whose first callers come now has a part. Where
not all entries hear each other the parts are equal.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.direct._backend_limits import Share

#: Part of a rate that is dealt evenly.
_EVEN: Final = 0.1
#: Milliseconds after which what another entry told of its callers is left out.
_STALE: Final = 3 * SECOND


@dataclass(frozen=True, slots=True)
class _Told:
    demands: Mapping[str, float]
    #: Time on this entry's clock.
    at: int


class DemandShares:
    """Thread-safe."""

    def __init__(self, own_demand: Callable[[str], float], clock: Clock) -> None:
        #: Returns the requests a second that callers ask of a service here.
        self._own_demand = own_demand
        self._clock = clock
        self._lock = threading.Lock()
        self._told: dict[str, _Told] = {}
        #: Entries that choose among the same backends, this one included, and whether each
        #: hears all others.
        self._entries = 1
        self._hears_all = True

    def set_fleet(self, entries: int, hears_all: bool) -> None:
        """Take note of who takes part."""
        with self._lock:
            self._entries, self._hears_all = max(1, entries), hears_all

    def told(self, entry: str, demands: Mapping[str, float]) -> None:
        """Take what another entry's callers ask of services with a limit."""
        with self._lock:
            self._told[entry] = _Told(demands, self._clock.now())

    def share(self, service: str) -> Share:
        """Return the part of a service's limits that falls to this entry."""
        with self._lock:
            entries = self._entries
        return Share(self._part(service), entries)

    def _part(self, service: str) -> float:
        own = self._own_demand(service)
        with self._lock:
            equal = 1 / self._entries
            if not self._hears_all:
                return equal
            fresh = self._clock.now() - _STALE
            self._told = {name: t for name, t in self._told.items() if t.at >= fresh}
            told = [t.demands.get(service, 0.0) for t in self._told.values()]
            total = own + sum(told)
            if not total:
                return equal
            # The rest of the fleet has callers too, who were not heard of.
            heard = min(1.0, (len(told) + 1) / self._entries)
            return _EVEN * equal + (1 - _EVEN) * heard * own / total
