"""Tests of classifying responses and of the notices taken from them."""

from __future__ import annotations

from typing import cast

import pytest

from canvasyoke.backend import NO_NOTICE, BackendAnswer, BackendNotice, MayHaveRun, NotRun
from canvasyoke.platform._engine import _classify_answer
from canvasyoke.transport import Exchange

NOTICE_HEADERS = {"Retry-After": "3", "Server-Leaving": "1", "Server-Limit": "2"}


class _Exchange:
    """A response whose headers have been received."""

    def __init__(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.headers = list((headers | NOTICE_HEADERS).items())
        self.is_framed = True

    def header(self, name: str) -> str | None:
        return dict(self.headers).get(name)

    def close(self) -> None:
        pass


#: Name, status, headers, expected classification and expected notice of the called backend.
ANSWERS = [
    ("a refusal", 503, {"Not-Executed": "1"}, NotRun, BackendNotice(None, 3_000, True, 2.0, True)),
    ("another run's refusal", 421, {"Not-Executed": "1"}, NotRun, NO_NOTICE),
    (
        "a success without its seal",
        200,
        {},
        MayHaveRun,
        BackendNotice(None, 0, True, 2.0, True),
    ),
    (
        "an answer to another request",
        200,
        {"Attempt-Id": "other", "Response-Seal": "s"},
        MayHaveRun,
        BackendNotice(None, 0, True, 2.0, True),
    ),
    (
        "a failure of its own",
        503,
        {"Response-Seal": "s"},
        BackendAnswer,
        BackendNotice(None, 3_000, True, 2.0, True),
    ),
    (
        "a success",
        200,
        {"Response-Seal": "s"},
        BackendAnswer,
        BackendNotice(None, 0, True, 2.0, True),
    ),
]


@pytest.mark.parametrize(
    ("status", "headers", "kind", "notice"),
    [case[1:] for case in ANSWERS],
    ids=[case[0] for case in ANSWERS],
)
def test_classification_and_notice(
    status: int, headers: dict[str, str], kind: type, notice: BackendNotice
) -> None:
    result = _classify_answer(cast(Exchange, _Exchange(status, headers)), "mine")
    assert isinstance(result, kind)
    assert result.notice == notice


def test_headers_for_the_load_balancer_are_not_forwarded() -> None:
    result = _classify_answer(cast(Exchange, _Exchange(200, {"Response-Seal": "s"})), "mine")
    assert isinstance(result, BackendAnswer)
    assert {name for name, _ in result.headers} == {"Response-Seal", "Retry-After"}
