"""Records of requests at fake engines, and checks that entries respect the engines' notices.

A sender is an entry, named by callers in ``SENDER_HEADER``.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

#: Request header that names the entry a request goes through.
SENDER_HEADER = "X-Entry"
#: Seconds after a notice within which requests may still be in flight.
IN_FLIGHT_GRACE = 0.5
#: Requests that an engine may still get from a sender during a backoff period.
MAX_DURING_BACKOFF = 2
#: Seconds after a leaving notice from which a sender must send no more requests.
DRAIN_TIME = 2.0


@dataclass(frozen=True)
class EngineNotice:
    """Notice headers that an engine adds to its responses; empty values are omitted."""

    #: Backoff in seconds, sent with refusals only.
    backoff: str = ""
    leaving: str = ""
    limit: str = ""

    def headers(self, is_refusal: bool) -> dict[str, str]:
        """Return the headers for a response."""
        headers = {"Server-Leaving": self.leaving, "Server-Limit": self.limit}
        if is_refusal:
            headers["Retry-After"] = self.backoff
        return {name: value for name, value in headers.items() if value}


@dataclass(frozen=True)
class Exchange:
    """A request at an engine and its response."""

    sender: str
    #: Monotonic times of the arrival and of the response head, in seconds.
    at: float
    answered_at: float
    status: int
    notice: EngineNotice

    @property
    def backoff(self) -> float:
        """Return the requested backoff in seconds; 0 for none."""
        return float(self.notice.backoff) if self.status == 503 and self.notice.backoff else 0.0


def backoff_violations(ledger: Iterable[Exchange]) -> list[str]:
    """Describe each backoff period in which a sender exceeded ``MAX_DURING_BACKOFF``."""
    return [
        f"{refusal.sender}: {count} in {refusal.backoff} s after {refusal.answered_at:.3f}"
        for refusal, count in _backoffs(list(ledger))
        if count > MAX_DURING_BACKOFF
    ]


def _backoffs(ledger: list[Exchange]) -> Iterator[tuple[Exchange, int]]:
    for refusal in ledger:
        if refusal.backoff:
            begin, end = (
                refusal.answered_at + IN_FLIGHT_GRACE,
                refusal.answered_at + refusal.backoff,
            )
            arrivals = [e for e in ledger if e.sender == refusal.sender and begin < e.at < end]
            yield refusal, len(arrivals)


#: Sliding window in seconds for checking a rate limit, the tolerated multiple of the limit,
#: and the additional number of requests tolerated.
LIMIT_WINDOW = 4.0
LIMIT_BURST_FACTOR = 1.5
LIMIT_SLACK = 5
#: Seconds after the first limit notice from which the limit is checked.
LIMIT_SETTLE_TIME = 3.0


def peak_limit_ratio(ledger: Iterable[Exchange]) -> float:
    """Return the peak number of requests in a window relative to the limit; 0 without a limit.

    Only requests from senders that knew the limit are counted. All limit notices in a ledger
    must have the same value.
    """
    notified_at: dict[str, float] = {}
    arrivals: list[float] = []
    limit = 0.0
    checked_from = 0.0
    for exchange in sorted(ledger, key=lambda e: e.at):
        if exchange.notice.limit and not limit:
            limit = float(exchange.notice.limit)
            checked_from = exchange.answered_at + LIMIT_SETTLE_TIME
        is_notified = (
            exchange.at >= notified_at.get(exchange.sender, float("inf")) + IN_FLIGHT_GRACE
        )
        if limit and is_notified and exchange.at >= checked_from:
            arrivals.append(exchange.at)
        if exchange.notice.limit and exchange.status != 503:
            notified_at.setdefault(exchange.sender, exchange.answered_at)
    if not limit:
        return 0.0
    allowed = LIMIT_BURST_FACTOR * LIMIT_WINDOW * limit + LIMIT_SLACK
    return _most_within(arrivals, LIMIT_WINDOW) / allowed


def _most_within(times: list[float], window: float) -> int:
    most = begin = 0
    for end, at in enumerate(times):
        while at - times[begin] > window:
            begin += 1
        most = max(most, end - begin + 1)
    return most


def requests_after_drain(ledger: Iterable[Exchange]) -> list[str]:
    """Describe requests sent more than ``DRAIN_TIME`` after the sender knew of the leaving."""
    notified_at: dict[str, float] = {}
    late = []
    for exchange in sorted(ledger, key=lambda e: e.at):
        since = exchange.at - notified_at.get(exchange.sender, exchange.at)
        if since > DRAIN_TIME:
            late.append(f"from {exchange.sender}, {since:.3f} s after it knew")
        if exchange.notice.leaving == "1" and exchange.status != 503:
            notified_at.setdefault(exchange.sender, exchange.answered_at)
    return late
