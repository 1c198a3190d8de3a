"""The loss table is computed correctly from entry logs."""

from __future__ import annotations

import json

import pytest

from bench.losses import FinishedRequest, read_requests, tabulate

START = "2026-01-01T00:00:00.000Z"


def line(second: int, message: str, **fields: object) -> str:
    record = {"time": f"2026-01-01T00:00:{second:02}.500Z", "message": message, **fields}
    return "  12.5 entry-1 " + json.dumps(record)


#: Name of the case, line of an entry, and expected cause.
CAUSES = [
    ("on time", line(1, "answered", tried=["b"], late=""), "on time"),
    ("a pause", line(1, "answered", tried=["b"], late="pause"), "late: pause"),
    (
        "refused",
        line(1, "refused 503", tried=[], detail="overloaded"),
        "refused 503: overloaded",
    ),
    ("refused without a word", line(1, "refused 503", tried=[], detail=""), "refused 503"),
    ("gone", line(1, "caller left", tried=["b"], detail=""), "caller left"),
]


@pytest.mark.parametrize(("text", "cause"), [case[1:] for case in CAUSES])
def test_the_cause_is_read_from_the_log_line(text: str, cause: str) -> None:
    assert [request.cause for request in read_requests([text])] == [cause]


@pytest.mark.parametrize(
    "text", ["", "no record", '{"time": 1}', '{"half":', line(1, "linked", peer="entry-2")]
)
def test_lines_without_a_request_are_skipped(text: str) -> None:
    assert list(read_requests([text])) == []


def test_seconds_count_from_the_first_line() -> None:
    lines = [line(2, "started"), line(7, "answered", tried=["b"], late="", route="r-1")]
    assert list(read_requests(lines)) == [FinishedRequest(5.0, "r-1", "on time")]


def test_every_request_is_in_each_table() -> None:
    requests = [
        FinishedRequest(0.4, "a", "on time"),
        FinishedRequest(2.1, "a", "late: pause"),
        FinishedRequest(3.9, "b", "on time"),
    ]
    by_cause, by_second, by_route = tabulate(requests).tables
    assert by_cause.rows == [["on time", 2, 2 / 3], ["late: pause", 1, 1 / 3]]
    assert by_second.rows == [[0, 1, 0], [2, 1, 1]]
    assert by_route.rows == [["a", 1, 1], ["b", 1, 0]]
