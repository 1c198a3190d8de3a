"""Planning a group's expert map: short steps, few moves.

A step ends when the slowest rank ends, so what counts is the most loaded rank
against the mean. From the map in force the planner changes one copy at a time,
always away from the most loaded rank, and only while the change repays its price;
the operator's policy sets the price. A map that is good enough is left alone.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

#: Least loaded ranks looked at as places for a copy.
_PLACES: Final = 4
#: Most loaded experts of a rank looked at for a change.
_EXPERTS: Final = 6


@dataclass(frozen=True, slots=True)
class PlanPolicy:
    """What an operator weighs skew and moves at."""

    #: Skew (slowest rank over mean rank) under which a layer is left alone.
    enough: float
    #: Skew that one copy moved must save.
    price: float
    #: Copies moved in one plan at the most.
    budget: int


#: Policies by the name that placement files use.
POLICIES: Final = {
    "skew-first": PlanPolicy(enough=1.05, price=0.004, budget=64),
    "cost-first": PlanPolicy(enough=1.20, price=0.03, budget=16),
}


@dataclass(frozen=True, slots=True)
class ExpertMap:
    """Which ranks hold each expert; ``layers[layer][expert]`` is a tuple of ranks."""

    layers: tuple[tuple[tuple[int, ...], ...], ...]

    def copies_added(self, before: ExpertMap) -> int:
        """Return the copies that must be loaded to come from ``before`` to this map."""
        added = 0
        for new_layer, old_layer in zip(self.layers, before.layers, strict=True):
            for new, old in zip(new_layer, old_layer, strict=True):
                added += len(set(new) - set(old))
        return added


#: Tokens per expert, layer by layer.
Loads = Sequence[Sequence[float]]


def initial_map(ranks: Sequence[int], experts: int, layers: int) -> ExpertMap:
    """Return a map with each expert once, spread in turn over ``ranks``."""
    layer = tuple((ranks[expert % len(ranks)],) for expert in range(experts))
    return ExpertMap((layer,) * layers)


def map_skew(mapping: ExpertMap, loads: Loads, ranks: Sequence[int]) -> float:
    """Return the slowest rank's load over the mean rank's, summed over layers."""
    slowest = 0.0
    total = 0.0
    for layer, weights in zip(mapping.layers, loads, strict=True):
        per_rank = _rank_loads(layer, weights, ranks)
        slowest += max(per_rank.values())
        total += sum(weights)
    return slowest * len(ranks) / total if total else 1.0


def _rank_loads(
    layer: Sequence[Sequence[int]], weights: Sequence[float], ranks: Sequence[int]
) -> dict[int, float]:
    loads = dict.fromkeys(ranks, 0.0)
    for holders, weight in zip(layer, weights, strict=True):
        for rank in holders:
            loads[rank] += weight / len(holders)
    return loads


def plan_map(
    current: ExpertMap, loads: Loads, ranks: Sequence[int], capacity: int, policy: PlanPolicy
) -> ExpertMap:
    """Return the next map; the same one when no change repays its price.

    Ranks outside ``ranks`` are emptied first, whatever that costs: they are gone.
    """
    budget = policy.budget
    layers = []
    order = sorted(
        range(len(loads)), key=lambda i: -_layer_skew(current.layers[i], loads[i], ranks)
    )
    planned = {}
    for index in order:
        layer = _LayerPlan(current.layers[index], loads[index], ranks, capacity)
        layer.rescue()
        budget -= layer.improve(policy, budget)
        planned[index] = layer.result()
    layers = [planned[index] for index in range(len(loads))]
    return ExpertMap(tuple(layers))


def _layer_skew(
    layer: Sequence[Sequence[int]], weights: Sequence[float], ranks: Sequence[int]
) -> float:
    alive = set(ranks)
    kept = [tuple(r for r in holders if r in alive) for holders in layer]
    if not all(kept):
        return float("inf")
    total = sum(weights)
    return max(_rank_loads(kept, weights, ranks).values()) * len(ranks) / total if total else 1.0


@dataclass(frozen=True, slots=True)
class _Change:
    """One copy added to ``rank``, perhaps in place of copies elsewhere."""

    #: Highest load of the ranks concerned after the change.
    peak: float
    copies: int
    #: Pairs of expert and its new holders.
    holders: tuple[tuple[int, frozenset[int]], ...]


class _LayerPlan:
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

    def result(self) -> tuple[tuple[int, ...], ...]:
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
        while moved < budget:
            slowest = max(self._ranks, key=lambda r: self._loads[r])
            peak = self._loads[slowest]
            if peak / mean <= policy.enough:
                break
            change = self._best_change(slowest, peak)
            if change is None or (peak - change.peak) / mean < policy.price * change.copies:
                break
            for expert, holders in change.holders:
                self._set_holders(expert, holders)
            moved += change.copies
        return moved

    def _set_holders(self, expert: int, holders: frozenset[int]) -> None:
        for rank in self._holders[expert]:
            self._loads[rank] -= self._weights[expert] / len(self._holders[expert])
            self._experts[rank].discard(expert)
        for rank in holders:
            self._loads[rank] += self._weights[expert] / len(holders)
            self._experts[rank].add(expert)
        self._holders[expert] = holders

    def _best_change(self, slowest: int, peak: float) -> _Change | None:
        by_load = sorted(self._ranks, key=lambda r: self._loads[r])
        heavy = sorted(self._experts[slowest], key=lambda e: -self._share(e))[:_EXPERTS]
        best: _Change | None = None
        for expert in heavy:
            for place in by_load[:_PLACES]:
                for change in self._changes(expert, slowest, place):
                    gain = (peak - change.peak) / change.copies
                    if gain > 0 and (best is None or gain > (peak - best.peak) / best.copies):
                        best = change
        return best

    def _share(self, expert: int) -> float:
        return self._weights[expert] / len(self._holders[expert])

    def _changes(self, expert: int, slowest: int, place: int) -> list[_Change]:
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
        changes.extend(self._swaps(expert, slowest, place))
        return changes

    def _evictions(self, expert: int, slowest: int, place: int) -> list[_Change]:
        """Replace a second copy at a full ``place`` by a copy of ``expert``."""
        doubled = [e for e in self._experts[place] if len(self._holders[e]) > 1]
        if not doubled:
            return []
        least = min(doubled, key=self._share)
        wanted = (
            (least, self._holders[least] - {place}),
            (expert, self._holders[expert] | {place}),
        )
        return [self._evaluate(wanted, slowest, place)]

    def _swaps(self, expert: int, slowest: int, place: int) -> list[_Change]:
        """Exchange ``expert`` for the lightest expert of ``place``."""
        candidates = [e for e in self._experts[place] if e not in self._experts[slowest]]
        if not candidates:
            return []
        light = min(candidates, key=self._share)
        wanted = (
            (expert, (self._holders[expert] - {slowest}) | {place}),
            (light, (self._holders[light] - {place}) | {slowest}),
        )
        return [self._evaluate(wanted, slowest, place)]

    def _evaluate(
        self, wanted: tuple[tuple[int, frozenset[int]], ...], slowest: int, place: int
    ) -> _Change:
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
        return _Change(peak, max(1, copies), wanted)
