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
from canvasyoke.experts._change_types import HOLD_RANK, ChangeRanks, ChangeResult
from canvasyoke.experts._fences import take_fences
from canvasyoke.experts._group import RankGroup
from canvasyoke.experts._member import RankMember
from canvasyoke.experts._rank_port import Armed, RankReport
from canvasyoke.observe import Counter, part_logger
from canvasyoke.state import FleetStore, Unavailable, Unusable

_log = part_logger("standby")
#: The rank beside the owner of a map, and the one whose process stands by for it. Holds
#: are put on the latter, so that they can be released when the owner's machine is lost.
_OWNER_RANK: Final = 0
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
    #: Something stands in the way; the next look tries again.
    UNSETTLED = "could not end what a silent owner left behind"


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
        self._own_rank = report.rank
        self._owner_rank = owner_rank
        self._group = group
        self._store = store
        self._incarnation = incarnation
        self._results = results
        self._clock = clock
        #: A map that all ranks are armed alike for: it needs no hold and no owner.
        self._complete: Armed | None = None
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
            return StandbyTurn.OWNER_ALIVE
        is_armed = report.armed is not None and report.armed != self._complete
        if not is_armed and not report.held_step:
            return StandbyTurn.NOTHING_LEFT
        group = self._group()
        if group is None:
            return StandbyTurn.UNSETTLED
        fences = take_fences(self._store, self._name, self._incarnation, self.epoch)
        if isinstance(fences, Unavailable | Unusable):
            _log.warning("no fence to end a change with", group=self._name, cause=fences.detail)
            return StandbyTurn.NO_FENCE
        ranks = ChangeRanks(own=self._own_rank, owner=_OWNER_RANK, hold=self._own_rank)
        changer = MapChanger(group, ranks, self.epoch, fences, self._clock)
        has_owners_rank = self._is_in_reach()
        result = changer.recover() if has_owners_rank else changer.recover_without_owner()
        self._results.add(f"standby: {result.value}")
        _log.info("recovered", group=self._name, fence=fences.base, result=result.value)
        if result is ChangeResult.IN_FORCE:
            self._complete = report.armed
        settled = result in (ChangeResult.IN_FORCE, ChangeResult.ABANDONED)
        return StandbyTurn.ENDED if settled else StandbyTurn.UNSETTLED

    def _is_in_reach(self) -> bool:
        """Tell whether the owner's rank answers although its process does not."""
        member = self._owner_rank()
        return member is not None and member.report() is not None
