"""The notices that backends have sent in their answers, kept while they are in effect.

A backoff applies to the entry that was asked, until the time given. A notice of leaving applies
until the run has ended. Both are kept by run and address, apart from the list of backends:
store entries expire during an outage of the store and are written again after it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from canvasyoke._clock import SECOND, Clock
from canvasyoke.backend import BackendNotice
from canvasyoke.direct._backend_limits import BackendLimits, RateLimit
from canvasyoke.state import Endpoint

#: Longest backoff in milliseconds that one answer can request. Bounds the effect of a backend
#: that requests an excessive time by mistake.
MAX_BACKOFF: Final = 600 * SECOND
#: Milliseconds by which a backoff must be extended to be reported. Concurrent refusals request
#: end times that differ by less.
_MIN_EXTENSION: Final = 500
#: Runs for which notices are kept; the oldest are dropped first.
_MAX_RUNS: Final = 10_000

#: A run of a backend and its address. A run that reports no start time is identified by its
#: address.
_Key: TypeAlias = tuple[str, str]


@dataclass(frozen=True, slots=True)
class NoticeChange:
    """What an answer's notice has changed."""

    #: Milliseconds of backoff from now on; 0 if it was not extended.
    backoff: int = 0
    #: Whether the backend was not known to be leaving before.
    leaves: bool = False
    #: The backend's rate limit if it has changed.
    limit: RateLimit | None = None

    @property
    def has_any(self) -> bool:
        """Return whether anything has changed."""
        return bool(self.backoff) or self.leaves or self.limit is not None


_NO_CHANGE: Final = NoticeChange()


@dataclass(frozen=True, slots=True)
class SharedNotice:
    """A backend's notice as entries exchange it."""

    #: Run of the backend, and its address.
    run: str
    address: str
    #: Milliseconds of backoff that were requested from one of the entries.
    backoff: int = 0
    is_leaving: bool = False
    #: The backend's rate limit; ``None`` if it has never sent one.
    limit: RateLimit | None = None


@dataclass(slots=True)
class _NoticeState:
    #: Time on the clock at which the last backoff requested from this entry ends.
    backoff_until: int = 0
    #: The same for other entries.
    peer_backoff_until: int = 0
    is_leaving: bool = False


@dataclass(slots=True)
class BackendNotices:
    """Notices by backend run. Not thread-safe; guarded by the roster's lock."""

    clock: Clock
    limits: BackendLimits
    _states: dict[_Key, _NoticeState] = field(default_factory=dict)

    @property
    def has_any(self) -> bool:
        """Return whether any notice is kept, so that callers can skip the lookups if not."""
        return bool(self._states) or self.limits.may_limit

    def apply(self, endpoint: Endpoint, notice: BackendNotice) -> NoticeChange:
        """Apply the notice in an answer of a backend, and return what it changes.

        The latest end of all backoffs wins, since answers can arrive out of order.
        """
        if notice.is_limit_known:  # the head of an answer was received
            self.limits.cold.record_answer(endpoint)
        limit = self._apply_limit(endpoint, notice)
        if not notice.backoff and not notice.is_leaving:
            return NoticeChange(limit=limit) if limit is not None else _NO_CHANGE
        now = self.clock.now()
        state = self._find(_key(endpoint))
        backoff = min(notice.backoff, MAX_BACKOFF)
        change = NoticeChange(
            backoff=backoff if now + backoff > state.backoff_until + _MIN_EXTENSION else 0,
            leaves=notice.is_leaving and not state.is_leaving,
            limit=limit,
        )
        state.backoff_until = max(state.backoff_until, now + backoff)
        state.is_leaving = state.is_leaving or notice.is_leaving
        return change

    def _apply_limit(self, endpoint: Endpoint, notice: BackendNotice) -> RateLimit | None:
        """Set or clear the rate limit as an answer states; return it if it has changed."""
        if not notice.is_limit_known:
            return None
        limit = RateLimit(notice.rate_limit)
        return limit if self.limits.update(_key(endpoint), limit) else None

    def limit_wait(self, endpoint: Endpoint) -> int:
        """Return the milliseconds until this entry may send a request under the rate limit."""
        return self.limits.wait(_key(endpoint), endpoint.service)

    def limit_share(self, endpoint: Endpoint) -> float:
        """Return this entry's share of a backend's rate limit; 0 if it has none."""
        return self.limits.entry_rate(_key(endpoint), endpoint.service)

    def cold_share(self, endpoint: Endpoint) -> float:
        """Return the requests a second that this entry may send a cold backend; 0 if warm."""
        return self.limits.cold.entry_rate(_key(endpoint))

    def cold_remaining(self, endpoint: Endpoint) -> int:
        """Return the milliseconds for which a backend remains cold; 0 if it is warm."""
        return self.limits.cold.remaining(_key(endpoint))

    def record_sent(self, endpoint: Endpoint) -> None:
        """Count a request for which the backend was chosen against its rate limit."""
        self.limits.record_sent(_key(endpoint), endpoint.service)

    def record_written(self, endpoint: Endpoint) -> None:
        """Record that a request is written to the backend now."""
        self.limits.record_written(_key(endpoint))

    def refund(self, endpoint: Endpoint) -> None:
        """Undo ``record_sent`` for a request that did not reach the backend."""
        self.limits.refund(_key(endpoint))

    def remaining_backoff(self, endpoint: Endpoint) -> int:
        """Return the milliseconds for which this entry must not send to a backend."""
        state = self._states.get(_key(endpoint)) if self._states else None
        return max(0, state.backoff_until - self.clock.now()) if state is not None else 0

    def apply_shared(self, notice: SharedNotice) -> bool:
        """Apply a notice that another entry has received; return whether it changes anything."""
        key = (notice.run, notice.address)
        is_new_limit = notice.limit is not None and self.limits.update(key, notice.limit)
        if not notice.backoff and not notice.is_leaving:
            return is_new_limit
        now = self.clock.now()
        state = self._find(key)
        until = now + min(notice.backoff, MAX_BACKOFF)
        known = max(now, state.backoff_until, state.peer_backoff_until)
        is_new = until > known + _MIN_EXTENSION or (notice.is_leaving and not state.is_leaving)
        state.peer_backoff_until = max(state.peer_backoff_until, until)
        state.is_leaving = state.is_leaving or notice.is_leaving
        return is_new or is_new_limit

    def to_share(self, endpoint: Endpoint) -> SharedNotice | None:
        """Return what is still in effect for a backend; ``None`` for nothing."""
        key = _key(endpoint)
        state = self._states.get(key, _NoticeState())
        limit = self.limits.latest(key)
        until = max(state.backoff_until, state.peer_backoff_until)
        backoff = max(0, until - self.clock.now())
        if not backoff and not state.is_leaving and limit is None:
            return None
        return SharedNotice(endpoint.run, endpoint.address, backoff, state.is_leaving, limit)

    def has_peer_backoff(self, endpoint: Endpoint) -> bool:
        """Return whether a backend has asked another entry to back off."""
        state = self._states.get(_key(endpoint)) if self._states else None
        return state is not None and self.clock.now() < state.peer_backoff_until

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether a run has announced that it is about to end."""
        state = self._states.get(_key(endpoint)) if self._states else None
        return state is not None and state.is_leaving

    def count_backing_off(self, endpoints: Iterable[Endpoint]) -> int:
        """Return how many of ``endpoints`` have asked this entry to back off."""
        return sum(1 for endpoint in endpoints if self.remaining_backoff(endpoint))

    def count_leaving(self, endpoints: Iterable[Endpoint]) -> int:
        """Return how many of ``endpoints`` have announced that they are leaving."""
        return sum(1 for endpoint in endpoints if self.is_leaving(endpoint))

    def _find(self, key: _Key) -> _NoticeState:
        state = self._states.setdefault(key, _NoticeState())
        while len(self._states) > _MAX_RUNS:
            del self._states[next(iter(self._states))]
        return state


def _key(endpoint: Endpoint) -> _Key:
    return endpoint.run, endpoint.address
