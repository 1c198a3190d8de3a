"""Order of the requests that wait for a place at one entry.

The order is by priority, then by organisation with the fewest recent places, then by deadline
and arrival. A kind (all requests of one priority) or an organisation that falls below a minimum
share of places is served first, so that none starves. The size of a request plays no part in the
order, so large requests get places as often as others of their kind.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Mapping
from typing import Final, TypeAlias

from canvasyoke.admission._decaying_counts import DecayingCounts
from canvasyoke.admission._request import PendingRequest

#: Rate of places per request of a kind or an organisation, relative to that of all requests, below
#: which it is served first. Above the required quarter, since the counts lag.
_MIN_RELATIVE_RATE: Final = 0.3
#: Places added to the recent ones when the share that others take is estimated, so that the first
#: requests of an entry do not count as an overload.
_PRIOR_PLACES: Final = 5.0
#: Least share of places that is assumed for a request, which bounds the forecast.
_MIN_SHARE: Final = 0.001

_Order: TypeAlias = tuple[int, float, int, int]


class _Tally:
    """Decaying counts of requests or places by kind, by organisation and by both."""

    def __init__(self) -> None:
        self.kinds: DecayingCounts[int] = DecayingCounts()
        self.organisations: DecayingCounts[str] = DecayingCounts()
        self.pairs: DecayingCounts[tuple[int, str]] = DecayingCounts()

    def add(self, request: PendingRequest, now: int) -> None:
        self.kinds.add(request.priority, now)
        self.organisations.add(request.organisation, now)
        self.pairs.add((request.priority, request.organisation), now)

    def decay(self, now: int) -> None:
        self.kinds.decay(now)
        self.organisations.decay(now)
        self.pairs.decay(now)


class WaitQueue:
    """The waiting requests of one service; not thread-safe."""

    def __init__(self) -> None:
        self._tickets = 0
        self._requests: dict[int, PendingRequest] = {}
        self._asked = _Tally()
        self._placed = _Tally()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests)

    def add(self, request: PendingRequest) -> int:
        """Add a request and return its ticket."""
        self._tickets += 1
        self._requests[self._tickets] = request
        self._asked.add(request, request.arrived_at)
        return self._tickets

    def remove(self, ticket: int) -> None:
        """Remove a request that no longer waits."""
        self._requests.pop(ticket, None)

    def next(self, now: int) -> int | None:
        """Return the ticket that gets the next place; ``None`` if no request waits."""
        if not self._requests:
            return None
        order = self._order(now)
        owed = [ticket for ticket in order if self.is_owed(ticket)]
        return min(owed or order, key=order.__getitem__)

    def record_admitted(self, ticket: int, now: int) -> None:
        """Remove a request that got a place, and count the place."""
        request = self._requests.pop(ticket, None)
        if request is not None:
            self._placed.add(request, now)

    def waiting(self) -> Mapping[int, int]:
        """Return the number of waiting requests by priority."""
        return Counter(request.priority for request in self._requests.values())

    def ahead_of(self, ticket: int, now: int) -> int:
        """Return the number of places that others are expected to get before a request."""
        return self.positions(now)[ticket]

    def is_owed(self, ticket: int) -> bool:
        """Return whether the kind or the organisation of a request is below its minimum share."""
        request = self._requests[ticket]
        asked, placed = self._asked, self._placed
        per_request = self._guaranteed_per_request
        of_kind = asked.kinds.count(request.priority) * per_request
        of_organisation = asked.organisations.count(request.organisation) * per_request
        return (
            of_kind - placed.kinds.count(request.priority) >= 1
            or of_organisation - placed.organisations.count(request.organisation) >= 1
        )

    def positions(self, now: int) -> dict[int, int]:
        """Return, by ticket, the number of places that others are expected to get first.

        Besides the requests that wait now it counts those expected to arrive and overtake, at
        the rate at which they have arrived recently.
        """
        order = self._order(now)
        of_kind: Counter[int] = Counter()
        shares: dict[tuple[int, str], float] = {}
        positions: dict[int, int] = {}
        for index, ticket in enumerate(sorted(order, key=order.__getitem__), start=1):
            request = self._requests[ticket]
            pair = (request.priority, request.organisation)
            if pair not in shares:
                shares[pair] = self._remaining_share(request)
            of_kind[request.priority] += 1
            places = index / shares[pair]
            guaranteed = self._guaranteed_share(request.priority)
            if guaranteed:
                places = min(places, of_kind[request.priority] / guaranteed)
            positions[ticket] = math.ceil(places) - 1
        return positions

    def last(self, now: int) -> int | None:
        """Return the last ticket in the order; ``None`` if no request waits."""
        order = self._order(now)
        return max(order, key=order.__getitem__, default=None)

    def _order(self, now: int) -> dict[int, _Order]:
        """Return the sort key of each ticket.

        Each waiting request counts as a future place of its organisation for those behind it.
        """
        self._asked.decay(now)
        self._placed.decay(now)
        places: defaultdict[str, float] = defaultdict(float)
        places.update(self._placed.organisations.items())
        by_urgency = sorted(
            (request.priority, request.deadline, ticket)
            for ticket, request in self._requests.items()
        )
        order: dict[int, _Order] = {}
        for priority, deadline, ticket in by_urgency:
            organisation = self._requests[ticket].organisation
            order[ticket] = (priority, places[organisation], deadline, ticket)
            places[organisation] += 1
        return order

    def _remaining_share(self, request: PendingRequest) -> float:
        """Return the fraction of places that requests which overtake this one leave."""
        own = self._placed.organisations.count(request.organisation)
        overtaking = sum(
            asked
            for (priority, organisation), asked in self._asked.pairs.items()
            if priority < request.priority
            or (
                priority == request.priority
                and organisation != request.organisation
                and self._placed.organisations.count(organisation) + 1 < own
            )
        )
        share = 1 - overtaking / (self._placed.kinds.total + _PRIOR_PLACES)
        return max(share, self._guaranteed_share(request.priority), _MIN_SHARE)

    @property
    def _guaranteed_per_request(self) -> float:
        """Guaranteed places per request of a kind or an organisation."""
        return _MIN_RELATIVE_RATE * self._placed.kinds.total / max(1.0, self._asked.kinds.total)

    def _guaranteed_share(self, priority: int) -> float:
        """Return the fraction of all places that is guaranteed to a kind."""
        asked = self._asked.kinds
        return _MIN_RELATIVE_RATE * asked.count(priority) / max(1.0, asked.total)
