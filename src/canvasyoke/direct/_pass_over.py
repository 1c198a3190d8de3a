"""Why a backend is passed over: facts, and suspicions.

A fact is a backend's own word: nothing sets it aside, and where it holds for all that are left,
requests are refused. A suspicion is evidence that may be wrong:
backends under suspicion come last, and get requests when no other is left, since the last one
must not be lost to a suspicion.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeAlias

from canvasyoke._clock import Clock
from canvasyoke._registry import Registry
from canvasyoke.coordination import Unavailability
from canvasyoke.direct._backend_health import BackendHealth
from canvasyoke.direct._backend_notices import BackendNotices
from canvasyoke.direct._domains import DomainReach
from canvasyoke.direct._groups import RankGroups
from canvasyoke.direct._member import Member
from canvasyoke.protocol import Reason


@dataclass(frozen=True, slots=True)
class Sources:
    """What an entry knows of backends beyond what it keeps of each."""

    clock: Clock
    words: BackendNotices
    health: BackendHealth
    groups: RankGroups
    domains: DomainReach


#: Returns why, and for how long, a backend takes no request; ``None`` if it does.
Fact: TypeAlias = Callable[[Sources, Member], Unavailability | None]
#: Tells whether it speaks against a backend.
Suspicion: TypeAlias = Callable[[Sources, Member], bool]

FACTS: Registry[Fact] = Registry("fact")
SUSPICIONS: Registry[Suspicion] = Registry("suspicion")


@FACTS.register("backoff")
def _backs_off(sources: Sources, member: Member) -> Unavailability | None:
    backoff = sources.words.remaining_backoff(member.endpoint)
    return Unavailability(Reason.BACKOFF, backoff) if backoff else None


@FACTS.register("limit")
def _is_limited(sources: Sources, member: Member) -> Unavailability | None:
    """This entry's part of the rate that it takes is used up."""
    wait = sources.words.limit_wait(member.endpoint)
    return Unavailability(Reason.LIMITED, wait) if wait else None


@SUSPICIONS.register("full")
def _was_full(sources: Sources, member: Member) -> bool:
    """It has refused without naming a time."""
    return member.full_until > 0 and sources.clock.now() < member.full_until


@SUSPICIONS.register("backoff elsewhere")
def _backs_off_elsewhere(sources: Sources, member: Member) -> bool:
    """It has asked another entry to back off, and has probably no room for this one either."""
    return sources.words.has_peer_backoff(member.endpoint)


@SUSPICIONS.register("moved")
def _has_moved(sources: Sources, member: Member) -> bool:
    """Another run has said that it has the address; the backend itself has said nothing."""
    return member.moved_until > 0 and sources.clock.now() < member.moved_until


@SUSPICIONS.register("failures")
def _has_failed(sources: Sources, member: Member) -> bool:
    return member.ejection.ejected


@SUSPICIONS.register("silence")
def _is_silent(sources: Sources, member: Member) -> bool:
    return sources.health.is_silent(member.endpoint.run)


@SUSPICIONS.register("group")
def _group_stands_still(sources: Sources, member: Member) -> bool:
    return sources.groups.stands_still(member.endpoint.run)


@SUSPICIONS.register("domain")
def _domain_is_cut(sources: Sources, member: Member) -> bool:
    return sources.domains.is_cut(member.endpoint.domain)


_FACTS: Final = tuple(FACTS.get(name) for name in FACTS.names())
_SUSPICIONS: Final = tuple(SUSPICIONS.get(name) for name in SUSPICIONS.names())


def unavailability(sources: Sources, member: Member) -> Unavailability | None:
    """Return the fact that keeps requests from a backend for longest; ``None`` for none."""
    found = (fact(sources, member) for fact in _FACTS)
    return max((each for each in found if each), key=lambda each: each.wait, default=None)


def is_suspect(sources: Sources, member: Member) -> bool:
    """Tell whether any suspicion speaks against a backend."""
    for suspicion in _SUSPICIONS:  # noqa: SIM110 - a choice asks this of each backend
        if suspicion(sources, member):
            return True
    return False
