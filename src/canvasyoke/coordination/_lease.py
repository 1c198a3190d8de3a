"""Leases kept in the platform's object API, without comparing clocks.

A holder counts its lease from before the write that renewed it; whoever wants to
take over waits until the lease's version has not moved for longer than the lease
lasts, each on its own steady clock. Taking over begins with a conditional write
on the lease itself, so a holder that wakes from a pause finds its renewal refused.
"""

from __future__ import annotations

from typing import Final

from canvasyoke._clock import SECOND, Clock

#: Milliseconds a lease lasts from the start of the write that renewed it.
LEASE: Final = 15 * SECOND
#: Milliseconds between renewals.
RENEW_EVERY: Final = 3 * SECOND
#: Extra milliseconds a taker waits, for clocks that run at different rates.
TAKE_MARGIN: Final = 1 * SECOND


class Lease:
    """The holder's view: whether its lease stands at this moment."""

    def __init__(self, clock: Clock, duration: int = LEASE) -> None:
        self._clock = clock
        self._duration = duration
        self._until = 0

    @property
    def valid(self) -> bool:
        """Tell whether the lease stands now."""
        return self._clock.now() < self._until

    def renewed(self, write_began: int) -> None:
        """Note a renewal whose write began at ``write_began`` and took effect."""
        self._until = max(self._until, write_began + self._duration)

    def lost(self) -> None:
        """Note that another has taken it."""
        self._until = 0


class LeaseWatch:
    """A taker's view of others' leases: which versions have stood still too long."""

    def __init__(self, clock: Clock, duration: int = LEASE) -> None:
        self._clock = clock
        self._limit = duration + TAKE_MARGIN
        self._seen: dict[str, tuple[int, int]] = {}

    def lapsed(self, name: str, version: int) -> bool:
        """Note that ``name`` is at ``version`` now; tell whether it has lapsed."""
        now = self._clock.now()
        seen, since = self._seen.get(name, (-1, now))
        if seen != version:
            self._seen[name] = (version, now)
            return False
        return now - since > self._limit
