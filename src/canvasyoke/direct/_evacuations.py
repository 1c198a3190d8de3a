"""The failure domains that operators evacuate, as this entry knows them.

The set comes from the store, or from another entry that reads the store. The one with the newest
position wins, whatever its source; a position of a higher era is newer than all of lower ones. A
set stays in force until a newer one replaces it, however long the store does not answer.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass

from canvasyoke._clock import Clock
from canvasyoke.direct._roster import Roster
from canvasyoke.observe import part_logger
from canvasyoke.state import StorePosition, format_position

_log = part_logger("evacuations")


@dataclass(frozen=True, slots=True)
class EvacuationSet:
    """All evacuated domains as of one position."""

    domains: frozenset[str] = frozenset()
    #: Position up to which it has all changes; 0 before it is known.
    position: StorePosition = 0
    #: Clock time at which an entry last read it from the store.
    read_at: int = 0


class Evacuations:
    """The evacuated domains in force; thread-safe. Puts them in force at the roster."""

    def __init__(self, roster: Roster, clock: Clock) -> None:
        self._roster = roster
        self._clock = clock
        self._lock = threading.Lock()
        self._current = EvacuationSet()
        self._is_known = False

    @property
    def current(self) -> EvacuationSet:
        """Return the set in force."""
        return self._current

    @property
    def is_known(self) -> bool:
        """Return whether a set has been received, be it empty."""
        return self._is_known

    def adopt(
        self, domains: frozenset[str], position: StorePosition, source: str, age: int = 0
    ) -> bool:
        """Put a set in force if it is newer; return whether the evacuated domains changed.

        ``age`` is the milliseconds since an entry read it from the store.
        """
        with self._lock:
            before = self._current
            is_newer = position > before.position or not self._is_known
            if not is_newer:
                return False
            self._is_known = True
            self._current = EvacuationSet(domains, position, self._clock.now() - age)
            if domains == before.domains:
                return False
            for domain in sorted(before.domains - domains):
                self._handle_taken_back(domain)
            self._roster.set_evacuated(domains)
        _log.warning(
            "evacuated domains changed",
            domains=sorted(domains),
            added=sorted(domains - before.domains),
            taken_back=sorted(before.domains - domains),
            position=format_position(position),
            before=format_position(before.position),
            source=source,
            age=age,
        )
        return True

    def confirm(self) -> None:
        """Record that the store has no newer set."""
        with self._lock:
            known = self._current
            self._current = EvacuationSet(known.domains, known.position, self._clock.now())

    def _handle_taken_back(self, domain: str) -> None:
        """Prepare for requests to a domain whose evacuation is taken back.

        Called right before its backends get requests again; they may be cold by now.
        """
        self._roster.mark_domain_cold(domain)
