"""The owner of a group's expert map: follows what is in demand, a small change at a time.

The process beside rank 0 owns the map of its group. There is one such process, so no
election is needed, and when its rank is lost the group is lost with it. Its fences
begin at the revision of an object that it writes in the store when it takes the
group on; they are above those of every owner before it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
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
from canvasyoke.experts._change_types import HOLD_RANK, ChangeResult
from canvasyoke.experts._fences import Fences, take_fences
from canvasyoke.experts._group import NewMap
from canvasyoke.experts._linked_group import LinkedGroup
from canvasyoke.experts._rank_port import RankLayers, RankReport
from canvasyoke.experts._relay import sharing_ranks
from canvasyoke.experts._rounds import READ_EVERY, reading_rounds
from canvasyoke.observe import Counter, part_logger
from canvasyoke.state import FleetStore, RankGeometry, Unavailable, Unusable

_log = part_logger("owner")
#: Milliseconds for the ranks to say what they hold.
_LAYERS_TIMEOUT: Final = 500
#: How demand is estimated.
_ESTIMATE: Final = "moves"
#: Choices, over all layers and experts, under which the counts say too little.
_ENOUGH_COUNTS: Final = 20_000
#: Milliseconds for which no change is looked for after none paid, and the rise of the skew
#: that ends them. A plan for 24 ranks and 16 layers takes a quarter of a second of the
#: processor; looked for at each turn it took all of it while the skew stayed near 1.5.
_SETTLED: Final = 2_000
_UNSETTLED: Final = 0.1
#: Milliseconds after a move of demand within which a change that saves less is made as
#: well, and what it must save: the map planned right after a move may be made from counts
#: of before it in part. Only where a copy takes no more than the last figure of the time
#: that demand stays. On one simulated day each, 568 callers were late where 606 had been
#: with copies of 14 ms; with 400 ms 329 were where 225 had been, and twice as many changes
#: were made.
_FOLLOW_UP: Final = 1_500
_FOLLOW_UP_SAVED: Final = 0.12
_QUICK_COPY: Final = 0.02
#: Milliseconds that a change takes beside its copies: orders, questions and arming. 12 of
#: 13 changes of 12 ranks took 46 to 144, one 179.
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
        results: Counter,
        clock: Clock,
    ) -> None:
        self._group = group
        self._store = store
        self._incarnation = incarnation
        self._geometry = geometry
        self._demand = demand
        self._clock = clock
        self._changer: MapChanger | None = None
        self._fences: Fences | None = None
        self._layers: tuple[Layer, ...] = ()
        #: Version that the layers belong to.
        self._version = 0
        self._estimate: DemandEstimator | None = None
        #: Moves of demand seen when a change was last looked for, and when the last was.
        self._moves = 0
        self._moved_at = -_FOLLOW_UP
        self._results = results
        #: Skew at which no change paid, and the time on the clock until which none is
        #: looked for unless the skew rises.
        self._settled_skew = 0.0
        self._settled_until = 0
        #: Skew of the map in force under the demand seen last; 0 before any.
        self.skew = 0.0

    @property
    def epoch(self) -> int:
        """Return the epoch of the group."""
        return self._group.epoch

    @property
    def has_taken_on(self) -> bool:
        """Tell whether the group's map is this owner's to change."""
        return self._changer is not None

    def turn(self) -> bool:
        """Do what is due; false when the group is no longer this owner's."""
        if self._changer is None:
            return self._take_on()
        report = self._group.own_report()
        if report is None:
            return True
        if report.epoch != self._group.epoch:
            return False
        if self._is_held(report) and not self._settle(self._changer.recover()):
            return False
        is_new = self._weigh(self._group.take_counts())
        if not report.is_open or report.armed is not None:
            return True
        if report.map_version != self._version and not self._read_layers():
            return True
        if not is_new or self._estimate is None:
            return True
        return self._improve(self._changer, self._estimate)

    def _take_on(self) -> bool:
        """Number this owner, and end what the one before left behind."""
        if not self._group.is_linked:
            return True
        fences = take_fences(self._store, self._group.name, self._incarnation, self._group.epoch)
        if isinstance(fences, Unavailable | Unusable):
            _log.warning("cannot take the group on", group=self._group.name, cause=fences.detail)
            return True
        changer = MapChanger(self._group, self._group.epoch, fences, self._clock)
        if not self._settle(changer.recover()) or not self._read_layers():
            return self._group.epoch == self._epoch_now()
        self._changer, self._fences = changer, fences
        _log.info(
            "owns the map", group=self._group.name, epoch=self._group.epoch, fence=fences.base
        )
        return True

    def _is_held(self, own: RankReport) -> bool:
        """Tell whether a hold stands although no change is under way."""
        return bool(own.held_step) or self._group.last_held(HOLD_RANK)

    def _epoch_now(self) -> int:
        report = self._group.own_report()
        return report.epoch if report is not None else self._group.epoch

    def _settle(self, result: ChangeResult) -> bool:
        """Count how a change ended; false when the group is no longer this owner's."""
        self._results.add(result.value)
        return result not in (ChangeResult.REFORMED, ChangeResult.REPLACED)

    def _read_layers(self) -> bool:
        """Learn the map in force from the ranks themselves."""
        held = dict(self._group.ask_layers(_LAYERS_TIMEOUT))
        own = self._group.own_layers()
        if own is not None:
            held[self._group.own_rank] = own.layers
            self._version = own.version
        if len(held) != self._group.size:
            return False
        self._layers = _holders(held, self._geometry.experts)
        return True

    def _weigh(self, counts: Sequence[int]) -> bool:
        """Take new counts; true when all ranks have told theirs."""
        if self._estimate is None:
            if not counts:
                return False
            frame = READ_EVERY * reading_rounds(sharing_ranks(self._group.size), len(counts))
            self._estimate = DEMAND_ESTIMATORS.get(_ESTIMATE)(frame)
        return self._estimate.add_counts(self._clock.wall(), counts)

    def _improve(self, changer: MapChanger, estimate: DemandEstimator) -> bool:
        weights = self._by_layer(estimate.weights)
        if sum(estimate.weights) < _ENOUGH_COUNTS:
            return True
        now = self._clock.now()
        ranks = range(self._group.size)
        paces = self._group.paces()
        if not paces:
            self.skew = map_skew(ExpertMap(self._layers), weights, ranks)
            self._demand.record_skew(now, self.skew)
        else:  # what a slow rank does to the skew says nothing of demand
            self.skew = map_skew(ExpertMap(self._layers), weights, ranks, paces)
        if estimate.is_transitioning:
            _log.info("demand moves", group=self._group.name, skew=round(self.skew, 3))
            return True
        has_moved = estimate.shift_count != self._moves
        self._moves = estimate.shift_count
        if has_moved:
            self._moved_at = now
        is_settled = self.skew < self._settled_skew + _UNSETTLED and now < self._settled_until
        if is_settled and not has_moved:
            return True
        began = self._clock.now()
        step = self._plan(weights, paces)
        if not step.copies:
            _log.info(
                "no change of the map pays",
                group=self._group.name,
                skew=round(self.skew, 3),
                counts=round(sum(estimate.weights)),
                horizon=round(self._demand.expected_duration),
                took=self._clock.now() - began,
            )
            self._settled_skew, self._settled_until = self.skew, now + _SETTLED
            return True
        self._settled_until = 0
        if paces:
            _log.info("slow ranks", group=self._group.name, paces=paces)
        return self._put_in_force(changer, step)

    def _by_layer(self, weights: Sequence[float]) -> list[Sequence[float]]:
        experts = self._geometry.experts
        return [weights[start : start + experts] for start in range(0, len(weights), experts)]

    def _plan(self, weights: Sequence[Sequence[float]], paces: Mapping[int, float]) -> MapUpdate:
        terms = MapUpdateParameters(
            capacity=self._geometry.capacity,
            max_new_experts=self._geometry.new_limit,
            copy_time=self._geometry.copy_time,
            overhead=_CHANGE_OVERHEAD,
            horizon=self._demand.expected_duration,
            min_savings=self._least_saved(),
        )
        return plan_map_update(self._layers, weights, range(self._group.size), terms, paces)

    def _least_saved(self) -> float:
        """Return the part of the burden that a change must save now."""
        is_quick = self._geometry.copy_time <= _QUICK_COPY * self._demand.expected_duration
        is_after_move = self._clock.now() - self._moved_at < _FOLLOW_UP
        return _FOLLOW_UP_SAVED if is_quick and is_after_move else MIN_SAVINGS

    def _put_in_force(self, changer: MapChanger, step: MapUpdate) -> bool:
        assert self._fences is not None
        new = NewMap(
            version=self._fences.next(),
            layers_by_rank=_by_rank(step.layers, self._group.size),
            copy_time=round(step.max_copies_per_rank * self._geometry.copy_time),
        )
        began = self._clock.now()
        result = changer.change(new)
        _log.info(
            "map change",
            group=self._group.name,
            epoch=self._group.epoch,
            version=new.version,
            result=result.value,
            copies=step.copies,
            most_copies=step.max_copies_per_rank,
            skew_before=round(step.skew_before, 3),
            skew_planned=round(step.skew_after, 3),
            horizon=round(self._demand.expected_duration),
            took=self._clock.now() - began,
            taken=changer.times.taken,
            prepare=changer.times.prepare,
            asked=changer.times.asked,
            arm=changer.times.arm,
            arm_tries=changer.times.arm_tries,
        )
        if result is ChangeResult.IN_FORCE:
            self._layers, self._version = step.layers, new.version
            self._demand.record_activation(self._clock.now())
        return self._settle(result)


def _holders(held: dict[int, RankLayers], experts: int) -> tuple[Layer, ...]:
    """Return the ranks that hold each expert, layer by layer."""
    layers = len(next(iter(held.values())))
    holders: list[list[list[int]]] = [[[] for _ in range(experts)] for _ in range(layers)]
    for rank in sorted(held):
        for layer, of_rank in enumerate(held[rank]):
            for expert in of_rank:
                holders[layer][expert].append(rank)
    return tuple(tuple(tuple(ranks) for ranks in layer) for layer in holders)


def _by_rank(layers: Sequence[Layer], ranks: int) -> tuple[RankLayers, ...]:
    """Return the experts of each rank, layer by layer."""
    return tuple(
        tuple(
            tuple(expert for expert, holders in enumerate(layer) if rank in holders)
            for layer in layers
        )
        for rank in range(ranks)
    )
