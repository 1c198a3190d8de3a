"""Select a target: filter by hard constraints, then rank the remaining candidates.

Hard constraints are never traded against preferences. Reports lag and many entries choose
concurrently, so always taking the least loaded target causes herding. The default ranker
compares two random candidates by a load estimate that corrects the last report with the requests
this entry has sent and completed since.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from canvasyoke._registry import Registry
from canvasyoke.protocol import Reason

#: Cost in milliseconds added for a target in another failure domain.
CROSS_DOMAIN_COST: Final = 2
#: Duration in milliseconds assumed for targets that have not completed a request.
DEFAULT_DURATION: Final = 50
#: Age of a report, in milliseconds, after which a target is not eligible.
MAX_REPORT_AGE: Final = 10_000


@dataclass(frozen=True, slots=True)
class Unavailability:
    """A target's own statement that it accepts no requests from this entry for a time."""

    reason: Reason
    #: Milliseconds until it accepts requests again.
    retry_after: int


@dataclass(frozen=True, slots=True)
class Candidate:
    """An entry's view of one target at selection time."""

    instance: str
    domain: str
    service: str
    #: Whether the link to the target is up.
    connected: bool
    leaving: bool
    #: Whether its backend was healthy at the last report.
    healthy: bool
    #: Whether passive health checks currently eject the target.
    ejected: bool
    slots: int
    queue_limit: int
    #: Requests running and waiting at the last report, and those of them waiting.
    reported_load: int
    reported_waiting: int
    #: Milliseconds since the report arrived.
    report_age: int
    #: This entry's requests in flight at the time of the report, and now.
    own_in_flight_at_report: int
    own_in_flight: int
    #: Mean duration of a request in milliseconds; 0 if unknown.
    duration: int
    #: Step time relative to the fastest group; 1 if unknown.
    slowdown: float = 1.0
    #: Whether the target is assigned to this entry, so that others choose it last.
    is_assigned: bool = False
    #: Why the target accepts no requests from this entry; ``None`` if it does.
    unavailable: Unavailability | None = None

    @property
    def load(self) -> int:
        """Return the estimated number of requests at the target."""
        return max(
            self.own_in_flight,
            self.reported_load - self.own_in_flight_at_report + self.own_in_flight,
        )

    @property
    def used_slots(self) -> int:
        """Return the estimated number of used slots.

        Waiting requests are excluded: they may be the backlog of a single organisation, which
        does not delay the others.
        """
        return max(0, self.load - self.reported_waiting)

    @property
    def has_free_slot(self) -> bool:
        """Return whether a slot is estimated to be free."""
        return self.used_slots < self.slots

    @property
    def expected_latency(self) -> float:
        """Return the estimated milliseconds until a new request would complete."""
        duration = self.duration or DEFAULT_DURATION
        ahead = self.used_slots if self.has_free_slot else self.load
        return duration * (1 + ahead / max(1, self.slots))


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """A request's requirements for target selection."""

    service: str
    domain: str
    #: Instances of targets already tried.
    tried: frozenset[str] = frozenset()
    #: Number of entries that choose among the same targets.
    entry_count: int = 1
    #: Number of those entries in the same failure domain.
    domain_entry_count: int = 1


@dataclass(frozen=True, slots=True)
class FilterResult:
    """Eligible candidates, or the reason why there are none."""

    candidates: tuple[Candidate, ...]
    #: Most recoverable reason among the excluded targets.
    reason: Reason = Reason.NO_TARGET
    #: Milliseconds until the first unavailable target accepts requests again.
    retry_after: int = 0


def filter_candidates(candidates: Sequence[Candidate], req: RouteRequest) -> FilterResult:
    """Return the targets that may take ``req``.

    If all available targets are ejected, they are allowed, since ejection is only a heuristic.
    Targets that have declared themselves unavailable are never allowed.
    """
    eligible = [c for c in candidates if _is_eligible(c, req)]
    available = [c for c in eligible if c.unavailable is None]
    if eligible and not available:
        first = min((c.unavailable for c in eligible if c.unavailable), key=lambda u: u.retry_after)
        return FilterResult((), first.reason, first.retry_after)
    if not eligible:
        leaving = any(c.leaving for c in candidates if c.service == req.service)
        return FilterResult((), Reason.LEAVING if leaving else Reason.NO_TARGET)
    preferred = [c for c in available if not c.ejected] or available
    return FilterResult(tuple(preferred))


def _is_eligible(candidate: Candidate, req: RouteRequest) -> bool:
    return (
        candidate.service == req.service
        and candidate.connected
        and not candidate.leaving
        and candidate.healthy
        and candidate.report_age <= MAX_REPORT_AGE
        and candidate.instance not in req.tried
    )


class Ranker(ABC):
    """Selects one of the eligible targets."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    @abstractmethod
    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return one of ``candidates``, which is not empty."""


#: Maximum number of entries for which each considers all targets.
_MAX_UNSAMPLED_ENTRIES: Final = 8
#: Expected number of samples, over all entries, that include each target; and the minimum size
#: of a sample.
_SAMPLE_COVERAGE: Final = 2
_MIN_SAMPLE_SIZE: Final = 2

#: Rankers by name.
RANKERS: Registry[type[Ranker]] = Registry("ranker")


def _cost(candidate: Candidate, req: RouteRequest) -> tuple[bool, float]:
    """Return a sort key: targets with a free slot first, then by latency."""
    domain_cost = CROSS_DOMAIN_COST if candidate.domain != req.domain else 0
    return not candidate.has_free_slot, candidate.expected_latency + domain_cost


@RANKERS.register("random")
class RandomRanker(Ranker):
    """Selects uniformly at random; a baseline."""

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return a random candidate."""
        return self._rng.choice(candidates)


@RANKERS.register("round_robin")
class RoundRobinRanker(Ranker):
    """Selects in round-robin order; a baseline."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._turn = rng.randrange(1 << 16)

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return the next candidate."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


@RANKERS.register("least_reported")
class LeastReportedRanker(Ranker):
    """Selects the lowest reported load; a baseline prone to herding."""

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return the candidate with the lowest reported load, breaking ties at random."""
        return min(
            candidates, key=lambda c: (c.reported_load / max(1, c.slots), self._rng.random())
        )


@RANKERS.register("two_choices_reported")
class TwoChoicesReportedRanker(Ranker):
    """Power of two choices on reported load; a baseline."""

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return the less loaded of two random candidates."""
        sample = self._rng.sample(candidates, min(2, len(candidates)))
        return min(sample, key=lambda c: c.reported_load / max(1, c.slots))


@RANKERS.register("two_choices")
class TwoChoicesRanker(Ranker):
    """Power of two choices on estimated latency; the default."""

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return the one of two random candidates with the lower latency."""
        sample = self._rng.sample(candidates, min(2, len(candidates)))
        return min(sample, key=lambda c: _cost(c, req))


@RANKERS.register("least_loaded")
class LeastLoadedRanker(Ranker):
    """Selects the lowest estimated load; ties prefer the local domain, then are random.

    Herding is limited because an entry's own requests count at once and other entries' loads are
    reported several times a second.
    """

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return the candidate with the lowest fraction of used slots."""
        return min(
            candidates,
            key=lambda c: (c.load / max(1, c.slots), c.domain != req.domain, self._rng.random()),
        )


@RANKERS.register("least_paced")
class WeightedLoadRanker(Ranker):
    """Selects the lowest estimated load, weighted by step time.

    A slow rank delays every step of its group, so the group gets fewer requests in proportion.
    It keeps some to avoid overloading the others.
    """

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return the candidate with the lowest weighted load."""
        return min(candidates, key=lambda c: self._score(c, req))

    def _score(self, candidate: Candidate, req: RouteRequest) -> tuple[float, bool, float]:
        load = (candidate.load + 1) * candidate.slowdown / max(1, candidate.slots)
        return load, candidate.domain != req.domain, self._rng.random()


@RANKERS.register("sampled_paced")
class SampledWeightedLoadRanker(WeightedLoadRanker):
    """As ``least_paced``, on a random sample that shrinks with the number of entries.

    Load reports lag, so many entries choosing among all targets would overload the least loaded
    one.
    """

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return the best of the sample, or of all candidates if the sample has no free slot."""
        if req.entry_count <= _MAX_UNSAMPLED_ENTRIES:
            return super().choose(candidates, req)
        size = max(_MIN_SAMPLE_SIZE, len(candidates) * _SAMPLE_COVERAGE // req.entry_count)
        sample = self._rng.sample(candidates, min(size, len(candidates)))
        best = super().choose(sample, req)
        return best if best.has_free_slot else super().choose(candidates, req)


@RANKERS.register("near_paced")
class LocalWeightedLoadRanker(WeightedLoadRanker):
    """Prefers assigned targets, then the local failure domain, then other domains.

    Load information gets less accurate in that order. An entry knows its own requests to its
    assigned targets exactly. It samples the rest of its domain, where other entries choose
    concurrently, and takes the better of two random targets elsewhere.
    """

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return a candidate with a free slot, as local as possible."""
        local = [c for c in candidates if c.domain == req.domain]
        size = max(
            _MIN_SAMPLE_SIZE, len(local) * _SAMPLE_COVERAGE // max(1, req.domain_entry_count)
        )
        free = [c for c in local if c.has_free_slot]
        min_slowdown = min((c.slowdown for c in free), default=1.0)
        assigned = [c for c in free if c.is_assigned and c.slowdown <= min_slowdown]
        if assigned:
            return super().choose(assigned, req)
        if free:
            return super().choose(self._rng.sample(free, min(size, len(free))), req)
        remote = [c for c in candidates if c.domain != req.domain and c.has_free_slot]
        if remote:
            return super().choose(self._rng.sample(remote, min(_MIN_SAMPLE_SIZE, len(remote))), req)
        return super().choose(candidates, req)
