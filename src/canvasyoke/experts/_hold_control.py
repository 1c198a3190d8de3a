"""Places, confirms and releases holds."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Mapping
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

    def _next_place(self, step: int) -> HoldPlace | None:
        """Return the preferred unused place at ``step``."""
        return next(self._holds.unused(self._group.own_rank, self._group.size, step), None)

    def _place_hold(self, place: HoldPlace, current_step: int) -> bool:
        """Order a hold; return whether it is confirmed."""
        self._holds.record(place, current_step)
        order = MapOrder(MapOrderKind.HOLD, self._fences.next(), self._epoch, step=place.step)
        results = self._group.send_orders_directly({place.rank: order}, self._order_timeout)
        self._check_results(results)
        if results[place.rank].outcome is not OrderOutcome.DONE:
            return False
        self._own_hold = place
        return True

    def _ensure_held(self, step: int, found: Mapping[int, int]) -> bool:
        """Ensure that a hold of this process prevents ``step`` or an earlier one.

        ``found`` are the holds in place, steps by rank. They belong to other processes, which may
        release them. They suffice only if they leave no rank for an own hold.
        """
        if self._own_hold is not None and self._own_hold.step <= step:
            return True
        current_step = self._own_report().step
        self._holds.begin(self._epoch)
        places = self._holds.unused(self._group.own_rank, self._group.size, step)
        free = [place for place in places if place.rank not in found]
        if not free:
            return any(held <= step for held in found.values())
        for place in itertools.islice(free, _MAX_RANKS_TRIED):
            if self._place_hold(place, current_step) or self._is_in_place(place):
                return True
        return False

    def _is_in_place(self, place: HoldPlace) -> bool:
        """Return whether the rank reports the hold; adopt it if so."""
        report = self._fetch_reports().get(place.rank)
        if report is None or report.held_step != place.step:
            return False
        self._own_hold = place
        return True

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
