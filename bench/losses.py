"""Where callers lost something, from the logs of direct entries.

``python -m bench losses FILE...`` reads structured log lines, each perhaps after a prefix
that a collector put before it, and prints tables: by cause, by second and by route. It
needs nothing but the logs, so what binds at a new site is known some minutes after its
first day. Causes are those that the entries log: how a request ended, and why a whole
answer was late.
"""

from __future__ import annotations

import json
import sys
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any, Final

from bench._registry import Cell, Result, Table, render

#: What a request's own line says when its answer was passed on whole.
_ANSWERED: Final = "answered"
_ON_TIME: Final = "on time"
#: Seconds that one row of the table over time covers.
_SPAN: Final = 2
#: Causes shown one by one; rarer ones are put together.
_CAUSES: Final = 10


@dataclass(frozen=True, slots=True)
class Ended:
    """A request as its entry logged it at its end."""

    #: Seconds since the first line.
    at: float
    route: str
    cause: str


def read(lines: Iterable[str]) -> Iterator[Ended]:
    """Yield the requests that ended; lines that tell of something else are passed over."""
    first: datetime | None = None
    for line in lines:
        record = _parse(line)
        if record is None:
            continue
        at = datetime.fromisoformat(record["time"])
        first = first or at
        if "tried" in record:
            seconds = (at - first).total_seconds()
            yield Ended(seconds, str(record.get("route", "")), _cause(record))


def tabulate(ended: Sequence[Ended]) -> Result:
    """Return the tables for requests that ended."""
    counts = Counter(each.cause for each in ended)
    causes = [cause for cause, _ in counts.most_common(_CAUSES)]
    total = max(1, len(ended))
    by_cause: list[list[Cell]] = [[cause, counts[cause], counts[cause] / total] for cause in causes]
    return Result(
        name="losses",
        method=f"{len(ended)} requests, from the logs of the entries that answered them.",
        seed=0,
        tables=[
            Table("by cause", ["cause", "requests", "share"], by_cause),
            _cross("by second", "from second", ended, causes, _second),
            _cross("by route", "route", ended, causes, _route),
        ],
    )


def main(paths: Sequence[str]) -> int:
    """Print the tables for the logs in ``paths``."""
    ended: list[Ended] = []
    for path in paths:
        with Path(path).open(encoding="utf-8", errors="replace") as file:
            ended += read(file)
    if not ended:
        print("no request ended in these logs")
        return 1
    print(render(tabulate(ended)))
    return 0


def _parse(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        record = json.loads(line[start:])
    except ValueError:
        return None
    is_log = isinstance(record, dict) and {"time", "message"} <= record.keys()
    return record if is_log else None


def _cause(record: dict[str, Any]) -> str:
    message = str(record["message"])
    if message == _ANSWERED:
        late = record.get("late")
        return f"late: {late}" if late else _ON_TIME
    detail = str(record.get("detail", ""))
    return f"{message}: {detail}" if detail else message


def _second(each: Ended) -> int:
    return int(each.at // _SPAN * _SPAN)


def _route(each: Ended) -> str:
    return each.route


def _cross(title: str, head: str, ended: Sequence[Ended], causes: list[str], key: Any) -> Table:
    cells = Counter((key(each), each.cause) for each in ended)
    rows = [[name, *(cells[name, c] for c in causes)] for name in sorted({k for k, _ in cells})]
    return Table(title, [head, *causes], rows)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
