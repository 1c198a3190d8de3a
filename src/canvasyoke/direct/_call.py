"""One admitted request while it is being answered, and the pieces of its answer."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

from canvasyoke.backend import NO_NOTICE, BackendNotice
from canvasyoke.direct._choice import Chosen
from canvasyoke.direct._fingerprint import fingerprint
from canvasyoke.state import TableRoute, format_position
from canvasyoke.transport import ExchangeSlot


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of a backend's answer."""

    status: int
    headers: list[tuple[str, str]]
    #: Bytes of the body where they are known from the start.
    length: int | None


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The answer is whole."""


@dataclass(frozen=True, slots=True)
class GaveUp:
    """The request gets an answer of the entry's own."""

    status: int
    detail: str
    #: Milliseconds after which the caller may come back; only where nothing has run.
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class BrokeOff:
    """An answer of which a part was delivered cannot be completed."""

    detail: str


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller closed its connection; there is nobody to tell."""


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A backend's own failure, passed on if nothing better comes of another attempt."""

    head: AnswerHead
    body: bytes


Piece: TypeAlias = AnswerHead | bytes | AnswerEnd | GaveUp | BrokeOff | CallerLeft


@dataclass(frozen=True, slots=True)
class Tried:
    """One attempt, for the log."""

    chosen: Chosen
    #: What became of it.
    outcome: str
    #: Milliseconds that it took.
    took: int
    #: What the backend said of itself.
    notice: BackendNotice = NO_NOTICE

    @property
    def run(self) -> str:
        """Return the run of the backend."""
        return self.chosen.endpoint.run

    def __str__(self) -> str:
        """Return what the line of its request says of it."""
        chosen = self.chosen
        return (
            f"{self.run} load={chosen.load} revision={format_position(chosen.endpoint.position)} "
            f"heard={chosen.update_age}ms list={chosen.list_age}ms {self.took}ms {self.outcome}"
            f"{f' ({self.notice})' if str(self.notice) else ''}"
        )


class Lateness(enum.StrEnum):
    """Why a whole answer was late, by the route's own limits.

    Nothing tells an entry that a caller was turned away elsewhere before: callers of one
    route bring different times, and tries have ids of their own. Taken for returned by the
    time they brought, half of those were that had never been refused.
    """

    ON_TIME = ""
    #: Its first piece came after the objective.
    FIRST = "first piece"
    #: A pause between two events was too long.
    PAUSE = "pause"


@dataclass(slots=True)
class DirectCall:
    """A request that was admitted."""

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    route: TableRoute
    service: str
    organisation: str
    priority: int
    #: Version of the configuration that admitted it.
    table_version: int
    #: Time on the clock at which it came, and at which no answer is wanted any more.
    began: int
    deadline: int
    #: Tells whether the caller has gone.
    gone: Callable[[], bool]
    #: Id of the last event that the caller has.
    last_event: str = ""
    #: Whether any of the answer's body has been delivered, and with which status.
    delivered: bool = False
    #: What a backend answered that had failed, while another one is tried.
    kept: KeptAnswer | None = None
    #: Whether an attempt may have run.
    may_have_run: bool = False
    #: Whether the retry that follows has been taken from the budget already.
    retry_paid: bool = False
    tried: list[Tried] = field(default_factory=list)
    #: Runs of the backends that the request was sent to.
    sent_to: set[str] = field(default_factory=set)
    #: Time on the clock of the first piece of the answer and of the last; 0 before them.
    first_piece_at: int = 0
    last_piece_at: int = 0
    #: Longest time between two pieces, in milliseconds.
    longest_gap: int = 0
    #: The exchange under way; lets the watch over callers end it.
    slot: ExchangeSlot | None = None
    #: Run of the backend that the exchange is with, and when it began.
    backend: str = ""
    sent_at: int = 0
    #: Whether the exchange has brought anything.
    has_begun: bool = False
    #: Whether the exchange was ended because the backend says nothing.
    is_unanswered: bool = False
    #: Whether it was ended because the backend is too slow.
    is_moved: bool = False
    #: Digest of what it asks for; empty until it was asked for.
    _fingerprint: str = ""

    @property
    def tried_runs(self) -> frozenset[str]:
        """Return the runs of backends that were tried."""
        return frozenset(tried.run for tried in self.tried)

    @property
    def fingerprint(self) -> str:
        """Return what it has in common with others that a backend cannot tell from it."""
        if not self._fingerprint:
            self._fingerprint = fingerprint(self.method, self.target, self.organisation, self.body)
        return self._fingerprint

    @property
    def lateness(self) -> Lateness:
        """Tell whether an answer that is whole now was late, and why."""
        route = self.route
        counted_to = self.first_piece_at if route.is_stream else self.last_piece_at
        if route.objective and counted_to - self.began > route.objective:
            return Lateness.FIRST
        if route.longest_pause and self.longest_gap > route.longest_pause:
            return Lateness.PAUSE
        return Lateness.ON_TIME
