"""Ends a change of the map that its owner has left behind.

A hold does not lapse: an owner that stands still or dies between hold and release stops
its group for as long as it is away. The process beside rank 1 watches the owner's link.
When that has been silent for a while and a change is under way, it takes fences above
the owner's, disarms all ranks and releases the hold. It changes no map itself; an owner
that comes back finds its fence too low and takes the group on anew.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.experts._change import MapChanger
from canvasyoke.experts._change_types import HOLD_RANK, ChangeResult
from canvasyoke.experts._fences import Fences, take_fences
from canvasyoke.experts._group import RankGroup
from canvasyoke.experts._member import RankMember
from canvasyoke.experts._rank_port import Armed, RankReport
from canvasyoke.observe import Counter, part_logger
from canvasyoke.state import FleetStore, Unavailable, Unusable

_log = part_logger("standby")
#: The rank whose process stands by: holds are put there, so that they can be released
#: when the owner's machine is lost.
STANDBY_RANK: Final = HOLD_RANK
#: Milliseconds of silence after which the owner is taken to stand still. It answers the
#: readings that it gets five times a second within a few milliseconds each.
_OWNER_SILENCE: Final = 600


class StandbyTurn(enum.StrEnum):
    """What one look came to."""

    OWNER_ALIVE = "the owner is heard of"
    NOTHING_LEFT = "the owner is silent, with nothing under way"
    NO_FENCE = "the owner is silent, and the store gives no fence"
    ENDED = "ended what a silent owner left behind"
    #: Another owner has the group, or it was formed anew.
    OVERTAKEN = "the group is no longer the silent owner's"
    #: Something stands in the way; the next look tries again.
    UNSETTLED = "could not end what a silent owner left behind"


#: What a look came to by how the change ended; any other result is tried again.
_TURNS: Final = {
    ChangeResult.IN_FORCE: StandbyTurn.ENDED,
    ChangeResult.ABANDONED: StandbyTurn.ENDED,
    ChangeResult.REPLACED: StandbyTurn.OVERTAKEN,
    ChangeResult.REFORMED: StandbyTurn.OVERTAKEN,
}


class Standby:
    """Watches over one group in one epoch."""

    def __init__(
        self,
        report: RankReport,
        owner_rank: Callable[[], RankMember | None],
        group: Callable[[], RankGroup | None],
        store: FleetStore,
        incarnation: str,
        results: Counter,
        clock: Clock,
    ) -> None:
        self._name = report.group
        #: Epoch of the group.
        self.epoch = report.epoch
        self._owner_rank = owner_rank
        self._group = group
        self._store = store
        self._incarnation = incarnation
        self._results = results
        self._clock = clock
        #: A map that all ranks are armed alike for: it needs no hold and no owner.
        self._complete: Armed | None = None
        #: Fences above those of the owner that is silent now.
        self._fences: Fences | None = None
        #: What the last look came to, so that only changes are logged.
        self._last = StandbyTurn.OWNER_ALIVE

    def turn(self, report: RankReport, silence: int) -> StandbyTurn:
        """Look once; ``silence`` is the time since the owner was last heard of."""
        result = self._look(report, silence)
        if result is not self._last:
            self._last = result
            _log.info(result.value, group=self._name, epoch=self.epoch, silence=silence)
        return result

    def _look(self, report: RankReport, silence: int) -> StandbyTurn:
        if silence < _OWNER_SILENCE:
            self._fences = None
            return StandbyTurn.OWNER_ALIVE
        is_armed = report.armed is not None and report.armed != self._complete
        if not is_armed and not report.held_step:
            return StandbyTurn.NOTHING_LEFT
        group = self._group()
        if group is None:
            return StandbyTurn.UNSETTLED
        if self._fences is None and not self._take_fences():
            return StandbyTurn.NO_FENCE
        result = self._end(group)
        if result is ChangeResult.IN_FORCE:
            self._complete = report.armed
        return _TURNS.get(result, StandbyTurn.UNSETTLED)

    def _take_fences(self) -> bool:
        """Take fences above the owner's; they serve until it is heard of again."""
        taken = take_fences(self._store, self._name, self._incarnation, self.epoch)
        if isinstance(taken, Unavailable | Unusable):
            _log.warning("no fence to end a change with", group=self._name, cause=taken.detail)
            return False
        self._fences = taken
        return True

    def _end(self, group: RankGroup) -> ChangeResult:
        """End the change under way, with the owner's rank if it answers."""
        assert self._fences is not None
        changer = MapChanger(group, self.epoch, self._fences, self._clock)
        has_owners_rank = self._is_in_reach()
        result = changer.recover() if has_owners_rank else changer.recover_without_owner()
        self._results.add(f"standby: {result.value}")
        _log.info("recovered", group=self._name, fence=self._fences.base, result=result.value)
        if result is ChangeResult.REPLACED:
            self._fences = None
        return result

    def _is_in_reach(self) -> bool:
        """Tell whether the owner's rank answers although its process does not."""
        member = self._owner_rank()
        return member is not None and member.report() is not None
