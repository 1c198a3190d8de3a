"""What is read of an engine's own word in the head of an answer."""

from __future__ import annotations

from dataclasses import replace

import pytest

from canvasyoke.backend import BackendNotice, ReportedLoad, UnreadableField
from canvasyoke.platform._notices import read_notice

#: A head that came and says nothing.
HEARD = BackendNotice(tells_limit=True)

READABLE = [
    ("nothing", 200, {}, HEARD),
    ("load", 200, {"Server-Load": "3,1,6"}, replace(HEARD, load=ReportedLoad(3, 1, 6))),
    ("backoff in whole seconds", 503, {"Retry-After": "3"}, replace(HEARD, backoff=3_000)),
    ("backoff in fractions", 503, {"Retry-After": " 0.25 "}, replace(HEARD, backoff=250)),
    ("backoff with another refusal", 429, {"Retry-After": "1"}, replace(HEARD, backoff=1_000)),
    ("a time that is meant for the caller", 200, {"Retry-After": "3"}, HEARD),
    ("no backoff", 503, {"Retry-After": "0"}, HEARD),
    ("leaving", 200, {"Server-Leaving": "1"}, replace(HEARD, is_leaving=True)),
    ("not leaving", 200, {"Server-Leaving": "0"}, HEARD),
    ("limit", 200, {"Server-Limit": "2.5"}, replace(HEARD, rate_limit=2.5)),
    (
        "all at once, with a refusal",
        503,
        {"Retry-After": "2", "Server-Leaving": "1", "Server-Limit": "6", "Server-Load": "0,0,6"},
        BackendNotice(ReportedLoad(0, 0, 6), 2_000, True, 6.0, tells_limit=True),
    ),
]


@pytest.mark.parametrize(("status", "headers", "notice"), [case[1:] for case in READABLE])
def test_what_can_be_read(status: int, headers: dict[str, str], notice: BackendNotice) -> None:
    assert read_notice(headers.get, status) == notice


UNREADABLE = [
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


@pytest.mark.parametrize(("header", "name", "text"), UNREADABLE)
def test_what_cannot_be_read_changes_nothing_and_is_kept(header: str, name: str, text: str) -> None:
    notice = read_notice({header: text, "Server-Leaving": "1"}.get, 503)
    if name == "is_leaving":
        notice = read_notice({header: text}.get, 503)
    assert notice.unreadable == (UnreadableField(name, text[:40]),)
    assert (notice.load, notice.backoff, notice.rate_limit) == (None, 0, None)
    assert notice.tells_limit is (name != "rate_limit")


def test_the_log_shows_all_but_the_load() -> None:
    headers = {
        "Retry-After": "2",
        "Server-Leaving": "1",
        "Server-Limit": "x",
        "Server-Load": "0,0,6",
    }
    notice = read_notice(headers.get, 503)
    assert str(notice) == "backoff=2000ms leaving unreadable rate_limit='x'"
