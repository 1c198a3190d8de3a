"""Plan a group's expert map: balance the ranks with few copies.

A step ends when the slowest rank ends, so the objective is the load of the most loaded rank
relative to the mean. Starting from the map in force, the planner moves load off the most loaded
rank one copy at a time, as long as each change reduces skew by at least what the policy
requires.
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
    expected_noise_skew,
    layer_skew,
    rank_loads,
)

#: Fraction of the ignored noise that rebuilding a layer must gain, so that a rebuild does not
#: merely fit the noise of one sample.
_REBUILD_NOISE_FACTOR: Final = 0.75

#: Policies by the name used in placement files.
POLICIES: Final = {
    "skew-first": PlanPolicy(
        acceptable_skew=1.03, min_gain_per_copy=0.001, max_copies=512, noise_factor=0.6
    ),
    "cost-first": PlanPolicy(
        acceptable_skew=1.15, min_gain_per_copy=0.03, max_copies=16, noise_factor=1.0
    ),
}


@dataclass(frozen=True, slots=True)
class ExpertMap:
    """Which ranks hold each expert; ``layers[layer][expert]`` is a tuple of ranks."""

    layers: tuple[Layer, ...]

    def copies_added(self, before: ExpertMap) -> int:
        """Return the number of copies to load when changing from ``before`` to this map."""
        added = 0
        for new_layer, old_layer in zip(self.layers, before.layers, strict=True):
            for new, old in zip(new_layer, old_layer, strict=True):
                added += len(set(new) - set(old))
        return added


#: Tokens per expert, layer by layer.
Loads = Sequence[Sequence[float]]


def initial_map(ranks: Sequence[int], experts: int, layers: int) -> ExpertMap:
    """Return a map with one copy of each expert, assigned round-robin to ``ranks``."""
    layer = tuple((ranks[expert % len(ranks)],) for expert in range(experts))
    return ExpertMap((layer,) * layers)


def map_skew(
    mapping: ExpertMap,
    loads: Loads,
    ranks: Sequence[int],
    slowdowns: Mapping[int, float] | None = None,
) -> float:
    """Return the slowest rank's load over the mean rank's, summed over layers.

    ``slowdowns`` maps slow ranks to their relative processing time.
    """
    factors = slowdowns or {}
    slowest = 0.0
    total = 0.0
    for layer, weights in zip(mapping.layers, loads, strict=True):
        per_rank = rank_loads(layer, weights, ranks)
        slowest += max(load * factors.get(rank, 1.0) for rank, load in per_rank.items())
        total += sum(weights)
    return slowest * len(ranks) / total if total else 1.0


def plan_map(
    current: ExpertMap, loads: Loads, ranks: Sequence[int], capacity: int, policy: PlanPolicy
) -> ExpertMap:
    """Return the next map, or an equal one if no change is worthwhile.

    ``loads`` are counts, smoothed or not; their size determines how much of the skew is
    attributed to sampling noise and ignored. Experts on ranks outside ``ranks``, which have
    failed, are reassigned first at any cost.
    """
    budget = policy.max_copies
    order = sorted(range(len(loads)), key=lambda i: -layer_skew(current.layers[i], loads[i], ranks))
    planned = {}
    for index in order:
        layer = LayerPlan(current.layers[index], loads[index], ranks, capacity)
        layer.restore_lost_experts()
        before = layer.result()
        copies = layer.improve(policy, budget)
        planned[index] = layer.result()
        rebuilt = _worthwhile_rebuild(
            before, planned[index], copies, loads[index], ranks, capacity, policy
        )
        if rebuilt is not None and _copies_added(before, rebuilt) <= budget:
            planned[index], copies = rebuilt, _copies_added(before, rebuilt)
        budget -= copies
    layers = [planned[index] for index in range(len(loads))]
    return ExpertMap(tuple(layers))


def _worthwhile_rebuild(
    before: Layer,
    improved: Layer,
    copies: int,
    weights: Sequence[float],
    ranks: Sequence[int],
    capacity: int,
    policy: PlanPolicy,
) -> Layer | None:
    """Return a rebuilt layer if it is worth its copies beyond ``copies``, else None.

    The incremental search can end in a local optimum, especially after a demand shift.
    """
    skew = layer_skew(improved, weights, ranks)
    min_gain = (
        _REBUILD_NOISE_FACTOR
        * policy.noise_factor
        * expected_noise_skew(sum(weights) / len(ranks), len(ranks))
    )
    if skew - 1 <= min_gain:
        return None
    rebuilt = _rebuild(before, weights, ranks, capacity)
    extra_copies = _copies_added(before, rebuilt) - copies
    gain = skew - layer_skew(rebuilt, weights, ranks)
    is_worthwhile = extra_copies > 0 and gain > max(
        min_gain, policy.min_gain_per_copy * extra_copies
    )
    return rebuilt if is_worthwhile else None


def _copies_added(before: Layer, after: Layer) -> int:
    return sum(len(set(a) - set(b)) for a, b in zip(after, before, strict=True))


def _rebuild(layer: Layer, weights: Sequence[float], ranks: Sequence[int], capacity: int) -> Layer:
    """Return a layer rebuilt by greedy bin packing, heaviest expert first.

    The most loaded experts get the spare capacity. An existing copy stays on its rank as long as
    that rank's load does not exceed the mean.
    """
    counts = _replica_counts(weights, len(ranks), len(ranks) * capacity)
    mean_load = sum(weights) / len(ranks)
    loads = dict.fromkeys(ranks, 0.0)
    held = dict.fromkeys(ranks, 0)
    result: list[tuple[int, ...]] = [()] * len(layer)
    for expert in sorted(range(len(layer)), key=lambda e: -weights[e] / counts[e]):
        share = weights[expert] / counts[expert]
        old = sorted(layer[expert], key=lambda rank: loads[rank])
        chosen = [
            rank for rank in old if held[rank] < capacity and loads[rank] + share <= mean_load
        ][: counts[expert]]
        missing = counts[expert] - len(chosen)
        if missing:
            eligible = (rank for rank in ranks if held[rank] < capacity and rank not in chosen)
            chosen += heapq.nsmallest(missing, eligible, key=lambda rank: loads[rank])
        for rank in chosen:
            loads[rank] += weights[expert] / len(chosen)
            held[rank] += 1
        result[expert] = tuple(sorted(chosen))
    return tuple(result)


def _replica_counts(weights: Sequence[float], ranks: int, total_capacity: int) -> list[int]:
    """Return the number of copies of each expert, with spare capacity to the heaviest."""
    counts = [1] * len(weights)
    heap = [(-weight, expert) for expert, weight in enumerate(weights)]
    heapq.heapify(heap)
    # Leave some capacity free so that greedy packing can place the last experts well.
    for _ in range(max(0, total_capacity - len(weights) - ranks // 4)):
        _, expert = heap[0]
        if counts[expert] >= ranks:
            break
        counts[expert] += 1
        heapq.heapreplace(heap, (-weights[expert] / counts[expert], expert))
    return counts
