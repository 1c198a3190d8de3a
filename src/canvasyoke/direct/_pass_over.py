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
from canvasyoke.direct._backend_health import BackendHealth
from canvasyoke.direct._backend_words import BackendWords
from canvasyoke.direct._domains import DomainReach
from canvasyoke.direct._groups import RankGroups
from canvasyoke.direct._member import Member


@dataclass(frozen=True, slots=True)
class Sources:
    """What an entry knows of backends beyond what it keeps of each."""

    clock: Clock
    words: BackendWords
    health: BackendHealth
    groups: RankGroups
    domains: DomainReach


#: Returns the milliseconds for which it keeps requests from a backend; 0 if it does not.
Fact: TypeAlias = Callable[[Sources, Member], int]
#: Tells whether it speaks against a backend.
Suspicion: TypeAlias = Callable[[Sources, Member], bool]

FACTS: Registry[Fact] = Registry("fact")
SUSPICIONS: Registry[Suspicion] = Registry("suspicion")


@FACTS.register("rest")
def _rests(sources: Sources, member: Member) -> int:
    return sources.words.rest_left(member.endpoint)


@SUSPICIONS.register("full")
def _was_full(sources: Sources, member: Member) -> bool:
    """It has refused without naming a time."""
    return sources.clock.now() < member.full_until


@SUSPICIONS.register("rest elsewhere")
def _rests_elsewhere(sources: Sources, member: Member) -> bool:
    """It has asked another entry for rest, and has probably no room for this one either."""
    return sources.words.rests_elsewhere(member.endpoint)


@SUSPICIONS.register("moved")
def _has_moved(sources: Sources, member: Member) -> bool:
    """Another run has said that it has the address; the backend itself has said nothing."""
    return sources.clock.now() < member.moved_until


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


def unavailable_for(sources: Sources, member: Member) -> int:
    """Return the milliseconds for which facts keep requests from a backend; 0 for none."""
    return max(fact(sources, member) for fact in _FACTS)


def is_suspect(sources: Sources, member: Member) -> bool:
    """Tell whether any suspicion speaks against a backend."""
    return any(suspicion(sources, member) for suspicion in _SUSPICIONS)
