"""Parsing of server-sent events."""

from __future__ import annotations

from typing import Final

_EVENT_END: Final = b"\n\n"
#: Largest event that is collected before it is delivered.
_MAX_EVENT_BYTES: Final = 1 << 20
_ID_FIELD: Final = b"id:"


class EventSplitter:
    """Splits a byte stream into complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that ``data`` completes."""
        events: list[bytes] = []
        begin = 0
        # Only an end that begins with the last byte received before can be within it.
        searched = max(0, len(self._buffer) - len(_EVENT_END) + 1)
        self._buffer += data
        while (end := self._buffer.find(_EVENT_END, searched)) >= 0:
            searched = end + len(_EVENT_END)
            events.append(bytes(self._buffer[begin:searched]))
            begin = searched
        del self._buffer[:begin]
        return events

    @property
    def is_event_too_large(self) -> bool:
        """Return whether the incomplete event in the buffer exceeds the limit."""
        return len(self._buffer) > _MAX_EVENT_BYTES

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
