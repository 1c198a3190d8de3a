"""Interface for decoding callers' requests."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from canvasyoke._registry import Registry


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request with the platform's headers decoded."""

    request_id: str
    method: str
    #: Host without a port.
    host: str
    #: Path and query as sent by the caller.
    target: str
    #: Timeout of the caller in milliseconds; 0 if not given.
    timeout: int
    #: API key; empty if there is none.
    api_key: str
    #: Id of the last event that the caller received of a stream; empty if it does not resume one.
    resume_after: str
    #: Ids of the segments of its prompt that other requests may contain too, in order. The last
    #: segment of a prompt belongs to the request itself and is not among them.
    shared_segments: tuple[str, ...]
    #: Headers that are forwarded to the backend.
    headers: tuple[tuple[str, str], ...]

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class MalformedRequest:
    """A request that cannot be decoded."""

    detail: str
    request_id: str = ""


class CallerPort(ABC):
    """Decodes the method, target and headers of a request."""

    @abstractmethod
    def decode(
        self, method: str, target: str, headers: Mapping[str, str]
    ) -> CallerRequest | MalformedRequest:
        """Decode a request; names in ``headers`` are lower-case."""


#: Adapters by name.
CALLER_PORTS: Registry[type[CallerPort]] = Registry("caller adapter")
