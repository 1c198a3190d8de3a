"""Input and results of backend selection."""

from __future__ import annotations

from dataclasses import dataclass

from canvasyoke.admission import PendingRequest, ServiceRoom
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
    #: Whether only a backend with a free slot is acceptable.
    needs_free_slot: bool = False
    #: Free places that are left to more urgent requests at other entries.
    reserved: int = 0
    #: Clock time at which the group of the service last opened; 0 if it was not seen closed.
    opened_at: int = 0


@dataclass(frozen=True, slots=True)
class PlaceForecast:
    """Why a request got no place: its position in the order, and the forecast."""

    request: PendingRequest
    room: ServiceRoom
    #: Number of places that others are expected to get first.
    ahead: int
    #: Forecast milliseconds until the request would get a place; ``None`` if unknown.
    wait: int | None
    #: Milliseconds after which the planner tells the caller to return; 0 if it names no time.
    return_after: int = 0

    def __str__(self) -> str:
        """Return the position and the forecast, for the log and the caller."""
        wait = "no place is foreseen" if self.wait is None else f"a place in {self.wait} ms"
        return f"{self.ahead} ahead, {wait}"


@dataclass(frozen=True, slots=True)
class NoneAvailable:
    """No backend can take the request."""

    reason: Reason
    #: Milliseconds until a backend is available again; 0 if unknown.
    wait: int = 0
    #: Set if the request asked for a place of a service at which requests wait.
    forecast: PlaceForecast | None = None

    def __str__(self) -> str:
        """Return the reason, for the log and the caller."""
        text = f"{self.reason} for {self.wait} ms more" if self.wait else str(self.reason)
        return f"{text} ({self.forecast})" if self.forecast else text
