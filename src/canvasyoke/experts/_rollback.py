"""Rolls a map change back so that no order of it can take effect any more.

A rank that has been disarmed can be armed again by an order that is executed late, or by an owner
that resumes. Engines need not check fences, so the rollback relies on what every engine checks: it
arms a rank only for the map that is prepared there, and prepares only a version above all earlier
ones. A rank is superseded by preparing the experts that it holds already under a newer version.
From then on it can neither be armed for an earlier version nor prepare one.

Ranks are disarmed only behind a hold of this process. The hold of the change does not suffice: its
owner may resume at any time, take all ranks for armed and release it.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from dataclasses import dataclass, field
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.experts._change_types import OWNER_RANK
from canvasyoke.experts._group import OrderResult
from canvasyoke.experts._group_control import ACKNOWLEDGED, RETRY_INTERVAL
from canvasyoke.experts._hold_control import HoldControl
from canvasyoke.experts._rank_port import Armed, MapOrder, MapOrderKind, OrderOutcome
from canvasyoke.observe import part_logger

_log = part_logger("map")
#: Maximum rounds of orders of one rollback. Each unanswered order takes another round.
_MAX_ROUNDS: Final = 100


@dataclass(slots=True)
class _Rollback:
    """Progress of one rollback."""

    #: Ranks to be superseded.
    ranks: Set[int]
    #: Version that supersedes all earlier ones.
    version: int
    #: Ranks that are known to be armed.
    armed: dict[int, Armed]
    #: Ranks that have been superseded.
    superseded: set[int] = field(default_factory=set)

    @property
    def is_complete(self) -> bool:
        """Return whether all ranks have been superseded."""
        return self.superseded >= self.ranks

    def can_disarm(self, rank: int) -> bool:
        """Return whether the rank may be disarmed already.

        The owner's rank must not be armed once another rank is not. It is superseded first, or, if
        it is out of reach, a rank for whose arming the owner still waits.
        """
        if OWNER_RANK in self.ranks:
            return rank == OWNER_RANK or OWNER_RANK in self.superseded
        return bool(self.superseded)

    def record(self, orders: Mapping[int, MapOrder], results: Mapping[int, OrderResult]) -> bool:
        """Record the results of a round; return whether any rank has made progress."""
        was_armed = dict(self.armed)
        done = len(self.superseded)
        for rank, result in results.items():
            if orders[rank].kind is MapOrderKind.DISARM:
                if result.outcome in ACKNOWLEDGED:
                    del self.armed[rank]
            elif result.outcome is OrderOutcome.DONE:
                self.superseded.add(rank)
            elif result.report is not None and result.report.armed is not None:
                self.armed[rank] = result.report.armed
        return len(self.superseded) > done or self.armed != was_armed


class RollbackControl(HoldControl):
    """Rolls changes back."""

    def _roll_back(
        self, ranks: Set[int], armed: Mapping[int, Armed], found: Mapping[int, int]
    ) -> bool:
        """Disarm and supersede ``ranks``; return whether all of them have confirmed it.

        ``armed`` and ``found`` are the known armed ranks and holds. The caller releases the holds.
        """
        rollback = _Rollback(ranks, self._fences.next(), dict(armed))
        experts = self._group.expert_count()
        for _ in range(_MAX_ROUNDS if experts else 0):
            orders = self._rollback_orders(rollback, experts, found)
            if not orders:
                break
            results = self._group.send_orders(orders, self._order_timeout)
            self._check_results(results)
            has_progress = rollback.record(orders, results)
            if rollback.is_complete:
                return True
            self._check_own_epoch()
            if not has_progress:
                self._pause(RETRY_INTERVAL / SECOND)
        _log.warning(
            "rollback not finished",
            armed=len(rollback.armed),
            superseded=len(rollback.superseded),
            ranks=len(ranks),
        )
        return False

    def _rollback_orders(
        self, rollback: _Rollback, experts: int, found: Mapping[int, int]
    ) -> dict[int, MapOrder]:
        """Return the orders of the next round; none if the rollback is not possible."""
        armed_steps = [state.step for state in rollback.armed.values()]
        if armed_steps and not self._ensure_held(min(armed_steps), found):
            rollback.armed.clear()  # the step may have begun; the next answers tell
        fence = self._fences.next()
        supersede = MapOrder(
            MapOrderKind.PREPARE, fence, self._epoch, rollback.version, experts=experts
        )
        unarmed = rollback.ranks - rollback.superseded - rollback.armed.keys()
        orders = dict.fromkeys(unarmed, supersede)
        for rank, state in rollback.armed.items():
            if rollback.can_disarm(rank):
                orders[rank] = MapOrder(MapOrderKind.DISARM, fence, self._epoch, state.version)
        return orders
