"""Requests in progress at the other entries, summed by backend."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from canvasyoke._clock import SECOND

#: Milliseconds after which the load of another entry is dropped.
_MAX_AGE: Final = 3 * SECOND
#: Milliseconds after which the waiting requests of another entry no longer count. Shorter, since
#: places are left free for them.
_MAX_WAITING_AGE: Final = 1 * SECOND


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Load that an entry has sent to the others."""

    #: Send time on that entry's clock, which orders its updates.
    sent_at: int
    #: Requests in progress by backend.
    in_flight: Mapping[str, int]
    #: Requests that wait for a place there, by service and priority.
    waiting: Mapping[str, Mapping[int, int]] = field(default_factory=dict)


@dataclass(slots=True)
class _ReceivedLoad:
    load: PeerLoad
    #: Receive time on this entry's clock.
    received_at: int


@dataclass(slots=True)
class PeerLoads:
    """Loads of the other entries, with sums kept up to date incrementally.

    Not thread-safe; the roster guards access with its lock.
    """

    _received: dict[str, _ReceivedLoad] = field(default_factory=dict)
    _sums: Counter[str] = field(default_factory=Counter)
    #: Entries whose load was updated since the last ``take_unrelayed``.
    _unrelayed: set[str] = field(default_factory=set)

    def update(self, entry: str, load: PeerLoad, now: int) -> bool:
        """Replace the load of an entry; return false if ``load`` is outdated."""
        known = self._received.get(entry)
        if (
            known is not None
            and load.sent_at <= known.load.sent_at
            and now - known.received_at < _MAX_AGE
        ):
            return False
        self.remove(entry)
        self._received[entry] = _ReceivedLoad(load, now)
        self._sums.update(load.in_flight)
        self._unrelayed.add(entry)
        return True

    def remove(self, entry: str) -> None:
        """Remove the load of an entry."""
        known = self._received.pop(entry, None)
        self._unrelayed.discard(entry)
        if known is not None:
            self._subtract(known.load)

    def forget_stale(self, now: int) -> None:
        """Remove loads that have not been updated for too long."""
        for entry in [
            e for e, received in self._received.items() if now - received.received_at > _MAX_AGE
        ]:
            self.remove(entry)

    def take_unrelayed(self) -> dict[str, PeerLoad]:
        """Return the loads updated since the last call."""
        taken = {entry: self._received[entry].load for entry in self._unrelayed}
        self._unrelayed.clear()
        return taken

    def _subtract(self, load: PeerLoad) -> None:
        """Subtract a load from the sums, and drop backends whose sum is zero."""
        self._sums.subtract(load.in_flight)
        for backend in load.in_flight:
            if not self._sums[backend]:
                del self._sums[backend]

    @property
    def entries(self) -> int:
        """Number of other entries whose load is known."""
        return len(self._received)

    def requests_at(self, backend: str) -> int:
        """Return the number of requests of other entries at ``backend``."""
        return self._sums.get(backend, 0)

    def waiting_before(self, service: str, priority: int, now: int) -> int:
        """Return the number of requests more urgent than ``priority`` that wait elsewhere."""
        return sum(
            count
            for received in self._received.values()
            if received.load.waiting and now - received.received_at <= _MAX_WAITING_AGE
            for other, count in received.load.waiting.get(service, {}).items()
            if other < priority
        )

    def waiting_entries(self, service: str, now: int) -> int:
        """Return the number of other entries at which requests of a service wait."""
        return sum(
            1
            for received in self._received.values()
            if received.load.waiting.get(service) and now - received.received_at <= _MAX_WAITING_AGE
        )

    def oldest_report_at(self, now: int) -> int:
        """Return when the oldest report in use was received; ``now`` if there is none."""
        return min((received.received_at for received in self._received.values()), default=now)
