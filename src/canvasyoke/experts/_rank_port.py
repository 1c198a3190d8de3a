"""Port through which a rank is read and controlled, with the types of its reports and orders."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from canvasyoke._registry import Registry

#: Experts of one rank by layer.
RankLayers: TypeAlias = tuple[tuple[int, ...], ...]


@dataclass(frozen=True, slots=True)
class Armed:
    """A prepared map that a rank activates when a step begins."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class RankReport:
    """State of a rank and its group."""

    group: str
    rank: int
    #: Number of ranks in the group.
    size: int
    #: Incremented each time that the group is re-formed; maps are valid for one epoch.
    epoch: int
    #: Whether the group executes steps; false while a rank is missing.
    is_open: bool
    #: The last step begun; an idle group begins none.
    step: int
    #: Version of the map in force; 0 for the initial map.
    map_version: int
    #: Version of the map whose experts the rank has copied; 0 for none.
    prepared: int
    armed: Armed | None
    #: Step that this rank prevents its group from beginning; 0 for none.
    held_step: int
    #: Processing time relative to the usual one for the same work.
    slowdown: float = 1.0

    @property
    def newest_version(self) -> int:
        """Return the newest version of a map that the rank has prepared, armed or in force."""
        armed = self.armed.version if self.armed is not None else 0
        return max(self.map_version, self.prepared, armed)


@dataclass(frozen=True, slots=True)
class RankUnreachable:
    """A rank gave no usable answer."""

    detail: str


@dataclass(frozen=True, slots=True)
class RankMap:
    """One rank's part of a map."""

    version: int
    layers: RankLayers


class MapOrderKind(enum.StrEnum):
    """Kind of an order to a rank."""

    #: Copy the experts of a map.
    PREPARE = "prepare"
    #: Activate a prepared map when a step begins.
    ARM = "arm"
    #: Cancel an ``ARM``.
    DISARM = "disarm"
    #: Prevent the group from beginning a step; it does not expire.
    HOLD = "hold"
    #: Cancel a ``HOLD``.
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class MapOrder:
    """An order to one rank."""

    kind: MapOrderKind
    #: Fencing token; ranks reject orders below the highest that they have seen.
    fence: int
    epoch: int
    version: int = 0
    step: int = 0
    #: For ``PREPARE``: the layers of each rank of the group. Without them the rank keeps the
    #: experts that it holds.
    layers_by_rank: tuple[RankLayers, ...] = field(default=(), repr=False)
    #: For ``PREPARE`` without layers: the number of experts in each layer.
    experts: int = 0


class OrderOutcome(enum.StrEnum):
    """Outcome of an order."""

    DONE = "done"
    #: The order conflicts with the rank's state.
    CONFLICT = "conflict"
    #: The rank has seen a higher fence.
    FENCED = "fenced"
    #: The rank refused the order as invalid.
    REJECTED = "rejected"
    #: No answer; the order may have been executed, or may still be.
    UNKNOWN = "unknown"


class RankPort(ABC):
    """Adapter for one rank. Implementations report errors as values and do not raise."""

    @abstractmethod
    def report(self) -> RankReport | RankUnreachable | None:
        """Return the rank's report, or ``None`` if it is in no group."""

    @abstractmethod
    def counts(self) -> tuple[int, ...] | RankUnreachable:
        """Return the choices of each expert since the rank's start, layer by layer."""

    @abstractmethod
    def current_map(self) -> RankMap | RankUnreachable:
        """Return the rank's part of the map in force."""

    @abstractmethod
    def order(self, order: MapOrder) -> OrderOutcome:
        """Send an order and wait for the answer."""


#: Timeouts in milliseconds for the local engine and for engines on other hosts. They are short
#: because unanswered orders are repeated while the group is stopped. The local engine answers
#: within 1 ms, the farthest one within 10 ms.
LOCAL_TIMEOUT: Final = 30
REMOTE_TIMEOUT: Final = 80

#: Creates a rank adapter for the engine at ``IP:PORT`` with a timeout in milliseconds.
RankPortFactory: TypeAlias = Callable[[str, int], RankPort]

#: Rank adapters by name.
RANK_PORTS: Registry[RankPortFactory] = Registry("rank adapter")
