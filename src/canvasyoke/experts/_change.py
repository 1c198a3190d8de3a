"""Atomic change of a group's expert map: all ranks switch at the same step, or none does.

No step may begin while two ranks have different maps. Orders can be lost or executed seconds after
their timeout, and the owner can die or stand still between any two orders.

The protocol is: prepare all ranks, hold the group before a step, arm all ranks for that step,
release the hold. While the hold stands, the step cannot begin. It is released only after every rank
has reported that it is armed for the step, or after the change has been rolled back
(``_rollback``). Preparing a map also ends all changes of earlier owners, as their versions are
lower.

A hold does not expire. Each new owner therefore starts with ``recover``, which rolls back an
interrupted change. It never completes one: an order to disarm that its owner has given may still be
on its way. Only where all ranks are armed and no hold is left, the change was complete.

The owner's host can fail together with its rank. For this reason holds are not placed on the
owner's rank if there is another one, and that rank is armed last and rolled back first: it can be
armed only while all other ranks are. If any other rank is not armed, another process can roll the
change back without reaching the owner's rank (``recover_without_owner``).
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping, Set
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.experts._change_types import (
    OWNER_RANK,
    ChangeResult,
    ChangeTimings,
    OwnerReplacedError,
)
from canvasyoke.experts._fences import FenceSequence
from canvasyoke.experts._group import NewMap, OrderResult, RankGroup
from canvasyoke.experts._group_control import GroupReformedError
from canvasyoke.experts._hold_ledger import HoldLedger, HoldPlace
from canvasyoke.experts._rank_port import (
    Armed,
    MapOrder,
    MapOrderKind,
    OrderOutcome,
    RankReport,
)
from canvasyoke.experts._rollback import RollbackControl
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


class MapChanger(RollbackControl):
    """Executes map changes of one group, one at a time."""

    def __init__(
        self,
        group: RankGroup,
        epoch: int,
        fences: FenceSequence,
        clock: Clock,
        pause: Callable[[float], object] | None = None,
        holds: HoldLedger | None = None,
    ) -> None:
        super().__init__(
            group, epoch, fences, pause or threading.Event().wait, holds or HoldLedger()
        )
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
        hold = self._hold()
        if hold is None:
            return ChangeResult.NOT_HELD
        started_at = self._clock.now()
        is_armed = self._arm(new_map.version, hold.step)
        self.timings.arm_time = self._clock.now() - started_at
        self._timing.record_arming(self.timings.arm_time)
        self._timing.forget_last_step()
        if not is_armed and not self._roll_back(self._all_ranks, {}, {}):
            return ChangeResult.NOT_HELD
        self._release({})
        return ChangeResult.IN_FORCE if is_armed else ChangeResult.ABANDONED

    def recover_without_owner(self) -> ChangeResult:
        """Roll back a change of an unresponsive owner whose rank cannot be reached either."""
        return _run_to_result(self._recover_without_owner)

    def _recover_without_owner(self) -> ChangeResult:
        if not self._raise_fences(self._non_owner_ranks):
            return ChangeResult.NOT_HELD
        reports = self._fetch_reports()
        if not self._non_owner_ranks <= reports.keys():
            return ChangeResult.NOT_HELD
        armed, held = _armed_ranks(reports), _held_steps(reports)
        if self._non_owner_ranks <= armed.keys():
            return ChangeResult.NOT_HELD  # the owner's rank may be armed as well
        armed.pop(OWNER_RANK, None)
        if not self._roll_back(self._non_owner_ranks, armed, held):
            return ChangeResult.NOT_HELD
        self._release(held)
        return ChangeResult.ABANDONED

    def _recover(self) -> ChangeResult:
        """Roll back what is held or armed, unless all ranks are armed and none is held."""
        if not self._raise_fences(self._all_ranks):
            return ChangeResult.NOT_HELD
        reports = self._settled_reports()
        armed, held = _armed_ranks(reports), _held_steps(reports)
        is_complete = len(armed) == self._group.size and len(set(armed.values())) == 1
        if not held and (is_complete or not armed):
            self._own_hold = None
            return ChangeResult.IN_FORCE
        _log.info("rolling back an interrupted change", armed=len(armed), held=held)
        if self._own_hold is not None and held.get(self._own_hold.rank) != self._own_hold.step:
            self._own_hold = None
        if not self._roll_back(self._all_ranks, armed, held):
            return ChangeResult.NOT_HELD
        self._release(held | _held_steps(self._all_reports()))
        return ChangeResult.ABANDONED

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
            reports = self._fetch_reports()
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

    def _hold(self) -> HoldPlace | None:
        """Hold the group before an upcoming step; return the hold, or ``None`` on failure."""
        ordered: list[HoldPlace] = []
        unanswered: set[int] = set()
        for steps_ahead in _STEPS_AHEAD_AFTER_TIMEOUT if self._had_timeout else _STEPS_AHEAD:
            own = self._own_report()
            self._holds.begin(self._epoch)
            self._timing.record_step(own.step, self._clock.now())
            step = own.step + steps_ahead + self._timing.extra_steps
            place = self._next_place(step, unanswered)
            if place is None:
                continue
            outcome = self._place_hold(place, own.step)
            if outcome is OrderOutcome.DONE:
                return place
            if outcome is OrderOutcome.UNKNOWN:
                unanswered.add(place.rank)
            ordered.append(place)
            adopted = self._adopt_hold(ordered)
            if adopted is not None:
                return adopted
        return None

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


def _armed_ranks(reports: Mapping[int, RankReport]) -> dict[int, Armed]:
    return {r: report.armed for r, report in reports.items() if report.armed is not None}


def _held_steps(reports: Mapping[int, RankReport]) -> dict[int, int]:
    return {r: report.held_step for r, report in reports.items() if report.held_step}


def _has_accepted(result: OrderResult, version: int) -> bool:
    if result.outcome is OrderOutcome.DONE:
        return True
    return result.report is not None and result.report.prepared == version


def _is_armed(result: OrderResult, armed: Armed) -> bool:
    """Return whether the rank reports that it is armed as expected by the order."""
    return result.report is not None and result.report.armed == armed
