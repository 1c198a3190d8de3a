"""Decodes the notice that an engine sends in the headers of its responses."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Final, TypeVar

from canvasyoke._clock import SECOND
from canvasyoke.backend import BackendNotice, ReportedLoad, UnreadableField
from canvasyoke.platform._bounds import MAX_SLOTS

#: Running requests, waiting requests and slots, separated by commas.
LOAD_HEADER: Final = "Server-Load"
#: Seconds for which the engine asks the machine that it answers to send no requests.
_BACKOFF_HEADER: Final = "Retry-After"
#: ``1`` if the engine is about to shut down, otherwise ``0``.
LEAVING_HEADER: Final = "Server-Leaving"
#: Requests per second that the engine accepts from all machines together.
LIMIT_HEADER: Final = "Server-Limit"
#: Statuses with which an engine refuses a request. With any other status the backoff is meant
#: for the caller.
_REFUSAL_STATUSES: Final = frozenset({429, 503})
#: Decimal number without sign or exponent, as the platform defines it.
_DECIMAL: Final = re.compile(r"\d+(\.\d+)?", re.ASCII)
#: Largest value that is accepted: a rate, or a time of 11 days in seconds.
_MAX_DECIMAL: Final = 1e6
#: Maximum number of characters of an invalid value that are logged.
_MAX_LOGGED_TEXT: Final = 40

T = TypeVar("T")


def read_notice(header: Callable[[str], str | None], status: int) -> BackendNotice:
    """Return the notice in a response; ``header`` returns the value of a header."""
    reader = _HeaderReader(header)
    load = reader.read("load", LOAD_HEADER, _parse_load)
    leaving = reader.read("is_leaving", LEAVING_HEADER, _parse_flag)
    limit = reader.read("rate_limit", LIMIT_HEADER, _parse_decimal)
    backoff = (
        reader.read("backoff", _BACKOFF_HEADER, _parse_decimal)
        if status in _REFUSAL_STATUSES
        else None
    )
    return BackendNotice(
        load=load,
        backoff=round((backoff or 0) * SECOND),
        is_leaving=bool(leaving),
        rate_limit=limit,
        is_limit_known=all(field.name != "rate_limit" for field in reader.unreadable),
        unreadable=tuple(reader.unreadable),
    )


class _HeaderReader:
    """Parses headers and collects those with an invalid value."""

    def __init__(self, header: Callable[[str], str | None]) -> None:
        self._header = header
        self.unreadable: list[UnreadableField] = []

    def read(self, name: str, header: str, parse: Callable[[str], T]) -> T | None:
        text = self._header(header)
        if text is None:
            return None
        try:
            return parse(text.strip())
        except ValueError:
            self.unreadable.append(UnreadableField(name, text[:_MAX_LOGGED_TEXT]))
            return None


def _parse_load(text: str) -> ReportedLoad:
    running, waiting, slots = (int(part) for part in text.split(","))
    if not all(0 <= number <= MAX_SLOTS for number in (running, waiting, slots)):
        raise ValueError(text)
    return ReportedLoad(running, waiting, slots)


def _parse_flag(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError(text)
    return text == "1"


def _parse_decimal(text: str) -> float:
    if not _DECIMAL.fullmatch(text):
        raise ValueError(text)
    number = float(text)
    if number > _MAX_DECIMAL:
        raise ValueError(text)
    return number
