"""Checks the invariants after a run and prints a summary."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from demo._load import LoadResult
from fakes.launcher import Fleet
from fakes.plain import read_ledger
from fakes.rank import steps_on_two_maps


@dataclass(frozen=True)
class InvariantViolations:
    """Invariant violations found in the ledgers of a run."""

    #: Keys that ran more than once.
    double_runs: list[str]
    #: Keys reported as not run that did run.
    false_refusals: list[str]
    #: Keys reported as answered that did not run.
    false_answers: list[str]
    #: Steps that ran on two maps.
    split_steps: list[int]
    wrong_answers: list[str]

    @property
    def has_any(self) -> bool:
        """Whether any invariant was violated."""
        return bool(
            self.double_runs
            or self.false_refusals
            or self.false_answers
            or self.split_steps
            or self.wrong_answers
        )


def check_invariants(
    fleet: Fleet, result: LoadResult, step_ledgers: Sequence[Any]
) -> InvariantViolations:
    """Compare the outcomes reported to callers with the ledgers of the fake backends."""
    runs: dict[str, int] = {}
    for target in fleet.spec.targets:
        for key, count in read_ledger(str(fleet.ledger(target.name))).items():
            runs[key] = runs.get(key, 0) + count
    return InvariantViolations(
        double_runs=[k for k, n in runs.items() if n > 1],
        false_refusals=[k for k, o in result.saves.items() if o == "not_run" and k in runs],
        false_answers=[k for k, o in result.saves.items() if o == "answered" and k not in runs],
        split_steps=steps_on_two_maps(list(step_ledgers)),
        wrong_answers=list(result.wrong_answers),
    )


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the quantile of ``values`` at ``fraction``, or 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def print_report(
    fleet: Fleet, result: LoadResult, violations: InvariantViolations, statuses: Mapping[str, Any]
) -> None:
    """Print outcomes, refusals, latencies, generations, skew and violations."""
    print("\nrequests by outcome")
    for (kind, outcome), count in sorted(result.outcomes.items()):
        print(f"  {kind:<12}{outcome:<10}{count:>7}")
    print("refusals and failures by reason")
    for reason, count in sorted(result.reasons.items()):
        print(f"  {reason:<22}{count:>7}")
    print("latency in ms                  p50      p99")
    for name, values in (
        ("first token", result.first_token_ms),
        ("between tokens", result.inter_token_ms),
    ):
        print(f"  {name:<22}{quantile(values, 0.5):>10.1f}{quantile(values, 0.99):>9.1f}")
    _print_statuses(statuses)
    print("invariants")
    print(f"  double runs                  {len(violations.double_runs)}")
    print(f"  'not run' that ran           {len(violations.false_refusals)}")
    print(f"  'answered' that did not run  {len(violations.false_answers)}")
    print(f"  wrong or mixed-up answers    {len(violations.wrong_answers)}")
    print(f"  steps on two maps            {len(violations.split_steps)}")
    for wrong in violations.wrong_answers[:3]:
        print(f"    {wrong[:200]}")


def _print_statuses(statuses: Mapping[str, Any]) -> None:
    print("active generation")
    generations: dict[str, int] = {}
    groups: dict[str, Any] = {}
    for entry, status in statuses.items():
        generations[entry] = status["entry"]["generation"]
        for target in status["targets"]:
            generations[target["instance"]] = target["generation"]
        for group in status["groups"]:
            groups[group["group"]] = group
    for name, generation in sorted(generations.items()):
        print(f"  {name:<22}{generation:>7}")
    for name, group in groups.items():
        print(
            f"group {name}: map {group['epoch']}.{group['number']} on {group['ranks_on_map']} "
            f"of {group['ranks']} ranks, step skew {group['skew']:.3f}, owner {group['owner']}"
        )
