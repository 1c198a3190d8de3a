"""What each mechanism is worth: the same measurement with one of them switched off.

``python -m bench ablate FOLDER FIGURE COMMAND...`` copies the tree into ``FOLDER`` once for
each switch of ``bench/switches.yaml``, makes the one replacement that switches its mechanism
off, and runs ``COMMAND`` in the copy. ``FIGURE`` is a regular expression whose first group
is the figure in what the command prints. A first run has every mechanism on. The copies
stay, with whatever the command left in them.
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
#: Runs at the same time; each takes two to three processors.
_AT_ONCE: Final = 2
_LEFT_OUT: Final = shutil.ignore_patterns(".git", ".venv", "journal", "__pycache__", ".*_cache")


class Switch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A replacement in one file that switches a mechanism off."""

    name: str
    file: str
    old: str
    new: str

    def throw(self, root: Path) -> None:
        """Make the replacement in the tree at ``root``."""
        path = root / self.file
        text = path.read_text(encoding="utf-8")
        if text.count(self.old) != 1:
            raise ValueError(f"{self.name}: {text.count(self.old)} places in {self.file}")
        path.write_text(text.replace(self.old, self.new), encoding="utf-8")


def load_switches() -> list[Switch]:
    """Return the switches for the mechanisms of this tree."""
    return msgspec.yaml.decode(_SWITCHES.read_bytes(), type=list[Switch])


def ablate(
    switches: Sequence[Switch], folder: Path, figure: re.Pattern[str], command: Sequence[str]
) -> Result:
    """Run the command with all mechanisms on and with each one off."""
    cases: list[Switch | None] = [None, *switches]
    with ThreadPoolExecutor(_AT_ONCE) as pool:
        found = list(pool.map(lambda case: _measure(case, folder, figure, command), cases))
    with_all = found[0]
    rows = [[_name(s), *_cells(value, with_all)] for s, value in zip(cases, found, strict=True)]
    return Result(
        name="ablation",
        method=f"One run of `{' '.join(command)}` each, with one mechanism switched off.",
        seed=0,
        tables=[Table("mechanisms", ["switched off", "figure", "worth of it"], rows)],
    )


def main(words: Sequence[str]) -> int:
    """Print the table; 2 when the words are too few."""
    if len(words) < 3:
        print("usage: python -m bench ablate FOLDER FIGURE COMMAND...")
        return 2
    result = ablate(load_switches(), Path(words[0]), re.compile(words[1]), words[2:])
    print(render(result))
    return 0


def copy_tree(switch: Switch | None, folder: Path) -> Path:
    """Return a copy of the tree with one mechanism switched off."""
    root = folder / _name(switch).replace(" ", "-")
    shutil.copytree(_ROOT, root, ignore=_LEFT_OUT)
    if switch is not None:
        switch.throw(root)
    return root


def _measure(
    switch: Switch | None, folder: Path, figure: re.Pattern[str], command: Sequence[str]
) -> float | None:
    root = copy_tree(switch, folder)
    done = subprocess.run(command, cwd=root, capture_output=True, text=True, check=False)
    match = figure.search(done.stdout)
    return float(match.group(1)) if match else None


def _name(switch: Switch | None) -> str:
    return switch.name if switch is not None else "nothing"


def _cells(value: float | None, with_all: float | None) -> Iterator[Cell]:
    yield "no figure" if value is None else value
    yield "" if value is None or with_all is None else round(with_all - value, 4)
