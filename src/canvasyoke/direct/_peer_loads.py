"""What the other entries have under way, added up by backend as each of them tells it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from canvasyoke._clock import SECOND

#: Milliseconds after which what another entry told of its load is left out.
_LIMIT: Final = 3 * SECOND


@dataclass(frozen=True, slots=True)
class ToldLoad:
    """What one entry told of its load."""

    #: Time on its clock, by which later word is known.
    told_at: int
    #: Its requests under way by backend.
    under_way: Mapping[str, int]


@dataclass(slots=True)
class _Heard:
    load: ToldLoad
    #: Time on this entry's clock.
    at: int


@dataclass(slots=True)
class PeerLoads:
    """The sums are kept, not made for each request: with 32 entries and 72 backends that
    took a choice some 2,000 steps. Not thread-safe, the roster guards it."""

    _heard: dict[str, _Heard] = field(default_factory=dict)
    _sums: Counter[str] = field(default_factory=Counter)
    #: Entries whose load came since it was last asked which to pass on.
    _unrelayed: set[str] = field(default_factory=set)

    def took(self, entry: str, load: ToldLoad, now: int) -> bool:
        """Take what an entry tells in place of what it told before; false if it is old."""
        known = self._heard.get(entry)
        if known is not None and load.told_at <= known.load.told_at and now - known.at < _LIMIT:
            return False
        self.left(entry)
        self._heard[entry] = _Heard(load, now)
        self._sums.update(load.under_way)
        self._unrelayed.add(entry)
        return True

    def left(self, entry: str) -> None:
        """Forget an entry's load."""
        known = self._heard.pop(entry, None)
        self._unrelayed.discard(entry)
        if known is not None:
            self._leave_out(known.load)

    def forget_stale(self, now: int) -> None:
        """Forget entries that have not told anything for long."""
        for entry in [e for e, heard in self._heard.items() if now - heard.at > _LIMIT]:
            self.left(entry)

    def take_unrelayed(self) -> dict[str, ToldLoad]:
        """Return the loads that came since the last call."""
        taken = {entry: self._heard[entry].load for entry in self._unrelayed}
        self._unrelayed.clear()
        return taken

    def _leave_out(self, load: ToldLoad) -> None:
        """Take a load out of the sums; backends without any are not kept."""
        self._sums.subtract(load.under_way)
        for backend in load.under_way:
            if not self._sums[backend]:
                del self._sums[backend]

    @property
    def entries(self) -> int:
        """Return the number of other entries whose load is known."""
        return len(self._heard)

    def of(self, backend: str) -> int:
        """Return the other entries' requests at a backend."""
        return self._sums.get(backend, 0)
