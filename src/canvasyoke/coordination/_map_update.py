"""Plan the next update of a group's expert map under drifting demand.

A step of the group takes as long as the most loaded rank of each layer, summed over the layers.
The gain of an update lasts only until demand changes, and copying experts slows steps down. So
the planner minimises the total cost until demand is expected to change, trying increasing limits
on the copies per rank. Copies go to the layers where they shorten the step most.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Final

from canvasyoke.coordination._layer_plan import Layer, LayerChange, LayerPlan

#: Relative slowdown of steps while experts are being copied.
_COPY_SLOWDOWN: Final = 0.15
#: Duration of the part of a step that is independent of the map, relative to that of a balanced
#: expert computation. Engines with half of their slots in use need about as long for the step
#: itself as for its tokens.
_FIXED_STEP_COST: Final = 1.0
#: Fraction of the cost over the horizon that an update must save to be applied. This leaves skews
#: below about 1.75 alone. As plain limits on skew, 1.0, 1.25, 1.5 and 1.75 each served callers
#: better than the one before.
MIN_SAVINGS: Final = 0.25
#: Fraction of a layer's mean rank load by which each copy must reduce the peak.
_MIN_GAIN: Final = 0.06
#: Limits on the copies per rank, tried in this order. Each further limit takes the planner as long
#: as the copies that it allows.
_COPY_LIMITS: Final = (1, 2, 3, 5, 8)


@dataclass(frozen=True, slots=True)
class MapUpdateParameters:
    """Constraints and costs of a map update; times are in milliseconds."""

    #: Maximum number of experts that a rank holds in a layer.
    capacity: int
    #: Maximum number of experts added to a rank in a layer by one update.
    max_new_experts: int
    #: Time for one copy; a rank makes its copies sequentially.
    copy_time: float
    #: Time that an update takes in addition to its copies.
    overhead: float
    #: Time for which demand is expected to stay stable.
    horizon: float
    #: Fraction of the cost over the horizon that an update must save to be applied.
    min_savings: float = MIN_SAVINGS


@dataclass(frozen=True, slots=True)
class MapUpdate:
    """A planned update; it has no copies if none is worthwhile."""

    layers: tuple[Layer, ...]
    #: Load of the most loaded rank over the mean, summed over layers, before and after.
    skew_before: float
    skew_after: float
    #: Number of copies in total and on the rank with the most.
    copies: int = 0
    max_copies_per_rank: int = 0


class _MapUpdatePlanner:
    """Greedy planner that applies the copy with the highest gain first."""

    def __init__(
        self,
        layers: Sequence[Layer],
        weights: Sequence[Sequence[float]],
        ranks: Sequence[int],
        parameters: MapUpdateParameters,
        slowdowns: Mapping[int, float] | None = None,
    ) -> None:
        self._ranks = ranks
        self._parameters = parameters
        self._plans = [
            LayerPlan(layer, load, ranks, parameters.capacity, slowdowns)
            for layer, load in zip(layers, weights, strict=True)
        ]
        #: Current limit on the copies per rank.
        self._copy_limit = 0
        self._copies_by_rank: Counter[int] = Counter()
        self._copies_by_layer_rank: Counter[tuple[int, int]] = Counter()
        #: Ranks that have reached the limit, overall and by layer.
        self._full_ranks: set[int] = set()
        self._full_ranks_by_layer: list[set[int]] = [set() for _ in layers]
        self._layer_totals = [sum(load) for load in weights]
        self._skew_before = self._skew()

    def run(self) -> MapUpdate:
        """Return the update with the lowest cost, or one without copies."""
        unchanged = self._current_update()
        best, lowest_cost = unchanged, self._cost(unchanged)
        cost_limit = lowest_cost * (1 - self._parameters.min_savings)
        balanced = replace(unchanged, skew_after=1.0, copies=1, max_copies_per_rank=1)
        if self._cost(balanced) > cost_limit:  # even a perfect map would not be worth one copy
            return unchanged
        for self._copy_limit in _COPY_LIMITS:
            self._full_ranks.clear()
            self._improve()
            update = self._current_update()
            cost = self._cost(update)
            if cost >= lowest_cost:
                break
            best, lowest_cost = update, cost
        return best if lowest_cost <= cost_limit else unchanged

    def _improve(self) -> None:
        """Apply changes until none gains enough within the limits."""
        pending = {index: self._next_change(index) for index in range(len(self._plans))}
        while True:
            index = max(pending, key=lambda i: self._gain_per_copy(i, pending[i]))
            change = pending[index]
            if change is None or self._gain_per_copy(index, change) < self._min_gain(index):
                return
            if self._excluded_ranks(index).intersection(self._plans[index].copying_ranks(change)):
                # Another layer's change has excluded one of its ranks since it was planned.
                pending[index] = self._next_change(index)
                continue
            self._record_copies(index, self._plans[index].copying_ranks(change))
            self._plans[index].apply(change)
            pending[index] = self._next_change(index)

    def _record_copies(self, index: int, ranks: Sequence[int]) -> None:
        """Count the copies that a change of a layer makes on ``ranks``."""
        for rank in ranks:
            self._copies_by_rank[rank] += 1
            self._copies_by_layer_rank[index, rank] += 1
            if self._copies_by_rank[rank] >= self._copy_limit:
                self._full_ranks.add(rank)
            if self._copies_by_layer_rank[index, rank] >= self._parameters.max_new_experts:
                self._full_ranks_by_layer[index].add(rank)

    def _current_update(self) -> MapUpdate:
        return MapUpdate(
            layers=tuple(plan.result() for plan in self._plans),
            skew_before=self._skew_before,
            skew_after=self._skew(),
            copies=sum(self._copies_by_rank.values()),
            max_copies_per_rank=max(self._copies_by_rank.values(), default=0),
        )

    def _cost(self, update: MapUpdate) -> float:
        """Return the relative cost of the steps in one horizon.

        The cost is quadratic in step time, because slow steps let requests accumulate, which
        slows steps down further.
        """
        horizon = self._parameters.horizon
        if not update.copies:
            return (_FIXED_STEP_COST + update.skew_before) ** 2 * horizon
        copy_duration = update.max_copies_per_rank * self._parameters.copy_time
        update_duration = copy_duration + self._parameters.overhead
        before = (_FIXED_STEP_COST + update.skew_before) ** 2
        after = (_FIXED_STEP_COST + update.skew_after) ** 2
        during_update = (1 + _COPY_SLOWDOWN) ** 2 * copy_duration + self._parameters.overhead
        return before * during_update + after * max(0.0, horizon - update_duration)

    def _skew(self) -> float:
        total = sum(self._layer_totals)
        peaks = sum(plan.peak for plan in self._plans)
        return peaks * len(self._ranks) / total if total else 1.0

    def _next_change(self, index: int) -> LayerChange | None:
        if not self._layer_totals[index]:
            return None
        return self._plans[index].next_change(self._excluded_ranks(index))

    def _excluded_ranks(self, index: int) -> frozenset[int]:
        """Return the ranks that may not copy another expert of a layer."""
        return frozenset(self._full_ranks | self._full_ranks_by_layer[index])

    def _gain_per_copy(self, index: int, change: LayerChange | None) -> float:
        """Return the reduction of the layer's peak load per copy."""
        if change is None:
            return 0.0
        return (self._plans[index].peak - change.peak) / change.copies

    def _min_gain(self, index: int) -> float:
        return _MIN_GAIN * self._layer_totals[index] / len(self._ranks)


def plan_map_update(
    layers: Sequence[Layer],
    weights: Sequence[Sequence[float]],
    ranks: Sequence[int],
    parameters: MapUpdateParameters,
    slowdowns: Mapping[int, float] | None = None,
) -> MapUpdate:
    """Return the next update of a map; ``weights`` are counts by layer and expert.

    ``slowdowns`` maps slow ranks to their relative processing time. A group's step waits for its
    slowest rank, so such ranks are assigned fewer experts.
    """
    return _MapUpdatePlanner(layers, weights, ranks, parameters, slowdowns).run()
