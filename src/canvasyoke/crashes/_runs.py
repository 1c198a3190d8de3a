"""What crash detection needs to know of runs of backends, and of exchanges with them."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from canvasyoke.state import Endpoint


class RunChange(enum.Enum):
    """Change of a run in the list of backends."""

    ADDED = enum.auto()
    #: The store lists it as leaving.
    LEAVING = enum.auto()
    REMOVED = enum.auto()


#: Called with a run and its change.
OnRunChange: TypeAlias = Callable[[Endpoint, RunChange], None]


class RunDirectory(Protocol):
    """The list of backends."""

    def watch_runs(self, on_change: OnRunChange) -> None:
        """Set what is called on each change, with the lock of the list held."""

    def is_ready(self, run: str) -> bool:
        """Return whether a run is listed and does not leave."""

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether a run has announced that it leaves."""


class CrashMetrics(Protocol):
    """Counters of failed exchanges."""

    def record_exchange_failure(self, liveness: str) -> None:
        """Count a failed exchange, by the state of its backend."""

    def record_late_exit(self, evidence: str) -> None:
        """Count a backend that was found to have ended some time after an exchange failed."""


@dataclass(frozen=True, slots=True)
class BrokenExchange:
    """An exchange whose connection was lost before the response was complete."""

    request_id: str
    endpoint: Endpoint
    #: Names of the traits that may have crashed the backend.
    traits: tuple[str, ...]
    #: What was lost, for the log.
    detail: str
    #: Whether the backend had sent the head of its response.
    has_head: bool = False
    #: Milliseconds since the first event of the response; ``None`` before it.
    begun_before: int | None = None
    #: Ids of the shared segments of the prompt.
    segments: tuple[str, ...] = ()
