"""This entry's share of a rate limit that applies to all entries together.

Shares are proportional to the demand at each entry, which entries report to each other while a
limit is in effect. A tenth is divided evenly, so that an entry whose first callers arrive has a
share. Where not all entries hear each other the shares are equal.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.direct._backend_limits import Share

#: Fraction of a rate that is divided evenly.
_EVEN_FRACTION: Final = 0.1
#: Milliseconds after which another entry's reported demand is ignored.
_MAX_REPORT_AGE: Final = 3 * SECOND


@dataclass(frozen=True, slots=True)
class _DemandReport:
    demands: Mapping[str, float]
    #: Time on this entry's clock.
    at: int


class DemandShares:
    """Computes this entry's shares of rate limits; thread-safe."""

    def __init__(self, own_demand: Callable[[str], float], clock: Clock) -> None:
        #: Returns the requests a second that callers make to a service here.
        self._own_demand = own_demand
        self._clock = clock
        self._lock = threading.Lock()
        self._reports: dict[str, _DemandReport] = {}
        #: Number of entries that choose among the same backends, this one included, and
        #: whether each hears all others.
        self._entries = 1
        self._is_full_mesh = True

    def set_fleet(self, entries: int, is_full_mesh: bool) -> None:
        """Set the number of entries and whether each hears all others."""
        with self._lock:
            self._entries, self._is_full_mesh = max(1, entries), is_full_mesh

    def report_demand(self, entry: str, demands: Mapping[str, float]) -> None:
        """Store another entry's demand for services with a rate limit."""
        with self._lock:
            self._reports[entry] = _DemandReport(demands, self._clock.now())

    def share(self, service: str) -> Share:
        """Return this entry's share of a service's rate limits."""
        with self._lock:
            entries = self._entries
        return Share(self._fraction(service), entries)

    def _fraction(self, service: str) -> float:
        own = self._own_demand(service)
        with self._lock:
            equal = 1 / self._entries
            if not self._is_full_mesh:
                return equal
            oldest = self._clock.now() - _MAX_REPORT_AGE
            self._reports = {name: r for name, r in self._reports.items() if r.at >= oldest}
            reported = [r.demands.get(service, 0.0) for r in self._reports.values()]
            total = own + sum(reported)
            if not total:
                return equal
            # Entries that have not reported may have callers too.
            covered = min(1.0, (len(reported) + 1) / self._entries)
            return _EVEN_FRACTION * equal + (1 - _EVEN_FRACTION) * covered * own / total
