"""The registry of experiments and the shape of what they return."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, TypeAlias

import msgspec

from canvasyoke import Registry

#: A figure or a name in a table.
Cell: TypeAlias = float | int | str


class Table(msgspec.Struct):
    """One table of results."""

    title: str
    columns: list[str]
    rows: list[list[Cell]]


class Result(msgspec.Struct):
    """What one experiment found."""

    name: str
    #: What was measured and how, in a sentence or two.
    method: str
    seed: int
    tables: list[Table]
    #: Goals and whether they were met, in words made from the figures.
    findings: list[str] = []


#: An experiment takes a seed.
Experiment: TypeAlias = Callable[[int], Result]

#: All experiments by name.
EXPERIMENTS: Registry[Experiment] = Registry("experiment")
#: Seed of all published figures.
SEED: Final = 20_261_202


def render(result: Result) -> str:
    """Return a result as Markdown."""
    lines = [f"## {result.name}", "", result.method, f"Seed {result.seed}.", ""]
    for table in result.tables:
        lines += [f"**{table.title}**", ""]
        lines.append("| " + " | ".join(table.columns) + " |")
        lines.append("|" + "|".join("---" for _ in table.columns) + "|")
        lines += ["| " + " | ".join(_cell(c) for c in row) + " |" for row in table.rows]
        lines.append("")
    lines += [f"- {finding}" for finding in result.findings]
    return "\n".join(lines).rstrip() + "\n"


def _cell(value: Any) -> str:
    return (
        f"{value:,.3g}"
        if isinstance(value, float) and abs(value) < 1_000
        else (f"{value:,.0f}" if isinstance(value, float) else str(value))
    )
