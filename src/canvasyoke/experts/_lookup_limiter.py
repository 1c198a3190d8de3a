"""Rate limit for a rank process's lookups in the store."""

from __future__ import annotations

from typing import Final

from canvasyoke._clock import SECOND, Clock

#: Milliseconds after which another lookup is allowed.
_REFILL_INTERVAL: Final = 1 * SECOND
#: Lookups allowed in quick succession: a starting process registers, finds the other processes and
#: reads the configuration. With one lookup a second a process was linked 1.0 s later than
#: necessary, and the first map came as much later.
_BURST: Final = 3


class LookupLimiter:
    """Token bucket: permits a short burst of lookups, then one per second."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tokens = _BURST
        self._refilled_at = clock.now()

    def try_acquire(self) -> bool:
        """Return whether a lookup is permitted, and consume the permit."""
        now = self._clock.now()
        refilled = (now - self._refilled_at) // _REFILL_INTERVAL
        if refilled or self._tokens == _BURST:
            self._tokens = min(_BURST, self._tokens + refilled)
            self._refilled_at = (
                now if self._tokens == _BURST else self._refilled_at + refilled * _REFILL_INTERVAL
            )
        if not self._tokens:
            return False
        self._tokens -= 1
        return True
