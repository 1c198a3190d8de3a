"""How often an entry tells others its load: the more there are, the less often."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Final

from canvasyoke._clock import Clock

#: Milliseconds between two tellings of the load, among as many entries as the second
#: figure. A choice made on older figures sends several entries' requests to the same
#: backend. Among more entries each one tells so much less often: 32 entries that told all
#: others every 150 ms would send 6,600 messages a second, each with its acknowledgement.
TELL_EVERY: Final = 150
_AT_ONCE: Final = 8
#: Milliseconds after which load is told even if it has not changed.
AT_LEAST: Final = 900


class Telling:
    """When a load is told next to some of the other entries."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._told: Hashable = None
        self._told_at = 0

    def forget(self) -> None:
        """Have the load told at the next look, whatever it is."""
        self._told = None

    def is_due(self, load: Hashable, entries: int, at_least: int = AT_LEAST) -> bool:
        """Tell whether ``load`` is to be told now among ``entries``, and note that it is.

        ``load`` is whatever differs when there is something new. It is told every
        ``at_least`` milliseconds even if there is not.
        """
        now = self._clock.now()
        age = now - self._told_at
        rounds = -(-entries // _AT_ONCE)
        # Looks come every TELL_EVERY; half of it less, so that none is missed by a hair.
        is_early = age < (rounds - 0.5) * TELL_EVERY
        is_old_news = load == self._told and age < at_least
        if self._told is not None and (is_early or is_old_news):
            return False
        self._told, self._told_at = load, now
        return True
