"""Summarises failed and late requests from the logs of direct entries.

``python -m bench losses FILE...`` reads structured log lines, which may have a prefix added
by a log collector, and prints tables by cause, by second and by route. The causes are those
that the entries log: how a request ended, and why a complete answer was late.
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

#: Log message of a request whose answer was forwarded completely.
_ANSWERED: Final = "answered"
_ON_TIME: Final = "on time"
#: Seconds covered by one row of the table by second.
_SECONDS_PER_ROW: Final = 2
#: Maximum number of causes shown, most frequent first.
_MAX_CAUSES: Final = 10


@dataclass(frozen=True, slots=True)
class FinishedRequest:
    """A finished request as logged by its entry."""

    #: Seconds since the first log line.
    elapsed: float
    route: str
    cause: str


def read_requests(lines: Iterable[str]) -> Iterator[FinishedRequest]:
    """Yield the finished requests; other lines are skipped."""
    first: datetime | None = None
    for line in lines:
        record = _parse(line)
        if record is None:
            continue
        time = datetime.fromisoformat(record["time"])
        first = first or time
        if "tried" in record:
            seconds = (time - first).total_seconds()
            yield FinishedRequest(seconds, str(record.get("route", "")), _cause(record))


def tabulate(requests: Sequence[FinishedRequest]) -> Result:
    """Return tables of finished requests by cause, second and route."""
    counts = Counter(request.cause for request in requests)
    causes = [cause for cause, _ in counts.most_common(_MAX_CAUSES)]
    total = max(1, len(requests))
    by_cause: list[list[Cell]] = [[cause, counts[cause], counts[cause] / total] for cause in causes]
    return Result(
        name="losses",
        method=f"{len(requests)} requests, from the logs of the entries that answered them.",
        seed=0,
        tables=[
            Table("by cause", ["cause", "requests", "share"], by_cause),
            _cross_tabulate("by second", "from second", requests, causes, _row_start),
            _cross_tabulate("by route", "route", requests, causes, _route),
        ],
    )


def main(paths: Sequence[str]) -> int:
    """Print the tables for the logs in ``paths``."""
    requests: list[FinishedRequest] = []
    for path in paths:
        with Path(path).open(encoding="utf-8", errors="replace") as file:
            requests += read_requests(file)
    if not requests:
        print("no finished requests found in the logs")
        return 1
    print(render(tabulate(requests)))
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


def _row_start(request: FinishedRequest) -> int:
    return int(request.elapsed // _SECONDS_PER_ROW * _SECONDS_PER_ROW)


def _route(request: FinishedRequest) -> str:
    return request.route


def _cross_tabulate(
    title: str, row_header: str, requests: Sequence[FinishedRequest], causes: list[str], key_of: Any
) -> Table:
    cell_counts = Counter((key_of(request), request.cause) for request in requests)
    rows = [
        [name, *(cell_counts[name, c] for c in causes)]
        for name in sorted({k for k, _ in cell_counts})
    ]
    return Table(title, [row_header, *causes], rows)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
