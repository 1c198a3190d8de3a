"""What attempts tell the roster of the domains that backends stand in."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.backend import (
    BackendAnswer,
    DirectBackendPort,
    MayHaveRun,
    NotRun,
    NotRunCause,
    OutboundRequest,
    Sending,
)
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._call import DirectCall
from canvasyoke.direct._forwarder import Forwarder
from canvasyoke.direct._roster import Roster
from canvasyoke.state import Endpoint, EndpointState, Repeatability, ServiceShare, TableRoute
from canvasyoke.transport import ExchangeError, ExchangeSlot

ROUTE = TableRoute(
    name="r",
    host="reader.example",
    path_prefix="/r/",
    shares=(ServiceShare("ink", 1),),
    repeatability=Repeatability.ONCE,
    is_stream=True,
    resumable=False,
    timeout=8_000,
    objective=400,
    priority=1,
    max_attempts=1,
    is_anonymous=True,
)


class _BrokenStream(BackendAnswer):
    """A stream that has begun when its domain is cut off, and breaks off later."""

    def __init__(self, cut: Callable[[], None]) -> None:
        self.status = 200
        self.headers = [("Content-Type", "text/event-stream")]
        self.load = None
        self._cut = cut

    def pieces(self) -> Iterator[bytes]:
        yield b"id: 1\ndata: x\n\n"
        self._cut()
        raise ExchangeError("reset")

    def wait_at_most(self, duration: int) -> None:
        pass

    def close(self) -> None:
        pass


class _Port(DirectBackendPort):
    def __init__(self, send: Callable[[], Sending]) -> None:
        self._send = send

    def send(
        self, endpoint: Endpoint, request: OutboundRequest, connect_timeout: int, slot: ExchangeSlot
    ) -> Sending:
        return self._send()

    def group_of(self, endpoint: Endpoint) -> str | None:
        return ""


@pytest.fixture
def roster() -> Roster:
    roster = Roster("nbo-a", ManualClock(start=10_000), random.Random(1))
    names = ("b-1", "b-2", "b-3")
    roster.replace(
        [Endpoint(n, "ink", f"{n}:1", "nbo-b", 6, EndpointState.READY, 1) for n in names], 1
    )
    return roster


def cut_off(roster: Roster) -> None:
    for endpoint in roster.endpoints():
        roster.domain_missed(endpoint)


def run(roster: Roster, send: Callable[[], Sending]) -> None:
    clock = ManualClock(start=10_000)
    budget = FleetRetryBudget(RetryAllowance(0.2, 10, 10_000), clock)
    call = DirectCall(
        request_id="q",
        method="POST",
        target="/r/1",
        headers=(),
        body=b"",
        route=ROUTE,
        service="ink",
        organisation="",
        priority=1,
        table_version=1,
        began=10_000,
        deadline=18_000,
        came_back=False,
        gone=lambda: False,
    )
    list(Forwarder(_Port(send), roster, budget, clock, random.Random(1)).run(call))


def test_a_stream_that_a_cut_breaks_off_does_not_end_the_cut(roster: Roster) -> None:
    run(roster, lambda: _BrokenStream(lambda: cut_off(roster)))
    assert roster.cut_addresses().keys() == {"nbo-b"}


def test_a_request_without_an_answer_does_not_end_a_cut(roster: Roster) -> None:
    def send() -> Sending:
        cut_off(roster)
        return MayHaveRun("no answer came")

    run(roster, send)
    assert roster.cut_addresses().keys() == {"nbo-b"}


def test_an_answer_ends_a_cut(roster: Roster) -> None:
    cut_off(roster)
    run(roster, lambda: NotRun(NotRunCause.FULL, "refused"))
    assert roster.cut_addresses() == {}


def test_connections_that_are_not_made_cut_a_domain_off(roster: Roster) -> None:
    run(roster, lambda: NotRun(NotRunCause.UNREACHABLE, "timed out"))
    assert roster.cut_addresses().keys() == {"nbo-b"}
