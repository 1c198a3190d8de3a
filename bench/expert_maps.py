"""Expert maps on drifting popularity: skew against moves, and the planner's own time."""

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

#: Looks at the load in one run; each stands for one replan interval.
_LOOKS: Final = 300
#: Tokens a step spreads over the experts of a layer, per expert.
_TOKENS: Final = 40
_SMOOTHING: Final = 0.4

#: Weights of all experts of a layer at one look.
Weights = list[float]
Drift = Callable[[int, int, int], Weights]


def _base(experts: int, seed: int) -> Weights:
    rng = random.Random(f"base/{seed}")
    return [rng.lognormvariate(0.0, 0.7) for _ in range(experts)]


def daily(look: int, experts: int, seed: int) -> Weights:
    """Slow drift: each expert swells and shrinks once in a run, each at its own time."""
    phase = random.Random(f"phase/{seed}")
    return [
        w * math.exp(1.0 * math.sin(2 * math.pi * (look / _LOOKS + phase.random())))
        for w in _base(experts, seed)
    ]


def spike(look: int, experts: int, seed: int) -> Weights:
    """A few experts become ten times as popular for a fifth of the run."""
    weights = _base(experts, seed)
    if _LOOKS * 2 // 5 <= look < _LOOKS * 3 // 5:
        for expert in random.Random(f"spike/{seed}").sample(range(experts), experts // 16):
            weights[expert] *= 10
    return weights


def alternating(look: int, experts: int, seed: int) -> Weights:
    """Two hot sets take turns every 20 looks."""
    weights = _base(experts, seed)
    half = random.Random(f"alternate/{seed}").sample(range(experts), experts // 4)
    hot = half[::2] if look // 20 % 2 else half[1::2]
    for expert in hot:
        weights[expert] *= 4
    return weights


def noise(look: int, experts: int, seed: int) -> Weights:
    """No drift at all; only the counts vary."""
    return _base(experts, seed)


DRIFTS: Final[dict[str, Drift]] = {
    "daily": daily,
    "spike": spike,
    "alternating": alternating,
    "noise only": noise,
}


@dataclass(frozen=True)
class Shape:
    """A group."""

    ranks: int
    experts: int
    capacity: int


SHAPES: Final = (Shape(16, 64, 6), Shape(64, 256, 6))


def counted(weights: Weights, rng: random.Random) -> Weights:
    """Return the tokens seen in one look: the popularity with sampling noise."""
    scale = _TOKENS * len(weights) / sum(weights)
    return [max(0.0, rng.gauss(w * scale, math.sqrt(w * scale))) for w in weights]


@dataclass
class Outcome:
    """What one way did over a run."""

    skews: list[float]
    copies: int
    changes: int


def run_way(drift: Drift, shape: Shape, seed: int, policy: PlanPolicy | None) -> Outcome:
    """Replan at each look by ``policy``; ``None`` keeps the first map."""
    rng = random.Random(f"counts/{seed}")
    ranks = tuple(range(shape.ranks))
    mapping = initial_map(ranks, shape.experts, 1)
    smoothed = [0.0] * shape.experts
    outcome = Outcome([], 0, 0)
    for look in range(_LOOKS):
        weights = drift(look, shape.experts, seed)
        seen = counted(weights, rng)
        if look >= 20:
            outcome.skews.append(map_skew(mapping, [seen], ranks))
        weight = _SMOOTHING if look else 1.0
        smoothed = [s + weight * (c - s) for s, c in zip(smoothed, seen, strict=True)]
        if policy is None:
            continue
        planned = plan_map(mapping, [smoothed], ranks, shape.capacity, policy)
        if planned != mapping:
            if look >= 20:
                outcome.copies += planned.copies_added(mapping)
                outcome.changes += 1
            mapping = planned
    return outcome


def full_replan(drift: Drift, shape: Shape, seed: int) -> Outcome:
    """Place everything anew at each look, with replicas, heaviest first."""
    rng = random.Random(f"counts/{seed}")
    ranks = tuple(range(shape.ranks))
    mapping = initial_map(ranks, shape.experts, 1)
    smoothed = [0.0] * shape.experts
    outcome = Outcome([], 0, 0)
    for look in range(_LOOKS):
        seen = counted(drift(look, shape.experts, seed), rng)
        if look >= 20:
            outcome.skews.append(map_skew(mapping, [seen], ranks))
        weight = _SMOOTHING if look else 1.0
        smoothed = [s + weight * (c - s) for s, c in zip(smoothed, seen, strict=True)]
        planned = ExpertMap((place_anew(smoothed, shape),))
        if look >= 20:
            outcome.copies += planned.copies_added(mapping)
            outcome.changes += 1
        mapping = planned
    return outcome


def place_anew(loads: Weights, shape: Shape) -> tuple[tuple[int, ...], ...]:
    """Give the spare room to the hottest experts, then pack heaviest first."""
    replicas = [1] * shape.experts
    for _ in range(shape.ranks * shape.capacity - shape.experts):
        hottest = max(range(shape.experts), key=lambda e: loads[e] / replicas[e])
        if replicas[hottest] < shape.ranks:
            replicas[hottest] += 1
    totals = [0.0] * shape.ranks
    held = [0] * shape.ranks
    holders: list[list[int]] = [[] for _ in range(shape.experts)]
    for expert in sorted(range(shape.experts), key=lambda e: -loads[e] / replicas[e]):
        for _ in range(replicas[expert]):
            able = [
                r
                for r in range(shape.ranks)
                if held[r] < shape.capacity and r not in holders[expert]
            ]
            if not able:
                break
            rank = min(able, key=lambda r: totals[r])
            holders[expert].append(rank)
            held[rank] += 1
            totals[rank] += loads[expert] / replicas[expert]
    return tuple(tuple(sorted(h)) for h in holders)


@EXPERIMENTS.register("expert_maps")
def expert_maps(seed: int) -> Result:
    """Compare the policies with a fixed map and with placing everything anew."""
    tables = []
    findings = []
    for shape in SHAPES:
        rows: list[list[Cell]] = []
        for drift_name, drift in DRIFTS.items():
            outcomes = {"fixed map": run_way(drift, shape, seed, None)}
            outcomes["full re-plan"] = full_replan(drift, shape, seed)
            for name, policy in POLICIES.items():
                outcomes[name] = run_way(drift, shape, seed, policy)
            full = outcomes["full re-plan"]
            for name, outcome in outcomes.items():
                p99 = quantile(outcome.skews, 0.99)
                rows.append(
                    [
                        drift_name,
                        name,
                        quantile(outcome.skews, 0.5),
                        p99,
                        outcome.copies,
                        outcome.changes,
                        100 * outcome.copies / max(1, full.copies),
                    ]
                )
            findings += _judge(shape, drift_name, outcomes)
        columns = ["drift", "way", "skew p50", "skew p99", "copies moved", "map changes"]
        title = f"{shape.ranks} ranks x {shape.experts} experts, room for {shape.capacity} a rank"
        tables.append(Table(title, [*columns, "% of full re-plan's copies"], rows))
    tables.append(_planner_time(seed))
    return Result(
        name="expert_maps",
        method=(
            f"{_LOOKS} looks at the load, the first 20 not counted; {_TOKENS} tokens an expert "
            "and look with sampling noise, smoothed as the owner does. Skew is the slowest "
            "rank's load over the mean; copies are experts loaded onto a rank."
        ),
        seed=seed,
        tables=tables,
        findings=findings,
    )


def _judge(shape: Shape, drift: str, outcomes: dict[str, Outcome]) -> list[str]:
    full, ours = outcomes["full re-plan"], outcomes["skew-first"]
    ratio = quantile(ours.skews, 0.99) / quantile(full.skews, 0.99)
    part = ours.copies / max(1, full.copies)
    met = "met" if ratio <= 1.05 and part <= 0.1 else "missed"
    if drift == "noise only":
        met = "next to no move"
    return [
        f"{shape.ranks}x{shape.experts}, {drift}: skew-first has {ratio:.2f} of full re-plan's "
        f"p99 skew at {100 * part:.1f}% of its copies (goal 1.05 at 10%: {met})"
    ]


def _planner_time(seed: int) -> Table:
    rows: list[list[Cell]] = []
    for layers in (1, 15, 60):
        shape = SHAPES[1]
        ranks = tuple(range(shape.ranks))
        loads = [
            counted(_base(shape.experts, seed + layer), random.Random(layer))
            for layer in range(layers)
        ]
        start = initial_map(ranks, shape.experts, layers)
        for name, policy in POLICIES.items():
            began = time.process_time()
            planned = plan_map(start, loads, ranks, shape.capacity, policy)
            first = time.process_time() - began
            began = time.process_time()
            plan_map(planned, loads, ranks, shape.capacity, policy)
            again = time.process_time() - began
            rows.append([layers, name, first, again])
    columns = ["layers", "policy", "first plan, s", "next plan, s"]
    return Table("Planner's processor time, 64 ranks x 256 experts", columns, rows)
