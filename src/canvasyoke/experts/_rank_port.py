"""What the owner of an expert map asks of the ranks of its group."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from canvasyoke._registry import Registry

#: Experts of each layer that one rank holds.
RankLayers: TypeAlias = tuple[tuple[int, ...], ...]


@dataclass(frozen=True, slots=True)
class Armed:
    """A map that a rank takes as a step begins."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class RankReport:
    """What a rank says of itself and its group."""

    group: str
    rank: int
    #: Ranks of the group.
    size: int
    #: Rises each time that the group is formed anew; maps do not outlast it.
    epoch: int
    #: Whether the group makes steps; not while a rank is missing.
    is_open: bool
    #: The last step begun; an idle group makes none.
    step: int
    #: Version of the map in force; 0 for the one that a group begins with.
    map_version: int
    #: Version of the map whose experts the rank has copied; 0 for none.
    prepared: int
    armed: Armed | None
    #: Step that this rank keeps its group from beginning; 0 for none.
    held_step: int
    #: How many times as long as usual it takes for the same work.
    pace: float = 1.0


@dataclass(frozen=True, slots=True)
class RankUnreachable:
    """A rank gave no usable answer."""

    detail: str


@dataclass(frozen=True, slots=True)
class RankMap:
    """The part of a map that one rank holds."""

    version: int
    layers: RankLayers


class MapOrderKind(enum.StrEnum):
    """What a rank is told to do."""

    #: Copy the experts of a map.
    PREPARE = "prepare"
    #: Take a prepared map as a step begins.
    ARM = "arm"
    #: Take back an ``ARM``.
    DISARM = "disarm"
    #: Keep the group from beginning a step; it does not lapse.
    HOLD = "hold"
    #: Take back a ``HOLD``.
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class MapOrder:
    """An order to one rank."""

    kind: MapOrderKind
    #: Ranks turn away a fence below the highest that they have seen.
    fence: int
    epoch: int
    version: int = 0
    step: int = 0
    #: For ``PREPARE``: what each rank of the group holds.
    layers_by_rank: tuple[RankLayers, ...] = field(default=(), repr=False)


class OrderOutcome(enum.StrEnum):
    """What became of an order."""

    DONE = "done"
    #: It does not fit the rank's state.
    CONFLICT = "conflict"
    #: The rank has seen a higher fence.
    FENCED = "fenced"
    #: The rank will not take it as it is.
    REJECTED = "rejected"
    #: No answer: it may have been done or may yet be.
    UNKNOWN = "unknown"


class RankPort(ABC):
    """One rank. Adapters raise nothing."""

    @abstractmethod
    def report(self) -> RankReport | RankUnreachable | None:
        """Return what the rank says of itself; ``None`` when it is in no group."""

    @abstractmethod
    def counts(self) -> tuple[int, ...] | RankUnreachable:
        """Return how often each expert was chosen since the rank's start, layer by layer."""

    @abstractmethod
    def map_in_force(self) -> RankMap | RankUnreachable:
        """Return the part of the map in force that the rank holds."""

    @abstractmethod
    def order(self, order: MapOrder) -> OrderOutcome:
        """Give an order and wait for its answer."""


#: Milliseconds for an answer of the engine beside, which takes one, and of the farthest,
#: which takes ten; what takes longer was lost. An order without an answer is given again
#: while the group stands still, so the limits are short.
NEAR_TIMEOUT: Final = 30
FAR_TIMEOUT: Final = 80

#: Makes a rank adapter for the engine at ``IP:PORT`` with a limit in milliseconds.
MakeRankPort: TypeAlias = Callable[[str, int], RankPort]

#: Adapters by name.
RANK_PORTS: Registry[MakeRankPort] = Registry("rank adapter")
