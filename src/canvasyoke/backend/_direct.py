"""Port through which an entry sends requests directly to backends.

Its results distinguish a request that certainly did not run, a request that may have run, and
an answer.
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
from canvasyoke.transport import ExchangeHandle, FailureCause


class NotRunCause(enum.StrEnum):
    """Why a request certainly did not run."""

    UNREACHABLE = "unreachable"
    #: A connection was made, but the request was not sent.
    WITHDRAWN = "withdrawn"
    #: All slots and the queue are full, or the rank group executes no steps.
    FULL = "full"
    #: Another run of a backend has the address now.
    MOVED = "moved"
    #: The backend rejects this request.
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and will not run later."""

    cause: NotRunCause
    detail: str
    #: Id of the failed backend if it is not the one that was called; otherwise empty.
    faulty_backend: str = ""
    #: Notice in the headers of the refusal.
    notice: BackendNotice = NO_NOTICE
    #: Whether nothing listened on the backend's port.
    is_port_closed: bool = False

    @property
    def was_received(self) -> bool:
        """Whether the backend received the request."""
        return self.cause not in (NotRunCause.UNREACHABLE, NotRunCause.WITHDRAWN)


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may have run, but there is no complete answer."""

    detail: str
    cause: FailureCause = FailureCause.MISMATCH
    #: Notice in the headers, if any were received.
    notice: BackendNotice = NO_NOTICE


@dataclass(frozen=True, slots=True)
class OutboundRequest:
    """A request to be sent to a backend."""

    method: str
    #: Path and query, unchanged from the caller's request.
    target: str
    #: Forwarded headers of the caller.
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    #: Milliseconds until the request's deadline.
    time_left: int
    #: Name of the organisation; empty for a caller without a key.
    organisation: str
    #: 0 is the most urgent.
    priority: int
    #: Id of the last event that the caller received; empty to start from the beginning.
    resume_after: str = ""


class BackendAnswer(ABC):
    """An answer whose status and headers have been received."""

    #: HTTP status code.
    status: int
    #: Headers to forward to the caller.
    headers: list[tuple[str, str]]
    #: Notice in the headers.
    notice: BackendNotice = NO_NOTICE
    #: Whether a content length or a last chunk marks the end of the body. Otherwise the end of
    #: the connection does, so that a truncated body cannot be recognised.
    is_framed: bool

    @abstractmethod
    def pieces(self) -> Iterator[bytes]:
        """Yield the body; raises ``OSError`` if it is incomplete."""

    @abstractmethod
    def wait_at_most(self, duration: int) -> None:
        """Limit the rest of the body to ``duration`` milliseconds."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection and discard the rest of the body."""


@dataclass(frozen=True, slots=True)
class GroupReport:
    """An engine's report of its rank group."""

    name: str
    #: Rises each time the group forms.
    epoch: int
    #: Whether the group executes steps; false while a rank is missing.
    is_open: bool


SendResult: TypeAlias = BackendAnswer | NotRun | MayHaveRun


class DirectBackendPort(ABC):
    """Sends requests to backends."""

    @abstractmethod
    def send(
        self,
        endpoint: Endpoint,
        request: OutboundRequest,
        connect_timeout: int,
        slot: ExchangeHandle,
    ) -> SendResult:
        """Send ``request`` to ``endpoint`` and wait for the headers of its answer."""

    @abstractmethod
    def slowdown_of(self, endpoint: Endpoint) -> float | None:
        """Return a backend's processing time relative to the usual one; ``None`` if unknown."""

    @abstractmethod
    def group_of(self, endpoint: Endpoint) -> str | None:
        """Return the rank group of a backend; empty if it has none, ``None`` if unknown."""

    @abstractmethod
    def group_report(self, endpoint: Endpoint) -> GroupReport | None:
        """Return a backend's report of its rank group; ``None`` without one or an answer."""


#: Adapters by name.
DIRECT_BACKENDS: Registry[type[DirectBackendPort]] = Registry("direct backend adapter")
