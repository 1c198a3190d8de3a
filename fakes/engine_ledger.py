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
#: Requests that may reach a resting engine from one sender within one rest.
GRANTED = 2
#: Seconds after which nothing may come any more from a sender that has passed on that an
#: engine leaves.
DRAIN_TIME = 2.0


@dataclass(frozen=True)
class EngineWord:
    """Headers that an engine adds to its answers; empty for none."""

    #: Seconds for which it wants nothing, in refusals.
    rest: str = ""
    leaving: str = ""
    limit: str = ""

    def headers(self, is_refusal: bool) -> dict[str, str]:
        """Return the headers of an answer."""
        named = {"Server-Leaving": self.leaving, "Server-Limit": self.limit}
        if is_refusal:
            named["Retry-After"] = self.rest
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
    def rest(self) -> float:
        """Return the seconds of rest that were asked for; 0 for none."""
        return float(self.word.rest) if self.status == 503 and self.word.rest else 0.0


def broken_rests(ledger: Iterable[Exchanged]) -> list[str]:
    """Return the rests within which a sender sent more than was granted."""
    return [
        f"asked {asked.sender} for {asked.rest} s of rest at {asked.answered_at:.3f}, got {count}"
        for asked, count in _rests(list(ledger))
        if count > GRANTED
    ]


def _rests(ledger: list[Exchanged]) -> Iterator[tuple[Exchanged, int]]:
    for asked in ledger:
        if asked.rest:
            begin, end = asked.answered_at + GRACE, asked.answered_at + asked.rest
            came = [e for e in ledger if e.sender == asked.sender and begin < e.at < end]
            yield asked, len(came)


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
