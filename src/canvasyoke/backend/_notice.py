"""Notice about its own state that a backend sends in the headers of an answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that a backend reports with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class UnreadableField:
    """A field of a notice whose value is invalid."""

    #: Name of the field in ``BackendNotice``.
    name: str
    #: The received text, truncated.
    text: str


@dataclass(frozen=True, slots=True)
class BackendNotice:
    """State of the run that answered, at the time of its answer."""

    load: ReportedLoad | None = None
    #: Milliseconds for which the entry that it answered should send no requests; 0 for none.
    backoff: int = 0
    #: Whether the backend is about to shut down.
    is_leaving: bool = False
    #: Requests per second accepted from all entries together; ``None`` for no limit.
    rate_limit: float | None = None
    #: Whether ``rate_limit`` is valid: headers were received and contain no invalid limit.
    is_limit_known: bool = False
    #: Fields with an invalid value; they keep their defaults.
    unreadable: tuple[UnreadableField, ...] = ()

    def __str__(self) -> str:
        """Return all fields but the load for the log; empty if none is set."""
        parts = []
        if self.backoff:
            parts.append(f"backoff={self.backoff}ms")
        if self.is_leaving:
            parts.append("leaving")
        if self.rate_limit is not None:
            parts.append(f"limit={self.rate_limit:g}/s")
        parts += [f"unreadable {field.name}={field.text!r}" for field in self.unreadable]
        return " ".join(parts)


#: Notice without any information about the backend.
NO_NOTICE = BackendNotice()
