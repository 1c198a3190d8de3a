"""Parsing of server-sent events."""

from __future__ import annotations

from typing import Final

_EVENT_END: Final = b"\n\n"
_ID_FIELD: Final = b"id:"


class EventSplitter:
    """Splits a byte stream into complete events."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that ``data`` completes."""
        *events, self._buffer = (self._buffer + data).split(_EVENT_END)
        return [event + _EVENT_END for event in events]

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._buffer.strip())


def event_id(event: bytes) -> str:
    """Return the id of an event; empty if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return ""


def is_after(new: str, last: str) -> bool:
    """Return whether event id ``new`` follows ``last`` in a stream."""
    if not new or not last:
        return True
    if new.isdigit() and last.isdigit():
        return int(new) > int(last)
    return new != last
