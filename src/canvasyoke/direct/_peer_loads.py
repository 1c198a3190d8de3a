"""What the other entries have under way, added up by backend as each of them tells it."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from canvasyoke._clock import SECOND

#: Milliseconds after which what another entry told of its load is left out.
_LIMIT: Final = 3 * SECOND


@dataclass(slots=True)
class PeerLoads:
    """The sums are kept, not made for each request: with 32 entries and 72 backends that
    took a choice some 2,000 steps. Not thread-safe, the roster guards it."""

    #: Requests of each other entry under way, by backend, and when they were told.
    _told: dict[str, tuple[int, dict[str, int]]] = field(default_factory=dict)
    _sums: Counter[str] = field(default_factory=Counter)

    def took(self, peer: str, under_way: dict[str, int], now: int) -> None:
        """Take what an entry tells in place of what it told before."""
        self.left(peer)
        self._told[peer] = (now, under_way)
        self._sums.update(under_way)

    def left(self, peer: str) -> None:
        """Forget an entry's load."""
        _, under_way = self._told.pop(peer, (0, {}))
        self._leave_out(under_way)

    def forget_stale(self, now: int) -> None:
        """Leave out entries that have not told anything for long; they stay known."""
        for peer, (told_at, under_way) in self._told.items():
            if under_way and now - told_at > _LIMIT:
                self._leave_out(under_way)
                self._told[peer] = (told_at, {})

    def _leave_out(self, under_way: dict[str, int]) -> None:
        """Take loads out of the sums; backends without any are not kept."""
        self._sums.subtract(under_way)
        for backend in under_way:
            if not self._sums[backend]:
                del self._sums[backend]

    @property
    def entries(self) -> int:
        """Return the number of other entries that told their load."""
        return len(self._told)

    def of(self, backend: str) -> int:
        """Return the other entries' requests at a backend."""
        return self._sums.get(backend, 0)
