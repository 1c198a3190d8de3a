"""What a backend says of itself in the head of an answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """What a backend said of its load on an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class UnreadableField:
    """Something that a backend said of itself and that makes no sense."""

    #: What it would have told, by the name of the field of a notice.
    name: str
    #: The text as it came, cut short.
    text: str


@dataclass(frozen=True, slots=True)
class BackendNotice:
    """A backend's own word, of the run that answered and of the moment of its answer."""

    load: ReportedLoad | None = None
    #: Milliseconds for which it wants no request from the entry that it answered; 0 for none.
    backoff: int = 0
    #: Whether it is about to end.
    is_leaving: bool = False
    #: Requests a second that it takes from all entries together; ``None`` for no limit.
    rate_limit: float | None = None
    #: Whether its limit can be told from this at all: a head has come, and is readable.
    tells_limit: bool = False
    #: What cannot be read; it changes nothing.
    unreadable: tuple[UnreadableField, ...] = ()

    def __str__(self) -> str:
        """Return what it says beyond its load, for the log; empty for nothing."""
        parts = []
        if self.backoff:
            parts.append(f"backoff={self.backoff}ms")
        if self.is_leaving:
            parts.append("leaving")
        if self.rate_limit is not None:
            parts.append(f"limit={self.rate_limit:g}/s")
        parts += [f"unreadable {field.name}={field.text!r}" for field in self.unreadable]
        return " ".join(parts)


#: A head that says nothing of its backend.
NO_NOTICE = BackendNotice()
