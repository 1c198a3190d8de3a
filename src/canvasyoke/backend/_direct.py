"""What an entry asks of a backend that it calls itself.

The port keeps three things apart that must never be mixed up: a request that certainly
did not run, one that may have run, and an answer.
"""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeAlias

from canvasyoke._registry import Registry
from canvasyoke.backend._notice import NO_NOTICE, BackendNotice
from canvasyoke.state import Endpoint
from canvasyoke.transport import ExchangeHandle


class NotRunCause(enum.StrEnum):
    """Why a backend certainly did not run a request."""

    UNREACHABLE = "unreachable"
    #: It was not sent after all, although a connection was made.
    WITHDRAWN = "withdrawn"
    #: All of its slots and its queue are taken, or its group stands still.
    FULL = "full"
    #: Another run has the address now.
    MOVED = "moved"
    #: It will not run the request as it is.
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run and never will."""

    cause: NotRunCause
    detail: str
    #: Id of the backend at fault where that is another than the one called.
    at_fault: str = ""
    #: What the backend said of itself with its refusal.
    notice: BackendNotice = NO_NOTICE

    @property
    def has_arrived(self) -> bool:
        """Tell whether the backend has had the request."""
        return self.cause not in (NotRunCause.UNREACHABLE, NotRunCause.WITHDRAWN)


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may have run, and there is no answer."""

    detail: str
    #: Whether the connection ended before a whole answer had come; not when time ran out
    #: or what came cannot be the answer.
    is_broken: bool = False
    #: What the backend said of itself in a head that came all the same.
    notice: BackendNotice = NO_NOTICE


@dataclass(frozen=True, slots=True)
class OutboundRequest:
    """A request as a backend gets it."""

    method: str
    #: Path and query as the caller wrote them.
    target: str
    #: The caller's headers that are passed on.
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    #: Milliseconds that the backend may take.
    time_left: int
    #: Name of the organisation; empty for a caller without a key.
    organisation: str
    #: 0 is the most urgent.
    priority: int
    #: Id of the last event that the caller has; empty for a whole answer.
    resume_after: str = ""


class BackendAnswer(ABC):
    """An answer whose head has come."""

    #: HTTP status.
    status: int
    #: Headers for the caller.
    headers: list[tuple[str, str]]
    #: What the backend said of itself.
    notice: BackendNotice = NO_NOTICE
    #: Whether its end is told by a length or a last chunk. The end of one without is that
    #: of its connection, as it is when the backend has ended.
    is_framed: bool

    @abstractmethod
    def pieces(self) -> Iterator[bytes]:
        """Yield the body; raises ``OSError`` if it turns out not to be whole."""

    @abstractmethod
    def wait_at_most(self, duration: int) -> None:
        """Let each further read take up to ``duration`` milliseconds."""

    @abstractmethod
    def close(self) -> None:
        """Give the rest up."""


Sending: TypeAlias = BackendAnswer | NotRun | MayHaveRun


class DirectBackendPort(ABC):
    """Sends requests to backends."""

    @abstractmethod
    def send(
        self,
        endpoint: Endpoint,
        request: OutboundRequest,
        connect_timeout: int,
        slot: ExchangeHandle,
    ) -> Sending:
        """Send ``request`` to ``endpoint`` and wait for the head of its answer."""

    @abstractmethod
    def pace_of(self, endpoint: Endpoint) -> float | None:
        """Return how many times as long as usual a backend takes; ``None`` if unknown."""

    @abstractmethod
    def group_of(self, endpoint: Endpoint) -> str | None:
        """Return the rank group of a backend, empty if it has none; ``None`` if unknown."""


#: Adapters by name.
DIRECT_BACKENDS: Registry[type[DirectBackendPort]] = Registry("direct backend adapter")
