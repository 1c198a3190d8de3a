"""CPU time and memory of processes, and quantiles of samples."""

from __future__ import annotations

import os
from collections.abc import Sequence
from pathlib import Path

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid: int) -> float:
    """Return the CPU time used by a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def resident_mb(pid: int) -> float:
    """Return a process's resident memory in megabytes (10^6 bytes)."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1_024 / 1e6
    return 0.0


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the quantile of ``values`` at ``fraction``, or 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0
