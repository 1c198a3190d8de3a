"""Whose word the head of an answer is."""

from __future__ import annotations

from typing import cast

import pytest

from canvasyoke.backend import NO_NOTICE, BackendAnswer, BackendNotice, MayHaveRun, NotRun
from canvasyoke.platform._engine import _classify
from canvasyoke.transport import Exchange

WORDS = {"Retry-After": "3", "Server-Leaving": "1", "Server-Limit": "2"}


class _Exchange:
    """An answer whose head has come."""

    def __init__(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.headers = list((headers | WORDS).items())
        self.is_framed = True

    def header(self, name: str) -> str | None:
        return dict(self.headers).get(name)

    def close(self) -> None:
        pass


#: An answer, what it is taken for, and what it says of the backend that was called.
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
def test_whose_word_it_is(
    status: int, headers: dict[str, str], kind: type, notice: BackendNotice
) -> None:
    sent = _classify(cast(Exchange, _Exchange(status, headers)), "mine")
    assert isinstance(sent, kind)
    assert sent.notice == notice


def test_callers_do_not_get_what_is_for_the_load_balancer() -> None:
    sent = _classify(cast(Exchange, _Exchange(200, {"Response-Seal": "s"})), "mine")
    assert isinstance(sent, BackendAnswer)
    assert {name for name, _ in sent.headers} == {"Response-Seal", "Retry-After"}
