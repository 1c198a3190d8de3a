"""Registry of experiments and the format of their results."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, TypeAlias

import msgspec

from canvasyoke import Registry

#: Value of a table cell.
Cell: TypeAlias = float | int | str


class Table(msgspec.Struct):
    """A titled table of results."""

    title: str
    columns: list[str]
    rows: list[list[Cell]]


class Result(msgspec.Struct):
    """Result of one experiment."""

    name: str
    #: What was measured and how.
    method: str
    seed: int
    tables: list[Table]
    #: Conclusions, such as whether a goal was met.
    findings: list[str] = []


#: Runs an experiment with a seed.
Experiment: TypeAlias = Callable[[int], Result]

EXPERIMENTS: Registry[Experiment] = Registry("experiment")
#: Seed of the published results.
SEED: Final = 20_261_202


def render(result: Result) -> str:
    """Return a result as Markdown."""
    lines = [f"## {result.name}", "", result.method, f"Seed {result.seed}.", ""]
    for table in result.tables:
        lines += [f"**{table.title}**", ""]
        lines.append("| " + " | ".join(table.columns) + " |")
        lines.append("|" + "|".join("---" for _ in table.columns) + "|")
        lines += ["| " + " | ".join(_format_cell(c) for c in row) + " |" for row in table.rows]
        lines.append("")
    lines += [f"- {finding}" for finding in result.findings]
    return "\n".join(lines).rstrip() + "\n"


def _format_cell(value: Any) -> str:
    return (
        f"{value:,.3g}"
        if isinstance(value, float) and abs(value) < 1_000
        else (f"{value:,.0f}" if isinstance(value, float) else str(value))
    )
