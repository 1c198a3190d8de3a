"""Which backends take requests now, by their own word and by what was seen of them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from canvasyoke.backend import BackendNotice
from canvasyoke.direct._backend_limits import Share
from canvasyoke.direct._backend_notices import NoticeChange, SharedNotice
from canvasyoke.direct._backend_streams import BackendStreams
from canvasyoke.direct._member import Member
from canvasyoke.direct._pass_over import unavailability
from canvasyoke.state import Endpoint, EndpointState


@dataclass(slots=True)
class BackendStanding(BackendStreams):
    """Records of backends, with what they say of themselves."""

    def took_notice(self, endpoint: Endpoint, notice: BackendNotice) -> NoticeChange:
        """Take what a backend says of itself in an answer, whatever the answer is."""
        with self._lock:
            member = self._members.get(endpoint.run)
            if member is not None and notice.load is not None:
                # The request that the answer belongs to may or may not be counted in it.
                total = notice.load.running + notice.load.waiting
                member.others = max(0, total - member.own)
                member.reported_at = self.clock.now()
            return self._words.apply(endpoint, notice)

    def heard_word(self, told: SharedNotice) -> bool:
        """Take what a backend has said to another entry; false if it is no news."""
        with self._lock:
            return self._words.apply_shared(told)

    def words_to_tell(self) -> list[SharedNotice]:
        """Return all words of listed backends that still hold."""
        with self._lock:
            told = (self._words.to_share(m.endpoint) for m in self._members.values())
            return [word for word in told if word is not None]

    def set_share(self, share: Callable[[str], Share]) -> None:
        """Let parts of limits be worked out by ``share``, by service."""
        with self._lock:
            self._words.limits.share = share

    @property
    def has_limits(self) -> bool:
        """Tell whether any backend names a rate that it takes."""
        with self._lock:
            return self._words.limits.has_any

    def services(self) -> frozenset[str]:
        """Return the services of all backends known."""
        with self._lock:
            return frozenset(member.endpoint.service for member in self._members.values())

    def may_send(self, endpoint: Endpoint) -> bool:
        """Tell whether a backend that was chosen may still get its request.

        It may have asked to back off, left the list or started anew while the connection to it
        was made.
        """
        with self._lock:
            member = self._members.get(endpoint.run)
            if member is None or member.endpoint.address != endpoint.address:
                return False
            # The request has its part of a limit already.
            return not self._is_leaving(member) and not self._words.remaining_backoff(endpoint)

    def wait_left(self, service: str) -> int:
        """Return the milliseconds until a backend of a service takes requests again.

        0 if one does now, or if none is known that ever will.
        """
        with self._lock:
            found = [
                unavailability(self._sources, member)
                for member in self._members.values()
                if member.endpoint.service == service and not self._is_leaving(member)
            ]
            return min((each.wait if each else 0 for each in found), default=0)

    def limited_part(self, service: str) -> float:
        """Return the requests a second that this entry may send a service's limited backends."""
        with self._lock:
            return sum(
                self._words.limit_share(member.endpoint)
                for member in self._members.values()
                if member.endpoint.service == service and not self._is_leaving(member)
            )

    def has_other(self, service: str, tried: frozenset[str]) -> bool:
        """Tell whether a service has a backend besides those tried that takes requests."""
        with self._lock:
            return any(
                member.endpoint.service == service
                and member.endpoint.run not in tried
                and self._takes_requests(member)
                for member in self._members.values()
            )

    def is_ready(self, run: str) -> bool:
        """Tell whether a run is listed and has not said that it leaves."""
        with self._lock:
            member = self._members.get(run)
            return member is not None and not self._is_leaving(member)

    @property
    def backing_off(self) -> int:
        """Return how many backends want nothing from this entry now."""
        with self._lock:
            return self._words.count_backing_off(
                member.endpoint for member in self._members.values()
            )

    @property
    def limited(self) -> int:
        """Return how many backends name a rate that they take."""
        with self._lock:
            return sum(1 for m in self._members.values() if self._words.limit_share(m.endpoint) > 0)

    @property
    def leaving(self) -> int:
        """Return how many backends have said themselves that they leave."""
        with self._lock:
            return self._words.count_leaving(member.endpoint for member in self._members.values())

    def _takes_requests(self, member: Member) -> bool:
        return not self._is_leaving(member) and not unavailability(self._sources, member)

    def _is_leaving(self, member: Member) -> bool:
        """Tell whether a run leaves, by the store's word or by its own.

        Its own holds until the run has ended, whatever the store says of it: the entry there
        may be older, or another's.
        """
        if member.endpoint.state is EndpointState.LEAVING:
            return True
        return self._words.is_leaving(member.endpoint)
