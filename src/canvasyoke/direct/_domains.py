"""Which failure domains an entry cannot reach now.

A domain that is cut off takes the whole time for a connection from every request that
is sent there, backend by backend. After failures to connect to several of its backends,
with no success between, the domain is passed over as a whole, and a task of its own
tries from time to time whether it is back.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.transport import can_connect

#: Backends of a domain that must have failed to connect before it counts as cut off; one
#: alone may have crashed.
_BACKENDS: Final = 2
#: Milliseconds between tries whether a domain is back, and for one try.
_TRY_EVERY: Final = 300
_TRY_TIMEOUT: Final = 150


@dataclass(slots=True)
class DomainReach:
    """What connections tell of each domain; not thread-safe, the roster guards it."""

    #: Backends that could not be reached since the domain last was, by domain.
    _missed: dict[str, set[str]] = field(default_factory=dict)

    def missed(self, domain: str, backend: str) -> bool:
        """Take note of a connection that was not made; true when it cuts the domain off."""
        was_cut = self.is_cut(domain)
        self._missed.setdefault(domain, set()).add(backend)
        return self.is_cut(domain) and not was_cut

    def reached(self, domain: str) -> bool:
        """Take note of a connection that was made; true when the domain was cut off."""
        was_cut = self.is_cut(domain)
        self._missed.pop(domain, None)
        return was_cut

    def is_cut(self, domain: str) -> bool:
        """Tell whether the domain is out of reach."""
        return len(self._missed.get(domain, ())) >= _BACKENDS

    def cut(self) -> frozenset[str]:
        """Return the domains out of reach."""
        return frozenset(domain for domain in self._missed if self.is_cut(domain))


class DomainProber:
    """Tries from time to time whether a domain that is cut off is back."""

    def __init__(
        self, cut_addresses: Callable[[], dict[str, str]], reached: Callable[[str], None]
    ) -> None:
        #: Returns an address to try in each domain that is cut off.
        self._cut_addresses = cut_addresses
        self._reached = reached
        self._stop = threading.Event()
        self._task = threading.Thread(target=self._run, name="domains", daemon=True)

    def start(self) -> None:
        """Start trying."""
        self._task.start()

    def _run(self) -> None:
        while not self._stop.wait(_TRY_EVERY / SECOND):
            for domain, address in self._cut_addresses().items():
                if can_connect(address, _TRY_TIMEOUT):
                    self._reached(domain)
