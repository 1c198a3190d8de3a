"""Runs benchmarks: ``python -m bench [NAME...]``.

``python -m bench page`` renders the stored results, ``python -m bench losses FILE...``
summarises failed and late requests from logs, and ``python -m bench ablate ...`` measures the
effect of disabling each mechanism.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Final

import msgspec

import bench.ablation
import bench.delayed_exits
import bench.expert_maps
import bench.faults
import bench.link_sockets
import bench.losses
import bench.overhead
import bench.recovery
import bench.routing
import bench.slopes
from bench._registry import EXPERIMENTS, SEED, Result, render

_ROOT: Final = Path(__file__).resolve().parent.parent
_RESULTS_DIR: Final = _ROOT / "bench" / "results"
_PAGE_PATH: Final = _ROOT / "docs" / "BENCHMARKS.md"
_PAGE_HEADER: Final = """# Benchmarks

Written by `python -m bench page` from the files that `make bench` left in
bench/results; nothing here is typed by hand. `make bench ONLY=NAME` repeats one
experiment. All figures are from one 8-core machine that also ran the load, the
stand-ins and everything else; compare them with each other, not with other machines.
"""


def main(names: list[str]) -> int:
    """Run the named experiments, or all of them; return 2 for an unknown name."""
    if names == ["page"]:
        write_page()
        return 0
    if names[:1] == ["losses"]:
        return bench.losses.main(names[1:])
    if names[:1] == ["ablate"]:
        return bench.ablation.main(names[1:])
    unknown = [name for name in names if name not in EXPERIMENTS.names()]
    if unknown:
        print(f"unknown experiment {unknown[0]!r}; available: {', '.join(EXPERIMENTS.names())}")
        return 2
    _RESULTS_DIR.mkdir(exist_ok=True)
    for name in names or EXPERIMENTS.names():
        print(f"running {name} ...", flush=True)
        result = EXPERIMENTS.get(name)(SEED)
        data = msgspec.json.format(msgspec.json.encode(result), indent=1)
        (_RESULTS_DIR / f"{name}.json").write_bytes(data + b"\n")
        print(render(result), flush=True)
    return 0


def write_page() -> None:
    """Write docs/BENCHMARKS.md from the stored results."""
    sections = [_PAGE_HEADER]
    for path in sorted(_RESULTS_DIR.glob("*.json")):
        sections.append(render(msgspec.json.decode(path.read_bytes(), type=Result)))
    _PAGE_PATH.write_text("\n".join(sections))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
