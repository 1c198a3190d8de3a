"""Taking a target out for a while on evidence from traffic.

A few failures in a row eject; after a pause one request probes it (half-open);
an answer lets it back, a failure doubles the pause.
"""

from __future__ import annotations

from typing import Final

from canvasyoke._clock import SECOND, Clock

#: Failures in a row that eject.
FAILURES: Final = 2
_PAUSE_START: Final = 1 * SECOND
_PAUSE_LIMIT: Final = 30 * SECOND
#: Milliseconds after which a probe without an answer is given up.
_PROBE_LIMIT: Final = 10 * SECOND


class Ejection:
    """Evidence for and against one target, in one entry."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures = 0
        self._pause = _PAUSE_START
        self._until = 0
        self._probe_sent = 0

    @property
    def ejected(self) -> bool:
        """Tell whether the target should be passed over now."""
        if self._failures < FAILURES:
            return False
        now = self._clock.now()
        if now < self._until:
            return True
        return bool(self._probe_sent) and now - self._probe_sent < _PROBE_LIMIT

    def sent(self) -> None:
        """Note that a request goes there; in half-open state it is the probe."""
        if self._failures >= FAILURES:
            self._probe_sent = self._clock.now()

    def succeeded(self) -> None:
        """Note an answer."""
        self._failures = 0
        self._pause = _PAUSE_START
        self._probe_sent = 0

    def failed(self) -> None:
        """Note a failure that the target is to blame for."""
        self._failures += 1
        if self._failures < FAILURES:
            return
        self._until = self._clock.now() + self._pause
        self._pause = min(self._pause * 2, _PAUSE_LIMIT)
        self._probe_sent = 0
