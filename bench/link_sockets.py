"""What becomes of a process whose links' sockets are closed by one task or by two.

The links' library ends the process, or never lets a task go, when a wait on a socket begins
while another task closes it. Each use runs in processes of its own, which may so end.
"""

from __future__ import annotations

import os
import subprocess
import sys
import time
from typing import Final

from bench._registry import EXPERIMENTS, Cell, Result, Table
from fakes.launcher import ROOT

#: Seconds for which each process opens and closes links, and until it counts as not ended.
_SECONDS: Final = 40
_LIMIT: Final = _SECONDS + 20
#: Processes side by side of each use; they are each other's load.
_PROCESSES: Final = 4
#: Processes beside them that only use up processors: the moment is some instructions long, and
#: on an idle machine none of four processes met it.
_BUSY: Final = 12
#: Uses by name, as ``bench._link_churn`` knows them.
_USES: Final = {
    "two tasks": "one task waits, another closes",
    "one task": "one task waits and closes, woken by another, as links do",
}


@EXPERIMENTS.register("link_sockets")
def run(seed: int) -> Result:
    """Open and close links in both ways."""
    rows: list[list[Cell]] = [[text, *_outcomes(use, seed)] for use, text in _USES.items()]
    return Result(
        name="link_sockets",
        method=(
            f"Six clients and a server that comes and goes, {_PROCESSES} processes of each use "
            f"side by side for {_SECONDS} s, {_BUSY} busy ones beside them. Ended: by a signal "
            "of the library's own."
        ),
        seed=seed,
        tables=[Table("Processes by outcome", ["use", "sound", "ended", "stuck", "links"], rows)],
        findings=[f"One task: {'sound' if rows[-1][1] == _PROCESSES else 'not sound'}."],
    )


def _outcomes(use: str, seed: int) -> list[Cell]:
    env = {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
    words = [sys.executable, "-m", "bench._link_churn", use, str(_SECONDS)]
    burn = f"import time\nend = time.monotonic() + {_LIMIT}\nwhile time.monotonic() < end: pass"
    busy = [subprocess.Popen([sys.executable, "-c", burn]) for _ in range(_BUSY)]
    running = [
        subprocess.Popen(
            [*words, str(seed + number)],
            cwd=ROOT,
            env=env,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        for number in range(_PROCESSES)
    ]
    sound, ended, stuck, links = 0, 0, 0, 0
    until = time.monotonic() + _LIMIT
    for process in running:
        try:
            output, _ = process.communicate(timeout=max(0.1, until - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            stuck += 1
            continue
        if process.returncode:
            ended += 1
        else:
            sound += 1
            links += int(output)
    for burner in busy:
        burner.kill()
        burner.wait()
    return [sound, ended, stuck, links]
