"""Owner of a group's expert map: follows demand with small incremental changes.

The process beside rank 0 owns the map of its group. There is exactly one such process, so no
election is needed; if its rank is lost, so is the group. When it takes ownership it allocates
fences above those of all earlier owners.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.coordination import (
    DEMAND_ESTIMATORS,
    MIN_SAVINGS,
    DemandEstimator,
    DemandStabilityEstimator,
    ExpertMap,
    Layer,
    MapUpdate,
    MapUpdateParameters,
    map_skew,
    plan_map_update,
)
from canvasyoke.experts._change import MapChanger
from canvasyoke.experts._change_types import OWNER_RANK, ChangeResult
from canvasyoke.experts._fences import FenceSequence, allocate_fences
from canvasyoke.experts._group import NewMap
from canvasyoke.experts._hold_ledger import HoldLedger
from canvasyoke.experts._linked_group import LinkedGroup
from canvasyoke.experts._rank_port import RankLayers, RankReport
from canvasyoke.experts._reading_schedule import READ_INTERVAL, intervals_per_round
from canvasyoke.experts._relay import ranks_sharing_link
from canvasyoke.observe import Counter, part_logger
from canvasyoke.state import FleetStore, RankGeometry, Unavailable, Unusable

_log = part_logger("owner")
#: Milliseconds to wait for the ranks' layers.
_LAYERS_TIMEOUT: Final = 500
#: Registered name of the demand estimator.
_ESTIMATOR_NAME: Final = "moves"
#: Minimum total of the counts, over all layers and experts, for planning.
_MIN_COUNTS: Final = 20_000
#: Milliseconds without planning after no worthwhile change was found, and the rise in skew that
#: ends this interval early. Planning is too expensive to repeat at every tick. A plan for 24 ranks
#: and 16 layers takes a quarter of a second of processor time.
_REPLAN_INTERVAL: Final = 2_000
_REPLAN_SKEW_RISE: Final = 0.1
#: Milliseconds after a demand shift during which a change with smaller savings is accepted, and
#: those savings: a map planned right after a shift may be based in part on counts from before it.
#: Applies only if a copy takes at most ``_MAX_COPY_FRACTION`` of the expected duration of the
#: demand, as otherwise the additional copies cost more than they save. On one simulated day each,
#: 568 callers were late instead of 606 with copies of 14 ms, but 329 instead of 225 with copies of
#: 400 ms.
_SHIFT_WINDOW: Final = 1_500
_SHIFT_MIN_SAVINGS: Final = 0.12
_MAX_COPY_FRACTION: Final = 0.02
#: Version of no map: the ranks' layers are to be read.
_UNKNOWN_VERSION: Final = -1
#: Milliseconds that a change takes in addition to its copies, for orders, polling and arming. 12 of
#: 13 changes of 12 ranks took 46 to 144 ms, one 179 ms.
_CHANGE_OVERHEAD: Final = 100


class MapOwner:
    """Owns one group's map for one epoch of the group."""

    def __init__(
        self,
        group: LinkedGroup,
        store: FleetStore,
        incarnation: str,
        geometry: RankGeometry,
        demand: DemandStabilityEstimator,
        change_counter: Counter,
        clock: Clock,
        pause: Callable[[float], object] | None = None,
        holds: HoldLedger | None = None,
    ) -> None:
        self._group = group
        self._store = store
        self._incarnation = incarnation
        self._geometry = geometry
        self._demand = demand
        self._clock = clock
        self._pause = pause
        self._holds = holds or HoldLedger()
        #: Whether this is the standby, which stops for good when it is replaced.
        self._is_standby = group.own_rank != OWNER_RANK
        self._changer: MapChanger | None = None
        self._fences: FenceSequence | None = None
        self._layers: tuple[Layer, ...] = ()
        #: Version of the map in ``_layers``.
        self._version = 0
        self._estimator: DemandEstimator | None = None
        #: Whether the process has not run for some time, so that a recovery is due.
        self._has_paused = False
        #: Demand shifts when a change was last considered, and the time of the last shift.
        self._shift_count = 0
        self._shifted_at = -_SHIFT_WINDOW
        self._change_counter = change_counter
        #: Skew for which no worthwhile change was found, and the time until which no other is
        #: planned unless the skew rises.
        self._rejected_skew = 0.0
        self._next_plan_at = 0
        #: Skew of the map in force under the latest demand; 0 if unknown.
        self.skew = 0.0

    @property
    def epoch(self) -> int:
        """Return the epoch of the group."""
        return self._group.epoch

    @property
    def owns_map(self) -> bool:
        """Return whether this owner has taken ownership of the map."""
        return self._changer is not None

    @property
    def fence(self) -> int:
        """Return the number below all of this owner's fences; 0 before it has any."""
        return self._fences.base if self._fences is not None else 0

    def resume(self) -> None:
        """Forget demand and map after a pause, in which the standby may have acted.

        The next tick finds out by raising its own fences. They are enough if nobody else has acted,
        so that a pause while the store is down does not end the ownership.
        """
        self._has_paused = True
        self._estimator = None
        self._version = _UNKNOWN_VERSION

    def tick(self) -> bool:
        """Do the work that is due; return false if the group no longer belongs to this owner."""
        if self._changer is None:
            return self._take_ownership()
        report = self._group.own_report()
        if report is None:
            return True
        if report.epoch != self._group.epoch:
            return False
        if self._has_paused or self._is_held(report):
            result = self._changer.recover()
            if not self._record_result(result):
                return False
            self._has_paused = result is ChangeResult.NOT_HELD
            if self._has_paused:
                return True
        is_frame_complete = self._add_counts(self._group.take_counts())
        if not report.is_open or report.armed is not None:
            return True
        if report.map_version != self._version and not self._read_layers():
            return True
        if not is_frame_complete or self._estimator is None:
            return True
        return self._update_map(self._changer, self._estimator)

    def _take_ownership(self) -> bool:
        """Allocate fences and complete or roll back the previous owner's change."""
        if not self._group.is_linked:
            return True
        fences = self._fences or self._allocate_fences()
        if fences is None:
            return True
        changer = MapChanger(
            self._group, self._group.epoch, fences, self._clock, self._pause, self._holds
        )
        result = changer.recover()
        if not self._record_result(result):
            self._fences = None
            return not self._is_standby and self._group.epoch == self._current_epoch()
        if result is ChangeResult.NOT_HELD:
            self._fences = fences
            return True
        if not self._read_layers():
            self._fences = fences if self._is_standby else None
            return self._group.epoch == self._current_epoch()
        self._changer, self._fences = changer, fences
        _log.info(
            "owns the map", group=self._group.name, epoch=self._group.epoch, fence=fences.base
        )
        return True

    def _allocate_fences(self) -> FenceSequence | None:
        fences = allocate_fences(
            self._store, self._group.name, self._incarnation, self._group.epoch
        )
        if isinstance(fences, Unavailable | Unusable):
            _log.warning(
                "could not take ownership of the group", group=self._group.name, cause=fences.detail
            )
            return None
        return fences

    def _is_held(self, own: RankReport) -> bool:
        """Return whether a hold exists although no change is in progress."""
        return bool(own.held_step) or self._group.confirms_hold()

    def _current_epoch(self) -> int:
        report = self._group.own_report()
        return report.epoch if report is not None else self._group.epoch

    def _record_result(self, result: ChangeResult) -> bool:
        """Count the result of a change; return false if it shows that the group is lost."""
        self._change_counter.add(f"standby: {result.value}" if self._is_standby else result.value)
        return result not in (ChangeResult.REFORMED, ChangeResult.REPLACED)

    def _read_layers(self) -> bool:
        """Read the map in force from the ranks."""
        held = dict(self._group.fetch_layers(_LAYERS_TIMEOUT))
        own = self._group.own_layers()
        if own is not None:
            held[self._group.own_rank] = own.layers
            self._version = own.version
        if len(held) != self._group.size:
            return False
        self._layers = _holders(held, self._geometry.experts)
        return True

    def _add_counts(self, counts: Sequence[int]) -> bool:
        """Add counts to the demand estimate; return whether they completed a frame."""
        if self._estimator is None:
            if not counts:
                return False
            frame = READ_INTERVAL * intervals_per_round(
                ranks_sharing_link(self._group.size), len(counts)
            )
            self._estimator = DEMAND_ESTIMATORS.get(_ESTIMATOR_NAME)(frame)
        return self._estimator.add_counts(self._clock.wall(), counts)

    def _update_map(self, changer: MapChanger, estimator: DemandEstimator) -> bool:
        weights = self._by_layer(estimator.weights)
        if sum(estimator.weights) < _MIN_COUNTS:
            return True
        now = self._clock.now()
        ranks = range(self._group.size)
        slowdowns = self._group.slowdowns()
        if not slowdowns:
            self.skew = map_skew(ExpertMap(self._layers), weights, ranks)
            self._demand.record_skew(now, self.skew)
        else:  # skew caused by slow ranks says nothing about demand
            self.skew = map_skew(ExpertMap(self._layers), weights, ranks, slowdowns)
        if estimator.is_transitioning:
            _log.info("demand moves", group=self._group.name, skew=round(self.skew, 3))
            return True
        has_shifted = estimator.shift_count != self._shift_count
        self._shift_count = estimator.shift_count
        if has_shifted:
            self._shifted_at = now
        is_suppressed = (
            self.skew < self._rejected_skew + _REPLAN_SKEW_RISE and now < self._next_plan_at
        )
        if is_suppressed and not has_shifted:
            return True
        started_at = self._clock.now()
        update = self._plan(weights, slowdowns)
        if not update.copies:
            _log.info(
                "no worthwhile map change",
                group=self._group.name,
                skew=round(self.skew, 3),
                counts=round(sum(estimator.weights)),
                horizon=round(self._demand.expected_duration),
                took=self._clock.now() - started_at,
            )
            self._rejected_skew, self._next_plan_at = self.skew, now + _REPLAN_INTERVAL
            return True
        self._next_plan_at = 0
        if slowdowns:
            _log.info("slow ranks", group=self._group.name, paces=slowdowns)
        return self._activate(changer, update)

    def _by_layer(self, weights: Sequence[float]) -> list[Sequence[float]]:
        experts = self._geometry.experts
        return [weights[start : start + experts] for start in range(0, len(weights), experts)]

    def _plan(
        self, weights: Sequence[Sequence[float]], slowdowns: Mapping[int, float]
    ) -> MapUpdate:
        parameters = MapUpdateParameters(
            capacity=self._geometry.capacity,
            max_new_experts=self._geometry.max_new_experts,
            copy_time=self._geometry.copy_time,
            overhead=_CHANGE_OVERHEAD,
            horizon=self._demand.expected_duration,
            min_savings=self._min_savings(),
        )
        return plan_map_update(
            self._layers, weights, range(self._group.size), parameters, slowdowns
        )

    def _min_savings(self) -> float:
        """Return the fraction of the cost that a change must currently save."""
        is_copy_fast = (
            self._geometry.copy_time <= _MAX_COPY_FRACTION * self._demand.expected_duration
        )
        is_after_shift = self._clock.now() - self._shifted_at < _SHIFT_WINDOW
        return _SHIFT_MIN_SAVINGS if is_copy_fast and is_after_shift else MIN_SAVINGS

    def _activate(self, changer: MapChanger, update: MapUpdate) -> bool:
        assert self._fences is not None
        new_map = NewMap(
            version=self._fences.next(),
            layers_by_rank=_by_rank(update.layers, self._group.size),
            copy_time=round(update.max_copies_per_rank * self._geometry.copy_time),
        )
        started_at = self._clock.now()
        result = changer.change(new_map)
        _log.info(
            "map change",
            group=self._group.name,
            epoch=self._group.epoch,
            version=new_map.version,
            result=result.value,
            copies=update.copies,
            most_copies=update.max_copies_per_rank,
            skew_before=round(update.skew_before, 3),
            skew_planned=round(update.skew_after, 3),
            horizon=round(self._demand.expected_duration),
            took=self._clock.now() - started_at,
            taken=changer.timings.accept_time,
            prepare=changer.timings.prepare_time,
            asked=changer.timings.polls,
            arm=changer.timings.arm_time,
            arm_tries=changer.timings.arm_attempts,
        )
        if result is ChangeResult.IN_FORCE:
            self._layers, self._version = update.layers, new_map.version
            self._demand.record_activation(self._clock.now())
        return self._record_result(result)


def _holders(held: dict[int, RankLayers], experts: int) -> tuple[Layer, ...]:
    """Return the ranks that hold each expert, by layer."""
    layers = len(next(iter(held.values())))
    holders: list[list[list[int]]] = [[[] for _ in range(experts)] for _ in range(layers)]
    for rank in sorted(held):
        for layer, experts_of_rank in enumerate(held[rank]):
            for expert in experts_of_rank:
                holders[layer][expert].append(rank)
    return tuple(tuple(tuple(ranks) for ranks in layer) for layer in holders)


def _by_rank(layers: Sequence[Layer], ranks: int) -> tuple[RankLayers, ...]:
    """Return the experts of each rank, by layer."""
    return tuple(
        tuple(
            tuple(expert for expert, holders in enumerate(layer) if rank in holders)
            for layer in layers
        )
        for rank in range(ranks)
    )
