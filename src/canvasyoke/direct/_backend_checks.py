"""Checks that exclude a backend from selection.

An unavailability check rests on the backend's own notice or on an operator's order and always
excludes it; if all backends are unavailable, requests are refused. A suspicion check rests on
evidence that may be wrong: suspected backends are used only when no other is left.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeAlias

from canvasyoke._clock import SECOND, Clock
from canvasyoke._registry import Registry
from canvasyoke.coordination import Unavailability
from canvasyoke.direct._backend_health import BackendHealth
from canvasyoke.direct._backend_notices import BackendNotices
from canvasyoke.direct._domains import DomainReachability, EvacuatedDomains
from canvasyoke.direct._groups import RankGroups
from canvasyoke.direct._member import Member
from canvasyoke.protocol import Reason

#: Milliseconds for which a backend of an evacuated domain counts as unavailable. The end is not
#: known; the time is longer than any backoff, so that another unavailable backend of the service
#: decides the return time of a caller.
EVACUATION_TIME: Final = 3_600 * SECOND


@dataclass(frozen=True, slots=True)
class BackendEvidence:
    """Sources of the checks, besides the backend's own record."""

    clock: Clock
    notices: BackendNotices
    health: BackendHealth
    groups: RankGroups
    domains: DomainReachability
    evacuated: EvacuatedDomains


#: Returns why and for how long a backend is unavailable; ``None`` if it is available.
UnavailabilityCheck: TypeAlias = Callable[[BackendEvidence, Member], Unavailability | None]
#: Returns whether a backend is suspected.
SuspicionCheck: TypeAlias = Callable[[BackendEvidence, Member], bool]

UNAVAILABILITY_CHECKS: Registry[UnavailabilityCheck] = Registry("unavailability check")
SUSPICION_CHECKS: Registry[SuspicionCheck] = Registry("suspicion check")


@UNAVAILABILITY_CHECKS.register("backoff")
def _is_backing_off(evidence: BackendEvidence, member: Member) -> Unavailability | None:
    backoff = evidence.notices.remaining_backoff(member.endpoint)
    return Unavailability(Reason.BACKOFF, backoff) if backoff else None


@UNAVAILABILITY_CHECKS.register("limit")
def _is_limited(evidence: BackendEvidence, member: Member) -> Unavailability | None:
    """Return the wait if this entry's share of the backend's rate is used up.

    The rate is a limit that the backend has stated, or that of a cold backend.
    """
    wait = evidence.notices.limit_wait(member.endpoint)
    return Unavailability(Reason.LIMITED, wait) if wait else None


@UNAVAILABILITY_CHECKS.register("evacuated")
def _is_evacuated(evidence: BackendEvidence, member: Member) -> Unavailability | None:
    """Return whether an operator evacuates its domain."""
    if member.endpoint.domain in evidence.evacuated.names:
        return Unavailability(Reason.EVACUATED, EVACUATION_TIME)
    return None


@SUSPICION_CHECKS.register("full")
def _is_full(evidence: BackendEvidence, member: Member) -> bool:
    """Return whether it recently refused a request without asking for backoff."""
    return member.full_until > 0 and evidence.clock.now() < member.full_until


@SUSPICION_CHECKS.register("backoff elsewhere")
def _is_backing_off_elsewhere(evidence: BackendEvidence, member: Member) -> bool:
    """Return whether it asked another entry for backoff, so that it is probably full."""
    return evidence.notices.has_peer_backoff(member.endpoint)


@SUSPICION_CHECKS.register("moved")
def _has_address_conflict(evidence: BackendEvidence, member: Member) -> bool:
    """Return whether another run recently answered at its address."""
    return (
        member.address_conflict_until > 0 and evidence.clock.now() < member.address_conflict_until
    )


@SUSPICION_CHECKS.register("connection lost")
def _has_lost_connection(evidence: BackendEvidence, member: Member) -> bool:
    """Return whether it recently closed the connection of a request, and answered none since.

    Its process may be about to end although its port still accepts connections.
    """
    return member.connection_lost_until > 0 and evidence.clock.now() < member.connection_lost_until


@SUSPICION_CHECKS.register("failures")
def _has_failed(evidence: BackendEvidence, member: Member) -> bool:
    return member.ejection.ejected


@SUSPICION_CHECKS.register("silence")
def _is_unresponsive(evidence: BackendEvidence, member: Member) -> bool:
    return evidence.health.is_unresponsive(member.endpoint.run)


@SUSPICION_CHECKS.register("group")
def _is_group_stalled(evidence: BackendEvidence, member: Member) -> bool:
    return evidence.groups.is_stalled(member.endpoint.run)


@SUSPICION_CHECKS.register("domain")
def _is_domain_unreachable(evidence: BackendEvidence, member: Member) -> bool:
    return evidence.domains.is_unreachable(member.endpoint.domain)


_ORDERED_UNAVAILABILITY_CHECKS: Final = tuple(
    UNAVAILABILITY_CHECKS.get(name) for name in UNAVAILABILITY_CHECKS.names()
)
_ORDERED_SUSPICION_CHECKS: Final = tuple(
    SUSPICION_CHECKS.get(name) for name in SUSPICION_CHECKS.names()
)


def unavailability(evidence: BackendEvidence, member: Member) -> Unavailability | None:
    """Return the longest-lasting unavailability of a backend; ``None`` for none."""
    longest: Unavailability | None = None
    for check in _ORDERED_UNAVAILABILITY_CHECKS:  # runs per backend and request
        found = check(evidence, member)
        if found and (longest is None or found.retry_after > longest.retry_after):
            longest = found
    return longest


def is_suspect(evidence: BackendEvidence, member: Member) -> bool:
    """Return whether any suspicion check applies to a backend."""
    for check in _ORDERED_SUSPICION_CHECKS:  # noqa: SIM110 - runs per backend and request
        if check(evidence, member):
            return True
    return False
