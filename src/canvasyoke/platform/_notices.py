"""Reads what an engine says of itself, from the headers of any of its answers."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from typing import Final, TypeVar

from canvasyoke._clock import SECOND
from canvasyoke.backend import BackendNotice, ReportedLoad, UnreadableField

#: Running, waiting and slots, joined by commas.
LOAD_HEADER: Final = "Server-Load"
#: Seconds for which the engine wants nothing from the machine that it answers.
_BACKOFF_HEADER: Final = "Retry-After"
#: ``1`` while the engine is about to end.
LEAVING_HEADER: Final = "Server-Leaving"
#: Requests a second that the engine takes from all machines together.
LIMIT_HEADER: Final = "Server-Limit"
#: Statuses with which an engine turns a request away; on others the time that it names
#: is meant for the caller.
_TURNED_AWAY: Final = frozenset({429, 503})
#: A decimal number as the platform writes it: no sign, no exponent, no date.
_DECIMAL: Final = re.compile(r"\d+(\.\d+)?", re.ASCII)
#: Characters of an unreadable text that are kept for the log.
_TEXT_LIMIT: Final = 40

T = TypeVar("T")


def read_notice(header: Callable[[str], str | None], status: int) -> BackendNotice:
    """Return the notice in an answer's head; ``header`` gives the text of a header."""
    fields = _Fields(header)
    load = fields.read("load", LOAD_HEADER, _load)
    leaving = fields.read("is_leaving", LEAVING_HEADER, _flag)
    limit = fields.read("rate_limit", LIMIT_HEADER, _decimal)
    backoff = fields.read("backoff", _BACKOFF_HEADER, _decimal) if status in _TURNED_AWAY else None
    return BackendNotice(
        load=load,
        backoff=round((backoff or 0) * SECOND),
        is_leaving=bool(leaving),
        rate_limit=limit,
        tells_limit=all(field.name != "rate_limit" for field in fields.unreadable),
        unreadable=tuple(fields.unreadable),
    )


class _Fields:
    """Reads one header after the other and keeps those that make no sense."""

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
            self.unreadable.append(UnreadableField(name, text[:_TEXT_LIMIT]))
            return None


def _load(text: str) -> ReportedLoad:
    running, waiting, slots = (int(part) for part in text.split(","))
    return ReportedLoad(running, waiting, slots)


def _flag(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError(text)
    return text == "1"


def _decimal(text: str) -> float:
    if not _DECIMAL.fullmatch(text):
        raise ValueError(text)
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(text)
    return number
