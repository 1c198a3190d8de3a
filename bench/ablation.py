"""Ablation study: one measurement repeated with each mechanism disabled.

``python -m bench ablate FOLDER FIGURE COMMAND...`` copies the tree into ``FOLDER`` once for
each switch in ``bench/switches.yaml``, applies the switch, and runs ``COMMAND`` in the copy.
``FIGURE`` is a regular expression whose first group captures the measured value in the
command's output. The baseline run has every mechanism enabled. The copies are not deleted.
"""

from __future__ import annotations

import re
import shutil
import subprocess
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final

import msgspec.yaml

from bench._registry import Cell, Result, Table, render

_ROOT: Final = Path(__file__).resolve().parent.parent
_SWITCHES: Final = _ROOT / "bench" / "switches.yaml"
#: Concurrent runs; each uses two to three CPU cores.
_MAX_CONCURRENT_RUNS: Final = 2
_IGNORED_FILES: Final = shutil.ignore_patterns(
    ".git", ".venv", "journal", "__pycache__", ".*_cache"
)


class Switch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A source replacement that disables one mechanism."""

    name: str
    file: str
    old: str
    new: str

    def apply(self, root: Path) -> None:
        """Apply the replacement to the tree at ``root``."""
        path = root / self.file
        text = path.read_text(encoding="utf-8")
        if text.count(self.old) != 1:
            raise ValueError(
                f"switch {self.name!r}: expected 1 match in {self.file}, "
                f"found {text.count(self.old)}"
            )
        path.write_text(text.replace(self.old, self.new), encoding="utf-8")


def load_switches() -> list[Switch]:
    """Return the switches defined in ``bench/switches.yaml``."""
    return msgspec.yaml.decode(_SWITCHES.read_bytes(), type=list[Switch])


def ablate(
    switches: Sequence[Switch], folder: Path, pattern: re.Pattern[str], command: Sequence[str]
) -> Result:
    """Run the command with all mechanisms enabled, then with each one disabled."""
    cases: list[Switch | None] = [None, *switches]
    with ThreadPoolExecutor(_MAX_CONCURRENT_RUNS) as pool:
        values = list(pool.map(lambda case: _measure(case, folder, pattern, command), cases))
    baseline = values[0]
    rows = [
        [_case_name(s), *_value_cells(value, baseline)]
        for s, value in zip(cases, values, strict=True)
    ]
    return Result(
        name="ablation",
        method=f"One run of `{' '.join(command)}` each, with one mechanism switched off.",
        seed=0,
        tables=[Table("mechanisms", ["switched off", "figure", "worth of it"], rows)],
    )


def main(arguments: Sequence[str]) -> int:
    """Print the table; return 2 if arguments are missing."""
    if len(arguments) < 3:
        print("usage: python -m bench ablate FOLDER FIGURE COMMAND...")
        return 2
    result = ablate(load_switches(), Path(arguments[0]), re.compile(arguments[1]), arguments[2:])
    print(render(result))
    return 0


def copy_tree(switch: Switch | None, folder: Path) -> Path:
    """Return a copy of the tree, with one mechanism disabled if ``switch`` is given."""
    root = folder / _case_name(switch).replace(" ", "-")
    shutil.copytree(_ROOT, root, ignore=_IGNORED_FILES)
    if switch is not None:
        switch.apply(root)
    return root


def _measure(
    switch: Switch | None, folder: Path, pattern: re.Pattern[str], command: Sequence[str]
) -> float | None:
    root = copy_tree(switch, folder)
    completed = subprocess.run(command, cwd=root, capture_output=True, text=True, check=False)
    match = pattern.search(completed.stdout)
    return float(match.group(1)) if match else None


def _case_name(switch: Switch | None) -> str:
    return switch.name if switch is not None else "nothing"


def _value_cells(value: float | None, baseline: float | None) -> Iterator[Cell]:
    yield "no figure" if value is None else value
    yield "" if value is None or baseline is None else round(baseline - value, 4)
