"""Compares the routing policy with baselines under load, overload and faults, by simulation."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Final

from bench._process import quantile
from bench._registry import EXPERIMENTS, Cell, Result, Table
from bench._routing_simulation import RequestStats, Simulation, SimulationSpec, run_shared_queue

#: Requests per second that 16 targets of 8 slots can serve, at 440 ms each.
CAPACITY: Final = 16 * 8 / 0.440
_LOADS: Final = (0.5, 0.9, 2.0)
#: Compared variants: name, ranker, whether answers carry the load, maximum queues.
VARIANTS: Final = (
    ("random", "random", False, 1),
    ("round robin", "round_robin", False, 1),
    ("least reported", "least_reported", False, 1),
    ("two choices, reported", "two_choices_reported", False, 1),
    ("two choices, corrected", "two_choices", False, 1),
    ("the same, load on answers", "two_choices", True, 1),
    ("ours: and four lines", "two_choices", True, 4),
)
_DEFAULT_VARIANT: Final = VARIANTS[-1][0]
_COLUMNS: Final = ["way", "load", "p50 ms", "p99 ms", "goodput/s", "refused %"]


def combined_stats(simulation: Simulation) -> RequestStats:
    """Return the statistics of all organisations combined."""
    stats = list(simulation.stats.values())
    return RequestStats(
        first_token_ms=[v for t in stats for v in t.first_token_ms],
        on_time=sum(t.on_time for t in stats),
        late=sum(t.late for t in stats),
        refused=sum(t.refused for t in stats),
        hits=sum(t.hits for t in stats),
        misses=sum(t.misses for t in stats),
    )


def summary_row(name: str, load: Cell, counts: RequestStats, spec: SimulationSpec) -> list[Cell]:
    """Return a table row."""
    counted_seconds = spec.seconds - spec.warmup / 1_000
    return [
        name,
        load,
        quantile(counts.first_token_ms, 0.5),
        quantile(counts.first_token_ms, 0.99),
        counts.on_time / counted_seconds,
        100 * counts.refused / max(1, counts.total),
    ]


def spec_for_load(
    load: float,
    seed: int,
    ranker: str = "two_choices",
    is_load_piggybacked: bool = True,
    max_queues: int = 4,
) -> SimulationSpec:
    """Return the default specification at a fraction of capacity, with ten organisations."""
    rates = {f"org-{i}": load * CAPACITY / 10 for i in range(10)}
    return SimulationSpec(ranker, is_load_piggybacked, rates, seed, max_queues=max_queues)


@EXPERIMENTS.register("routing")
def routing(seed: int) -> Result:
    """Compare the variants at three loads, and with one slow, dead or flapping engine."""
    rows: list[list[Cell]] = []
    p99: dict[tuple[str, float], float] = {}
    goodput: dict[tuple[str, float], float] = {}
    for load in (*_LOADS, 1.0):
        ideal_spec = spec_for_load(load, seed)
        ideal = combined_stats(run_shared_queue(ideal_spec))
        rows.append(summary_row("one queue that sees all", load, ideal, ideal_spec))
        p99["ideal", load] = quantile(ideal.first_token_ms, 0.99)
        for name, ranker, is_load_piggybacked, max_queues in (
            VARIANTS if load in _LOADS else VARIANTS[-1:]
        ):
            spec = spec_for_load(load, seed, ranker, is_load_piggybacked, max_queues)
            counts = combined_stats(Simulation(spec).run())
            rows.append(summary_row(name, load, counts, spec))
            p99[name, load] = quantile(counts.first_token_ms, 0.99)
            goodput[name, load] = counts.on_time
    faults, findings = _faults(seed)
    p99_ratio = p99[_DEFAULT_VARIANT, 0.9] / p99["ideal", 0.9]
    goodput_ratio = goodput[_DEFAULT_VARIANT, 2.0] / goodput[_DEFAULT_VARIANT, 1.0]
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
            f"p99 at 90%: {p99_ratio:.2f} of one queue that sees all (goal 1.3: "
            f"{'met' if p99_ratio <= 1.3 else 'missed'})",
            f"goodput at 200%: {100 * goodput_ratio:.0f}% of that at 100% (goal 95%: "
            f"{'met' if goodput_ratio >= 0.95 else 'missed'})",
            *findings,
        ],
    )


def _faults(seed: int) -> tuple[Table, list[str]]:
    rows: list[list[Cell]] = []
    findings = []
    outages = [(float(t), float(t + 1_000)) for t in range(10_000, 60_000, 4_000)]
    cases = {
        "one slow (x5)": {"slow": {0: 5.0}},
        "one dead": {"dead": {0: [(10_000.0, 1e9)]}},
        "one flapping": {"dead": {0: outages}},
    }
    for case, change in cases.items():
        for name, ranker, is_load_piggybacked, max_queues in VARIANTS:
            spec = replace(
                spec_for_load(0.7, seed, ranker, is_load_piggybacked, max_queues), **change
            )  # type: ignore[arg-type]
            simulation = Simulation(spec).run()
            rows.append(
                [
                    case,
                    *summary_row(name, 0.7, combined_stats(simulation), spec),
                    max(simulation.dead_attempts),
                ]
            )
            if case == "one dead" and name == _DEFAULT_VARIANT:
                findings.append(
                    f"a dead engine cost at most {max(simulation.dead_attempts)} tries an entry "
                    "in 50 s, probes included"
                )
    columns = ["fault", *_COLUMNS, "tries at a dead one, most by an entry"]
    return Table("One bad engine of 16, at 70%", columns, rows), findings


@EXPERIMENTS.register("fairness")
def fairness(seed: int) -> Result:
    """Measure the impact on others when one organisation sends ten times its share."""
    rows: list[list[Cell]] = []
    findings = []
    for load in (0.5, 0.8):
        share = load * CAPACITY / 10
        others = {f"org-{i}": share for i in range(1, 10)}
        simulations = {
            "alone": Simulation(replace(spec_for_load(load, seed), rates=others)).run(),
            "with a flood": Simulation(
                replace(spec_for_load(load, seed), rates={**others, "flood": 10 * share})
            ).run(),
        }
        p99 = {}
        for name, simulation in simulations.items():
            stats = [t for n, t in simulation.stats.items() if n != "flood"]
            first_token_ms = [v for t in stats for v in t.first_token_ms]
            refused = sum(t.refused for t in stats)
            p99[name] = quantile(first_token_ms, 0.99)
            count = max(1, sum(t.total for t in stats))
            rows.append(
                [load, name, quantile(first_token_ms, 0.5), p99[name], 100 * refused / count]
            )
        flood = simulations["with a flood"].stats["flood"]
        rows.append(
            [
                load,
                "the flood itself",
                quantile(flood.first_token_ms, 0.5),
                quantile(flood.first_token_ms, 0.99),
                100 * flood.refused / max(1, flood.total),
            ]
        )
        p99_ratio = p99["with a flood"] / p99["alone"]
        verdict = "met" if p99_ratio <= 1.1 else "missed"
        findings.append(
            f"others' p99 at {load:.0%}: {p99_ratio:.2f} of alone (goal 1.1: {verdict})"
        )
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
    """Compare routing with and without prefix-cache affinity, with late and lost events."""
    rows: list[list[Cell]] = []
    for load in (0.5, 0.9):
        for name, on, lost in _affinity_cases():
            spec = replace(
                spec_for_load(load, seed),
                prefixes=400,
                cache=60,
                affinity=on,
                events_lost=lost,
                duration=300.0,
                prefill=20.0,
            )
            counts = combined_stats(Simulation(spec).run())
            hits = 100 * counts.hits / max(1, counts.hits + counts.misses)
            rows.append([name, *summary_row("", load, counts, spec)[1:], hits])
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
