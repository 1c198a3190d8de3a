"""Parameters and results of the simulation of entries whose requests wait for places."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Kind:
    """Requests of one priority and organisation; rates per second, times in milliseconds."""

    priority: int
    rate: float
    organisation: str = "o-1"
    #: Rate from ``BURST`` on for the length of the burst.
    burst_rate: float | None = None
    objective: int = 500
    patience: int = 2_000


@dataclass(frozen=True)
class Scenario:
    """Parameters of a simulation; times in milliseconds."""

    kinds: tuple[Kind, ...]
    entries: int = 40
    engines: int = 63
    slots: int = 5
    mean_duration: float = 1_600.0
    deadline: int = 8_000
    burst: tuple[int, int] = (4_000, 9_700)
    length: int = 16_000
    #: Milliseconds after which a refused caller returns once.
    returns_after: tuple[int, int] = (800, 2_400)
    #: Factor by which durations grow during the burst.
    slowdown: float = 1.0
    #: Whether half of the entries end in the middle of the burst.
    loses_half: bool = False
    #: Part of the new callers that one entry gets during the burst, beside its own.
    concentration: float = 0.0
    #: Whether the group is closed during the burst, with a known time of opening.
    closes: bool = False
    seed: int = 1


@dataclass
class KindOutcome:
    """Results of the requests of one kind that arrived during the burst."""

    asked: int = 0
    on_time: int = 0
    served: int = 0
    #: Served at the first attempt.
    served_first: int = 0
    lost: int = 0


@dataclass
class Outcome:
    kinds: dict[Kind, KindOutcome] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    #: Slot-milliseconds in use during the burst.
    used: float = 0.0
    #: Slots in use and requests in engines' queues one second after the burst.
    in_use_after: int = 0
    queued_after: int = 0

    @property
    def refused_waits(self) -> float:
        return self.counts["wait refused"] / max(1, self.counts["waited"])
