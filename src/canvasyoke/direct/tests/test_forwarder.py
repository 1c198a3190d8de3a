"""What attempts tell the roster of the domains that backends stand in."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.backend import (
    BackendAnswer,
    MayHaveRun,
    NotRun,
    NotRunCause,
    Sending,
)
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._forwarder import Forwarder
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.calls import CannedPort, make_call
from canvasyoke.state import Endpoint, EndpointState
from canvasyoke.transport import ExchangeError


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


@pytest.fixture
def roster() -> Roster:
    roster = Roster("nbo-a", ManualClock(start=10_000), random.Random(1))
    names = ("b-1", "b-2", "b-3")
    roster.merge(
        [Endpoint(n, "ink", f"{n}:1", "nbo-b", 6, EndpointState.READY, 1) for n in names], 1
    )
    return roster


def cut_off(roster: Roster) -> None:
    for endpoint in roster.endpoints():
        roster.domain_missed(endpoint)


def run(roster: Roster, send: Callable[[], Sending]) -> None:
    clock = ManualClock(start=10_000)
    budget = FleetRetryBudget(RetryAllowance(0.2, 10, 10_000), clock)
    forwarder = Forwarder(CannedPort(send), roster, budget, clock, random.Random(1))
    list(forwarder.run(make_call()))


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
