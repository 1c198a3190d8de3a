"""Tests of decoding an engine's notice from response headers."""

from __future__ import annotations

from dataclasses import replace

import pytest

from canvasyoke.backend import BackendNotice, ReportedLoad, UnreadableField
from canvasyoke.platform._notices import read_notice

#: Notice of a response without notice headers.
EMPTY_NOTICE = BackendNotice(is_limit_known=True)

VALID = [
    ("nothing", 200, {}, EMPTY_NOTICE),
    ("load", 200, {"Server-Load": "3,1,6"}, replace(EMPTY_NOTICE, load=ReportedLoad(3, 1, 6))),
    ("backoff in whole seconds", 503, {"Retry-After": "3"}, replace(EMPTY_NOTICE, backoff=3_000)),
    ("backoff in fractions", 503, {"Retry-After": " 0.25 "}, replace(EMPTY_NOTICE, backoff=250)),
    (
        "backoff with another refusal",
        429,
        {"Retry-After": "1"},
        replace(EMPTY_NOTICE, backoff=1_000),
    ),
    ("a time that is meant for the caller", 200, {"Retry-After": "3"}, EMPTY_NOTICE),
    ("no backoff", 503, {"Retry-After": "0"}, EMPTY_NOTICE),
    ("leaving", 200, {"Server-Leaving": "1"}, replace(EMPTY_NOTICE, is_leaving=True)),
    ("not leaving", 200, {"Server-Leaving": "0"}, EMPTY_NOTICE),
    ("limit", 200, {"Server-Limit": "2.5"}, replace(EMPTY_NOTICE, rate_limit=2.5)),
    (
        "all at once, with a refusal",
        503,
        {"Retry-After": "2", "Server-Leaving": "1", "Server-Limit": "6", "Server-Load": "0,0,6"},
        BackendNotice(ReportedLoad(0, 0, 6), 2_000, True, 6.0, is_limit_known=True),
    ),
]


@pytest.mark.parametrize(("status", "headers", "notice"), [case[1:] for case in VALID])
def test_valid_headers(status: int, headers: dict[str, str], notice: BackendNotice) -> None:
    assert read_notice(headers.get, status) == notice


INVALID = [
    ("Retry-After", "backoff", "soon"),
    ("Retry-After", "backoff", ""),
    ("Retry-After", "backoff", "-3"),
    ("Retry-After", "backoff", "3, 3"),
    ("Retry-After", "backoff", "1e3"),
    ("Retry-After", "backoff", "inf"),
    ("Retry-After", "backoff", "nan"),
    ("Retry-After", "backoff", "٣"),
    ("Retry-After", "backoff", "Fri, 31 Dec 2027 23:59:59 GMT"),
    ("Retry-After", "backoff", "9" * 400),
    ("Server-Leaving", "is_leaving", "yes"),
    ("Server-Leaving", "is_leaving", "1, 1"),
    ("Server-Limit", "rate_limit", "-1"),
    ("Server-Limit", "rate_limit", "many"),
    ("Server-Load", "load", "1,2"),
    ("Server-Load", "load", "idle"),
]


@pytest.mark.parametrize(("header", "name", "text"), INVALID)
def test_invalid_headers_keep_defaults_and_are_reported(header: str, name: str, text: str) -> None:
    notice = read_notice({header: text, "Server-Leaving": "1"}.get, 503)
    if name == "is_leaving":
        notice = read_notice({header: text}.get, 503)
    assert notice.unreadable == (UnreadableField(name, text[:40]),)
    assert (notice.load, notice.backoff, notice.rate_limit) == (None, 0, None)
    assert notice.is_limit_known is (name != "rate_limit")


def test_the_log_text_omits_the_load() -> None:
    headers = {
        "Retry-After": "2",
        "Server-Leaving": "1",
        "Server-Limit": "x",
        "Server-Load": "0,0,6",
    }
    notice = read_notice(headers.get, 503)
    assert str(notice) == "backoff=2000ms leaving unreadable rate_limit='x'"
