"""The ranks of a group as the standby reaches them while the owner's process is silent.

The other ranks' processes are linked with the standby, directly or through relays. The owner's
rank has no process that answers, so its engine is called directly, which the platform charges for.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace

from canvasyoke._clock import Clock
from canvasyoke.experts._change_types import OWNER_RANK
from canvasyoke.experts._direct_group import ENGINE_REPORT_LAG
from canvasyoke.experts._group import OrderResult
from canvasyoke.experts._linked_group import LinkedGroup
from canvasyoke.experts._rank_client import RankClient
from canvasyoke.experts._rank_port import (
    Armed,
    MapOrder,
    MapOrderKind,
    OrderOutcome,
    RankLayers,
    RankReport,
)
from canvasyoke.experts._relay import FIRST_STANDBY_ORDER


class ActingGroup(LinkedGroup):
    """One group in one epoch, as its standby acts on it."""

    def __init__(
        self,
        own_client: RankClient,
        report: RankReport,
        clock: Clock,
        remote_client: Callable[[int], RankClient | None],
    ) -> None:
        super().__init__(own_client, report, clock, remote_client, FIRST_STANDBY_ORDER)

    @property
    def is_linked(self) -> bool:
        """Return whether every rank but the owner's has found the owner silent, too.

        Ranks send the standby their readings only then. So a standby that alone has lost the owner
        never acts.
        """
        with self._condition:
            linked = self._linked_ranks()
        return linked >= set(range(self.size)) - {self.own_rank, OWNER_RANK}

    @property
    def owner_report_lag(self) -> int:
        """Return the milliseconds by which reports of the owner's rank may lag."""
        return ENGINE_REPORT_LAG

    @property
    def is_owner_rank_reachable(self) -> bool:
        """Return whether the engine of the owner's rank answers in this epoch."""
        client = self._remote_client(OWNER_RANK)
        report = client.report() if client is not None else None
        return report is not None and report.epoch == self.epoch

    def forget_readings(self) -> None:
        """Drop all readings: they are from before the owner was heard again."""
        with self._condition:
            self._links.clear()
            self._counts = []

    def send_orders(
        self, orders: Mapping[int, MapOrder], timeout: int
    ) -> Mapping[int, OrderResult]:
        """Send orders over the links, and those for the owner's rank to its engine."""
        results = dict(super().send_orders(orders, timeout))
        if OWNER_RANK in results:
            results[OWNER_RANK] = _with_effect(orders[OWNER_RANK], results[OWNER_RANK])
        return results

    def fetch_layers(self, timeout: int) -> Mapping[int, RankLayers]:
        """Return the experts held by the other ranks, the owner's only if of the same map."""
        layers = dict(super().fetch_layers(timeout))
        client, own = self._remote_client(OWNER_RANK), self.own_layers()
        owners = client.layers() if client is not None else None
        if own is not None and owners is not None and own.version == owners.version:
            layers[OWNER_RANK] = owners.layers
        return layers


def _with_effect(order: MapOrder, result: OrderResult) -> OrderResult:
    """Return the result with a report that shows the executed order.

    Read from another host, the report may be older than the order. Without this an armed rank would
    be asked again until all attempts are used up, while the group is held.
    """
    report = result.report
    if report is None or result.outcome is not OrderOutcome.DONE:
        return result
    if order.kind is MapOrderKind.ARM:
        return OrderResult(result.outcome, replace(report, armed=Armed(order.version, order.step)))
    is_disarmed = report.armed is not None and report.armed.version == order.version
    if order.kind is MapOrderKind.DISARM and is_disarmed:
        return OrderResult(result.outcome, replace(report, armed=None))
    return result
