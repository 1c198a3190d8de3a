"""The roster of backends that an entry knows, and selection among them.

The list comes from the store; load and failures come from this entry's own traffic.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.coordination import Candidate, RouteRequest, filter_candidates
from canvasyoke.direct._admission import ADMISSIONS
from canvasyoke.direct._backend_checks import is_suspect, unavailability
from canvasyoke.direct._backend_places import ASSUMED_DURATION, BackendPlaces
from canvasyoke.direct._backend_records import FleetView
from canvasyoke.direct._choice import BackendQuery, Chosen, NoneAvailable
from canvasyoke.direct._member import Member
from canvasyoke.observe import part_logger
from canvasyoke.protocol import Reason
from canvasyoke.state import Endpoint

__all__ = ["FleetView", "Roster"]

#: Milliseconds for which a backend is avoided after another run answered at its address; the
#: list is updated by then.
_ADDRESS_CONFLICT_COOLDOWN: Final = 5 * SECOND
#: Milliseconds for which a backend is avoided after it closed the connection of a request, unless
#: it completes another one.
_CONNECTION_LOST_COOLDOWN: Final = 1 * SECOND
#: Weight of a new sample in the moving averages of durations.
_DURATION_WEIGHT: Final = 0.2
_ADMISSION: Final = "short_queue"
_log = part_logger("roster")


@dataclass(slots=True)
class Roster(BackendPlaces):
    """All known backends, and selection among them; thread-safe."""

    def choose(self, query: BackendQuery) -> Chosen | NoneAvailable:
        """Select the backend for a request and count the request as in flight."""
        with self._lock:
            self._peers.forget_stale(self.clock.now())
            # Left out here: the checks of unavailability would add 0.17 ms for 64 backends.
            members = [m for m in self._members_for(query) if not self._is_evacuated(m.endpoint)]
            if not members:
                return self._explain_no_place(query)
            req = RouteRequest(
                query.service,
                self.domain,
                query.tried,
                self._peers.entries + 1 if self._fleet.is_full_mesh else self._fleet.entries,
                len(self._fleet.domain_peers) + 1,
            )
            fastest = self._groups.fastest_pause()
            has_notices = self._notices.has_any
            found = filter_candidates(
                [self._candidate(m, fastest, has_notices) for m in members], req
            )
            if not found.candidates:
                return NoneAvailable(found.reason, found.retry_after)
            best = self._ranker.choose(found.candidates, req)
            member = self._members[best.instance]
            duration = self._durations.get(query.service, ASSUMED_DURATION)
            if not ADMISSIONS.get(_ADMISSION)(best, duration, query.max_wait):
                return NoneAvailable(Reason.OVERLOADED)
            member.own_requests += 1
            if query.needs_free_slot:
                self._record_use(member)
            member.ejection.record_request()
            self._notices.record_sent(member.endpoint)
            update_age = self.clock.now() - member.updated_at
            return Chosen(member.endpoint, best.load, update_age, self._list_age())

    def _members_for(self, query: BackendQuery) -> list[Member]:
        if query.needs_free_slot:
            return self._members_with_room(query)
        return [m for m in self._members.values() if m.endpoint.service == query.service]

    def _explain_no_place(self, query: BackendQuery) -> NoneAvailable:
        """Return why no backend can be used for a request."""
        members = [
            m
            for m in self._members.values()
            if m.endpoint.service == query.service and m.endpoint.run not in query.tried
        ]
        staying = [m for m in members if not self._is_evacuated(m.endpoint)]
        if members and not staying:
            return NoneAvailable(Reason.EVACUATED)
        if query.needs_free_slot and any(self._takes_requests(member) for member in staying):
            return NoneAvailable(Reason.OVERLOADED)
        fastest = self._groups.fastest_pause()
        candidates = [self._candidate(m, fastest, self._notices.has_any) for m in staying]
        found = filter_candidates(candidates, RouteRequest(query.service, self.domain))
        return NoneAvailable(found.reason, found.retry_after)

    def _candidate(self, member: Member, fastest: float, has_notices: bool) -> Candidate:
        endpoint = member.endpoint
        unavailable = unavailability(self._evidence, member) if has_notices else None
        return Candidate(
            instance=endpoint.run,
            domain=endpoint.domain,
            service=endpoint.service,
            connected=True,
            leaving=self._is_leaving(member),
            healthy=True,
            # Unavailable backends are left out anyway; the checks would add an eighth to a choice.
            ejected=unavailable is None and is_suspect(self._evidence, member),
            unavailable=unavailable,
            slots=endpoint.slots,
            queue_limit=0,
            reported_load=self._load(member),
            reported_waiting=0,
            report_age=0,
            own_in_flight_at_report=member.own_requests,
            own_in_flight=member.own_requests,
            duration=round(member.mean_duration),
            slowdown=self._groups.pace(endpoint.run, fastest) * self._health.pace(endpoint.run),
            is_assigned=endpoint.run in self._home_share,
        )

    def is_service_stalled(self, service: str) -> bool:
        """Return whether every group of a service is failed or stalled."""
        with self._lock:
            ready = [m for m in self._members.values() if m.endpoint.service == service]
            return bool(ready) and all(self._groups.is_stalled(m.endpoint.run) for m in ready)

    def record_connect_failure(self, endpoint: Endpoint) -> None:
        """Record a failure to connect to a backend."""
        with self._lock:
            self._notices.limits.cold.record_unreachable(endpoint)
            if self._domains.record_failure(endpoint.domain, endpoint.run):
                _log.warning("domain out of reach", domain=endpoint.domain, own=self.domain)

    def record_connect_success(self, domain: str) -> None:
        """Record a successful connection to a backend of a domain."""
        with self._lock:
            if self._domains.record_success(domain):
                self._notices.limits.cold.mark_domain(domain, "unreachable")
                _log.info("domain in reach", domain=domain, own=self.domain)
                runs = [
                    m.endpoint.run for m in self._members.values() if m.endpoint.domain == domain
                ]
                self.group_states.expect_opening(self._groups.names(runs))

    def probe_addresses(self) -> dict[str, str]:
        """Return the address of a random backend in each unreachable domain."""
        with self._lock:
            unreachable = self._domains.unreachable()
            found = [m.endpoint for m in self._members.values() if m.endpoint.domain in unreachable]
            self.rng.shuffle(found)
            return {endpoint.domain: endpoint.address for endpoint in found}

    def is_isolated(self) -> bool:
        """Return whether callers should use entries of other domains.

        An entry is isolated when all other domains are unreachable and a service has no
        responsive backend. It stays isolated until a domain is reachable again, since without
        callers there is no traffic that would show the state of its backends.
        """
        with self._lock:
            endpoints = [m.endpoint for m in self._members.values()]
            others = {e.domain for e in endpoints} - {self.domain}
            if not others or not others <= self._domains.unreachable():
                self._is_isolated = False
            elif not self._is_isolated:
                services = {e.service for e in endpoints}
                served = {e.service for e in endpoints if self._is_responsive(e)}
                self._is_isolated = served != services
            return self._is_isolated

    def _is_responsive(self, endpoint: Endpoint) -> bool:
        is_unreachable = self._domains.is_unreachable(endpoint.domain)
        is_excluded = is_unreachable or self._is_evacuated(endpoint)
        return not is_excluded and not self._groups.is_stalled(endpoint.run)

    def record_finished(self, run: str, duration: int, failed: bool) -> None:
        """Record the end of a request and its duration in milliseconds."""
        with self._lock:
            member = self._members.get(run)
            if member is None:
                return
            member.own_requests = max(0, member.own_requests - 1)
            self._record_freed(member, None if failed else duration)
            if failed:
                member.ejection.record_failure()
                return
            member.ejection.record_success()
            member.connection_lost_until = 0
            member.mean_duration += _DURATION_WEIGHT * (duration - member.mean_duration)
            service = member.endpoint.service
            mean = self._durations.get(service, float(duration))
            self._durations[service] = mean + _DURATION_WEIGHT * (duration - mean)

    def record_connection_lost(self, run: str) -> None:
        """Record that a backend closed the connection of a request; avoid it for a moment."""
        with self._lock:
            member = self._members.get(run)
            if member is not None:
                member.connection_lost_until = self.clock.now() + _CONNECTION_LOST_COOLDOWN

    def record_cancelled(self, run: str) -> None:
        """Record that the caller cancelled a request.

        This affects neither the backend's failure count nor the mean durations.
        """
        with self._lock:
            member = self._members.get(run)
            if member is not None:
                member.own_requests = max(0, member.own_requests - 1)
                self._record_freed(member, None)

    def record_not_sent(self, run: str) -> None:
        """Record that a request was not sent to the backend chosen for it."""
        with self._lock:
            member = self._members.get(run)
            if member is not None:
                self._notices.refund(member.endpoint)

    def record_address_conflict(self, run: str) -> None:
        """Record that another run answered at the address of this one."""
        with self._lock:
            member = self._members.get(run)
            if member is not None:
                member.own_requests = max(0, member.own_requests - 1)
                member.address_conflict_until = self.clock.now() + _ADDRESS_CONFLICT_COOLDOWN

    def record_refusal(self, run: str, pause: int) -> None:
        """Record that a backend refused a request; avoid it for ``pause`` milliseconds."""
        with self._lock:
            member = self._members.get(run)
            if member is not None:
                member.own_requests = max(0, member.own_requests - 1)
                member.full_until = self.clock.now() + pause
