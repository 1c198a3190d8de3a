"""Availability of backends, from their own notices and from observation."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from canvasyoke.backend import BackendNotice
from canvasyoke.direct._backend_checks import unavailability
from canvasyoke.direct._backend_limits import Share
from canvasyoke.direct._backend_notices import NoticeChange, SharedNotice
from canvasyoke.direct._backend_streams import BackendStreams
from canvasyoke.direct._cold_backends import ColdChange, ColdRule
from canvasyoke.direct._member import Member
from canvasyoke.state import Endpoint, EndpointState


@dataclass(slots=True)
class BackendAvailability(BackendStreams):
    """Backend records with the notices that backends send about themselves."""

    def record_notice(self, endpoint: Endpoint, notice: BackendNotice) -> NoticeChange:
        """Apply the notice in a backend's response, whatever the outcome of the request."""
        with self._lock:
            member = self._members.get(endpoint.run)
            if member is not None and notice.load is not None:
                # The reported load may or may not include the request being answered.
                total = notice.load.running + notice.load.waiting
                member.peer_requests = max(0, total - member.own_requests)
                member.reported_at = self.clock.now()
            return self._notices.apply(endpoint, notice)

    def merge_peer_notice(self, notice: SharedNotice) -> bool:
        """Apply a backend's notice relayed by another entry; return whether it is new."""
        with self._lock:
            return self._notices.apply_shared(notice)

    def notices_to_share(self) -> list[SharedNotice]:
        """Return the notices of listed backends that are still in force."""
        with self._lock:
            notices = (self._notices.to_share(m.endpoint) for m in self._members.values())
            return [notice for notice in notices if notice is not None]

    def set_share(self, share: Callable[[str], Share]) -> None:
        """Set the function that returns this entry's share of rate limits, by service."""
        with self._lock:
            self._notices.limits.share = share

    def set_cold_rules(self, rules: Mapping[str, ColdRule]) -> None:
        """Set the limits of cold backends, by service."""
        with self._lock:
            self._notices.limits.cold.rules = rules

    def mark_domain_cold(self, domain: str) -> None:
        """Count the backends of a domain as cold, after its evacuation was taken back."""
        with self._lock:
            self._notices.limits.cold.mark_domain(domain, "evacuated")

    def cold_remaining(self, endpoint: Endpoint) -> int:
        """Return the milliseconds for which a backend remains cold; 0 if it is warm."""
        with self._lock:
            return self._notices.cold_remaining(endpoint)

    def cold_counts(self) -> dict[str, int]:
        """Return the number of cold backends, by service whose cold backends are limited."""
        with self._lock:
            return self._notices.limits.cold.counts()

    def take_cold_changes(self) -> list[ColdChange]:
        """Return the backends that have turned cold or warm since the last call."""
        with self._lock:
            return self._notices.limits.cold.take_changes()

    @property
    def has_limits(self) -> bool:
        """Return whether any backend has a rate limit."""
        with self._lock:
            return self._notices.limits.has_any

    def services(self) -> frozenset[str]:
        """Return the services of all known backends."""
        with self._lock:
            return frozenset(member.endpoint.service for member in self._members.values())

    def may_send(self, endpoint: Endpoint) -> bool:
        """Return whether a chosen backend may still be sent its request.

        It may have asked for backoff, left the list or restarted, or its domain may have been
        evacuated, while the connection was made. If it may, the request counts as written now.
        """
        with self._lock:
            member = self._members.get(endpoint.run)
            if member is None or member.endpoint.address != endpoint.address:
                return False
            if self._is_evacuated(member.endpoint):
                return False
            # The rate limit is not checked: the request has taken its token already.
            if self._is_leaving(member) or self._notices.remaining_backoff(endpoint):
                return False
            self._notices.record_written(endpoint)
            return True

    def time_until_available(self, service: str) -> int:
        """Return the milliseconds until a backend of a service is available.

        Returns 0 if one is available now, or if none is listed except leaving ones.
        """
        with self._lock:
            found = [
                unavailability(self._evidence, member)
                for member in self._members.values()
                if member.endpoint.service == service and not self._is_leaving(member)
            ]
            return min((each.retry_after if each else 0 for each in found), default=0)

    def is_service_evacuated(self, service: str) -> bool:
        """Return whether all backends of a service that do not leave are in evacuated domains."""
        with self._lock:
            staying = [
                member.endpoint
                for member in self._members.values()
                if member.endpoint.service == service and not self._is_leaving(member)
            ]
            return bool(staying) and all(self._is_evacuated(endpoint) for endpoint in staying)

    def rate_limit_share(self, service: str) -> float:
        """Return this entry's requests per second to a service's rate-limited and cold backends."""
        with self._lock:
            return sum(
                self._notices.limit_share(member.endpoint)
                or self._notices.cold_share(member.endpoint)
                for member in self._members.values()
                if member.endpoint.service == service
                and not self._is_leaving(member)
                and not self._is_evacuated(member.endpoint)
            )

    def has_alternative(self, service: str, tried: frozenset[str]) -> bool:
        """Return whether a service has an available backend that was not tried."""
        with self._lock:
            return any(
                member.endpoint.service == service
                and member.endpoint.run not in tried
                and self._takes_requests(member)
                for member in self._members.values()
            )

    def is_ready(self, run: str) -> bool:
        """Return whether a run is listed and not leaving."""
        with self._lock:
            member = self._members.get(run)
            return member is not None and not self._is_leaving(member)

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether a run has announced that it leaves, even if it is no longer listed."""
        with self._lock:
            member = self._members.get(endpoint.run)
            if member is not None:
                return self._is_leaving(member)
            return self._notices.is_leaving(endpoint)

    @property
    def backing_off_count(self) -> int:
        """Return the number of backends that asked this entry for backoff."""
        with self._lock:
            return self._notices.count_backing_off(
                member.endpoint for member in self._members.values()
            )

    @property
    def rate_limited_count(self) -> int:
        """Return the number of backends that have a rate limit."""
        with self._lock:
            return sum(
                1 for m in self._members.values() if self._notices.limit_share(m.endpoint) > 0
            )

    @property
    def leaving_count(self) -> int:
        """Return the number of backends that announced that they are leaving."""
        with self._lock:
            return self._notices.count_leaving(member.endpoint for member in self._members.values())

    def _takes_requests(self, member: Member) -> bool:
        return not self._is_leaving(member) and not unavailability(self._evidence, member)

    def _is_leaving(self, member: Member) -> bool:
        """Return whether a run is leaving, according to the store or to its own notice.

        Its own notice takes precedence until the run ends, since the store may be outdated.
        """
        if member.endpoint.state is EndpointState.LEAVING:
            return True
        return self._notices.is_leaving(member.endpoint)
