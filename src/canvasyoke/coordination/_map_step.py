"""The next small change of a group's expert map, where popularity drifts within seconds.

A step of the group lasts as long as the most loaded rank of each layer, layer after
layer. What a change gains is lost again to drift while its experts are being copied, so
a plan is kept so small that every rank has copied its part within a bounded time, and
the copies go to the layers where they shorten the step most.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from canvasyoke.coordination._layer_plan import Layer, LayerChange, LayerPlan

#: Changes looked at for one plan at the most; bounds the planner's time.
_CHANGES: Final = 64


@dataclass(frozen=True, slots=True)
class MapStepLimits:
    """How large one change of a map may be."""

    #: Experts that a rank holds in a layer at the most.
    capacity: int
    #: Experts that a rank copies for one change: in all layers, and in each.
    copies: int
    copies_per_layer: int
    #: Part of the mean load of a layer's ranks that a copy must take off the step.
    least_gain: float


@dataclass(frozen=True, slots=True)
class MapStep:
    """A planned change."""

    layers: tuple[Layer, ...]
    #: Most loaded rank over the mean, summed over layers, before and after.
    skew_before: float
    skew_after: float
    #: Experts that have to be copied, in all and to the rank that copies most.
    copies: int
    most_copies: int


class _Planner:
    def __init__(
        self,
        layers: Sequence[Layer],
        weights: Sequence[Sequence[float]],
        ranks: Sequence[int],
        limits: MapStepLimits,
    ) -> None:
        self._weights = weights
        self._ranks = ranks
        self._limits = limits
        self._plans = [
            LayerPlan(layer, load, ranks, limits.capacity)
            for layer, load in zip(layers, weights, strict=True)
        ]
        self._copied: Counter[int] = Counter()
        self._copied_in_layer: Counter[tuple[int, int]] = Counter()

    def run(self) -> MapStep:
        before = self._skew()
        pending = {index: self._next(index) for index in range(len(self._plans))}
        for _ in range(_CHANGES):
            index = max(pending, key=lambda i: self._gain(i, pending[i]))
            change = pending[index]
            if change is None or self._gain(index, change) < self._least(index):
                break
            if not self._fits(index, change):
                pending[index] = self._next(index)
                if pending[index] == change:
                    pending[index] = None
                continue
            for rank in self._plans[index].new_copies(change):
                self._copied[rank] += 1
                self._copied_in_layer[index, rank] += 1
            self._plans[index].apply(change)
            pending[index] = self._next(index)
        return MapStep(
            layers=tuple(plan.result() for plan in self._plans),
            skew_before=before,
            skew_after=self._skew(),
            copies=sum(self._copied.values()),
            most_copies=max(self._copied.values(), default=0),
        )

    def _skew(self) -> float:
        total = sum(sum(weights) for weights in self._weights)
        peaks = sum(plan.peak for plan in self._plans)
        return peaks * len(self._ranks) / total if total else 1.0

    def _next(self, index: int) -> LayerChange | None:
        if not sum(self._weights[index]):
            return None
        return self._plans[index].next_change(self._closed(index))

    def _closed(self, index: int) -> frozenset[int]:
        """Return the ranks that may not copy another expert of a layer."""
        limits = self._limits
        return frozenset(
            rank
            for rank in self._ranks
            if self._copied[rank] >= limits.copies
            or self._copied_in_layer[index, rank] >= limits.copies_per_layer
        )

    def _fits(self, index: int, change: LayerChange) -> bool:
        return not self._closed(index).intersection(self._plans[index].new_copies(change))

    def _gain(self, index: int, change: LayerChange | None) -> float:
        """Return how much load a change takes off the step, for each copy."""
        if change is None:
            return 0.0
        return (self._plans[index].peak - change.peak) / change.copies

    def _least(self, index: int) -> float:
        return self._limits.least_gain * sum(self._weights[index]) / len(self._ranks)


def plan_map_step(
    layers: Sequence[Layer],
    weights: Sequence[Sequence[float]],
    ranks: Sequence[int],
    limits: MapStepLimits,
) -> MapStep:
    """Return the next change of a map; ``weights`` are counts by layer and expert."""
    return _Planner(layers, weights, ranks, limits).run()
