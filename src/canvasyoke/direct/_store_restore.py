"""Resolves conflicts with the store's state after a restore from an older copy.

Writes since the copy are lost. Live backends rewrite their entries, so a backend missing in
the copy usually still exists. A backend that the copy lists as ready may have announced that
it leaves, or have ended. Both the copy and the previous state are trusted only until live
backends have rewritten their entries and the platform has removed expired ones.
"""

from __future__ import annotations

from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.observe import part_logger
from canvasyoke.state import StorePosition, era_of

_log = part_logger("store")
#: Milliseconds within which live backends rewrite their entries.
REREGISTRATION_TIME: Final = 2_300
#: Milliseconds after which the platform has removed the entries of ended backends: three
#: heartbeats of 1.2 s, plus one that may have been in flight.
_EXPIRY_TIME: Final = 4_800


class StoreRestore:
    """Tracks a recent restore of the store, and the backends on which it may be wrong."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: Highest era observed.
        self.era = 0
        #: Time at which the last restore was detected; ``None`` before any.
        self._restored_at: int | None = None
        self._is_pending = False
        #: Backends whose known state differs from the store and takes precedence over it.
        self.doubted: set[str] = set()

    def observe_position(self, position: StorePosition, has_list: bool) -> None:
        """Record a position; if ``has_list``, a higher era means that the store was restored."""
        era = era_of(position)
        if era <= self.era:
            return
        self.era = era
        if has_list:
            self._restored_at = self._clock.now()
            self._is_pending = True
            _log.warning("the store came back from an older copy", era=era)

    @property
    def is_settling(self) -> bool:
        """Whether the store may still list backends that have left or ended."""
        return self._is_within(_EXPIRY_TIME)

    @property
    def lacks_backends(self) -> bool:
        """Whether the store may still lack live backends."""
        return self._is_within(REREGISTRATION_TIME)

    def _is_within(self, duration: int) -> bool:
        at = self._restored_at
        return at is not None and self._clock.now() - at < duration

    @property
    def needs_list(self) -> bool:
        """Whether a new list is needed because the restore has settled."""
        return self._is_pending and not self.is_settling

    def is_doubtful(
        self, backend: str, known_position: StorePosition, update_position: StorePosition
    ) -> bool:
        """Return whether an update of a backend may be older than its known state."""
        if not self.is_settling:
            return False
        return backend in self.doubted or era_of(known_position) < era_of(update_position)

    def record_list(self) -> None:
        """Record a list; once the restore has settled, it resolves all doubts."""
        if not self.is_settling:
            self._is_pending = False
            self.doubted.clear()
