"""Prints the figures of docs/design/waiting.md; arguments: numbers of entries, names of cases."""

from __future__ import annotations

import sys
from dataclasses import replace

from canvasyoke.direct.tests.waiting_model import WaitingSimulation
from canvasyoke.direct.tests.waiting_scenario import Kind, Outcome, Scenario

#: Requests a second that 63 engines with 5 slots serve in 1.6 s each.
_CAPACITY = 315 / 1.6
_ORGANISATIONS = 6


def _kinds(load: float, burst_of: int | None = None, burst: float = 0.0) -> tuple[Kind, ...]:
    """Return three kinds with equal loads, one of them with a burst, relative to the capacity."""
    each = _CAPACITY / _ORGANISATIONS
    return tuple(
        Kind(p, load * each, f"o-{n}", burst * each if p == burst_of else None)
        for p in range(3)
        for n in range(_ORGANISATIONS)
    )


def _burst_of_organisation() -> tuple[Kind, ...]:
    return tuple(
        replace(k, burst_rate=2 * _CAPACITY) if (k.priority, k.organisation) == (1, "o-0") else k
        for k in _kinds(0.2)
    )


CASES = {
    "least": Scenario(_kinds(0.2, 2, 2.0)),
    "most": Scenario(_kinds(0.2, 0, 2.0)),
    "one organisation": Scenario(_burst_of_organisation()),
    "at once": Scenario(_kinds(0.2, 2, 2.0), returns_after=(0, 0)),
    "half pace": Scenario(_kinds(0.25), slowdown=2.0),
    "half gone": Scenario(_kinds(0.25, 2, 1.0), loses_half=True),
}


def _shares(outcome: Outcome, priority: int) -> str:
    kinds = [v for k, v in outcome.kinds.items() if k.priority == priority]
    asked = max(1, sum(kind.asked for kind in kinds))
    on_time, served = sum(k.on_time for k in kinds), sum(k.served for k in kinds)
    return f"{on_time / asked:.3f}/{served / asked:.3f}"


def _print_case(name: str, entries: list[int]) -> None:
    scenario = CASES[name]
    single = WaitingSimulation(replace(scenario, entries=1, loses_half=False)).run()
    urgent = tuple(
        replace(k, rate=1e-6, burst_rate=None) if k.priority else k for k in scenario.kinds
    )
    for count in [1, *entries]:
        now = replace(scenario, entries=count, loses_half=scenario.loses_half and count > 1)
        outcome = WaitingSimulation(now).run()
        alone = WaitingSimulation(replace(now, kinds=urgent)).run()
        print(
            name,
            count,
            [_shares(outcome, priority) for priority in range(3)],
            f"alone {_shares(alone, 0)} use {outcome.used / single.used:.3f}",
            f"refused waits {outcome.refused_waits:.3f} {dict(outcome.counts)}",
        )


if __name__ == "__main__":
    for case in sys.argv[2].split(",") if len(sys.argv) > 2 else CASES:
        _print_case(case, [int(count) for count in sys.argv[1].split(",")])
