"""Atomic change of a group's expert map: all ranks switch at the same step, or none does.

No step may begin while two ranks have different maps. Orders can be lost or executed seconds after
their timeout, and the owner can die between any two orders.

The protocol is: prepare all ranks, hold the group before a step, arm all ranks for that step,
release the hold. While the hold stands, the step cannot begin. It is released only after every rank
has reported that it is armed for the step, or every rank has reported that it is not armed. Before
a release without armed ranks, every rank has seen a fence above that of all earlier orders, so that
delayed orders are rejected.

A hold does not expire. Each new owner therefore starts with ``recover``, which completes or rolls
back an interrupted change. It first raises the fences of all ranks: the earlier owner may resume at
any time, and an order of it that arrived between the reports and a release would split the group.

The owner's host can fail together with its rank. For this reason the hold is never placed on the
owner's rank, and that rank is armed last and disarmed first: it can be armed only while all other
ranks are. If any other rank is not armed, another process can roll the change back without reaching
the owner's rank (``recover_without_owner``).
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping, Set
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.experts._change_types import (
    HOLD_RANK,
    OWNER_RANK,
    ChangeResult,
    ChangeTimings,
    OwnerReplacedError,
)
from canvasyoke.experts._fences import FenceSequence
from canvasyoke.experts._group import NewMap, OrderResult, RankGroup
from canvasyoke.experts._group_control import GroupControl, GroupReformedError
from canvasyoke.experts._rank_port import (
    Armed,
    MapOrder,
    MapOrderKind,
    OrderOutcome,
    RankReport,
)
from canvasyoke.experts._step_timing import StepTiming
from canvasyoke.observe import part_logger

_log = part_logger("map")
#: Milliseconds allowed for copying beyond the computed copy time.
_COPY_SLACK: Final = 1_500
#: Milliseconds between checks whether all ranks have finished copying.
_POLL_INTERVAL: Final = 25
#: Distances from the current step at which a hold is attempted, in order. A near step usually has
#: not begun by the time the hold arrives. A step takes 50 ms or more, and arming takes one round
#: trip.
_STEPS_AHEAD: Final = (1, 1, 2, 3, 5)
#: Distances used after an order has timed out: arming then takes several timeouts, and a more
#: distant step shortens the time for which the group is stopped.
_STEPS_AHEAD_AFTER_TIMEOUT: Final = (5, 5, 6, 7, 8)
#: Maximum attempts to arm the ranks while the group is held. With a third of the orders unanswered,
#: all of eight ranks had answered after five attempts in 24 of 25 changes.
_MAX_ARM_ATTEMPTS: Final = 5
#: Maximum number of ranks listed in a log record.
_MAX_LOGGED_RANKS: Final = 8


class MapChanger(GroupControl):
    """Executes map changes of one group, one at a time."""

    def __init__(
        self,
        group: RankGroup,
        epoch: int,
        fences: FenceSequence,
        clock: Clock,
        pause: Callable[[float], object] | None = None,
    ) -> None:
        super().__init__(group, epoch, fences, pause or threading.Event().wait)
        self._clock = clock
        #: Timings of the last change.
        self.timings = ChangeTimings()
        #: Whether an order of the current change has timed out.
        self._had_timeout = False
        self._timing = StepTiming(group.size)

    def change(self, new_map: NewMap) -> ChangeResult:
        """Activate ``new_map`` on all ranks or on none; return the result."""
        return _run_to_result(lambda: self._change(new_map))

    def recover(self) -> ChangeResult:
        """Complete or roll back a change that an earlier owner left unfinished."""
        return _run_to_result(self._recover)

    def _change(self, new_map: NewMap) -> ChangeResult:
        self.timings = ChangeTimings()
        started_at = self._clock.now()
        self._timing.record_step(self._own_report().step, started_at)
        is_prepared = self._prepare(new_map)
        self.timings.prepare_time = self._clock.now() - started_at
        if not is_prepared:
            return ChangeResult.NOT_PREPARED
        step = self._hold()
        if not step:
            return ChangeResult.NOT_HELD
        started_at = self._clock.now()
        armed = self._arm(new_map.version, step)
        self.timings.arm_time = self._clock.now() - started_at
        self._timing.record_arming(self.timings.arm_time)
        self._timing.forget_last_step()
        if not armed:
            self._disarm_all(dict.fromkeys(range(self._group.size), new_map.version))
        self._release({HOLD_RANK: step})
        return ChangeResult.IN_FORCE if armed else ChangeResult.ABANDONED

    def recover_without_owner(self) -> ChangeResult:
        """Roll back a change of an unresponsive owner whose rank cannot be reached either."""
        return _run_to_result(self._recover_without_owner)

    def _recover_without_owner(self) -> ChangeResult:
        if not self._raise_fences(self._non_owner_ranks):
            return ChangeResult.NOT_HELD
        reports = self._group.fetch_reports(self._order_timeout)
        self._check_epoch(reports.values())
        if not self._non_owner_ranks <= reports.keys():
            return ChangeResult.NOT_HELD
        armed = {r: report.armed for r, report in reports.items() if report.armed is not None}
        if self._non_owner_ranks <= armed.keys():
            return ChangeResult.NOT_HELD  # the owner's rank may be armed as well
        held = {r: report.held_step for r, report in reports.items() if report.held_step}
        first_step = min((state.step for state in armed.values()), default=0)
        if armed and not self._ensure_held_by(first_step, held):
            return ChangeResult.NOT_HELD
        self._disarm(self._non_owner_ranks, {r: state.version for r, state in armed.items()})
        self._release(held)
        return ChangeResult.ABANDONED

    def _recover(self) -> ChangeResult:
        """Release holds, after completing or rolling back the change that they belong to.

        If all ranks are armed for the same map and step, they stay armed, which is safe without a
        hold. Otherwise all ranks are disarmed, including those that report not being armed: an
        order to arm may still be in flight and must meet a higher fence before the hold is
        released. During this the group must not reach the step for which some ranks are armed.
        """
        if not self._raise_fences(set(range(self._group.size))):
            return ChangeResult.NOT_HELD
        reports = self._settled_reports()
        held = {r: report.held_step for r, report in reports.items() if report.held_step}
        armed = [report.armed for report in reports.values() if report.armed is not None]
        is_complete = len(armed) == self._group.size and len(set(armed)) == 1
        if (armed or held) and not is_complete:
            if armed and not self._ensure_held_by(min(state.step for state in armed), held):
                return ChangeResult.NOT_HELD
            _log.info("recovering from an interrupted change", armed=len(armed), held=held)
            self._disarm_all(
                {
                    r: rank_report.armed.version
                    for r, rank_report in reports.items()
                    if rank_report.armed is not None
                }
            )
        self._release(held)
        return ChangeResult.IN_FORCE if is_complete or not armed else ChangeResult.ABANDONED

    def _ensure_held_by(self, first_step: int, held: dict[int, int]) -> bool:
        """Ensure that the group is held at or before ``first_step``; add a new hold to ``held``."""
        if any(step <= first_step for step in held.values()):
            return True
        self._had_timeout = False
        step = self._hold()
        if step:
            held[HOLD_RANK] = step
        return 0 < step <= first_step

    def _prepare(self, new_map: NewMap) -> bool:
        """Have all ranks copy their experts; return whether all copies are complete."""
        fence = self._fences.next()
        order = MapOrder(
            MapOrderKind.PREPARE,
            fence,
            self._epoch,
            version=new_map.version,
            layers_by_rank=new_map.layers_by_rank,
        )
        started_at = self._clock.now()
        deadline = started_at + new_map.copy_time + _COPY_SLACK
        self._had_timeout = False
        pending = set(range(self._group.size))
        while pending:
            results = self._group.send_orders(dict.fromkeys(pending, order), self._order_timeout)
            self._check_results(results)
            outcomes = {result.outcome for result in results.values()}
            self._had_timeout = self._had_timeout or OrderOutcome.UNKNOWN in outcomes
            pending = {
                r
                for r, order_result in results.items()
                if not _has_accepted(order_result, new_map.version)
            }
            is_rejected = any(
                results[r].outcome in (OrderOutcome.CONFLICT, OrderOutcome.REJECTED)
                for r in pending
            )
            if is_rejected or (pending and self._clock.now() > deadline):
                _log.warning(
                    "map not prepared by all ranks",
                    version=new_map.version,
                    missing=len(pending),
                    ranks={
                        r: results[r].outcome.value for r in sorted(pending)[:_MAX_LOGGED_RANKS]
                    },
                )
                return False
        self.timings.accept_time = self._clock.now() - started_at
        return self._wait_for_copies(new_map, deadline)

    def _wait_for_copies(self, new_map: NewMap, deadline: int) -> bool:
        self._pause(new_map.copy_time / SECOND)
        pending = set(range(self._group.size))
        reports: Mapping[int, RankReport] = {}
        while self._clock.now() < deadline:
            self.timings.polls += 1
            reports = self._group.fetch_reports(self._order_timeout)
            self._check_epoch(reports.values())
            pending = set(range(self._group.size)) - {
                r for r, report in reports.items() if report.prepared == new_map.version
            }
            if not pending:
                return True
            self._pause(_POLL_INTERVAL / SECOND)
        _log.warning(
            "expert copies not finished in time",
            version=new_map.version,
            missing=len(pending),
            unheard=len(pending - reports.keys()),
            ranks=sorted(pending)[:_MAX_LOGGED_RANKS],
        )
        return False

    def _hold(self) -> int:
        """Hold the group before an upcoming step; return that step, or 0 on failure."""
        fence = self._fences.next()
        for steps_ahead in _STEPS_AHEAD_AFTER_TIMEOUT if self._had_timeout else _STEPS_AHEAD:
            own = self._own_report()
            self._timing.record_step(own.step, self._clock.now())
            step = own.step + steps_ahead + self._timing.extra_steps
            order = MapOrder(MapOrderKind.HOLD, fence, self._epoch, step=step)
            results = self._group.send_orders_directly({HOLD_RANK: order}, self._order_timeout)
            self._check_results(results)
            if results[HOLD_RANK].outcome is OrderOutcome.DONE:
                return step
            held = self._current_hold()
            if held:
                return held
        return 0

    def _current_hold(self) -> int:
        """Return the step at which the group is known to be held, or 0."""
        report = self._group.fetch_reports(self._order_timeout).get(HOLD_RANK)
        return report.held_step if report is not None else 0

    def _arm(self, version: int, step: int) -> bool:
        """Arm all ranks for ``step``; return whether every rank reports that it is armed."""
        fence = self._fences.next()
        order = MapOrder(MapOrderKind.ARM, fence, self._epoch, version=version, step=step)
        return self._arm_ranks(self._non_owner_ranks, order) and self._arm_ranks(
            {OWNER_RANK}, order
        )

    def _arm_ranks(self, ranks: Set[int], order: MapOrder) -> bool:
        pending = set(ranks)
        for _ in range(_MAX_ARM_ATTEMPTS):
            self.timings.arm_attempts += 1
            results = self._group.send_orders(dict.fromkeys(pending, order), self._order_timeout)
            self._check_results(results)
            expected = Armed(order.version, order.step)
            pending = {
                r for r, order_result in results.items() if not _is_armed(order_result, expected)
            }
            if not pending:
                return True
            if any(results[r].outcome is OrderOutcome.CONFLICT for r in pending):
                return False
        return False


def _run_to_result(operation: Callable[[], ChangeResult]) -> ChangeResult:
    """Run ``operation`` and translate a new owner or epoch into a result."""
    try:
        return operation()
    except OwnerReplacedError:
        return ChangeResult.REPLACED
    except GroupReformedError:
        return ChangeResult.REFORMED


def _has_accepted(result: OrderResult, version: int) -> bool:
    if result.outcome is OrderOutcome.DONE:
        return True
    return result.report is not None and result.report.prepared == version


def _is_armed(result: OrderResult, armed: Armed) -> bool:
    """Return whether the rank reports that it is armed as expected by the order."""
    return result.report is not None and result.report.armed == armed
