"""Places, confirms and releases holds."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Set
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.experts._fences import FenceSequence
from canvasyoke.experts._group import RankGroup
from canvasyoke.experts._group_control import ACKNOWLEDGED, RETRY_INTERVAL, GroupControl
from canvasyoke.experts._hold_ledger import HoldLedger, HoldPlace
from canvasyoke.experts._rank_port import MapOrder, MapOrderKind, OrderOutcome

#: Maximum number of ranks on which a hold before a given step is attempted.
_MAX_RANKS_TRIED: Final = 4


class HoldControl(GroupControl):
    """Holds of one owner; at most one of them is needed at a time."""

    def __init__(
        self,
        group: RankGroup,
        epoch: int,
        fences: FenceSequence,
        pause: Callable[[float], object],
        holds: HoldLedger,
    ) -> None:
        super().__init__(group, epoch, fences, pause)
        self._holds = holds
        #: The confirmed hold of this process.
        self._own_hold: HoldPlace | None = None

    def _next_place(self, step: int, avoided: Set[int]) -> HoldPlace | None:
        """Return the preferred unused place at ``step`` on a rank that is not ``avoided``."""
        places = self._holds.unused(self._group.own_rank, self._group.size, step)
        return next((place for place in places if place.rank not in avoided), None)

    def _place_hold(self, place: HoldPlace, current_step: int) -> OrderOutcome:
        """Order a hold and return the outcome of the order; the hold is confirmed if it is done."""
        self._holds.record(place, current_step)
        order = MapOrder(MapOrderKind.HOLD, self._fences.next(), self._epoch, step=place.step)
        results = self._group.send_orders_directly({place.rank: order}, self._order_timeout)
        self._check_results(results)
        outcome = results[place.rank].outcome
        if outcome is OrderOutcome.DONE:
            self._own_hold = place
        return outcome

    def _adopt_hold(self, ordered: Iterable[HoldPlace]) -> HoldPlace | None:
        """Return the first of the ordered holds that a rank reports, and count it as confirmed."""
        reports = self._fetch_reports()
        for place in ordered:
            report = reports.get(place.rank)
            if report is not None and report.held_step == place.step:
                self._own_hold = place
                return place
        return None

    def _ensure_held(self, step: int, found: Mapping[int, int]) -> bool:
        """Ensure that a hold of this process prevents ``step`` or an earlier one.

        ``found`` are the holds in place, steps by rank. They belong to other processes, which may
        release them. They suffice only if they leave no rank for an own hold.
        """
        if self._own_hold is not None and self._own_hold.step <= step:
            return True
        current_step = self._own_report().step
        self._holds.begin(self._epoch)
        avoided = set(found)
        if self._next_place(step, avoided) is None:
            return any(held <= step for held in found.values())
        for _ in range(_MAX_RANKS_TRIED):
            place = self._next_place(step, avoided)
            if place is None:
                break
            if self._place_hold(place, current_step) is OrderOutcome.DONE:
                return True
            if self._adopt_hold([place]) is not None:
                return True
            avoided.add(place.rank)
        return False

    def _release(self, found: Mapping[int, int]) -> None:
        """Release the own hold, and those in ``found``, until each rank has acknowledged it.

        A rank that refuses holds another step, so the hold to be released is gone.
        """
        pending = dict(found)
        if self._own_hold is not None:
            pending.setdefault(self._own_hold.rank, self._own_hold.step)
        while pending:
            fence = self._fences.next()
            orders = {
                r: MapOrder(MapOrderKind.RELEASE, fence, self._epoch, step=step)
                for r, step in pending.items()
            }
            results = self._group.send_orders(orders, self._order_timeout)
            self._check_results(results)
            pending = {r: pending[r] for r, o in results.items() if o.outcome not in ACKNOWLEDGED}
            if pending:
                self._check_own_epoch()
                self._pause(RETRY_INTERVAL / SECOND)
        self._own_hold = None
