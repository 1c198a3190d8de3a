"""Operations on a group that every change and recovery is made of.

They raise ``OwnerReplacedError`` if a rank has seen the fence or a map version of a later owner,
and ``GroupReformedError`` if the group has entered another epoch.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Set
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
RETRY_INTERVAL: Final = 50
#: Version for disarm orders that only raise the fence. No map has this version.
_UNUSED_VERSION: Final = 1
#: Outcomes after which a rank has seen the order and needs no further attempt.
ACKNOWLEDGED: Final = frozenset({OrderOutcome.DONE, OrderOutcome.CONFLICT})


class GroupReformedError(Exception):
    """Raised when the group has entered another epoch."""


class GroupControl:
    """Fences and reports for one owner of a group in one epoch."""

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
    def _all_ranks(self) -> set[int]:
        """Return all ranks of the group."""
        return set(range(self._group.size))

    @property
    def _non_owner_ranks(self) -> set[int]:
        """Return all ranks except the owner's."""
        return self._all_ranks - {OWNER_RANK}

    def _raise_fences(self, ranks: Set[int]) -> bool:
        """Make ranks that require fencing reject orders of earlier owners.

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
            pending = {r for r, each in results.items() if each.outcome not in ACKNOWLEDGED}
            if not pending:
                break
            if self._group.report_lag or self._group.owner_report_lag:
                return False
            self._check_own_epoch()
            self._pause(RETRY_INTERVAL / SECOND)
        if self._group.report_lag:
            self._pause(self._group.report_lag / SECOND)
        return True

    def _settled_reports(self) -> Mapping[int, RankReport]:
        """Return reports that show whether an earlier owner has left a change unfinished.

        Reports that show nothing may be older than its last orders; their lag is waited out.
        """
        reports = self._all_reports()
        is_change_visible = any(each.armed or each.held_step for each in reports.values())
        if is_change_visible or not self._group.link_report_lag:
            return reports
        self._pause(self._group.link_report_lag / SECOND)
        return self._all_reports()

    def _all_reports(self) -> Mapping[int, RankReport]:
        while True:
            reports = self._fetch_reports()
            if len(reports) == self._group.size:
                return reports
            self._check_own_epoch()
            self._pause(RETRY_INTERVAL / SECOND)

    def _fetch_reports(self) -> Mapping[int, RankReport]:
        """Return the reports of the ranks that answer in time."""
        reports = self._group.fetch_reports(self._order_timeout)
        self._check_reports(reports.values())
        return reports

    def _own_report(self) -> RankReport:
        """Return the report of this process's rank, retrying until it is available."""
        while True:
            report = self._group.own_report()
            if report is not None:
                self._check_reports([report])
                return report
            self._pause(RETRY_INTERVAL / SECOND)

    def _check_own_epoch(self) -> None:
        report = self._group.own_report()
        if report is not None:
            self._check_reports([report])

    def _check_results(self, results: Mapping[int, OrderResult]) -> None:
        """Raise if the results show another owner or another epoch."""
        if any(result.outcome is OrderOutcome.FENCED for result in results.values()):
            raise OwnerReplacedError
        self._check_reports(r.report for r in results.values() if r.report is not None)

    def _check_reports(self, reports: Iterable[RankReport]) -> None:
        """Raise if the reports show a map version of a later owner, or another epoch."""
        for report in reports:
            if report.epoch != self._epoch:
                raise GroupReformedError
            if report.newest_version > self._fences.last:
                raise OwnerReplacedError
