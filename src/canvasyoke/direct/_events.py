"""Cutting a stream of events into whole events, and reading their ids."""

from __future__ import annotations

from typing import Final

_END: Final = b"\n\n"
_ID: Final = b"id:"


class EventCutter:
    """Collects bytes of a stream and gives out whole events."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that ``data`` completes."""
        *events, self._rest = (self._rest + data).split(_END)
        return [event + _END for event in events]

    @property
    def has_rest(self) -> bool:
        """Tell whether part of an event is still waiting for its end."""
        return bool(self._rest.strip())


def event_id(event: bytes) -> str:
    """Return the id of an event; empty when it has none."""
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("latin-1")
    return ""


def is_after(new: str, last: str) -> bool:
    """Tell whether the event ``new`` comes after ``last`` in its stream."""
    if not new or not last:
        return True
    if new.isdigit() and last.isdigit():
        return int(new) > int(last)
    return new != last
