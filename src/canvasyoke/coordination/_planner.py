"""Planning a group's expert map: short steps, few moves.

A step ends when the slowest rank ends, so what counts is the most loaded rank
against the mean. From the map in force the planner changes one copy at a time,
always away from the most loaded rank, and only while the change repays its price;
the operator's policy sets the price. A map that is good enough is left alone.
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from canvasyoke.coordination._layer_plan import (
    Layer,
    LayerPlan,
    PlanPolicy,
    chance_skew,
    layer_skew,
    rank_loads,
)

#: Part of the skew doubted that a rebuilt layer must gain: more than fitting the
#: noise of one look would.
_REAL: Final = 0.75

#: Policies by the name that placement files use.
POLICIES: Final = {
    "skew-first": PlanPolicy(enough=1.03, price=0.001, budget=512, doubt=0.6),
    "cost-first": PlanPolicy(enough=1.15, price=0.03, budget=16, doubt=1.0),
}


@dataclass(frozen=True, slots=True)
class ExpertMap:
    """Which ranks hold each expert; ``layers[layer][expert]`` is a tuple of ranks."""

    layers: tuple[Layer, ...]

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


def map_skew(
    mapping: ExpertMap,
    loads: Loads,
    ranks: Sequence[int],
    paces: Mapping[int, float] | None = None,
) -> float:
    """Return the slowest rank's load over the mean rank's, summed over layers.

    ``paces`` has the ranks that take longer for the same work, and how many times.
    """
    slow = paces or {}
    slowest = 0.0
    total = 0.0
    for layer, weights in zip(mapping.layers, loads, strict=True):
        per_rank = rank_loads(layer, weights, ranks)
        slowest += max(load * slow.get(rank, 1.0) for rank, load in per_rank.items())
        total += sum(weights)
    return slowest * len(ranks) / total if total else 1.0


def plan_map(
    current: ExpertMap, loads: Loads, ranks: Sequence[int], capacity: int, policy: PlanPolicy
) -> ExpertMap:
    """Return the next map; the same one when no change repays its price.

    ``loads`` are counts, smoothed or not: their size tells how much of a rank's
    surplus is chance, and what chance explains is left alone. Ranks outside
    ``ranks`` are emptied first, whatever that costs: they are gone.
    """
    budget = policy.budget
    order = sorted(range(len(loads)), key=lambda i: -layer_skew(current.layers[i], loads[i], ranks))
    planned = {}
    for index in order:
        layer = LayerPlan(current.layers[index], loads[index], ranks, capacity)
        layer.rescue()
        before = layer.result()
        moved = layer.improve(policy, budget)
        planned[index] = layer.result()
        rebuilt = _worthwhile_rebuild(
            before, planned[index], moved, loads[index], ranks, capacity, policy
        )
        if rebuilt is not None and _copies(before, rebuilt) <= budget:
            planned[index], moved = rebuilt, _copies(before, rebuilt)
        budget -= moved
    layers = [planned[index] for index in range(len(loads))]
    return ExpertMap(tuple(layers))


def _worthwhile_rebuild(
    before: Layer,
    improved: Layer,
    moved: int,
    weights: Sequence[float],
    ranks: Sequence[int],
    capacity: int,
    policy: PlanPolicy,
) -> Layer | None:
    """Return a layer packed anew if it pays for the copies it takes beyond ``moved``.

    Step by step the search can get stuck, most of all right after a sudden change.
    """
    skew = layer_skew(improved, weights, ranks)
    real = _REAL * policy.doubt * chance_skew(sum(weights) / len(ranks), len(ranks))
    if skew - 1 <= real:
        return None
    rebuilt = _rebuild(before, weights, ranks, capacity)
    extra = _copies(before, rebuilt) - moved
    gain = skew - layer_skew(rebuilt, weights, ranks)
    pays = extra > 0 and gain > max(real, policy.price * extra)
    return rebuilt if pays else None


def _copies(before: Layer, after: Layer) -> int:
    return sum(len(set(a) - set(b)) for a, b in zip(after, before, strict=True))


def _rebuild(layer: Layer, weights: Sequence[float], ranks: Sequence[int], capacity: int) -> Layer:
    """Return a layer packed anew, heaviest first, that keeps copies where it can.

    The hottest experts get the spare room; a copy stays on a rank that has it while
    that rank is not filled beyond the mean.
    """
    counts = _replica_counts(weights, len(ranks), len(ranks) * capacity)
    target = sum(weights) / len(ranks)
    loads = dict.fromkeys(ranks, 0.0)
    held = dict.fromkeys(ranks, 0)
    result: list[tuple[int, ...]] = [()] * len(layer)
    for expert in sorted(range(len(layer)), key=lambda e: -weights[e] / counts[e]):
        share = weights[expert] / counts[expert]
        old = sorted(layer[expert], key=lambda rank: loads[rank])
        chosen = [rank for rank in old if held[rank] < capacity and loads[rank] + share <= target][
            : counts[expert]
        ]
        missing = counts[expert] - len(chosen)
        if missing:
            able = (rank for rank in ranks if held[rank] < capacity and rank not in chosen)
            chosen += heapq.nsmallest(missing, able, key=lambda rank: loads[rank])
        for rank in chosen:
            loads[rank] += weights[expert] / len(chosen)
            held[rank] += 1
        result[expert] = tuple(sorted(chosen))
    return tuple(result)


def _replica_counts(weights: Sequence[float], ranks: int, room: int) -> list[int]:
    """Return how many copies each expert gets when the hottest get the spare room."""
    counts = [1] * len(weights)
    heap = [(-weight, expert) for expert, weight in enumerate(weights)]
    heapq.heapify(heap)
    # A little room is left free, so that packing heaviest first can end well.
    for _ in range(max(0, room - len(weights) - ranks // 4)):
        _, expert = heap[0]
        if counts[expert] >= ranks:
            break
        counts[expert] += 1
        heapq.heapreplace(heap, (-weights[expert] / counts[expert], expert))
    return counts
