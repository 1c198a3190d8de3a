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
from dataclasses import dataclass
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.admission._decaying_counts import DecayingCounts
from canvasyoke.admission._overtaking import OvertakingForecast
from canvasyoke.admission._request import PendingRequest

#: Decay time of the counts of requests and places in milliseconds. Longer than the bursts of the
#: reference loads (3.6 and 5.7 s), so that a burst does not hide what came before it.
_DECAY_TIME: Final = 10 * SECOND
#: Rate of places per request of a kind or an organisation, relative to that of all requests, below
#: which it is served first. Above the required quarter, since the counts lag.
_MIN_RELATIVE_RATE: Final = 0.3


class _Tally:
    """Decaying counts of requests or places by kind and by organisation."""

    def __init__(self) -> None:
        self.kinds: DecayingCounts[int] = DecayingCounts(_DECAY_TIME)
        self.organisations: DecayingCounts[str] = DecayingCounts(_DECAY_TIME)

    def add(self, request: PendingRequest, now: int) -> None:
        self.kinds.add(request.priority, now)
        self.organisations.add(request.organisation, now)

    def decay(self, now: int) -> None:
        self.kinds.decay(now)
        self.organisations.decay(now)


@dataclass(frozen=True, slots=True, order=True)
class _Order:
    """Sort key of a waiting request."""

    priority: int
    #: Recent places of the organisation, with one for each of its requests that comes before.
    turn: float
    deadline: int
    ticket: int


class WaitQueue:
    """The waiting requests of one service; not thread-safe."""

    def __init__(self) -> None:
        self._tickets = 0
        self._requests: dict[int, PendingRequest] = {}
        self._asked = _Tally()
        self._placed = _Tally()
        self._overtaking = OvertakingForecast()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests)

    def add(self, request: PendingRequest) -> int:
        """Add a request and return its ticket."""
        self._tickets += 1
        self._requests[self._tickets] = request
        self._asked.add(request, request.arrived_at)
        self._overtaking.record_asked(request)
        return self._tickets

    def remove(self, ticket: int) -> None:
        """Remove a request that no longer waits."""
        self._requests.pop(ticket, None)

    def next(self, now: int) -> int | None:
        """Return the ticket that gets the next place; ``None`` if no request waits."""
        order = self._order(now)
        owed = [each for each in order if self.is_owed(each.ticket)]
        best = min(owed or order, default=None)
        return best.ticket if best is not None else None

    def record_admitted(self, ticket: int, now: int) -> None:
        """Remove a request that got a place, and count the place."""
        request = self._requests.pop(ticket, None)
        if request is not None:
            self._placed.add(request, now)
            self._overtaking.record_placed(now)

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
        per_request = _MIN_RELATIVE_RATE * placed.kinds.total / max(1.0, asked.kinds.total)
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
        order = sorted(self._order(now))
        self._overtaking.decay(now)
        turns = self._places_by_organisation()
        for request in self._requests.values():
            turns[request.organisation] += 1
        of_kind: Counter[int] = Counter()
        positions: dict[int, int] = {}
        for index, each in enumerate(order, start=1):
            request = self._requests[each.ticket]
            share = self._overtaking.remaining_share(request)
            arrivals = self._overtaking.arrivals(request, index / share, turns, each.turn)
            places = (index + arrivals) / share
            of_kind[request.priority] += 1
            guaranteed = self._guaranteed_share(request.priority)
            if guaranteed:
                places = min(places, of_kind[request.priority] / guaranteed)
            positions[each.ticket] = max(index, math.ceil(places)) - 1
        return positions

    def delayed_by(self, ticket: int, now: int) -> list[int]:
        """Return the requests of the same kind that one delays only by its earlier deadline.

        A request of an organisation with fewer places, recent and asked for, may delay others.
        """
        order = self._order(now)
        own = next(each for each in order if each.ticket == ticket)
        turns = self._places_by_organisation()
        for request in self._requests.values():
            turns[request.organisation] += 1
        own_turns = turns[self._requests[ticket].organisation]
        return [
            each.ticket
            for each in order
            if each > own
            and each.priority == own.priority
            and turns[self._requests[each.ticket].organisation] <= own_turns + 1
        ]

    def last(self, now: int) -> int | None:
        """Return the last ticket in the order; ``None`` if no request waits."""
        last = max(self._order(now), default=None)
        return last.ticket if last is not None else None

    def _order(self, now: int) -> list[_Order]:
        """Return the sort key of each waiting request."""
        self._asked.decay(now)
        self._placed.decay(now)
        places = self._places_by_organisation()
        by_urgency = sorted(
            (request.priority, request.deadline, ticket)
            for ticket, request in self._requests.items()
        )
        order: list[_Order] = []
        for priority, deadline, ticket in by_urgency:
            organisation = self._requests[ticket].organisation
            order.append(_Order(priority, places[organisation], deadline, ticket))
            places[organisation] += 1
        return order

    def _places_by_organisation(self) -> defaultdict[str, float]:
        places: defaultdict[str, float] = defaultdict(float)
        places.update(self._placed.organisations.items())
        return places

    def _guaranteed_share(self, priority: int) -> float:
        """Return the fraction of all places that is guaranteed to a kind."""
        asked = self._asked.kinds
        return _MIN_RELATIVE_RATE * asked.count(priority) / max(1.0, asked.total)
