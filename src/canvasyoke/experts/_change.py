"""Putting a map in force on all ranks of a group at one step, or on none.

No step may begin while two ranks have different maps. Orders may be lost, or be carried
out seconds after they were given up, and the owner itself may die between any two.

The change is safe because ranks are armed only while the group is held before the step
that they are armed for. The step cannot begin until the hold is released, and it is
released only when every rank has said that it is armed for that step, or every rank
has said that it is not armed at all. Orders that come late meet a higher fence, which
every rank has seen before the release.

A hold does not lapse, so whoever owns the map next looks for one before it does
anything else, and ends it the same way (``recover``).

The owner's machine may stand still with its rank out of reach. So the hold is not put
on the owner's rank, and that rank is armed last and disarmed first: it can be armed only
while all others are. Where one of them is not, another process may end the change
without a word from the owner's rank (``recover_without_owner``).
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping, Set
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.experts._change_types import HOLD_RANK, OWNER_RANK, ChangeResult, ChangeTimes
from canvasyoke.experts._fences import Fences
from canvasyoke.experts._group import NewMap, Ordered, RankGroup
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
#: Milliseconds for an order, its answer and the report after it, each with its own limit
#: at the engine; the farthest rank mostly answers all of it within ten. Each rank more
#: takes the owner's process up to 3 ms: at 200 ms for all, orders to 96 ranks were given
#: again while their answers were on the way.
_ORDER_TIMEOUT: Final = 200
_ORDER_TIME_A_RANK: Final = 3
#: Milliseconds beyond the time computed for copies after which a change is dropped.
_COPY_SLACK: Final = 1_500
#: Milliseconds between questions whether all ranks have copied.
_ASK_EVERY: Final = 25
#: Steps ahead of the last one begun that are tried, nearest first. A step takes 50 ms
#: or more, and arming takes a round trip: the nearest step mostly begins on time.
_STEPS_AHEAD: Final = (1, 1, 2, 3, 5)
#: The same while orders go unanswered: arming then takes several timeouts, and a step
#: farther ahead leaves time for them before the group has to stand still.
_STEPS_AHEAD_CAREFUL: Final = (5, 5, 6, 7, 8)
#: Times that arming is tried while the group is held: with a third of the orders
#: unanswered, all of eight ranks have answered after five in 24 of 25 changes.
_ARM_TRIES: Final = 5
#: Milliseconds between tries of what must succeed before the group may go on.
_INSIST_EVERY: Final = 50
#: Ranks that a line of the log names at the most.
_LOGGED_RANKS: Final = 8
#: Version in an order to disarm that only raises the fence: no map has it.
_ANY_VERSION: Final = 1
#: Orders that have been carried out, or that a rank in another epoch has no need of.
_SETTLED: Final = frozenset({OrderOutcome.DONE, OrderOutcome.CONFLICT})


class _Replaced(Exception):
    """A rank has seen the fence of another owner."""


class _Reformed(Exception):
    """The group is in another epoch."""


class MapChanger:
    """Changes one group's map, one change after the other."""

    def __init__(
        self,
        group: RankGroup,
        epoch: int,
        fences: Fences,
        clock: Clock,
        pause: Callable[[float], object] | None = None,
    ) -> None:
        self._group = group
        self._epoch = epoch
        self._fences = fences
        self._clock = clock
        self._pause = pause or threading.Event().wait
        #: What the parts of the last change took.
        self.times = ChangeTimes()
        #: Whether a rank left an order of the change under way unanswered.
        self._is_careful = False
        self._timing = StepTiming(group.size)
        self._order_timeout = _ORDER_TIMEOUT + _ORDER_TIME_A_RANK * group.size

    def change(self, new: NewMap) -> ChangeResult:
        """Put ``new`` in force; returns when all is settled either way."""
        return _end_of(lambda: self._change(new))

    def recover(self) -> ChangeResult:
        """End what an earlier owner has left behind: holds and armed ranks."""
        return _end_of(self._recover)

    def _change(self, new: NewMap) -> ChangeResult:
        self.times = ChangeTimes()
        began = self._clock.now()
        self._timing.saw_step(self._own().step, began)
        is_prepared = self._prepare(new)
        self.times.prepare = self._clock.now() - began
        if not is_prepared:
            return ChangeResult.NOT_PREPARED
        step = self._hold()
        if not step:
            return ChangeResult.NOT_HELD
        began = self._clock.now()
        armed = self._arm(new.version, step)
        self.times.arm = self._clock.now() - began
        self._timing.armed(self.times.arm)
        self._timing.paused()
        if not armed:
            self._disarm_all(dict.fromkeys(range(self._group.size), new.version))
        self._release({HOLD_RANK: step})
        return ChangeResult.IN_FORCE if armed else ChangeResult.ABANDONED

    def recover_without_owner(self) -> ChangeResult:
        """End what a silent owner has left behind while its rank is out of reach too."""
        return _end_of(self._recover_without_owner)

    def _recover_without_owner(self) -> ChangeResult:
        if not self._raise_fences(self._others):
            return ChangeResult.NOT_HELD
        reports = self._group.ask(self._order_timeout)
        self._check_epoch(reports.values())
        if not self._others <= reports.keys():
            return ChangeResult.NOT_HELD
        armed = {r: rep.armed for r, rep in reports.items() if rep.armed is not None}
        if self._others <= armed.keys():
            return ChangeResult.NOT_HELD  # the owner's rank may be armed as well
        held = {r: rep.held_step for r, rep in reports.items() if rep.held_step}
        first = min((each.step for each in armed.values()), default=0)
        if armed and not self._is_held_before(first, held):
            return ChangeResult.NOT_HELD
        self._disarm(self._others, {r: each.version for r, each in armed.items()})
        self._release(held)
        return ChangeResult.ABANDONED

    @property
    def _others(self) -> set[int]:
        """Return all ranks but the owner's."""
        return set(range(self._group.size)) - {OWNER_RANK}

    def _raise_fences(self, ranks: Set[int]) -> bool:
        """See that orders of owners before this one find every rank closed, and wait
        until the ranks' reports tell what orders before that did."""
        order = MapOrder(
            MapOrderKind.DISARM, self._fences.next(), self._epoch, version=_ANY_VERSION
        )
        given = self._group.give(dict.fromkeys(ranks, order), self._order_timeout)
        self._check(given)
        if any(ordered.outcome not in _SETTLED for ordered in given.values()):
            return False
        self._pause(self._group.report_lag / SECOND)
        return True

    def _recover(self) -> ChangeResult:
        """End holds, and first the change that one of them was for.

        Ranks that are armed alike stay so: they are safe without a hold. Otherwise every
        rank is disarmed, also where none is armed: an order to arm may still be on its
        way, and must meet a higher fence before the hold is released. Meanwhile the group
        must not reach the step that some are armed for.
        """
        if self._group.report_lag and not self._raise_fences(set(range(self._group.size))):
            return ChangeResult.NOT_HELD
        reports = self._all_reports()
        held = {r: report.held_step for r, report in reports.items() if report.held_step}
        armed = [report.armed for report in reports.values() if report.armed is not None]
        is_complete = len(armed) == self._group.size and len(set(armed)) == 1
        if (armed or held) and not is_complete:
            if armed and not self._is_held_before(min(each.step for each in armed), held):
                return ChangeResult.NOT_HELD
            _log.info("ending a change left behind", armed=len(armed), held=held)
            self._disarm_all(
                {r: rep.armed.version for r, rep in reports.items() if rep.armed is not None}
            )
        self._release(held)
        return ChangeResult.IN_FORCE if is_complete or not armed else ChangeResult.ABANDONED

    def _is_held_before(self, first: int, held: dict[int, int]) -> bool:
        """See that the group is held at step ``first`` or before it; notes a new hold."""
        if any(step <= first for step in held.values()):
            return True
        self._is_careful = False
        step = self._hold()
        if step:
            held[HOLD_RANK] = step
        return 0 < step <= first

    def _all_reports(self) -> Mapping[int, RankReport]:
        while True:
            reports = self._group.ask(self._order_timeout)
            self._check_epoch(reports.values())
            if len(reports) == self._group.size:
                return reports
            self._check_own()
            self._pause(_INSIST_EVERY / SECOND)

    def _prepare(self, new: NewMap) -> bool:
        """Have all ranks copy their experts; true once all have."""
        fence = self._fences.next()
        order = MapOrder(
            MapOrderKind.PREPARE,
            fence,
            self._epoch,
            version=new.version,
            layers_by_rank=new.layers_by_rank,
        )
        began = self._clock.now()
        limit = began + new.copy_time + _COPY_SLACK
        self._is_careful = False
        missing = set(range(self._group.size))
        while missing:
            given = self._group.give(dict.fromkeys(missing, order), self._order_timeout)
            self._check(given)
            outcomes = {ordered.outcome for ordered in given.values()}
            self._is_careful = self._is_careful or OrderOutcome.UNKNOWN in outcomes
            missing = {r for r, o in given.items() if not _has_taken(o, new.version)}
            is_refused = any(
                given[r].outcome in (OrderOutcome.CONFLICT, OrderOutcome.REJECTED) for r in missing
            )
            if is_refused or (missing and self._clock.now() > limit):
                _log.warning(
                    "map not taken",
                    version=new.version,
                    missing=len(missing),
                    ranks={r: given[r].outcome.value for r in sorted(missing)[:_LOGGED_RANKS]},
                )
                return False
        self.times.taken = self._clock.now() - began
        return self._await_copies(new, limit)

    def _await_copies(self, new: NewMap, limit: int) -> bool:
        self._pause(new.copy_time / SECOND)
        missing = set(range(self._group.size))
        reports: Mapping[int, RankReport] = {}
        while self._clock.now() < limit:
            self.times.asked += 1
            reports = self._group.ask(self._order_timeout)
            self._check_epoch(reports.values())
            missing = set(range(self._group.size)) - {
                r for r, report in reports.items() if report.prepared == new.version
            }
            if not missing:
                return True
            self._pause(_ASK_EVERY / SECOND)
        _log.warning(
            "map not copied in time",
            version=new.version,
            missing=len(missing),
            unheard=len(missing - reports.keys()),
            ranks=sorted(missing)[:_LOGGED_RANKS],
        )
        return False

    def _hold(self) -> int:
        """Keep the group from beginning a step soon to come; return it, or 0."""
        fence = self._fences.next()
        for ahead in _STEPS_AHEAD_CAREFUL if self._is_careful else _STEPS_AHEAD:
            own = self._own()
            self._timing.saw_step(own.step, self._clock.now())
            step = own.step + ahead + self._timing.more
            order = MapOrder(MapOrderKind.HOLD, fence, self._epoch, step=step)
            given = self._group.give_directly({HOLD_RANK: order}, self._order_timeout)
            self._check(given)
            if given[HOLD_RANK].outcome is OrderOutcome.DONE:
                return step
            held = self._held_now()
            if held:
                return held
        return 0

    def _held_now(self) -> int:
        """Return the step that the group is held at; 0 for none that is known."""
        report = self._group.ask(self._order_timeout).get(HOLD_RANK)
        return report.held_step if report is not None else 0

    def _arm(self, version: int, step: int) -> bool:
        """Arm all ranks for ``step``; true only if every one says that it is."""
        fence = self._fences.next()
        order = MapOrder(MapOrderKind.ARM, fence, self._epoch, version=version, step=step)
        return self._arm_each(self._others, order) and self._arm_each({OWNER_RANK}, order)

    def _arm_each(self, ranks: Set[int], order: MapOrder) -> bool:
        missing = set(ranks)
        for _ in range(_ARM_TRIES):
            self.times.arm_tries += 1
            given = self._group.give(dict.fromkeys(missing, order), self._order_timeout)
            self._check(given)
            wanted = Armed(order.version, order.step)
            missing = {r for r, o in given.items() if not _is_armed(o, wanted)}
            if not missing:
                return True
            if any(given[r].outcome is OrderOutcome.CONFLICT for r in missing):
                return False
        return False

    def _disarm_all(self, armed: Mapping[int, int]) -> None:
        """Have every rank say that it is not armed, under a fence above all orders before.

        ``armed`` has the versions that ranks are known to be armed for.
        """
        self._disarm({OWNER_RANK}, armed)
        self._disarm(self._others, armed)

    def _disarm(self, ranks: Set[int], armed: Mapping[int, int]) -> None:
        versions = dict(armed)
        missing = set(ranks)
        while missing:
            fence = self._fences.next()
            orders = {
                r: MapOrder(
                    MapOrderKind.DISARM,
                    fence,
                    self._epoch,
                    version=versions.get(r, _ANY_VERSION),
                )
                for r in missing
            }
            given = self._group.give(orders, self._order_timeout)
            self._check(given)
            for rank, ordered in given.items():
                if ordered.report is not None and ordered.report.armed is not None:
                    versions[rank] = ordered.report.armed.version
            missing = {r for r, o in given.items() if not _is_disarmed(o)}
            if missing:
                self._check_own()
                self._pause(_INSIST_EVERY / SECOND)

    def _release(self, held: Mapping[int, int]) -> None:
        """Let the group go on; insists until every holder says that it holds nothing."""
        missing = dict(held)
        while missing:
            fence = self._fences.next()
            orders = {
                r: MapOrder(MapOrderKind.RELEASE, fence, self._epoch, step=step)
                for r, step in missing.items()
            }
            given = self._group.give(orders, self._order_timeout)
            self._check(given)
            for rank, ordered in given.items():
                if ordered.report is not None and not ordered.report.held_step:
                    del missing[rank]
            if missing:
                self._check_own()
                self._pause(_INSIST_EVERY / SECOND)

    def _own(self) -> RankReport:
        """Return the own rank's report, insisting until there is one."""
        while True:
            report = self._group.own_report()
            if report is not None:
                self._check_epoch([report])
                return report
            self._pause(_INSIST_EVERY / SECOND)

    def _check_own(self) -> None:
        report = self._group.own_report()
        if report is not None:
            self._check_epoch([report])

    def _check(self, given: Mapping[int, Ordered]) -> None:
        """Stop when the group or its owner is another than this change began with."""
        if any(ordered.outcome is OrderOutcome.FENCED for ordered in given.values()):
            raise _Replaced
        self._check_epoch([o.report for o in given.values() if o.report is not None])

    def _check_epoch(self, reports: object) -> None:
        for report in reports:  # type: ignore[attr-defined]
            if report.epoch != self._epoch:
                raise _Reformed


def _end_of(carry_out: Callable[[], ChangeResult]) -> ChangeResult:
    """Return how a change ended, also where it is no longer this owner's to end."""
    try:
        return carry_out()
    except _Replaced:
        return ChangeResult.REPLACED
    except _Reformed:
        return ChangeResult.REFORMED


def _has_taken(ordered: Ordered, version: int) -> bool:
    if ordered.outcome is OrderOutcome.DONE:
        return True
    return ordered.report is not None and ordered.report.prepared == version


def _is_armed(ordered: Ordered, armed: Armed) -> bool:
    """Tell whether a rank that answered the order also says that it is armed."""
    return ordered.report is not None and ordered.report.armed == armed


def _is_disarmed(ordered: Ordered) -> bool:
    """Tell whether a rank has seen the fence and says that it is not armed."""
    if ordered.outcome not in _SETTLED or ordered.report is None:
        return False
    return ordered.report.armed is None
