"""Failure domains that an entry cannot reach, or that operators evacuate.

Every request sent to an unreachable domain waits for a connect timeout per backend. After
consecutive connect failures to several of its backends a domain is avoided as a whole, and a
background thread probes it until it is reachable again.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.transport import can_connect

#: Backends of a domain that must fail to connect before it is considered unreachable; a single
#: one may have crashed.
_MIN_FAILED_BACKENDS: Final = 2
#: Milliseconds between probes of unreachable domains, and timeout of one probe.
_PROBE_INTERVAL: Final = 300
_PROBE_TIMEOUT: Final = 150


@dataclass(slots=True)
class EvacuatedDomains:
    """Domains whose backends get no requests; not thread-safe, guarded by the roster's lock."""

    names: frozenset[str] = frozenset()


@dataclass(slots=True)
class DomainReachability:
    """Reachability of each domain; not thread-safe, guarded by the roster's lock."""

    #: Backends that failed to connect since the last success in the domain, by domain.
    _failed_backends: dict[str, set[str]] = field(default_factory=dict)

    def record_failure(self, domain: str, backend: str) -> bool:
        """Record a connect failure; return whether the domain became unreachable."""
        was_unreachable = self.is_unreachable(domain)
        self._failed_backends.setdefault(domain, set()).add(backend)
        return self.is_unreachable(domain) and not was_unreachable

    def record_success(self, domain: str) -> bool:
        """Record a connection; return whether the domain had been unreachable."""
        was_unreachable = self.is_unreachable(domain)
        self._failed_backends.pop(domain, None)
        return was_unreachable

    def is_unreachable(self, domain: str) -> bool:
        """Return whether the domain is unreachable."""
        return len(self._failed_backends.get(domain, ())) >= _MIN_FAILED_BACKENDS

    def unreachable(self) -> frozenset[str]:
        """Return the unreachable domains."""
        return frozenset(domain for domain in self._failed_backends if self.is_unreachable(domain))


class DomainProber:
    """Probes unreachable domains periodically."""

    def __init__(
        self, probe_addresses: Callable[[], dict[str, str]], on_reachable: Callable[[str], None]
    ) -> None:
        #: Returns an address to probe for each unreachable domain.
        self._probe_addresses = probe_addresses
        self._on_reachable = on_reachable
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="domains", daemon=True)

    def start(self) -> None:
        """Start the probing thread."""
        self._thread.start()

    def _run(self) -> None:
        while not self._stop.wait(_PROBE_INTERVAL / SECOND):
            for domain, address in self._probe_addresses().items():
                if can_connect(address, _PROBE_TIMEOUT):
                    self._on_reachable(domain)
