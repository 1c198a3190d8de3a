"""Operations on a group that every change and recovery is made of.

They raise ``OwnerReplacedError`` if a rank has seen the fence of another owner, and
``GroupReformedError`` if the group has entered another epoch.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Set
from dataclasses import replace
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.experts._change_types import OWNER_RANK, OwnerReplacedError
from canvasyoke.experts._fences import FenceSequence
from canvasyoke.experts._group import OrderResult, RankGroup
from canvasyoke.experts._rank_port import MapOrder, MapOrderKind, OrderOutcome, RankReport

#: Milliseconds for an order, its answer and the following report, plus an allowance per rank for
#: the owner's processing. If it is too short, orders to large groups are repeated while their
#: answers are on the way. The farthest rank usually answers within 10 ms, and each rank takes the
#: owner's process up to 3 ms.
_ORDER_TIMEOUT: Final = 200
_ORDER_TIMEOUT_PER_RANK: Final = 3
#: Milliseconds between retries of operations that must succeed before the group can continue.
_RETRY_INTERVAL: Final = 50
#: Version for disarm orders that only raise the fence. No map has this version.
_UNUSED_VERSION: Final = 1
#: Outcomes after which a rank has seen the order's fence and needs no further attempt.
_ACKNOWLEDGED: Final = frozenset({OrderOutcome.DONE, OrderOutcome.CONFLICT})


class GroupReformedError(Exception):
    """Raised when the group has entered another epoch."""


class GroupControl:
    """Fences, reports, disarming and releasing for one owner of a group in one epoch."""

    def __init__(
        self,
        group: RankGroup,
        epoch: int,
        fences: FenceSequence,
        pause: Callable[[float], object],
    ) -> None:
        self._group = group
        self._epoch = epoch
        self._fences = fences
        self._pause = pause
        self._order_timeout = _ORDER_TIMEOUT + _ORDER_TIMEOUT_PER_RANK * group.size

    @property
    def _non_owner_ranks(self) -> set[int]:
        """Return all ranks except the owner's."""
        return set(range(self._group.size)) - {OWNER_RANK}

    def _raise_fences(self, ranks: Set[int]) -> bool:
        """Make the ranks reject orders of earlier owners, and wait out the report lag.

        Returns false if not every rank has acknowledged the new fence. A group whose processes are
        all linked is asked until all have.
        """
        pending = set(ranks)
        while pending:
            order = MapOrder(
                MapOrderKind.DISARM, self._fences.next(), self._epoch, version=_UNUSED_VERSION
            )
            results = self._group.send_orders(dict.fromkeys(pending, order), self._order_timeout)
            self._check_results(results)
            pending = {r for r, each in results.items() if each.outcome not in _ACKNOWLEDGED}
            if not pending:
                break
            if self._group.report_lag or self._group.owner_report_lag:
                return False
            self._check_own_epoch()
            self._pause(_RETRY_INTERVAL / SECOND)
        if self._group.report_lag:
            self._pause(self._group.report_lag / SECOND)
        return True

    def _settled_reports(self) -> Mapping[int, RankReport]:
        """Return reports that no order of an earlier owner changes; all fences are raised.

        The owner's rank is armed only while all others are. So its report matters only then, and
        only then its lag is waited out. That needs current reports of the others.
        """
        reports = self._all_reports()
        lag = self._group.link_report_lag
        is_partial = any(reports[rank].armed is None for rank in self._non_owner_ranks)
        if self._group.owner_report_lag and is_partial and not lag:
            return {**reports, OWNER_RANK: replace(reports[OWNER_RANK], armed=None)}
        lag = max(lag, self._group.owner_report_lag)
        if not lag:
            return reports
        self._pause(lag / SECOND)
        return self._all_reports()

    def _all_reports(self) -> Mapping[int, RankReport]:
        while True:
            reports = self._group.fetch_reports(self._order_timeout)
            self._check_epoch(reports.values())
            if len(reports) == self._group.size:
                return reports
            self._check_own_epoch()
            self._pause(_RETRY_INTERVAL / SECOND)

    def _disarm_all(self, armed: Mapping[int, int]) -> None:
        """Disarm all ranks under a new fence until each reports that it is not armed.

        ``armed`` maps ranks to the versions that they are known to be armed for.
        """
        self._disarm({OWNER_RANK}, armed)
        self._disarm(self._non_owner_ranks, armed)

    def _disarm(self, ranks: Set[int], armed: Mapping[int, int]) -> None:
        versions = dict(armed)
        pending = set(ranks)
        while pending:
            fence = self._fences.next()
            orders = {
                r: MapOrder(
                    MapOrderKind.DISARM,
                    fence,
                    self._epoch,
                    version=versions.get(r, _UNUSED_VERSION),
                )
                for r in pending
            }
            results = self._group.send_orders(orders, self._order_timeout)
            self._check_results(results)
            for rank, result in results.items():
                if result.report is not None and result.report.armed is not None:
                    versions[rank] = result.report.armed.version
            pending = {r for r, order_result in results.items() if not _is_disarmed(order_result)}
            if pending:
                self._check_own_epoch()
                self._pause(_RETRY_INTERVAL / SECOND)

    def _release(self, held: Mapping[int, int]) -> None:
        """Release the holds, retrying until every holding rank reports none."""
        pending = dict(held)
        while pending:
            fence = self._fences.next()
            orders = {
                r: MapOrder(MapOrderKind.RELEASE, fence, self._epoch, step=step)
                for r, step in pending.items()
            }
            results = self._group.send_orders(orders, self._order_timeout)
            self._check_results(results)
            for rank, result in results.items():
                if result.report is not None and not result.report.held_step:
                    del pending[rank]
            if pending:
                self._check_own_epoch()
                self._pause(_RETRY_INTERVAL / SECOND)

    def _own_report(self) -> RankReport:
        """Return the report of this process's rank, retrying until it is available."""
        while True:
            report = self._group.own_report()
            if report is not None:
                self._check_epoch([report])
                return report
            self._pause(_RETRY_INTERVAL / SECOND)

    def _check_own_epoch(self) -> None:
        report = self._group.own_report()
        if report is not None:
            self._check_epoch([report])

    def _check_results(self, results: Mapping[int, OrderResult]) -> None:
        """Raise if the results show another owner or another epoch."""
        if any(result.outcome is OrderOutcome.FENCED for result in results.values()):
            raise OwnerReplacedError
        self._check_epoch(
            [
                order_result.report
                for order_result in results.values()
                if order_result.report is not None
            ]
        )

    def _check_epoch(self, reports: object) -> None:
        for report in reports:  # type: ignore[attr-defined]
            if report.epoch != self._epoch:
                raise GroupReformedError


def _is_disarmed(result: OrderResult) -> bool:
    """Return whether the rank has seen the fence and reports that it is not armed."""
    if result.outcome not in _ACKNOWLEDGED or result.report is None:
        return False
    return result.report.armed is None
