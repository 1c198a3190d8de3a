"""Stability of processes that close a link's socket in the waiting thread or in another.

The socket library aborts the process, or blocks a thread forever, when a wait on a socket
starts while another thread closes it. Each use therefore runs in separate processes.
"""

from __future__ import annotations

import os
import subprocess
import sys
import time
from typing import Final

from bench._registry import EXPERIMENTS, Cell, Result, Table
from fakes.launcher import ROOT

#: Seconds for which each process opens and closes links, and until it counts as stuck.
_DURATION: Final = 40
_TIMEOUT: Final = _DURATION + 20
#: Concurrent processes of each use.
_PROCESSES: Final = 4
#: Competing processes that keep the CPUs busy, which makes the race more likely.
_BUSY_PROCESSES: Final = 12
#: Descriptions by name; the names are arguments of ``bench._link_churn``.
_USES: Final = {
    "two tasks": "one task waits, another closes",
    "one task": "one task waits and closes, woken by another, as links do",
}


@EXPERIMENTS.register("link_sockets")
def run(seed: int) -> Result:
    """Compare closing in the waiting thread with closing in another."""
    rows: list[list[Cell]] = [[text, *_run_processes(use, seed)] for use, text in _USES.items()]
    return Result(
        name="link_sockets",
        method=(
            f"Six clients and a server that comes and goes, {_PROCESSES} processes of each use "
            f"side by side for {_DURATION} s, {_BUSY_PROCESSES} busy ones beside them. Ended: by a "
            "signal of the library's own."
        ),
        seed=seed,
        tables=[Table("Processes by outcome", ["use", "sound", "ended", "stuck", "links"], rows)],
        findings=[f"One task: {'sound' if rows[-1][1] == _PROCESSES else 'not sound'}."],
    )


def _run_processes(use: str, seed: int) -> list[Cell]:
    env = {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
    command = [sys.executable, "-m", "bench._link_churn", use, str(_DURATION)]
    busy_loop = (
        f"import time\nend = time.monotonic() + {_TIMEOUT}\nwhile time.monotonic() < end: pass"
    )
    busy_processes = [
        subprocess.Popen([sys.executable, "-c", busy_loop]) for _ in range(_BUSY_PROCESSES)
    ]
    running = [
        subprocess.Popen(
            [*command, str(seed + number)],
            cwd=ROOT,
            env=env,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        for number in range(_PROCESSES)
    ]
    completed, aborted, timed_out, links = 0, 0, 0, 0
    deadline = time.monotonic() + _TIMEOUT
    for process in running:
        try:
            output, _ = process.communicate(timeout=max(0.1, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            timed_out += 1
            continue
        if process.returncode:
            aborted += 1
        else:
            completed += 1
            links += int(output)
    for busy_process in busy_processes:
        busy_process.kill()
        busy_process.wait()
    return [completed, aborted, timed_out, links]
