"""Memory of all requests of a process.

Guards against a budget that is exceeded, that is held by what has ended, or that requests without
progress keep from others.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.transport._request_budget import ALLOWANCE, RequestBudget, Reservation

LIMIT = 100 << 10
LARGE = ALLOWANCE + (60 << 10)


class _Budget:
    """A budget, and the requests that it gave up."""

    def __init__(self) -> None:
        self.clock = ManualClock(start=1_000)
        self.budget = RequestBudget(self.clock, LIMIT)
        self.given_up: list[Reservation] = []

    def open(self) -> Reservation:
        """Return the reservation of a new request."""
        reservation = self.budget.open(lambda: self.given_up.append(reservation))
        return reservation


def test_a_request_that_stops_gives_way_to_another() -> None:
    state = _Budget()
    first, second = state.open(), state.open()
    assert state.budget.reserve(first, LARGE, LARGE)
    assert not state.budget.reserve(second, LARGE, 0)
    state.clock.advance(SECOND)
    assert state.budget.reserve(second, LARGE, 0)
    assert state.given_up == [first]
    assert not state.budget.complete(first)


def test_a_slow_request_that_goes_on_outlives_one_that_stops() -> None:
    state = _Budget()
    slow, stopped, new = state.open(), state.open(), state.open()
    half = ALLOWANCE + LIMIT // 2
    assert state.budget.reserve(stopped, half, half)
    received = 0
    for _ in range(30):
        received += 100
        assert state.budget.reserve(slow, half, received)
        state.clock.advance(SECOND // 10)
    assert state.budget.reserve(new, half, 0)
    assert state.given_up == [stopped]


def test_requests_with_progress_are_not_given_up() -> None:
    state = _Budget()
    fast, new = state.open(), state.open()
    for received in range(0, LARGE, 8 << 10):
        assert state.budget.reserve(fast, LARGE, received)
        state.clock.advance(SECOND // 4)
    assert not state.budget.reserve(new, LARGE, 0)
    assert not state.given_up


def test_a_request_that_is_received_is_not_given_up() -> None:
    state = _Budget()
    whole, new = state.open(), state.open()
    assert state.budget.reserve(whole, LARGE, LARGE)
    assert state.budget.complete(whole)
    state.clock.advance(60 * SECOND)
    assert not state.budget.reserve(new, LARGE, 0)
    state.budget.release(whole)
    assert not state.budget.reserve(whole, LARGE, LARGE)
    assert state.budget.reserve(new, LARGE, 0)


def test_usual_requests_do_not_depend_on_what_large_ones_hold() -> None:
    state = _Budget()
    assert state.budget.reserve(state.open(), ALLOWANCE + LIMIT, 0)
    assert all(state.budget.reserve(state.open(), ALLOWANCE, 0) for _ in range(100))


def test_the_longest_legal_request_always_has_room() -> None:
    state = _Budget()
    state.budget.set_longest_request(2 * LIMIT)
    assert state.budget.reserve(state.open(), 2 * LIMIT, 0)


class BudgetMachine(RuleBasedStateMachine):
    """Requests that grow, stop, complete and end in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.state = _Budget()
        self.budget = self.state.budget
        self.requests: list[Reservation] = []
        self.received: list[Reservation] = []

    @rule()
    def begin(self) -> None:
        """Begin a request."""
        self.requests.append(self.state.open())

    @precondition(lambda self: self.requests)
    @rule(data=st.data(), size=st.integers(0, 2 * LIMIT))
    def grow(self, data: st.DataObject, size: int) -> None:
        """Receive more of a request, and drop it if it is refused."""
        request = data.draw(st.sampled_from(self.requests))
        size = max(size, request.size)
        if not self.budget.reserve(request, size, size):
            self.budget.release(request)
            self.requests.remove(request)

    @precondition(lambda self: self.requests)
    @rule(data=st.data())
    def complete(self, data: st.DataObject) -> None:
        """Receive the end of a request."""
        request = data.draw(st.sampled_from(self.requests))
        self.requests.remove(request)
        if self.budget.complete(request):
            self.received.append(request)

    @precondition(lambda self: self.requests or self.received)
    @rule(data=st.data())
    def end(self, data: st.DataObject) -> None:
        """End a request in any state, also twice."""
        request = data.draw(st.sampled_from(self.requests + self.received))
        self.budget.release(request)
        self.budget.release(request)
        for group in (self.requests, self.received):
            if request in group:
                group.remove(request)

    @rule(duration=st.integers(1, 2 * SECOND))
    def wait(self, duration: int) -> None:
        """Let time pass."""
        self.state.clock.advance(duration)

    @invariant()
    def holds_what_its_requests_hold(self) -> None:
        """The memory held is that of the requests that have not ended, within the limit."""
        live = [each for each in self.requests + self.received if not each.is_given_up]
        assert self.budget.held == sum(max(0, each.size - ALLOWANCE) for each in live)
        assert self.budget.held <= self.budget.limit

    @invariant()
    def received_requests_stay(self) -> None:
        """Only a request that is being received is given up."""
        assert not any(each.is_given_up for each in self.received)


BudgetMachine.TestCase.settings = settings(max_examples=200, stateful_step_count=40)
TestBudget = BudgetMachine.TestCase
