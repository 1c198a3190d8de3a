"""State of an admitted request, and the parts of its response."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from canvasyoke.backend import NO_NOTICE, BackendNotice
from canvasyoke.crashes import BrokenExchange, RequestIdentity, own_traits, shared_traits
from canvasyoke.direct._choice import Chosen
from canvasyoke.state import Endpoint, TableRoute, format_position
from canvasyoke.transport import ExchangeHandle

#: Shortest time in milliseconds that a caller waits for the next event of a stream, and how many
#: objectives and longest pauses it waits if either is longer.
_MIN_PATIENCE: Final = 2_000
_PATIENCE_OBJECTIVES: Final = 4
_PATIENCE_PAUSES: Final = 8
#: Milliseconds from the first event of a response in which its backend still begins to write it.
#: Covers a few steps of the backend, and the time until the loss of the connection is noticed.
BEGIN_TIME: Final = 300


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of a backend's response."""

    status: int
    headers: list[tuple[str, str]]
    #: Length of the body in bytes, or ``None`` for a stream.
    length: int | None


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The response is complete."""


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """The entry answers the request itself, with an error."""

    status: int
    detail: str
    #: Value of ``Retry-After`` in milliseconds; set only if the request did not run.
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class IncompleteAnswer:
    """A partly delivered response cannot be completed."""

    detail: str


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection."""


@dataclass(frozen=True, slots=True)
class SavedFailure:
    """An error response of a backend, sent to the caller if no retry succeeds."""

    head: AnswerHead
    body: bytes


AnswerPart: TypeAlias = (
    AnswerHead | bytes | AnswerEnd | ErrorAnswer | IncompleteAnswer | CallerDisconnected
)


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to send a request to a backend, as it is logged."""

    chosen: Chosen
    outcome: str
    #: Duration in milliseconds.
    duration: int
    #: Load and availability that the backend reported with its response.
    notice: BackendNotice = NO_NOTICE

    @property
    def run(self) -> str:
        """Return the run id of the backend."""
        return self.chosen.endpoint.run

    def __str__(self) -> str:
        """Return the attempt as it appears in the log line of its request."""
        chosen = self.chosen
        return (
            f"{self.run} load={chosen.load} revision={format_position(chosen.endpoint.position)} "
            f"heard={chosen.update_age}ms list={chosen.list_age}ms {self.duration}ms {self.outcome}"
            f"{f' ({self.notice})' if str(self.notice) else ''}"
        )


class CloseCause(enum.StrEnum):
    """Why an entry closed an exchange before its answer was complete."""

    CALLER_LEFT = "caller left"
    QUARANTINED = "quarantined"
    UNRESPONSIVE = "unresponsive"


class Lateness(enum.StrEnum):
    """Why a complete response was late, by the limits of its route.

    Lateness is measured from the arrival of the request at this entry. Earlier attempts of the
    caller at other entries are not known.
    """

    ON_TIME = ""
    #: The first chunk arrived after the objective.
    FIRST = "first piece"
    #: The time between two events exceeded the limit.
    PAUSE = "pause"


@dataclass(slots=True)
class DirectCall:
    """An admitted request and the state of its current exchange."""

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    route: TableRoute
    service: str
    organisation: str
    priority: int
    #: Version of the routing configuration in use when the request was admitted.
    table_version: int
    #: Clock times of arrival and of the deadline.
    arrived_at: int
    deadline: int
    #: Returns whether the caller has disconnected.
    is_disconnected: Callable[[], bool]
    #: Id of the last event that the caller received.
    last_event: str = ""
    #: Ids of the segments of its prompt that other requests may contain too.
    shared_segments: tuple[str, ...] = ()
    #: Whether any part of the response body has been delivered.
    delivered: bool = False
    #: Error response of a backend, kept while another one is tried.
    saved_failure: SavedFailure | None = None
    #: Whether a backend may have run the request.
    may_have_run: bool = False
    #: Whether the next retry has already been charged to the budget.
    retry_charged: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    #: Run ids of the backends that received the request.
    sent_to: set[str] = field(default_factory=set)
    #: Clock times of the first and the last chunk of the response; 0 before them.
    first_chunk_at: int = 0
    last_chunk_at: int = 0
    #: Longest time between two chunks, in milliseconds.
    longest_gap: int = 0
    #: The current exchange; the monitor thread may close it.
    slot: ExchangeHandle | None = None
    #: Run id of the backend of the current exchange, and when the exchange began.
    backend: str = ""
    sent_at: int = 0
    #: Whether the backend of the current exchange has sent a response head, and the clock time of
    #: its first event; 0 before it.
    has_head: bool = False
    begun_at: int = 0
    #: Whether events of the current exchange have come for longer than ``BEGIN_TIME``.
    is_established: bool = False
    #: Cached traits; empty until first used.
    _own_traits: tuple[str, ...] = ()

    @property
    def has_begun(self) -> bool:
        """Return whether the current exchange has delivered an event."""
        return self.begun_at > 0

    @property
    def attempted_runs(self) -> frozenset[str]:
        """Return the run ids of the backends that were tried."""
        return frozenset(attempt.run for attempt in self.attempts)

    @property
    def traits(self) -> tuple[str, ...]:
        """Return the names of the traits by which crashes of backends are attributed."""
        return self.own_traits + self.shared_traits

    @property
    def own_traits(self) -> tuple[str, ...]:
        """Return the traits that only repetitions of this request have."""
        if not self._own_traits:
            self._own_traits = own_traits(self._identity)
        return self._own_traits

    @property
    def shared_traits(self) -> tuple[str, ...]:
        """Return the traits that different requests have too."""
        return shared_traits(self._identity)

    @property
    def _identity(self) -> RequestIdentity:
        return RequestIdentity(
            self.method, self.target, self.organisation, self.body, self.shared_segments
        )

    def broken_exchange(self, endpoint: Endpoint, detail: str, now: int) -> BrokenExchange:
        """Return the current exchange after its connection was lost.

        A shared trait crashes a backend as it begins its response, so that those of a response that
        had been going on for some time are not among the suspects.
        """
        begun_before = now - self.begun_at if self.has_begun else None
        return BrokenExchange(
            request_id=self.request_id,
            endpoint=endpoint,
            traits=self.own_traits if self.is_established else self.traits,
            detail=detail,
            has_head=self.has_head,
            begun_before=begun_before,
            segments=self.shared_segments,
        )

    @property
    def patience_until(self) -> int:
        """Return the clock time at which the caller gives up without a further event."""
        route = self.route
        patience = max(
            _MIN_PATIENCE,
            _PATIENCE_OBJECTIVES * route.objective,
            _PATIENCE_PAUSES * route.longest_pause,
        )
        return max(self.arrived_at, self.last_chunk_at) + patience

    @property
    def lateness(self) -> Lateness:
        """Return why the response, now complete, was late, if it was."""
        route = self.route
        ended_at = self.first_chunk_at if route.is_stream else self.last_chunk_at
        if route.objective and ended_at - self.arrived_at > route.objective:
            return Lateness.FIRST
        if route.longest_pause and self.longest_gap > route.longest_pause:
            return Lateness.PAUSE
        return Lateness.ON_TIME
