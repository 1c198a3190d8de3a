"""Recovers a map change left unfinished by an unresponsive owner.

A hold does not expire, so an owner that hangs or dies between hold and release stops its group. The
process beside rank 1 monitors its link to the owner. If the link is silent for too long while a
change is in progress, it allocates fences above the owner's, rolls the change back and releases the
hold. Changes of its own begin only when the ranks send it their readings (``_acting_owner``). An
owner that resumes finds newer map versions, or its fences rejected, and takes ownership again.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.experts._change import MapChanger
from canvasyoke.experts._change_types import HOLD_RANK, OWNER_TIMEOUT, ChangeResult
from canvasyoke.experts._fences import FenceSequence, allocate_fences
from canvasyoke.experts._group import RankGroup
from canvasyoke.experts._hold_ledger import HoldLedger
from canvasyoke.experts._rank_client import RankClient
from canvasyoke.experts._rank_port import Armed, RankReport
from canvasyoke.observe import Counter, part_logger
from canvasyoke.state import FleetStore, Unavailable, Unusable

_log = part_logger("standby")
#: Rank whose process is the standby. The owner prefers it for its holds, so that the standby sees
#: them in its own rank's report.
STANDBY_RANK: Final = HOLD_RANK


class StandbyOutcome(enum.StrEnum):
    """Outcome of a check."""

    OWNER_ALIVE = "the owner is heard of"
    NOTHING_LEFT = "the owner is silent, with nothing under way"
    NO_FENCE = "the owner is silent, and the store gives no fence"
    ENDED = "ended what a silent owner left behind"
    #: Another owner has taken over, or the group is in a new epoch.
    OVERTAKEN = "the group is no longer the silent owner's"
    #: Recovery was not possible; the next check retries it.
    UNSETTLED = "could not end what a silent owner left behind"


#: Outcome of a check by the result of the recovery; other results are retried.
_OUTCOMES: Final = {
    ChangeResult.IN_FORCE: StandbyOutcome.ENDED,
    ChangeResult.ABANDONED: StandbyOutcome.ENDED,
    ChangeResult.REPLACED: StandbyOutcome.OVERTAKEN,
    ChangeResult.REFORMED: StandbyOutcome.OVERTAKEN,
}


class Standby:
    """Monitors the owner of one group in one epoch."""

    def __init__(
        self,
        report: RankReport,
        owner_client: Callable[[], RankClient | None],
        group: Callable[[], RankGroup | None],
        store: FleetStore,
        incarnation: str,
        change_counter: Counter,
        clock: Clock,
        holds: HoldLedger | None = None,
    ) -> None:
        self._name = report.group
        #: Epoch of the group.
        self.epoch = report.epoch
        self._owner_client = owner_client
        self._group = group
        self._store = store
        self._incarnation = incarnation
        self._change_counter = change_counter
        self._clock = clock
        self._holds = holds or HoldLedger()
        #: Map that all ranks are armed for; it needs no further recovery.
        self._completed: Armed | None = None
        #: Fences above those of the currently unresponsive owner.
        self._fences: FenceSequence | None = None
        #: Outcome of the last check; only differing outcomes are logged.
        self._last_outcome = StandbyOutcome.OWNER_ALIVE

    def check(
        self, report: RankReport, silence: int, is_group_held: bool = False
    ) -> StandbyOutcome:
        """Check the owner; ``silence`` is the time since its last message.

        ``is_group_held`` tells whether another rank has reported a hold during the silence.
        """
        result = self._evaluate(report, silence, is_group_held)
        if result is not self._last_outcome:
            self._last_outcome = result
            _log.info(result.value, group=self._name, epoch=self.epoch, silence=silence)
        return result

    def _evaluate(self, report: RankReport, silence: int, is_group_held: bool) -> StandbyOutcome:
        if silence < OWNER_TIMEOUT:
            self._fences = None
            return StandbyOutcome.OWNER_ALIVE
        is_armed = report.armed is not None and report.armed != self._completed
        if not is_armed and not report.held_step and not is_group_held:
            return StandbyOutcome.NOTHING_LEFT
        group = self._group()
        if group is None:
            return StandbyOutcome.UNSETTLED
        if self._fences is None and not self._allocate_fences():
            return StandbyOutcome.NO_FENCE
        result = self._recover(group)
        if result is ChangeResult.IN_FORCE:
            self._completed = report.armed
        return _OUTCOMES.get(result, StandbyOutcome.UNSETTLED)

    def _allocate_fences(self) -> bool:
        """Allocate fences above the owner's; they are used until the owner responds again."""
        allocated = allocate_fences(self._store, self._name, self._incarnation, self.epoch)
        if isinstance(allocated, Unavailable | Unusable):
            _log.warning(
                "could not allocate fences for recovery", group=self._name, cause=allocated.detail
            )
            return False
        self._fences = allocated
        return True

    def _recover(self, group: RankGroup) -> ChangeResult:
        """Recover the current change, including the owner's rank if that responds."""
        assert self._fences is not None
        changer = MapChanger(group, self.epoch, self._fences, self._clock, holds=self._holds)
        is_reachable = self._is_owner_rank_reachable()
        result = changer.recover() if is_reachable else changer.recover_without_owner()
        self._change_counter.add(f"standby: {result.value}")
        _log.info("recovered", group=self._name, fence=self._fences.base, result=result.value)
        if result is ChangeResult.REPLACED:
            self._fences = None
        return result

    def _is_owner_rank_reachable(self) -> bool:
        """Return whether the owner's rank responds although its process does not."""
        client = self._owner_client()
        return client is not None and client.report() is not None
