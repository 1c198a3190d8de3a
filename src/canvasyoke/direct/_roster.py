"""The backends that an entry knows, and what it has seen of each.

The list comes from the store; load and failures come from this entry's own traffic.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.coordination import Candidate, RouteRequest, filter_candidates
from canvasyoke.direct._admission import ADMISSIONS
from canvasyoke.direct._backend_records import FleetView
from canvasyoke.direct._backend_standing import BackendStanding
from canvasyoke.direct._choice import Chosen, NoneAble, Wanted
from canvasyoke.direct._member import Member
from canvasyoke.direct._pass_over import is_suspect, unavailability
from canvasyoke.observe import part_logger
from canvasyoke.protocol import Reason
from canvasyoke.state import Endpoint

__all__ = ["FleetView", "Roster"]

#: Milliseconds for which a backend is passed over whose address another run has: the list
#: will have caught up by then.
_MOVED_PAUSE: Final = 5 * SECOND
#: Milliseconds that a request is taken to need before any of its service has ended: a
#: stream takes somewhat more, a short answer much less.
_ASSUMED_DURATION: Final = 1_000.0
#: Part of a new duration in the running mean.
_DURATION_WEIGHT: Final = 0.2
_ADMISSION: Final = "short_queue"
_log = part_logger("roster")


@dataclass(slots=True)
class Roster(BackendStanding):
    """All backends known, and the choice among them; thread-safe."""

    def choose(self, wanted: Wanted) -> Chosen | NoneAble:
        """Return the backend for a request and count the request there."""
        with self._lock:
            self._peers.forget_stale(self.clock.now())
            req = RouteRequest(
                wanted.service,
                self.domain,
                wanted.tried,
                self._peers.entries + 1 if self._fleet.hears_all else self._fleet.entries,
                len(self._fleet.near) + 1,
            )
            fastest = self._groups.fastest_pause()
            has_words = self._words.has_any
            found = filter_candidates(
                [
                    self._candidate(m, fastest, has_words)
                    for m in self._members.values()
                    if m.endpoint.service == wanted.service
                ],
                req,
            )
            if not found.candidates:
                return NoneAble(found.reason, found.retry_after)
            best = self._ranker.choose(found.candidates, req)
            member = self._members[best.instance]
            duration = self._durations.get(wanted.service, _ASSUMED_DURATION)
            if not ADMISSIONS.get(_ADMISSION)(best, duration, wanted.patience):
                return NoneAble(Reason.OVERLOADED)
            member.own += 1
            member.ejection.record_request()
            self._words.record_sent(member.endpoint)
            heard_ago = self.clock.now() - member.heard_at
            return Chosen(member.endpoint, best.load, heard_ago, self._list_age())

    def _candidate(self, member: Member, fastest: float, has_words: bool) -> Candidate:
        endpoint = member.endpoint
        return Candidate(
            instance=endpoint.run,
            domain=endpoint.domain,
            service=endpoint.service,
            connected=True,
            leaving=self._is_leaving(member),
            healthy=True,
            ejected=is_suspect(self._sources, member),
            unavailable=unavailability(self._sources, member) if has_words else None,
            slots=endpoint.slots,
            queue_limit=0,
            reported_load=self._load(member),
            reported_waiting=0,
            report_age=0,
            own_in_flight_at_report=member.own,
            own_in_flight=member.own,
            duration=round(member.duration),
            slowdown=self._groups.pace(endpoint.run, fastest) * self._health.pace(endpoint.run),
            is_assigned=endpoint.run in self._home,
        )

    def is_away(self, service: str) -> bool:
        """Tell whether every group of a service stands still."""
        with self._lock:
            ready = [m for m in self._members.values() if m.endpoint.service == service]
            return bool(ready) and all(self._groups.stands_still(m.endpoint.run) for m in ready)

    def domain_missed(self, endpoint: Endpoint) -> None:
        """Take note that no connection was made to a backend."""
        with self._lock:
            if self._domains.missed(endpoint.domain, endpoint.run):
                _log.warning("domain out of reach", domain=endpoint.domain, own=self.domain)

    def domain_reached(self, domain: str) -> None:
        """Take note that a connection was made to a backend of a domain."""
        with self._lock:
            if self._domains.reached(domain):
                _log.info("domain in reach", domain=domain, own=self.domain)

    def cut_addresses(self) -> dict[str, str]:
        """Return the address of one backend in each domain that is out of reach."""
        with self._lock:
            cut = self._domains.cut()
            found = [m.endpoint for m in self._members.values() if m.endpoint.domain in cut]
            self.rng.shuffle(found)
            return {endpoint.domain: endpoint.address for endpoint in found}

    def is_isolated(self) -> bool:
        """Tell whether callers had better go to entries of other domains.

        So it is while all other domains are out of reach from here and a service has no
        backend left that answers; the others may still reach some. It stays so until a
        domain is in reach again, since without callers nothing tells of the backends.
        """
        with self._lock:
            endpoints = [m.endpoint for m in self._members.values()]
            others = {e.domain for e in endpoints} - {self.domain}
            if not others or not others <= self._domains.cut():
                self._is_isolated = False
            elif not self._is_isolated:
                services = {e.service for e in endpoints}
                served = {e.service for e in endpoints if self._answers(e)}
                self._is_isolated = served != services
            return self._is_isolated

    def _answers(self, endpoint: Endpoint) -> bool:
        is_cut = self._domains.is_cut(endpoint.domain)
        return not is_cut and not self._groups.stands_still(endpoint.run)

    def finished(self, run: str, duration: int, failed: bool) -> None:
        """Take note that a request is no longer under way there."""
        with self._lock:
            member = self._members.get(run)
            if member is None:
                return
            member.own = max(0, member.own - 1)
            if failed:
                member.ejection.record_failure()
                return
            member.ejection.record_success()
            member.duration += _DURATION_WEIGHT * (duration - member.duration)
            service = member.endpoint.service
            mean = self._durations.get(service, float(duration))
            self._durations[service] = mean + _DURATION_WEIGHT * (duration - mean)

    def cancelled(self, run: str) -> None:
        """Take note that the caller of a request there has left.

        That says nothing of the backend, and how long the request took nothing of others.
        """
        with self._lock:
            member = self._members.get(run)
            if member is not None:
                member.own = max(0, member.own - 1)

    def was_not_sent(self, run: str) -> None:
        """Take note that a request that was chosen for a backend did not get there."""
        with self._lock:
            member = self._members.get(run)
            if member is not None:
                self._words.refund(member.endpoint)

    def moved(self, run: str) -> None:
        """Take note that another run has the address of this one."""
        with self._lock:
            member = self._members.get(run)
            if member is not None:
                member.own = max(0, member.own - 1)
                member.moved_until = self.clock.now() + _MOVED_PAUSE

    def refused(self, run: str, pause: int) -> None:
        """Take note that a backend turned a request away unrun; pass it over for a while."""
        with self._lock:
            member = self._members.get(run)
            if member is not None:
                member.own = max(0, member.own - 1)
                member.full_until = self.clock.now() + pause
