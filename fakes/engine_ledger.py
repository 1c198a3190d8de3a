"""Who sent an engine what and when, what it said, and whether its word was kept.

The judges are an operator's rules, counted from what engines see; a sender is whatever the
test tells engines in a header of its own.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

#: Header in which a test's callers name the entry that they go through.
SENDER_HEADER = "X-Entry"
#: Seconds after an engine's word within which requests may still come: they are under way.
GRACE = 0.5
#: Requests that may reach an engine that has asked a sender to back off, until the time is over.
GRANTED = 2
#: Seconds after which nothing may come any more from a sender that has passed on that an
#: engine leaves.
DRAIN_TIME = 2.0


@dataclass(frozen=True)
class EngineWord:
    """Headers that an engine adds to its answers; empty for none."""

    #: Seconds for which it wants nothing, in refusals.
    backoff: str = ""
    leaving: str = ""
    limit: str = ""

    def headers(self, is_refusal: bool) -> dict[str, str]:
        """Return the headers of an answer."""
        named = {"Server-Leaving": self.leaving, "Server-Limit": self.limit}
        if is_refusal:
            named["Retry-After"] = self.backoff
        return {name: value for name, value in named.items() if value}


@dataclass(frozen=True)
class Exchanged:
    """A request at an engine and its answer."""

    sender: str
    #: Seconds on a steady clock of its arrival and of the answer's head.
    at: float
    answered_at: float
    status: int
    word: EngineWord

    @property
    def backoff(self) -> float:
        """Return the seconds for which the sender was to back off; 0 for none."""
        return float(self.word.backoff) if self.status == 503 and self.word.backoff else 0.0


def broken_backoffs(ledger: Iterable[Exchanged]) -> list[str]:
    """Return the times for which a sender was to back off and sent more than was granted."""
    return [
        f"{asked.sender}: {count} in {asked.backoff} s after {asked.answered_at:.3f}"
        for asked, count in _backoffs(list(ledger))
        if count > GRANTED
    ]


def _backoffs(ledger: list[Exchanged]) -> Iterator[tuple[Exchanged, int]]:
    for asked in ledger:
        if asked.backoff:
            begin, end = asked.answered_at + GRACE, asked.answered_at + asked.backoff
            came = [e for e in ledger if e.sender == asked.sender and begin < e.at < end]
            yield asked, len(came)


#: Seconds of the window in which requests are held against a limit, how many times what it
#: allows may come in it, and how many more.
LIMIT_WINDOW = 4.0
LIMIT_TIMES = 1.5
LIMIT_SLACK = 5
#: Seconds from an engine's first word of a limit on after which it is judged.
CONTACT_TIME = 3.0


def worst_limit(ledger: Iterable[Exchanged]) -> float:
    """Return the most that came in a window as a part of what the limit grants; 0 without one.

    Requests count whose sender had passed on an answer that names the limit by half a second
    before. All answers of the ledger that name one name the same.
    """
    known: dict[str, float] = {}
    counted: list[float] = []
    limit = 0.0
    judged_from = 0.0
    for exchanged in sorted(ledger, key=lambda e: e.at):
        if exchanged.word.limit and not limit:
            limit = float(exchanged.word.limit)
            judged_from = exchanged.answered_at + CONTACT_TIME
        is_known = exchanged.at >= known.get(exchanged.sender, float("inf")) + GRACE
        if limit and is_known and exchanged.at >= judged_from:
            counted.append(exchanged.at)
        if exchanged.word.limit and exchanged.status != 503:
            known.setdefault(exchanged.sender, exchanged.answered_at)
    if not limit:
        return 0.0
    granted = LIMIT_TIMES * LIMIT_WINDOW * limit + LIMIT_SLACK
    return _most_within(counted, LIMIT_WINDOW) / granted


def _most_within(times: list[float], window: float) -> int:
    most = begin = 0
    for end, at in enumerate(times):
        while at - times[begin] > window:
            begin += 1
        most = max(most, end - begin + 1)
    return most


def late_arrivals(ledger: Iterable[Exchanged]) -> list[str]:
    """Return what came from senders that had long passed on that the engine leaves."""
    told: dict[str, float] = {}
    late = []
    for exchanged in sorted(ledger, key=lambda e: e.at):
        since = exchanged.at - told.get(exchanged.sender, exchanged.at)
        if since > DRAIN_TIME:
            late.append(f"from {exchanged.sender}, {since:.3f} s after it knew")
        if exchanged.word.leaving == "1" and exchanged.status != 503:
            told.setdefault(exchanged.sender, exchanged.answered_at)
    return late
