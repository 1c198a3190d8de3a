"""Compares expert placement policies under drifting popularity, and measures planning time."""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from bench._process import quantile
from bench._registry import EXPERIMENTS, Cell, Result, Table
from canvasyoke.coordination import (
    POLICIES,
    ExpertMap,
    PlanPolicy,
    initial_map,
    map_skew,
    plan_map,
)

#: Replan intervals in one run.
_INTERVALS: Final = 300
#: Mean tokens per expert and interval.
_TOKENS_PER_EXPERT: Final = 40
_SMOOTHING: Final = 0.4

#: Popularity of each expert of a layer.
Weights = list[float]
Drift = Callable[[int, int, int], Weights]


def _base_popularity(experts: int, seed: int) -> Weights:
    rng = random.Random(f"base/{seed}")
    return [rng.lognormvariate(0.0, 0.7) for _ in range(experts)]


def daily(interval: int, experts: int, seed: int) -> Weights:
    """Slow drift: each expert's popularity follows one sine period with its own phase."""
    phase = random.Random(f"phase/{seed}")
    return [
        w * math.exp(1.0 * math.sin(2 * math.pi * (interval / _INTERVALS + phase.random())))
        for w in _base_popularity(experts, seed)
    ]


def spike(interval: int, experts: int, seed: int) -> Weights:
    """One expert in 16 becomes ten times as popular for a fifth of the run."""
    weights = _base_popularity(experts, seed)
    if _INTERVALS * 2 // 5 <= interval < _INTERVALS * 3 // 5:
        for expert in random.Random(f"spike/{seed}").sample(range(experts), experts // 16):
            weights[expert] *= 10
    return weights


def alternating(interval: int, experts: int, seed: int) -> Weights:
    """Two sets of hot experts alternate every 20 intervals."""
    weights = _base_popularity(experts, seed)
    hot_experts = random.Random(f"alternate/{seed}").sample(range(experts), experts // 4)
    hot = hot_experts[::2] if interval // 20 % 2 else hot_experts[1::2]
    for expert in hot:
        weights[expert] *= 4
    return weights


def noise(interval: int, experts: int, seed: int) -> Weights:
    """No drift; only the sampled counts vary."""
    return _base_popularity(experts, seed)


DRIFTS: Final[dict[str, Drift]] = {
    "daily": daily,
    "spike": spike,
    "alternating": alternating,
    "noise only": noise,
}


@dataclass(frozen=True)
class GroupShape:
    """Size of an expert-parallel group."""

    ranks: int
    experts: int
    capacity: int


SHAPES: Final = (GroupShape(16, 64, 6), GroupShape(64, 256, 6))


def sample_counts(weights: Weights, rng: random.Random) -> Weights:
    """Return the token counts of one interval: the popularity with sampling noise."""
    scale = _TOKENS_PER_EXPERT * len(weights) / sum(weights)
    return [max(0.0, rng.gauss(w * scale, math.sqrt(w * scale))) for w in weights]


@dataclass
class PolicyRun:
    """Skews and costs of one policy over a run."""

    skews: list[float]
    copies: int
    changes: int


def run_policy(drift: Drift, shape: GroupShape, seed: int, policy: PlanPolicy | None) -> PolicyRun:
    """Replan in each interval with ``policy``; ``None`` keeps the initial map."""
    rng = random.Random(f"counts/{seed}")
    ranks = tuple(range(shape.ranks))
    mapping = initial_map(ranks, shape.experts, 1)
    smoothed = [0.0] * shape.experts
    run = PolicyRun([], 0, 0)
    for interval in range(_INTERVALS):
        weights = drift(interval, shape.experts, seed)
        counts = sample_counts(weights, rng)
        if interval >= 20:
            run.skews.append(map_skew(mapping, [counts], ranks))
        weight = _SMOOTHING if interval else 1.0
        smoothed = [s + weight * (c - s) for s, c in zip(smoothed, counts, strict=True)]
        if policy is None:
            continue
        planned = plan_map(mapping, [smoothed], ranks, shape.capacity, policy)
        if planned != mapping:
            if interval >= 20:
                run.copies += planned.copies_added(mapping)
                run.changes += 1
            mapping = planned
    return run


def full_replan(drift: Drift, shape: GroupShape, seed: int) -> PolicyRun:
    """Compute a new placement from scratch in each interval."""
    rng = random.Random(f"counts/{seed}")
    ranks = tuple(range(shape.ranks))
    mapping = initial_map(ranks, shape.experts, 1)
    smoothed = [0.0] * shape.experts
    run = PolicyRun([], 0, 0)
    for interval in range(_INTERVALS):
        counts = sample_counts(drift(interval, shape.experts, seed), rng)
        if interval >= 20:
            run.skews.append(map_skew(mapping, [counts], ranks))
        weight = _SMOOTHING if interval else 1.0
        smoothed = [s + weight * (c - s) for s, c in zip(smoothed, counts, strict=True)]
        planned = ExpertMap((place_from_scratch(smoothed, shape),))
        if interval >= 20:
            run.copies += planned.copies_added(mapping)
            run.changes += 1
        mapping = planned
    return run


def place_from_scratch(loads: Weights, shape: GroupShape) -> tuple[tuple[int, ...], ...]:
    """Replicate the hottest experts into the spare capacity, then place the heaviest first."""
    replicas = [1] * shape.experts
    for _ in range(shape.ranks * shape.capacity - shape.experts):
        hottest = max(range(shape.experts), key=lambda e: loads[e] / replicas[e])
        if replicas[hottest] < shape.ranks:
            replicas[hottest] += 1
    totals = [0.0] * shape.ranks
    replicas_on_rank = [0] * shape.ranks
    holders: list[list[int]] = [[] for _ in range(shape.experts)]
    for expert in sorted(range(shape.experts), key=lambda e: -loads[e] / replicas[e]):
        for _ in range(replicas[expert]):
            eligible = [
                r
                for r in range(shape.ranks)
                if replicas_on_rank[r] < shape.capacity and r not in holders[expert]
            ]
            if not eligible:
                break
            rank = min(eligible, key=lambda r: totals[r])
            holders[expert].append(rank)
            replicas_on_rank[rank] += 1
            totals[rank] += loads[expert] / replicas[expert]
    return tuple(tuple(sorted(h)) for h in holders)


@EXPERIMENTS.register("expert_maps")
def expert_maps(seed: int) -> Result:
    """Compare the policies with a fixed map and with full replanning."""
    tables = []
    findings = []
    for shape in SHAPES:
        rows: list[list[Cell]] = []
        for drift_name, drift in DRIFTS.items():
            runs = {"fixed map": run_policy(drift, shape, seed, None)}
            runs["full re-plan"] = full_replan(drift, shape, seed)
            for name, policy in POLICIES.items():
                runs[name] = run_policy(drift, shape, seed, policy)
            full_run = runs["full re-plan"]
            for name, run in runs.items():
                p99 = quantile(run.skews, 0.99)
                rows.append(
                    [
                        drift_name,
                        name,
                        quantile(run.skews, 0.5),
                        p99,
                        run.copies,
                        run.changes,
                        100 * run.copies / max(1, full_run.copies),
                    ]
                )
            findings += _compare_with_full_replan(shape, drift_name, runs)
        columns = ["drift", "way", "skew p50", "skew p99", "copies moved", "map changes"]
        title = f"{shape.ranks} ranks x {shape.experts} experts, room for {shape.capacity} a rank"
        tables.append(Table(title, [*columns, "% of full re-plan's copies"], rows))
    tables.append(_planner_time(seed))
    return Result(
        name="expert_maps",
        method=(
            f"{_INTERVALS} looks at the load, the first 20 not counted; {_TOKENS_PER_EXPERT} "
            "tokens an expert and look with sampling noise, smoothed as the owner does. Skew is "
            "the slowest rank's load over the mean; copies are experts loaded onto a rank."
        ),
        seed=seed,
        tables=tables,
        findings=findings,
    )


def _compare_with_full_replan(
    shape: GroupShape, drift: str, runs: dict[str, PolicyRun]
) -> list[str]:
    full_run, skew_first = runs["full re-plan"], runs["skew-first"]
    skew_ratio = quantile(skew_first.skews, 0.99) / quantile(full_run.skews, 0.99)
    copy_ratio = skew_first.copies / max(1, full_run.copies)
    verdict = "met" if skew_ratio <= 1.05 and copy_ratio <= 0.1 else "missed"
    if drift == "noise only":
        verdict = "next to no move"
    return [
        f"{shape.ranks}x{shape.experts}, {drift}: skew-first has {skew_ratio:.2f} of full "
        f"re-plan's p99 skew at {100 * copy_ratio:.1f}% of its copies (goal 1.05 at 10%: {verdict})"
    ]


def _planner_time(seed: int) -> Table:
    rows: list[list[Cell]] = []
    for layers in (1, 15, 60):
        shape = SHAPES[1]
        ranks = tuple(range(shape.ranks))
        loads = [
            sample_counts(_base_popularity(shape.experts, seed + layer), random.Random(layer))
            for layer in range(layers)
        ]
        start = initial_map(ranks, shape.experts, layers)
        for name, policy in POLICIES.items():
            start_time = time.process_time()
            planned = plan_map(start, loads, ranks, shape.capacity, policy)
            first_plan = time.process_time() - start_time
            start_time = time.process_time()
            plan_map(planned, loads, ranks, shape.capacity, policy)
            next_plan = time.process_time() - start_time
            rows.append([layers, name, first_plan, next_plan])
    columns = ["layers", "policy", "first plan, s", "next plan, s"]
    return Table("Planner's processor time, 64 ranks x 256 experts", columns, rows)
