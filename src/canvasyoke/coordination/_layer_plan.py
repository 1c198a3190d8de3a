"""Changing one layer of an expert map, a copy at a time, away from the slowest rank."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, TypeAlias

#: Ranks that hold each expert of one layer.
Layer: TypeAlias = tuple[tuple[int, ...], ...]
#: Least loaded ranks looked at as places for a copy.
_PLACES: Final = 4
#: Least loaded ranks with which an exchange of experts is looked at: it takes two copies,
#: and looking at four ranks took 40 in 100 of the planner's time for no better maps.
_SWAPS: Final = 2
#: Most loaded experts of a rank looked at for a change.
_EXPERTS: Final = 4


@dataclass(frozen=True, slots=True)
class PlanPolicy:
    """What an operator weighs skew and moves at."""

    #: Skew (slowest rank over mean rank) under which a layer is left alone.
    enough: float
    #: Skew that one copy moved must save.
    price: float
    #: Copies moved in one plan at the most.
    budget: int
    #: Part of the skew expected by chance that is not acted on.
    doubt: float


def rank_loads(
    layer: Sequence[Sequence[int]], weights: Sequence[float], ranks: Sequence[int]
) -> dict[int, float]:
    loads = dict.fromkeys(ranks, 0.0)
    for holders, weight in zip(layer, weights, strict=True):
        for rank in holders:
            loads[rank] += weight / len(holders)
    return loads


def layer_skew(
    layer: Sequence[Sequence[int]], weights: Sequence[float], ranks: Sequence[int]
) -> float:
    alive = set(ranks)
    kept = [tuple(r for r in holders if r in alive) for holders in layer]
    if not all(kept):
        return float("inf")
    total = sum(weights)
    return max(rank_loads(kept, weights, ranks).values()) * len(ranks) / total if total else 1.0


def chance_skew(mean: float, ranks: int) -> float:
    """Return the skew above 1 that counts of ``mean`` a rank have by chance alone.

    The highest of so many ranks lies about sqrt(2 ln n) deviations above the mean.
    """
    return math.sqrt(2 * math.log(max(2, ranks)) / max(1.0, mean))


@dataclass(frozen=True, slots=True)
class LayerChange:
    """One copy added to ``rank``, perhaps in place of copies elsewhere."""

    #: Highest load of the ranks concerned after the change.
    peak: float
    copies: int
    #: Pairs of expert and its new holders.
    holders: tuple[tuple[int, frozenset[int]], ...]


class LayerPlan:
    """One layer of a map while it is being changed."""

    def __init__(
        self,
        layer: Sequence[Sequence[int]],
        weights: Sequence[float],
        ranks: Sequence[int],
        capacity: int,
    ) -> None:
        alive = set(ranks)
        self._holders = [frozenset(h) & alive for h in layer]
        self._weights = weights
        self._ranks = ranks
        self._capacity = capacity
        self._total = sum(weights)
        self._experts: dict[int, set[int]] = {rank: set() for rank in ranks}
        self._loads = dict.fromkeys(ranks, 0.0)
        for expert, holders in enumerate(self._holders):
            for rank in holders:
                self._experts[rank].add(expert)
                self._loads[rank] += weights[expert] / len(holders)

    def result(self) -> Layer:
        """Return the layer as it stands."""
        return tuple(tuple(sorted(holders)) for holders in self._holders)

    def rescue(self) -> None:
        """Place every expert that has lost its last copy."""
        lost = [e for e, holders in enumerate(self._holders) if not holders]
        for expert in sorted(lost, key=lambda e: -self._weights[e]):
            self._make_room()
            open_ranks = [r for r in self._ranks if len(self._experts[r]) < self._capacity]
            rank = min(open_ranks, key=lambda r: (self._loads[r], r))
            self._set_holders(expert, frozenset({rank}))

    def _make_room(self) -> None:
        """Let go of the least useful second copy when every rank is full."""
        if any(len(held) < self._capacity for held in self._experts.values()):
            return
        doubled = [e for e, holders in enumerate(self._holders) if len(holders) > 1]
        expert = min(doubled, key=lambda e: self._weights[e] / len(self._holders[e]))
        busiest = max(self._holders[expert], key=lambda r: self._loads[r])
        self._set_holders(expert, self._holders[expert] - {busiest})

    def improve(self, policy: PlanPolicy, budget: int) -> int:
        """Change copies while it pays; return the number of copies moved."""
        moved = 0
        if not self._total:
            return moved
        mean = self._total / len(self._ranks)
        enough = max(policy.enough, 1 + policy.doubt * chance_skew(mean, len(self._ranks)))
        while moved < budget:
            slowest = max(self._ranks, key=lambda r: self._loads[r])
            peak = self._loads[slowest]
            if peak / mean <= enough:
                break
            change = self._best_change(slowest, peak)
            if change is None or (peak - change.peak) / mean < policy.price * change.copies:
                break
            self.apply(change)
            moved += change.copies
        return moved

    @property
    def peak(self) -> float:
        """Return the load of the most loaded rank."""
        return max(self._loads.values())

    def new_copies(self, change: LayerChange) -> list[int]:
        """Return the ranks that have to copy an expert for ``change``, once for each."""
        return [
            rank for expert, holders in change.holders for rank in holders - self._holders[expert]
        ]

    def next_change(self, closed: frozenset[int]) -> LayerChange | None:
        """Return the change that relieves the slowest rank most, without new copies on
        the ranks in ``closed``."""
        slowest = max(self._ranks, key=lambda r: self._loads[r])
        return self._best_change(slowest, self._loads[slowest], closed)

    def apply(self, change: LayerChange) -> None:
        """Carry out a change."""
        for expert, holders in change.holders:
            self._set_holders(expert, holders)

    def _set_holders(self, expert: int, holders: frozenset[int]) -> None:
        for rank in self._holders[expert]:
            self._loads[rank] -= self._weights[expert] / len(self._holders[expert])
            self._experts[rank].discard(expert)
        for rank in holders:
            self._loads[rank] += self._weights[expert] / len(holders)
            self._experts[rank].add(expert)
        self._holders[expert] = holders

    def _best_change(
        self, slowest: int, peak: float, closed: frozenset[int] = frozenset()
    ) -> LayerChange | None:
        by_load = sorted(self._ranks, key=self._loads.__getitem__)
        heavy = sorted(self._experts[slowest], key=lambda e: -self._share(e))[:_EXPERTS]
        best: LayerChange | None = None
        spare = self._spare_places()
        for expert in heavy:
            for place in dict.fromkeys([*by_load[:_PLACES], *spare]):
                for change in self._changes(expert, slowest, place, place in by_load[:_SWAPS]):
                    gain = (peak - change.peak) / change.copies
                    if gain <= 0 or (closed and closed.intersection(self.new_copies(change))):
                        continue
                    if best is None or gain > (peak - best.peak) / best.copies:
                        best = change
        return best

    def _spare_places(self) -> list[int]:
        """Return ranks that hold a second copy which is worth little.

        When all ranks are full, room for a hot expert is made where the load that
        falls back on other copies is least, not where the load is least now.
        """
        doubled = [e for e, holders in enumerate(self._holders) if len(holders) > 1]
        doubled.sort(key=lambda e: self._share(e) / (len(self._holders[e]) - 1))
        return [
            min(self._holders[e], key=lambda rank: self._loads[rank]) for e in doubled[:_PLACES]
        ]

    def _share(self, expert: int) -> float:
        return self._weights[expert] / len(self._holders[expert])

    def _changes(
        self, expert: int, slowest: int, place: int, with_swaps: bool
    ) -> list[LayerChange]:
        if place == slowest or expert in self._experts[place]:
            return []
        holders = self._holders[expert]
        changes = []
        if len(self._experts[place]) < self._capacity:
            changes.append(self._evaluate(((expert, holders | {place}),), slowest, place))
            moved = (holders - {slowest}) | {place}
            changes.append(self._evaluate(((expert, moved),), slowest, place))
        else:
            changes.extend(self._evictions(expert, slowest, place))
        if with_swaps:
            changes.extend(self._swaps(expert, slowest, place))
        return changes

    def _evictions(self, expert: int, slowest: int, place: int) -> list[LayerChange]:
        """Replace a second copy at a full ``place`` by a copy of ``expert``, or move it there."""
        doubled = [e for e in self._experts[place] if len(self._holders[e]) > 1]
        if not doubled:
            return []
        least = min(doubled, key=lambda e: self._share(e) / (len(self._holders[e]) - 1))
        freed = (least, self._holders[least] - {place})
        added = (expert, self._holders[expert] | {place})
        moved = (expert, (self._holders[expert] - {slowest}) | {place})
        return [self._evaluate((freed, new), slowest, place) for new in (added, moved)]

    def _swaps(self, expert: int, slowest: int, place: int) -> list[LayerChange]:
        """Exchange ``expert`` for that expert of ``place`` which evens the two best."""
        surplus = (self._loads[slowest] - self._loads[place]) / 2
        wanted_share = self._share(expert) - surplus
        candidates = [e for e in self._experts[place] if e not in self._experts[slowest]]
        if not candidates:
            return []
        light = min(candidates, key=lambda e: abs(self._share(e) - wanted_share))
        wanted = (
            (expert, (self._holders[expert] - {slowest}) | {place}),
            (light, (self._holders[light] - {place}) | {slowest}),
        )
        return [self._evaluate(wanted, slowest, place)]

    def _evaluate(
        self, wanted: tuple[tuple[int, frozenset[int]], ...], slowest: int, place: int
    ) -> LayerChange:
        delta: dict[int, float] = {slowest: 0.0, place: 0.0}
        copies = 0
        for expert, holders in wanted:
            old = self._holders[expert]
            copies += len(holders - old)
            for rank in old:
                delta[rank] = delta.get(rank, 0.0) - self._weights[expert] / len(old)
            for rank in holders:
                delta[rank] = delta.get(rank, 0.0) + self._weights[expert] / len(holders)
        peak = max(self._loads[rank] + change for rank, change in delta.items())
        return LayerChange(peak, max(1, copies), wanted)
