"""The seconds after the store is back from an older copy: whose word counts.

What the store had taken since the copy is lost. Backends that live write theirs again, so
one that the copy lacks is there as a rule; one that the copy calls ready may have said since
that it leaves, or have ended. Neither the copy nor what was known before is believed for
longer than it takes backends to write, and the platform to take out those that are silent.
"""

from __future__ import annotations

from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.observe import part_logger
from canvasyoke.state import StorePosition, era_of

_log = part_logger("store")
#: Milliseconds within which backends that live have written their entries again (the users'
#: letter says about two seconds).
RETURN_TIME: Final = 2_300
#: Milliseconds after which the platform has taken out entries of backends that ended: three
#: heartbeats of 1.2 s, and one that may have been under way.
_SILENCE_TIME: Final = 4_800


class StoreReturn:
    """Whether the store is just back from a copy, and what is known better than it says."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: Newest era heard of.
        self.era = 0
        #: Time on the clock at which the last return became known; ``None`` before any.
        self._returned_at: int | None = None
        self._is_pending = False
        #: Backends of which something else is believed than the store's word.
        self.doubted: set[str] = set()

    def heard_of(self, position: StorePosition, is_known: bool) -> None:
        """Take note of a position; where a list is known, a higher era is a return."""
        era = era_of(position)
        if era <= self.era:
            return
        self.era = era
        if is_known:
            self._returned_at = self._clock.now()
            self._is_pending = True
            _log.warning("the store came back from an older copy", era=era)

    @property
    def is_settling(self) -> bool:
        """Tell whether the store may still list backends that have left or ended."""
        return self._is_within(_SILENCE_TIME)

    @property
    def lacks_backends(self) -> bool:
        """Tell whether the store may still lack backends that live."""
        return self._is_within(RETURN_TIME)

    def _is_within(self, duration: int) -> bool:
        at = self._returned_at
        return at is not None and self._clock.now() - at < duration

    @property
    def wants_list(self) -> bool:
        """Tell whether it is time to hear once more of all that there is."""
        return self._is_pending and not self.is_settling

    def is_doubtful(self, backend: str, known_at: StorePosition, told_at: StorePosition) -> bool:
        """Tell whether word of a backend may be older than what is known of it."""
        if not self.is_settling:
            return False
        return backend in self.doubted or era_of(known_at) < era_of(told_at)

    def listed(self) -> None:
        """Take note of a list; one that comes late enough settles what was doubted."""
        if not self.is_settling:
            self._is_pending = False
            self.doubted.clear()
