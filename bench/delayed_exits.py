"""Backends that a crashing request takes down while their ports close late."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from bench._registry import EXPERIMENTS, Cell, Result, Table
from tests.crash_traffic import ENGINES, ENTRIES, PROPAGATION_TIME, CrashTraffic

#: Seconds from the end of an engine's connections until its port closes.
_DELAYS: Final = (0.0, 0.02, 0.2, 1.0)
_REPEATS: Final = 25
_COLUMNS: Final = [
    "port closes after, ms",
    "backends crashed",
    f"later than {PROPAGATION_TIME:g} s after the third",
    "ordinary requests",
    "of these failed",
]


@EXPERIMENTS.register("delayed_exits")
def run(seed: int) -> Result:
    """Repeat a crashing request among ordinary traffic."""
    rows = [_measure(delay, seed) for delay in _DELAYS]
    late = sum(int(row[2]) for row in rows)
    return Result(
        name="delayed_exits",
        method=(
            f"{ENTRIES} entries, {ENGINES} backends that are restarted, ordinary requests, and one "
            f"that crashes its backend, sent {_REPEATS} times, once a second."
        ),
        seed=seed,
        tables=[Table("Backends crashed", _COLUMNS, rows)],
        findings=[f"Late crashes: {late} (three granted for each delay)."],
    )


def _measure(delay: float, seed: int) -> list[Cell]:
    choose_delay: Callable[[random.Random], float] = lambda _rng: delay  # noqa: E731
    traffic = CrashTraffic(choose_delay, seed)
    try:
        result = traffic.run(_REPEATS)
    finally:
        traffic.close()
    return [
        round(delay * 1_000),
        len(result.crashed_at),
        result.late_crashes,
        result.sent,
        len(result.failures),
    ]
