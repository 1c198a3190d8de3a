"""A rank group as the owner of its map sees it: readings in, orders out."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from canvasyoke.experts._rank_port import MapOrder, OrderOutcome, RankLayers, RankReport


@dataclass(frozen=True, slots=True)
class Ordered:
    """What became of an order, and what the rank said after it."""

    outcome: OrderOutcome
    #: ``None`` when the rank could not be asked.
    report: RankReport | None = None


class RankGroup(ABC):
    """The ranks of one group in one epoch. Times are in milliseconds."""

    @property
    @abstractmethod
    def size(self) -> int:
        """Return the number of ranks."""

    @property
    def report_lag(self) -> int:
        """Return the milliseconds by which reports may lag behind what orders did."""
        return 0

    @abstractmethod
    def give(self, orders: Mapping[int, MapOrder], timeout: int) -> Mapping[int, Ordered]:
        """Give orders to several ranks side by side; answers for all of them.

        A rank that does not answer in time has the outcome ``UNKNOWN``.
        """

    def give_directly(self, orders: Mapping[int, MapOrder], timeout: int) -> Mapping[int, Ordered]:
        """As ``give``, at the ranks' engines and not through the processes beside them.

        The reports that come with it may be old: only the outcomes tell.
        """
        return self.give(orders, timeout)

    @abstractmethod
    def ask(self, timeout: int) -> Mapping[int, RankReport]:
        """Return fresh reports of those ranks that answer in time."""

    @abstractmethod
    def own_report(self) -> RankReport | None:
        """Return a fresh report of the owner's own rank."""


@dataclass(frozen=True, slots=True)
class NewMap:
    """A map to be put in force."""

    version: int
    layers_by_rank: tuple[RankLayers, ...]
    #: Milliseconds that the rank with the most copies needs.
    copy_time: int
