"""Entries respect the backoff, leaving and limit notices of backends.

Regression test: entries ignored ``Retry-After`` and kept retrying idle-looking backends, which
used up the retry budget and refused callers although other backends were free.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from functools import partial
from threading import Thread
from typing import Any

import pytest

from fakes.engine_ledger import (
    SENDER_HEADER,
    EngineNotice,
    backoff_violations,
    peak_limit_ratio,
    requests_after_drain,
)
from fakes.platform_engine import PlatformEngine
from tests.direct import DirectEntry, DirectFleet, Reply, wait_until

ENTRIES = 3
BACKENDS = 6
BACKOFF = "2.0"
#: Seconds between requests of one caller, well below any backoff.
_CALL_INTERVAL = 0.02


class NoticeFleet(DirectFleet):
    """Three linked entries and six backends of one service."""

    def __init__(self) -> None:
        super().__init__()
        for engine in self.shelf:
            engine.close()
        self.shelf = [PlatformEngine(f"shelf-{n}") for n in range(1, BACKENDS + 1)]
        self.populate_store()
        for _ in range(ENTRIES):
            self.add_entry()
        for entry in self.entries:
            entry.wait_ready()
            self._wait_for_links(entry)

    def _wait_for_links(self, entry: DirectEntry) -> None:
        wait_until(lambda: entry.metric("canvasyoke_peers") == ENTRIES - 1, "all are linked")

    def call(self, entry: DirectEntry, path: str = "/safe/1") -> Reply:
        """Send a request that names its entry to the backends."""
        sender: dict[str, Any] = {SENDER_HEADER: entry.name}
        return entry.call(path, **sender)

    def call_for(self, seconds: float, path: str = "/safe/1") -> list[Reply]:
        """Send requests through all entries for ``seconds``; return the replies."""
        replies: list[Reply] = []
        end = time.monotonic() + seconds

        def call_on(entry: DirectEntry) -> None:
            while time.monotonic() < end:
                replies.append(self.call(entry, path))
                time.sleep(_CALL_INTERVAL)

        callers = [Thread(target=call_on, args=(entry,)) for entry in self.entries]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        return replies

    def shed(self, engines: list[PlatformEngine], backoff: str = BACKOFF) -> None:
        """Make backends refuse all requests with a backoff."""
        for engine in engines:
            engine.notice = EngineNotice(backoff=backoff)
            engine.is_shedding = True


@pytest.fixture
def fleet() -> Iterator[NoticeFleet]:
    fleet = NoticeFleet()
    yield fleet
    fleet.close()


def test_a_backoff_of_one_backend_is_respected(fleet: NoticeFleet) -> None:
    refusing = fleet.shelf[0]
    fleet.shed([refusing])
    replies = fleet.call_for(2 * float(BACKOFF))
    assert refusing.ledger
    assert any("refused with status 503 (backoff=2000ms)" in e.logged() for e in fleet.entries)
    assert backoff_violations(refusing.ledger) == []
    assert {reply.status for reply in replies} == {200}


def test_a_backoff_of_all_backends_is_respected(fleet: NoticeFleet) -> None:
    fleet.shed(fleet.shelf)
    replies = fleet.call_for(2 * float(BACKOFF))
    assert [line for engine in fleet.shelf for line in backoff_violations(engine.ledger)] == []
    assert {reply.status for reply in replies} == {503}


def test_a_backend_that_announces_leaving_gets_no_more_requests(fleet: NoticeFleet) -> None:
    """The store lists the backends as ready throughout."""
    leaving = fleet.shelf[:2]
    for engine in leaving:
        engine.notice = EngineNotice(leaving="1")
    replies = fleet.call_for(3.0)
    assert all(engine.ledger for engine in leaving)
    assert [line for engine in leaving for line in requests_after_drain(engine.ledger)] == []
    assert {reply.status for reply in replies} == {200}


def _knows_one_leaving_backend(entry: DirectEntry) -> bool:
    return entry.metric("canvasyoke_backends_leaving") == 1


def test_a_leaving_notice_reaches_the_other_entries(fleet: NoticeFleet) -> None:
    leaving, notified = fleet.shelf[0], fleet.entries[0]
    leaving.notice = EngineNotice(leaving="1")
    while not leaving.ledger:
        assert fleet.call(notified).status == 200
    for entry in fleet.entries:
        wait_until(partial(_knows_one_leaving_backend, entry), f"{entry.name} knows")
    before = len(leaving.ledger)
    replies = fleet.call_for(0.5)
    assert len(leaving.ledger) == before
    assert {reply.status for reply in replies} == {200}


def test_a_limit_holds_over_all_entries(fleet: NoticeFleet) -> None:
    """The limit applies to the sum of all entries."""
    limited = fleet.shelf[:2]
    for engine in limited:
        engine.notice = EngineNotice(limit="3")
    replies = fleet.call_for(9.0)
    assert all(engine.ledger for engine in limited)
    assert [
        peak_limit_ratio(engine.ledger) for engine in limited if peak_limit_ratio(engine.ledger) > 1
    ] == []
    assert {reply.status for reply in replies} == {200}


def test_requests_beyond_all_limits_are_refused_with_retry_after(fleet: NoticeFleet) -> None:
    for engine in fleet.shelf:
        engine.notice = EngineNotice(limit="1")
    replies = fleet.call_for(9.0)
    assert [peak_limit_ratio(e.ledger) for e in fleet.shelf if peak_limit_ratio(e.ledger) > 1] == []
    assert {reply.status for reply in replies} == {200, 503}
    refused = [reply for reply in replies if reply.status == 503]
    assert all(float(reply.headers["Retry-After"]) > 0 for reply in refused)
