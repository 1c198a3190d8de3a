"""Effects of attempts on domain reachability, and migration of streams."""

from __future__ import annotations

import random
from collections.abc import Callable, Generator, Iterator
from dataclasses import replace

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.backend import (
    BackendAnswer,
    MayHaveRun,
    NotRun,
    NotRunCause,
    SendResult,
)
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._choice import BackendQuery, Chosen
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.calls import ROUTE, CannedPort, make_call, make_forwarder
from canvasyoke.state import Endpoint, EndpointState
from canvasyoke.transport import ExchangeError, ExchangeHandle, FailureCause


class _BrokenStream(BackendAnswer):
    """A stream that calls ``on_event`` after its first event, and then fails."""

    def __init__(self, on_event: Callable[[], None]) -> None:
        self.status = 200
        self.headers = [("Content-Type", "text/event-stream")]
        self.is_framed = True
        self._on_event = on_event

    def pieces(self) -> Iterator[bytes]:
        yield b"id: 1\ndata: x\n\n"
        self._on_event()
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


def make_domain_unreachable(roster: Roster) -> None:
    for endpoint in roster.endpoints():
        roster.record_connect_failure(endpoint)


def run(roster: Roster, send: Callable[[], SendResult]) -> None:
    clock = ManualClock(start=10_000)
    budget = FleetRetryBudget(RetryAllowance(0.2, 10, 10_000), clock)
    forwarder = make_forwarder(CannedPort(send), roster, budget, clock)
    list(forwarder.run(make_call()))


def test_a_broken_stream_does_not_make_its_domain_reachable(roster: Roster) -> None:
    run(roster, lambda: _BrokenStream(lambda: make_domain_unreachable(roster)))
    assert roster.probe_addresses().keys() == {"nbo-b"}


def test_a_missing_answer_does_not_make_a_domain_reachable(roster: Roster) -> None:
    def send() -> SendResult:
        make_domain_unreachable(roster)
        return MayHaveRun("no answer came")

    run(roster, send)
    assert roster.probe_addresses().keys() == {"nbo-b"}


def test_an_answer_makes_its_domain_reachable(roster: Roster) -> None:
    make_domain_unreachable(roster)
    run(roster, lambda: NotRun(NotRunCause.FULL, "refused"))
    assert roster.probe_addresses() == {}


def test_failed_connections_make_a_domain_unreachable(roster: Roster) -> None:
    run(roster, lambda: NotRun(NotRunCause.UNREACHABLE, "timed out"))
    assert roster.probe_addresses().keys() == {"nbo-b"}


RESUMABLE = replace(ROUTE, resumable=True, max_attempts=2)


def test_a_lost_connection_sends_the_next_requests_elsewhere(roster: Roster) -> None:
    """A backend that closes all connections looks idle, and must not be the first choice."""
    run(roster, lambda: MayHaveRun("reset", FailureCause.CONNECTION_LOST))
    chosen = [roster.choose(BackendQuery("ink")) for _ in range(8)]
    assert len({c.endpoint.run for c in chosen if isinstance(c, Chosen)}) == 2


class _Stream(BackendAnswer):
    """A complete stream that calls ``on_event`` after each event."""

    def __init__(self, numbers: range, on_event: Callable[[], None] = lambda: None) -> None:
        self.status = 200
        self.headers = [("Content-Type", "text/event-stream")]
        self.is_framed = True
        self.is_closed = False
        self._numbers = numbers
        self._on_event = on_event

    def pieces(self) -> Iterator[bytes]:
        for number in self._numbers:
            yield f"id: {number}\ndata: x\n\n".encode()
            self._on_event()

    def wait_at_most(self, duration: int) -> None:
        pass

    def close(self) -> None:
        self.is_closed = True


def forward(roster: Roster, answers: list[SendResult]) -> tuple[list[bytes], list[str]]:
    """Return the events that a caller receives, and the backends that were tried."""
    clock = ManualClock(start=10_000)
    budget = FleetRetryBudget(RetryAllowance(0.2, 10, 10_000), clock)
    call = make_call(RESUMABLE)
    forwarder = make_forwarder(CannedPort(lambda: answers.pop(0)), roster, budget, clock)
    pieces = [piece for piece in forwarder.run(call) if isinstance(piece, bytes)]
    return pieces, [attempt.run for attempt in call.attempts]


def test_a_stream_moves_away_from_a_slow_backend(roster: Roster) -> None:
    """Otherwise the whole group is slowed down until the stream ends."""

    def slow_down_all() -> None:
        for endpoint in roster.endpoints():
            roster.learn_pace(endpoint.id, 12.0)

    slow, sound = _Stream(range(1, 9), slow_down_all), _Stream(range(2, 6))
    events, tried = forward(roster, [slow, sound])
    assert events == [f"id: {number}\ndata: x\n\n".encode() for number in range(1, 6)]
    assert len(set(tried)) == 2
    assert slow.is_closed


def test_a_stream_is_moved_at_most_once(roster: Roster) -> None:
    for endpoint in roster.endpoints():
        roster.learn_pace(endpoint.id, 12.0)
    events, tried = forward(roster, [_Stream(range(1, 9)), _Stream(range(2, 9))])
    assert len(events) == 8
    assert len(tried) == 2


def test_an_exchange_with_an_unresponsive_backend_is_ended_within_the_attempts() -> None:
    clock = ManualClock(start=10_000)
    roster = Roster("nbo-a", clock, random.Random(1))
    roster.merge(
        [Endpoint(n, "ink", f"{n}:1", "nbo-a", 6, EndpointState.READY, 1) for n in "ab"], 1
    )
    for name in "ab":
        roster.learn_group(name, "g-1")
    roster.record_stream_start("a", 150)
    budget = FleetRetryBudget(RetryAllowance(0.2, 10, 10_000), clock)
    forwarder = make_forwarder(CannedPort(lambda: MayHaveRun("")), roster, budget, clock)
    call = make_call(RESUMABLE)
    call.slot, call.backend, call.sent_at = ExchangeHandle(), "b", clock.now()
    for _ in range(7):
        assert not forwarder.close_if_unresponsive(call)
        clock.advance(100)
        roster.record_stream_event("a", 100)
    assert forwarder.close_if_unresponsive(call)
    assert call.slot.is_cancelled
    assert not forwarder.close_if_unresponsive(call)
    last = make_call(RESUMABLE)
    last.slot, last.backend, last.sent_at = ExchangeHandle(), "b", call.sent_at
    last.sent_to.add("a")
    last.sent_to.add("c")
    assert not forwarder.close_if_unresponsive(last)


def test_a_caller_that_leaves_between_events_frees_its_place(roster: Roster) -> None:
    """The server closes the response when a write fails; a place kept then is lost for good."""
    clock = ManualClock(start=10_000)
    budget = FleetRetryBudget(RetryAllowance(0.2, 10, 10_000), clock)
    port = CannedPort(lambda: _Stream(range(1, 4)))
    response = make_forwarder(port, roster, budget, clock).run(make_call())
    next(response)
    next(response)
    assert sum(roster.own_load().values()) == 1
    assert isinstance(response, Generator)
    response.close()
    assert roster.own_load() == {}


def test_an_error_while_sending_frees_the_place(roster: Roster) -> None:
    """An unexpected exception ends the request, and its backend must not look busy after it."""

    def fail() -> SendResult:
        raise ValueError("bad header")

    with pytest.raises(ValueError, match="bad header"):
        run(roster, fail)
    assert roster.own_load() == {}
