"""Choosing a target: first what is ruled out, then which of the rest.

A constraint is never traded against a preference: a target that is leaving is
not merely a worse one. Reports lag and many entries act at once, so an entry that
always takes the least loaded target herds with all others; the default ranker
draws two at random and takes the better by an estimate that corrects the report
with what this entry has sent and seen end since.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from canvasyoke._registry import Registry
from canvasyoke.protocol import Reason

#: Milliseconds that a target in another domain is taken to cost more.
OTHER_DOMAIN_COST: Final = 2
#: Milliseconds assumed for a request at a target that has ended none yet.
DEFAULT_DURATION: Final = 50
#: Age of a report, in milliseconds, after which a target counts as unheard of.
REPORT_LIMIT: Final = 10_000


@dataclass(frozen=True, slots=True)
class Unavailability:
    """For how long a target certainly takes no request of this entry, by its own word."""

    reason: Reason
    #: Milliseconds.
    wait: int


@dataclass(frozen=True, slots=True)
class Candidate:
    """What an entry knows of one target when it chooses."""

    instance: str
    domain: str
    service: str
    #: Whether the link to it stands.
    connected: bool
    leaving: bool
    #: Whether its backend answered when it last reported.
    healthy: bool
    #: Whether evidence from traffic speaks against it for now.
    ejected: bool
    slots: int
    queue: int
    #: Requests it reported running and waiting, and those of them that waited.
    reported: int
    waiting: int
    #: Milliseconds since the report arrived.
    report_age: int
    #: Requests of this entry under way there at the time of the report, and now.
    own_reported: int
    own: int
    #: Milliseconds a request takes there; 0 when unknown.
    duration: int
    #: How much longer its steps last than those of the fastest group; 1 when unknown.
    pace: float = 1.0
    #: Whether it was dealt to this entry, so that others come there last.
    is_home: bool = False
    #: Why it certainly takes no request of this entry now; ``None`` if it does.
    unavailable: Unavailability | None = None

    @property
    def load(self) -> int:
        """Return the requests it is estimated to have."""
        return max(self.own, self.reported - self.own_reported + self.own)

    @property
    def taken(self) -> int:
        """Return the slots estimated to be taken.

        What waits there is left out: it may be the backlog of one organisation that
        nobody else will wait for.
        """
        return max(0, self.load - self.waiting)

    @property
    def has_room(self) -> bool:
        """Tell whether a slot is estimated to be free."""
        return self.taken < self.slots

    @property
    def wait(self) -> float:
        """Return the milliseconds until a new request there would have ended."""
        duration = self.duration or DEFAULT_DURATION
        ahead = self.taken if self.has_room else self.load
        return duration * (1 + ahead / max(1, self.slots))


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """What a request needs of a target."""

    service: str
    domain: str
    #: Targets that have been tried.
    tried: frozenset[str] = frozenset()
    #: Entries that choose among the same targets.
    entries: int = 1
    #: Those of them in the same failure domain.
    near_entries: int = 1


@dataclass(frozen=True, slots=True)
class Filtered:
    """Who may take a request, and why nobody may when nobody does."""

    candidates: tuple[Candidate, ...]
    #: The least hopeless cause among the targets ruled out.
    reason: Reason = Reason.NO_TARGET
    #: Milliseconds until the first of them takes requests again, where that is the cause.
    wait: int = 0


def filter_candidates(candidates: Sequence[Candidate], req: RouteRequest) -> Filtered:
    """Return the targets that may take ``req``.

    Ejection is evidence, not a rule: when all that is left is ejected, they are
    allowed, since the last target must not be lost to a suspicion. One that is unavailable
    is never allowed, however few are left: it has said so itself.
    """
    able = [c for c in candidates if _is_able(c, req)]
    available = [c for c in able if c.unavailable is None]
    if able and not available:
        first = min((c.unavailable for c in able if c.unavailable), key=lambda u: u.wait)
        return Filtered((), first.reason, first.wait)
    if not able:
        leaving = any(c.leaving for c in candidates if c.service == req.service)
        return Filtered((), Reason.LEAVING if leaving else Reason.NO_TARGET)
    sound = [c for c in available if not c.ejected] or available
    return Filtered(tuple(sound))


def _is_able(candidate: Candidate, req: RouteRequest) -> bool:
    return (
        candidate.service == req.service
        and candidate.connected
        and not candidate.leaving
        and candidate.healthy
        and candidate.report_age <= REPORT_LIMIT
        and candidate.instance not in req.tried
    )


class Ranker(ABC):
    """Chooses one of the targets that may take a request."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    @abstractmethod
    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return one of ``candidates``, of which there is at least one."""


#: Entries that may choose among all targets at once.
_FEW_ENTRIES: Final = 8
#: Times that the samples of all entries together cover the targets, and the least of one.
_SAMPLES: Final = 2
_LEAST_SAMPLE: Final = 2

#: Rankers by name.
RANKERS: Registry[type[Ranker]] = Registry("ranker")


def _cost(candidate: Candidate, req: RouteRequest) -> tuple[bool, float]:
    """Return what to compare targets by: a free slot first, then the wait."""
    away = OTHER_DOMAIN_COST if candidate.domain != req.domain else 0
    return not candidate.has_room, candidate.wait + away


@RANKERS.register("random")
class RandomRanker(Ranker):
    """Any target alike; a baseline."""

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return one at random."""
        return self._rng.choice(candidates)


@RANKERS.register("round_robin")
class RoundRobinRanker(Ranker):
    """Each in turn; a baseline."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._turn = rng.randrange(1 << 16)

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return the next one."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


@RANKERS.register("least_reported")
class LeastReportedRanker(Ranker):
    """The lowest load reported; a baseline that herds when reports lag."""

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return the least loaded by report, ties at random."""
        return min(candidates, key=lambda c: (c.reported / max(1, c.slots), self._rng.random()))


@RANKERS.register("two_choices_reported")
class TwoChoicesReportedRanker(Ranker):
    """The better of two by report alone; a baseline."""

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return the less loaded of two drawn at random."""
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda c: c.reported / max(1, c.slots))


@RANKERS.register("two_choices")
class TwoChoicesRanker(Ranker):
    """The better of two by the corrected estimate of the wait; the default."""

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return the one of two drawn at random where the wait is shorter."""
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda c: _cost(c, req))


@RANKERS.register("least_loaded")
class LeastLoadedRanker(Ranker):
    """The lowest corrected load; ties go to the own domain, then to chance.

    It does not herd where each choice shows in the next one's load: an entry's own
    requests count at once, and other entries' are told several times a second.
    """

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return the candidate with the smallest part of its slots in use."""
        return min(
            candidates,
            key=lambda c: (c.load / max(1, c.slots), c.domain != req.domain, self._rng.random()),
        )


@RANKERS.register("least_paced")
class LeastPacedRanker(Ranker):
    """As ``least_loaded``, with the load weighed by how long a step lasts there.

    One slow rank holds up all steps of its group. The group keeps some requests, since
    the others would be crowded without it, but fewer the slower it is.
    """

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return the candidate with the smallest weighed part of its slots in use."""
        return min(candidates, key=lambda c: self._weigh(c, req))

    def _weigh(self, candidate: Candidate, req: RouteRequest) -> tuple[float, bool, float]:
        load = (candidate.load + 1) * candidate.pace / max(1, candidate.slots)
        return load, candidate.domain != req.domain, self._rng.random()


@RANKERS.register("sampled_paced")
class SampledPacedRanker(LeastPacedRanker):
    """As ``least_paced``, among a random sample that is smaller the more entries choose.

    Entries hear of each other's choices some 150 ms late. A few of them rarely meet at
    the one least loaded target in that time; thirty do, and crowd it while others idle.
    """

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return the best of the sample, or of all when none in it has room."""
        if req.entries <= _FEW_ENTRIES:
            return super().choose(candidates, req)
        size = max(_LEAST_SAMPLE, len(candidates) * _SAMPLES // req.entries)
        drawn = self._rng.sample(candidates, min(size, len(candidates)))
        best = super().choose(drawn, req)
        return best if best.has_room else super().choose(candidates, req)


@RANKERS.register("near_paced")
class NearPacedRanker(LeastPacedRanker):
    """What was dealt to the entry first, then its failure domain, then others.

    Among a hundred entries each hears only the load of its own domain's, late. What it
    sent itself to the targets dealt to it, it knows. In the rest of the domain it draws
    among few, since the others choose at the same moment; an answer from there does not
    cross to another domain. Elsewhere it has seen next to nothing, and draws two.
    """

    def choose(self, candidates: Sequence[Candidate], req: RouteRequest) -> Candidate:
        """Return one with room, from as near as can be."""
        near = [c for c in candidates if c.domain == req.domain]
        size = max(_LEAST_SAMPLE, len(near) * _SAMPLES // max(1, req.near_entries))
        free = [c for c in near if c.has_room]
        fastest = min((c.pace for c in free), default=1.0)
        home = [c for c in free if c.is_home and c.pace <= fastest]
        if home:
            return super().choose(home, req)
        if free:
            return super().choose(self._rng.sample(free, min(size, len(free))), req)
        far = [c for c in candidates if c.domain != req.domain and c.has_room]
        if far:
            return super().choose(self._rng.sample(far, min(_LEAST_SAMPLE, len(far))), req)
        return super().choose(candidates, req)
