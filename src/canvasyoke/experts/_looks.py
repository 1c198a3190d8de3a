"""How often a process asks the store for what it lacks."""

from __future__ import annotations

from typing import Final

from canvasyoke._clock import SECOND, Clock

#: Milliseconds between looks into the store while what is missing stays missing.
_EVERY: Final = 1 * SECOND
#: Looks that may follow each other at once: a process that starts has to introduce
#: itself, find the others and read the configuration. With one look a second it was
#: linked 1.0 s later than it could have been, and so was the first map after it.
_AT_ONCE: Final = 3


class Looks:
    """Grants looks: a few at once, then one each second."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._left = _AT_ONCE
        self._since = clock.now()

    def take(self) -> bool:
        """Tell whether the store may be asked again, and note that it is."""
        now = self._clock.now()
        earned = (now - self._since) // _EVERY
        if earned or self._left == _AT_ONCE:
            self._left = min(_AT_ONCE, self._left + earned)
            self._since = now if self._left == _AT_ONCE else self._since + earned * _EVERY
        if not self._left:
            return False
        self._left -= 1
        return True
