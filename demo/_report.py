"""Checks the invariants after a run and prints what a user wants to see."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from demo._load import LoadResult
from fakes.launcher import Fleet
from fakes.plain import read_ledger
from fakes.rank import steps_on_two_maps


@dataclass(frozen=True)
class Verdict:
    """What the ledgers say of a run."""

    #: Keys that ran more than once.
    double_runs: list[str]
    #: Keys that callers were told had not run, and that ran.
    false_refusals: list[str]
    #: Keys that callers were told were answered, and that did not run.
    false_answers: list[str]
    #: Steps that ran on two maps.
    split_steps: list[int]
    wrong_answers: list[str]

    @property
    def broken(self) -> bool:
        """Tell whether any invariant was broken."""
        return bool(
            self.double_runs
            or self.false_refusals
            or self.false_answers
            or self.split_steps
            or self.wrong_answers
        )


def judge(fleet: Fleet, result: LoadResult, step_ledgers: Sequence[Any]) -> Verdict:
    """Hold what callers were told against the stand-ins' own ledgers."""
    runs: dict[str, int] = {}
    for target in fleet.spec.targets:
        for key, count in read_ledger(str(fleet.ledger(target.name))).items():
            runs[key] = runs.get(key, 0) + count
    return Verdict(
        double_runs=[k for k, n in runs.items() if n > 1],
        false_refusals=[k for k, o in result.saves.items() if o == "not_run" and k in runs],
        false_answers=[k for k, o in result.saves.items() if o == "answered" and k not in runs],
        split_steps=steps_on_two_maps(list(step_ledgers)),
        wrong_answers=list(result.wrong),
    )


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the value under which ``fraction`` of ``values`` lie; 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def print_report(
    fleet: Fleet, result: LoadResult, verdict: Verdict, statuses: Mapping[str, Any]
) -> None:
    """Print answers, refusals, times, generations, skew and the verdict."""
    print("\nwhat callers were told")
    for (kind, outcome), count in sorted(result.outcomes.items()):
        print(f"  {kind:<12}{outcome:<10}{count:>7}")
    print("refusals and failures by reason")
    for reason, count in sorted(result.reasons.items()):
        print(f"  {reason:<22}{count:>7}")
    print("times in ms                    p50      p99")
    for name, values in (("first token", result.first_ms), ("between tokens", result.between_ms)):
        print(f"  {name:<22}{quantile(values, 0.5):>10.1f}{quantile(values, 0.99):>9.1f}")
    _print_statuses(statuses)
    print("invariants")
    print(f"  double runs                  {len(verdict.double_runs)}")
    print(f"  'not run' that ran           {len(verdict.false_refusals)}")
    print(f"  'answered' that did not run  {len(verdict.false_answers)}")
    print(f"  wrong or mixed-up answers    {len(verdict.wrong_answers)}")
    print(f"  steps on two maps            {len(verdict.split_steps)}")
    for wrong in verdict.wrong_answers[:3]:
        print(f"    {wrong[:200]}")


def _print_statuses(statuses: Mapping[str, Any]) -> None:
    print("generation in force")
    shown: dict[str, int] = {}
    groups: dict[str, Any] = {}
    for entry, status in statuses.items():
        shown[entry] = status["entry"]["generation"]
        for target in status["targets"]:
            shown[target["instance"]] = target["generation"]
        for group in status["groups"]:
            groups[group["group"]] = group
    for name, generation in sorted(shown.items()):
        print(f"  {name:<22}{generation:>7}")
    for name, group in groups.items():
        print(
            f"group {name}: map {group['epoch']}.{group['number']} on {group['ranks_on_map']} "
            f"of {group['ranks']} ranks, step skew {group['skew']:.3f}, owner {group['owner']}"
        )
