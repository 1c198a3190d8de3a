"""What the callers of a platform send, as the product sees it."""

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
    #: Path and query as the caller wrote them.
    target: str
    #: Milliseconds that the caller waits; 0 when it did not say.
    patience: int
    #: API key; empty when there is none.
    api_key: str
    #: Id of the last event that the caller has of a stream; empty otherwise.
    resume_after: str
    #: Headers that go on to the backend.
    headers: tuple[tuple[str, str], ...]

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class MalformedRequest:
    """A request that cannot be understood."""

    detail: str
    request_id: str = ""


class CallerPort(ABC):
    """Decodes the head of a caller's request."""

    @abstractmethod
    def decode(
        self, method: str, target: str, headers: Mapping[str, str]
    ) -> CallerRequest | MalformedRequest:
        """Return the request; ``headers`` have lower-case names."""


#: Adapters by name.
CALLER_PORTS: Registry[type[CallerPort]] = Registry("caller adapter")
