"""Interface through which the owner of an expert map reads and controls its rank group."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from canvasyoke.experts._rank_port import MapOrder, OrderOutcome, RankLayers, RankReport


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Outcome of an order and the rank's report after it."""

    outcome: OrderOutcome
    #: ``None`` if the rank could not be reached.
    report: RankReport | None = None


class RankGroup(ABC):
    """The ranks of one group in one epoch. Times are in milliseconds."""

    #: Rank beside this process.
    own_rank: int

    @property
    @abstractmethod
    def size(self) -> int:
        """Return the number of ranks."""

    @property
    def report_lag(self) -> int:
        """Return the milliseconds by which reports may lag behind executed orders."""
        return 0

    @property
    def link_report_lag(self) -> int:
        """Return the milliseconds by which reports may lag while some rank is not linked."""
        return 0

    @property
    def owner_report_lag(self) -> int:
        """Return the milliseconds by which reports of the owner's rank alone may lag.

        Outcomes of orders to that rank are reliable, also while its reports lag.
        """
        return 0

    @abstractmethod
    def send_orders(
        self, orders: Mapping[int, MapOrder], timeout: int
    ) -> Mapping[int, OrderResult]:
        """Send orders to several ranks concurrently; return a result for each of them.

        A rank that does not answer in time has the outcome ``UNKNOWN``.
        """

    def send_orders_directly(
        self, orders: Mapping[int, MapOrder], timeout: int
    ) -> Mapping[int, OrderResult]:
        """Like ``send_orders``, but call the engines directly instead of the rank processes.

        The reports in the results may be outdated; only the outcomes are reliable.
        """
        return self.send_orders(orders, timeout)

    @abstractmethod
    def fetch_reports(self, timeout: int) -> Mapping[int, RankReport]:
        """Return current reports of the ranks that answer in time."""

    @abstractmethod
    def own_report(self) -> RankReport | None:
        """Return a current report of the owner's own rank."""

    @abstractmethod
    def expert_count(self) -> int:
        """Return the number of experts in each layer; 0 if the own rank does not answer."""


@dataclass(frozen=True, slots=True)
class NewMap:
    """An expert map to be activated."""

    version: int
    layers_by_rank: tuple[RankLayers, ...]
    #: Milliseconds that the rank with the most copies needs.
    copy_time: int
