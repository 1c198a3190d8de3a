"""Free places of a service as this entry knows them."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.admission import ServiceRoom
from canvasyoke.backend import BackendNotice
from canvasyoke.direct._backend_availability import BackendAvailability
from canvasyoke.direct._backend_checks import is_suspect
from canvasyoke.direct._backend_notices import NoticeChange
from canvasyoke.direct._choice import BackendQuery
from canvasyoke.direct._foreign_use import ForeignUse
from canvasyoke.direct._group_states import ServiceState
from canvasyoke.direct._member import Member
from canvasyoke.state import Endpoint

#: Duration of a request in milliseconds, until one of its service has finished. A stream takes
#: somewhat longer, a short response much less.
ASSUMED_DURATION: Final = 1_000.0
#: Part of an entry's equal share of all places that it counts on even if it holds none now.
_MIN_OWN_SHARE: Final = 0.5
#: Free slots per entry in reach from which on conflicts are rare.
_AMPLE_SLOTS: Final = 2
#: Milliseconds between two draws for the free slots of a backend, and for which a slot that a
#: request of this entry has left is assumed to be unknown to others: about the interval of reports.
_DRAW_INTERVAL: Final = 400
_FREED_TIME: Final = 300
#: Number of requests over which the mean duration is taken.
_DURATION_SAMPLES: Final = 100
#: Milliseconds after the opening of a group during which load reports from before it mislead.
OPENING_TIME: Final = 1 * SECOND


@dataclass(slots=True)
class BackendPlaces(BackendAvailability):
    """Backend records with the free places of a service."""

    #: Mean duration of the last requests in milliseconds and their number, by service.
    _mean_durations: dict[str, tuple[float, int]] = field(default_factory=dict)
    #: Pace of requests to backends outside the home share, by service and by whether they are in
    #: this domain.
    _foreign_uses: defaultdict[tuple[str, bool], ForeignUse] = field(
        default_factory=lambda: defaultdict(ForeignUse)
    )

    @property
    def knows_all_loads(self) -> bool:
        """Return whether all other entries report their loads to this one."""
        with self._lock:
            return self._fleet.is_full_mesh

    def is_single_group(self, service: str) -> bool:
        """Return whether all available backends of a service belong to one known group.

        Backends whose group is not known yet are left out: they have just started.
        """
        with self._lock:
            groups = {
                self._groups.group_of(member.endpoint.run)
                for member in self._members.values()
                if member.endpoint.service == service
                and self._groups.is_learned(member.endpoint.run)
                and not self._is_leaving(member)
            }
            return len(groups) == 1 and "" not in groups

    def room(self, service: str, state: ServiceState) -> ServiceRoom:
        """Return the places of a service."""
        with self._lock:
            members = [
                member
                for member in self._members.values()
                if member.endpoint.service == service
                and self._takes_requests(member)
                and not self._domains.is_unreachable(member.endpoint.domain)
            ]
            places = sum(member.endpoint.slots for member in members)
            in_use = self._in_use(members)
            own = sum(member.own_requests for member in members)
            entries = max(1, self._entry_count())
            # Only this entry knows at once when one of its requests ends, so while all places
            # are in use those that become free for it are mainly its own.
            own_places = max(
                own + (places - in_use) / entries, _MIN_OWN_SHARE * places / entries, 0.0
            )
            duration = max(1.0, self._mean_durations.get(service, (ASSUMED_DURATION, 0))[0])
            return ServiceRoom(
                places=places,
                in_use=in_use,
                is_open=state.is_open,
                opens_in=state.opens_in,
                entry_rate=own_places * SECOND / duration,
                mean_duration=round(duration),
            )

    def _in_use(self, members: Sequence[Member]) -> int:
        """Return the estimated number of slots in use.

        Loads in other domains that do not report to this entry count as at least as high as
        those of its own domain.
        """
        near = [m for m in members if self._fleet.is_full_mesh or m.endpoint.domain == self.domain]
        known = sum(min(self._load(m), m.endpoint.slots) for m in near)
        places = sum(m.endpoint.slots for m in near)
        usage = known / places if places else 0.0
        others = sum(
            min(m.endpoint.slots, max(self._load(m), usage * m.endpoint.slots))
            for m in members
            if not self._fleet.is_full_mesh and m.endpoint.domain != self.domain
        )
        return known + round(others)

    def reserved_places(self, service: str, priority: int) -> int:
        """Return the number of places to leave to more urgent requests at other entries."""
        with self._lock:
            waiting = self._peers.waiting_before(service, priority, self.clock.now())
            return math.ceil(waiting / self._entries_in_reach())

    def information_age(self) -> int:
        """Return the age in milliseconds of the oldest load report of another entry."""
        with self._lock:
            return self.clock.now() - self._peers.oldest_report_at(self.clock.now())

    def _entry_count(self) -> int:
        return self._peers.entries + 1 if self._fleet.is_full_mesh else self._fleet.entries

    def _entries_in_reach(self) -> int:
        """Return the number of entries that tell each other their loads, with this one."""
        if self._fleet.is_full_mesh:
            return self._peers.entries + 1
        return len(self._fleet.domain_peers) + 1

    def _has_free_slot(self, member: Member) -> bool:
        """Return whether a backend has a free slot and has not just refused a request."""
        is_full = member.full_until > 0 and self.clock.now() < member.full_until
        return self._load(member) < member.endpoint.slots and not is_full

    def _members_with_room(self, query: BackendQuery) -> list[Member]:
        """Return the backends with a free slot that ``query`` may use now.

        Returns none if the free slots do not exceed the reserved ones.
        """
        free = [
            member
            for member in self._members.values()
            if member.endpoint.service == query.service
            and member.endpoint.run not in query.tried
            and self._has_free_slot(member)
            and self._takes_requests(member)
        ]
        free = [m for m in free if not is_suspect(self._evidence, m)] or free
        is_opening = self.clock.now() - query.opened_at < OPENING_TIME
        if is_opening and not self._have_others_reported(query):
            usable = self._own_part(free, query)
        else:
            usable = self._usable(free, query.service, is_opening)
        if sum(self._free_slots(m) for m in usable) <= query.reserved:
            return []
        return usable

    def _free_slots(self, member: Member) -> int:
        return max(0, member.endpoint.slots - self._load(member))

    def _usable(self, free: Sequence[Member], service: str, is_opening: bool) -> list[Member]:
        """Return the backends whose free slots this entry may use without a conflict.

        Several entries that see the same free slot would overload the backend. So an entry uses
        slots that its own requests have left, slots of its home share and, of the others in
        its reach, as many as it wins in a draw among the entries at which requests wait.
        """
        now = self.clock.now()
        own = [m for m in free if m.endpoint.run in self._home_share or _has_freed_slot(m, now)]
        if own:
            return own
        near = [m for m in free if self._fleet.is_full_mesh or m.endpoint.domain == self.domain]
        contenders = self._peers.waiting_entries(service, now) + 1
        ample = _AMPLE_SLOTS * self._entries_in_reach()
        if not is_opening and sum(self._free_slots(m) for m in near) >= ample:
            return near
        won: list[Member] = []
        if self._fleet.is_full_mesh or self._foreign_uses[service, True].is_allowed(now):
            won = [m for m in near if self._draw(m, contenders, now)]
        if won or self._fleet.is_full_mesh:
            return won
        # The loads of other domains are not known, and their own entries fill them first.
        is_left_to_others = is_opening and self._has_own_places(service)
        if is_left_to_others or not self._foreign_uses[service, False].is_allowed(now):
            return []
        return [m for m in free if m.endpoint.domain != self.domain]

    def _has_own_places(self, service: str) -> bool:
        """Return whether backends of a service are in the failure domain of this entry."""
        return any(
            m.endpoint.service == service and m.endpoint.domain == self.domain
            for m in self._members.values()
        )

    def _draw(self, member: Member, contenders: int, now: int) -> bool:
        """Draw for a free slot, once for each load report of the others."""
        if now >= member.draw_until:
            member.draw_until = now + _DRAW_INTERVAL
            member.draw_won = self.rng.random() * contenders < self._free_slots(member)
        return member.draw_won

    def _record_use(self, member: Member) -> None:
        """Record that a slot of a backend is used, so that it is not used twice."""
        now = self.clock.now()
        member.freed = max(0, member.freed - 1) if now < member.freed_until else 0
        member.draw_won = False
        if member.endpoint.run not in self._home_share:
            self._foreign_use(member.endpoint).record_sent(now)

    def _foreign_use(self, endpoint: Endpoint) -> ForeignUse:
        return self._foreign_uses[endpoint.service, endpoint.domain == self.domain]

    def _record_freed(self, member: Member, duration: int | None) -> None:
        """Record that a request of this entry left its slot, after ``duration`` if it is known."""
        now = self.clock.now()
        if member.reported_queue:
            # The slot goes to a request in the backend's own queue.
            member.reported_queue -= 1
        elif self._fleet.is_full_mesh or member.endpoint.domain == self.domain:
            # In other domains the slot is likely to be taken by an entry that cannot be heard.
            member.freed = member.freed + 1 if now < member.freed_until else 1
            member.freed_until = now + _FREED_TIME
        if duration is not None:
            service = member.endpoint.service
            mean, count = self._mean_durations.get(service, (0.0, 0))
            count = min(count + 1, _DURATION_SAMPLES)
            self._mean_durations[service] = mean + (duration - mean) / count, count

    def record_notice(self, endpoint: Endpoint, notice: BackendNotice) -> NoticeChange:
        """Apply the notice in a backend's response, whatever the outcome of the request."""
        load = notice.load
        if load is not None:
            with self._lock:
                member = self._members.get(endpoint.run)
                if member is not None:
                    member.reported_queue = load.waiting
                if endpoint.run not in self._home_share:
                    self._foreign_use(endpoint).record_answer(load, endpoint.slots)
        return super(BackendPlaces, self).record_notice(endpoint, notice)

    def _have_others_reported(self, query: BackendQuery) -> bool:
        """Return whether all load reports in use are from after the opening of the group."""
        return self._peers.oldest_report_at(self.clock.now()) >= query.opened_at

    def _own_part(self, pool: Sequence[Member], query: BackendQuery) -> list[Member]:
        """Return the backends to use right after the opening of their group.

        Load reports from before the opening show all of them as idle. Until the other entries
        have reported again, an entry uses its home share, or its equal part of all places.
        """
        service = [m for m in self._members.values() if m.endpoint.service == query.service]
        if any(member.endpoint.run in self._home_share for member in service):
            return [member for member in pool if member.endpoint.run in self._home_share]
        places = sum(member.endpoint.slots for member in service)
        own = sum(member.own_requests for member in service)
        return list(pool) if own < max(1, places // max(1, self._fleet.entries)) else []


def _has_freed_slot(member: Member, now: int) -> bool:
    return member.freed > 0 and now < member.freed_until
