"""Routing, limits and overload: our choice against baselines, decisions only."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Final

from bench._process import quantile
from bench._registry import EXPERIMENTS, Cell, Result, Table
from bench._routing_world import Tally, World, WorldSpec, single_queue

#: Requests a second that 16 targets of 8 slots can serve, at 440 ms each.
CAPACITY: Final = 16 * 8 / 0.440
_LOADS: Final = (0.5, 0.9, 2.0)
#: Ways compared: name in the table, ranker, whether answers carry the load, lines.
WAYS: Final = (
    ("random", "random", False, 1),
    ("round robin", "round_robin", False, 1),
    ("least reported", "least_reported", False, 1),
    ("two choices, reported", "two_choices_reported", False, 1),
    ("two choices, corrected", "two_choices", False, 1),
    ("the same, load on answers", "two_choices", True, 1),
    ("ours: and four lines", "two_choices", True, 4),
)
_OURS: Final = WAYS[-1][0]
_COLUMNS: Final = ["way", "load", "p50 ms", "p99 ms", "goodput/s", "refused %"]


def total(world: World) -> Tally:
    """Return the tallies of all organisations together."""
    tallies = list(world.tallies.values())
    return Tally(
        first=[v for t in tallies for v in t.first],
        good=sum(t.good for t in tallies),
        late=sum(t.late for t in tallies),
        refused=sum(t.refused for t in tallies),
        hits=sum(t.hits for t in tallies),
        misses=sum(t.misses for t in tallies),
    )


def row(name: str, load: Cell, tally: Tally, spec: WorldSpec) -> list[Cell]:
    """Return one line of the table."""
    counted = spec.seconds - spec.warmup / 1_000
    return [
        name,
        load,
        quantile(tally.first, 0.5),
        quantile(tally.first, 0.99),
        tally.good / counted,
        100 * tally.refused / max(1, tally.total),
    ]


def spec_at(
    load: float, seed: int, ranker: str = "two_choices", piggyback: bool = True, places: int = 4
) -> WorldSpec:
    """Return the usual world at a part of capacity, with ten organisations."""
    rates = {f"org-{i}": load * CAPACITY / 10 for i in range(10)}
    return WorldSpec(ranker, piggyback, rates, seed, places=places)


@EXPERIMENTS.register("routing")
def routing(seed: int) -> Result:
    """Compare the ways at three loads, and with one slow, dead or flapping engine."""
    rows: list[list[Cell]] = []
    p99: dict[tuple[str, float], float] = {}
    goodput: dict[tuple[str, float], float] = {}
    for load in (*_LOADS, 1.0):
        ideal_spec = spec_at(load, seed)
        ideal = total(single_queue(ideal_spec))
        rows.append(row("one queue that sees all", load, ideal, ideal_spec))
        p99["ideal", load] = quantile(ideal.first, 0.99)
        for name, ranker, piggyback, places in WAYS if load in _LOADS else WAYS[-1:]:
            spec = spec_at(load, seed, ranker, piggyback, places)
            tally = total(World(spec).run())
            rows.append(row(name, load, tally, spec))
            p99[name, load] = quantile(tally.first, 0.99)
            goodput[name, load] = tally.good
    faults, findings = _faults(seed)
    ratio = p99[_OURS, 0.9] / p99["ideal", 0.9]
    kept = goodput[_OURS, 2.0] / goodput[_OURS, 1.0]
    return Result(
        name="routing",
        method=(
            "8 entries, 16 targets of 8 slots, reports 1 s old, 1.5 ms links, service times "
            "lognormal with mean 440 ms, deadline 3 s, 60 s of arrivals of which 55 s count. "
            "The package's own filter, rankers, ejection, retry rules and target queue; no "
            "sockets; all ways meet the very same requests. Ours is two choices by a corrected "
            "estimate, the target's load on each answer, and a request that has to wait stands "
            "in four lines and runs where its turn comes first."
        ),
        seed=seed,
        tables=[Table("Time to first token and goodput", _COLUMNS, rows), faults],
        findings=[
            f"p99 at 90%: {ratio:.2f} of one queue that sees all (goal 1.3: "
            f"{'met' if ratio <= 1.3 else 'missed'})",
            f"goodput at 200%: {100 * kept:.0f}% of that at 100% (goal 95%: "
            f"{'met' if kept >= 0.95 else 'missed'})",
            *findings,
        ],
    )


def _faults(seed: int) -> tuple[Table, list[str]]:
    rows: list[list[Cell]] = []
    findings = []
    flaps = [(float(t), float(t + 1_000)) for t in range(10_000, 60_000, 4_000)]
    cases = {
        "one slow (x5)": {"slow": {0: 5.0}},
        "one dead": {"dead": {0: [(10_000.0, 1e9)]}},
        "one flapping": {"dead": {0: flaps}},
    }
    for case, change in cases.items():
        for name, ranker, piggyback, places in WAYS:
            spec = replace(spec_at(0.7, seed, ranker, piggyback, places), **change)  # type: ignore[arg-type]
            world = World(spec).run()
            rows.append([case, *row(name, 0.7, total(world), spec), max(world.dead_tries)])
            if case == "one dead" and name == _OURS:
                findings.append(
                    f"a dead engine cost at most {max(world.dead_tries)} tries an entry in 50 s, "
                    "probes included"
                )
    columns = ["fault", *_COLUMNS, "tries at a dead one, most by an entry"]
    return Table("One bad engine of 16, at 70%", columns, rows), findings


@EXPERIMENTS.register("fairness")
def fairness(seed: int) -> Result:
    """One organisation sends ten times its share; what the others notice."""
    rows: list[list[Cell]] = []
    findings = []
    for load in (0.5, 0.8):
        share = load * CAPACITY / 10
        others = {f"org-{i}": share for i in range(1, 10)}
        worlds = {
            "alone": World(replace(spec_at(load, seed), rates=others)).run(),
            "with a flood": World(
                replace(spec_at(load, seed), rates={**others, "flood": 10 * share})
            ).run(),
        }
        p99 = {}
        for name, world in worlds.items():
            tallies = [t for n, t in world.tallies.items() if n != "flood"]
            first = [v for t in tallies for v in t.first]
            refused = sum(t.refused for t in tallies)
            p99[name] = quantile(first, 0.99)
            count = max(1, sum(t.total for t in tallies))
            rows.append([load, name, quantile(first, 0.5), p99[name], 100 * refused / count])
        flood = worlds["with a flood"].tallies["flood"]
        rows.append(
            [
                load,
                "the flood itself",
                quantile(flood.first, 0.5),
                quantile(flood.first, 0.99),
                100 * flood.refused / max(1, flood.total),
            ]
        )
        ratio = p99["with a flood"] / p99["alone"]
        met = "met" if ratio <= 1.1 else "missed"
        findings.append(f"others' p99 at {load:.0%}: {ratio:.2f} of alone (goal 1.1: {met})")
    columns = ["load without the flood", "organisations", "p50 ms", "p99 ms", "refused %"]
    return Result(
        name="fairness",
        method=(
            "Ten organisations of one share each; one sends ten times its share. Shares are "
            "kept in each target's queue. World as in routing."
        ),
        seed=seed,
        tables=[Table("The nine others", columns, rows)],
        findings=findings,
    )


@EXPERIMENTS.register("affinity")
def affinity(seed: int) -> Result:
    """Prefix-cache affinity against ignoring it, with late and lost events."""
    rows: list[list[Cell]] = []
    for load in (0.5, 0.9):
        for name, on, lost in _affinity_cases():
            spec = replace(
                spec_at(load, seed),
                prefixes=400,
                cache=60,
                affinity=on,
                events_lost=lost,
                duration=300.0,
                prefill=20.0,
            )
            tally = total(World(spec).run())
            hits = 100 * tally.hits / max(1, tally.hits + tally.misses)
            rows.append([name, *row("", load, tally, spec)[1:], hits])
    columns = ["way", *_COLUMNS[1:], "hits %"]
    return Result(
        name="affinity",
        method=(
            "400 prefixes of Zipf-like popularity, room for 60 at a target, a miss costs 80 ms "
            "more; cache events 1 s late and partly lost. A target thought to hold the prefix "
            "is preferred while it has a free slot."
        ),
        seed=seed,
        tables=[Table("Affinity", columns, rows)],
    )


def _affinity_cases() -> Sequence[tuple[str, bool, float]]:
    return (
        ("ignored", False, 0.0),
        ("preferred, all events", True, 0.0),
        ("preferred, 20% lost", True, 0.2),
        ("preferred, 80% lost", True, 0.8),
    )
