"""Leases in the platform's object API that need no synchronised clocks.

The holder counts its lease from before the write that renewed it. A contender waits until the
lease's version has been unchanged for longer than the lease lasts. Each uses its own monotonic
clock. A takeover starts with a conditional write to the lease, so the renewal of a holder that
was paused fails.
"""

from __future__ import annotations

from typing import Final

from canvasyoke._clock import SECOND, Clock

#: Milliseconds a lease lasts, counted from the start of the write that renewed it.
LEASE_DURATION: Final = 15 * SECOND
#: Milliseconds between renewals.
RENEW_INTERVAL: Final = 3 * SECOND
#: Extra milliseconds a contender waits, to allow for clock drift.
TAKEOVER_MARGIN: Final = 1 * SECOND


class Lease:
    """A holder's record of its own lease."""

    def __init__(self, clock: Clock, duration: int = LEASE_DURATION) -> None:
        self._clock = clock
        self._duration = duration
        self._expires_at = 0

    @property
    def valid(self) -> bool:
        """Return whether the lease is held now."""
        return self._clock.now() < self._expires_at

    def record_renewal(self, write_started_at: int) -> None:
        """Record a successful renewal whose write began at ``write_started_at``."""
        self._expires_at = max(self._expires_at, write_started_at + self._duration)

    def mark_lost(self) -> None:
        """Record that another process has taken the lease."""
        self._expires_at = 0


class LeaseMonitor:
    """Detects expired leases of other processes by versions that no longer change."""

    def __init__(self, clock: Clock, duration: int = LEASE_DURATION) -> None:
        self._clock = clock
        self._takeover_delay = duration + TAKEOVER_MARGIN
        self._observed: dict[str, tuple[int, int]] = {}

    def has_expired(self, name: str, version: int) -> bool:
        """Record the current version of lease ``name``; return whether it has expired."""
        now = self._clock.now()
        observed_version, since = self._observed.get(name, (-1, now))
        if observed_version != version:
            self._observed[name] = (version, now)
            return False
        return now - since > self._takeover_delay
