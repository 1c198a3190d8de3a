"""Forecast of how many later requests will get a place before one that waits now.

Later requests of the same kind with an earlier deadline are not counted, since they are refused
where a waiting request would lose its place to them.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.admission._decaying_counts import DecayingCounts
from canvasyoke.admission._request import PendingRequest

#: Decay time of the counts in milliseconds. Shorter than the bursts of the reference loads (3.6 and
#: 5.7 s), so that the forecast follows them.
_DECAY_TIME: Final = 3 * SECOND
#: Places added to the recent ones, so that the first requests of an entry do not count as an
#: overload.
_PRIOR_PLACES: Final = 3.0
#: Least share of places that is assumed to be left, which bounds the forecast.
_MIN_SHARE: Final = 0.02


class OvertakingForecast:
    """Rates at which requests arrive that are served before those waiting; not thread-safe."""

    def __init__(self) -> None:
        self._asked: DecayingCounts[tuple[int, str]] = DecayingCounts(_DECAY_TIME)
        self._placed: DecayingCounts[None] = DecayingCounts(_DECAY_TIME)

    def record_asked(self, request: PendingRequest) -> None:
        """Count a request that arrives."""
        self._asked.add((request.priority, request.organisation), request.arrived_at)

    def record_placed(self, now: int) -> None:
        """Count a place that is given."""
        self._placed.add(None, now)

    def decay(self, now: int) -> None:
        """Reduce the counts by the time since the last update."""
        self._asked.decay(now)
        self._placed.decay(now)

    def remaining_share(self, request: PendingRequest) -> float:
        """Return the fraction of places left by more urgent requests."""
        overtaking = sum(a for (p, _), a in self._asked.items() if p < request.priority)
        return max(_MIN_SHARE, 1 - overtaking / self._recent_places)

    def arrivals(
        self, request: PendingRequest, places: float, turns: Mapping[str, float], turn: float
    ) -> float:
        """Return how many later requests of other organisations overtake within ``places`` places.

        ``turns`` has the places, recent and asked for, of each organisation. An organisation
        overtakes until it has had as many places as the request's own will have, its ``turn``.
        """
        return sum(
            min(turn - turns.get(organisation, 0.0), asked * places / self._recent_places)
            for (priority, organisation), asked in self._asked.items()
            if priority == request.priority
            and organisation != request.organisation
            and turns.get(organisation, 0.0) < turn
        )

    @property
    def _recent_places(self) -> float:
        return self._placed.total + _PRIOR_PLACES
