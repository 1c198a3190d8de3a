"""What a request asks of the backends, and what it gets."""

from __future__ import annotations

from dataclasses import dataclass

from canvasyoke.direct._admission import NO_LIMIT
from canvasyoke.protocol import Reason
from canvasyoke.state import Endpoint


@dataclass(frozen=True, slots=True)
class Chosen:
    """A backend to send a request to."""

    endpoint: Endpoint
    #: Requests it was thought to have, for the log.
    load: int
    #: Milliseconds since the newest word of it came, and since anybody told that the list
    #: of backends was in step with the store.
    heard_ago: int = 0
    list_age: int = 0


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a request needs of a backend."""

    service: str
    #: Backends that have been tried.
    tried: frozenset[str] = frozenset()
    #: Longest wait for a slot, in milliseconds, that makes sense.
    patience: int = NO_LIMIT


@dataclass(frozen=True, slots=True)
class NoneAble:
    """No backend may take a request."""

    reason: Reason
    #: Milliseconds until one takes requests again, where all that are left have said when.
    wait: int = 0

    def __str__(self) -> str:
        """Return what decided, for the log and the caller."""
        return f"{self.reason} for {self.wait} ms more" if self.wait else str(self.reason)
