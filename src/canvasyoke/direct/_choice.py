"""Input and results of backend selection."""

from __future__ import annotations

from dataclasses import dataclass

from canvasyoke.direct._admission import NO_LIMIT
from canvasyoke.protocol import Reason
from canvasyoke.state import Endpoint


@dataclass(frozen=True, slots=True)
class Chosen:
    """The backend selected for a request."""

    endpoint: Endpoint
    #: Estimated load of the backend, for the log.
    load: int
    #: Milliseconds since the backend's record was last updated, and since the list of
    #: backends was last confirmed to match the store.
    update_age: int = 0
    list_age: int = 0


@dataclass(frozen=True, slots=True)
class BackendQuery:
    """Requirements that a request has for its backend."""

    service: str
    #: Backends that the request was already sent to.
    tried: frozenset[str] = frozenset()
    #: Longest acceptable wait for a slot, in milliseconds.
    max_wait: int = NO_LIMIT


@dataclass(frozen=True, slots=True)
class NoneAvailable:
    """No backend can take the request."""

    reason: Reason
    #: Milliseconds until a backend is available again; 0 if unknown.
    wait: int = 0

    def __str__(self) -> str:
        """Return the reason, for the log and the caller."""
        return f"{self.reason} for {self.wait} ms more" if self.wait else str(self.reason)
