"""Requests that wait for a place at one entry, with their threads."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import replace

import pytest

from canvasyoke._clock import ManualClock, SystemClock
from canvasyoke.admission import PendingRequest, ServiceRoom, WaitPlan
from canvasyoke.direct import _waiting
from canvasyoke.direct._call import DirectCall
from canvasyoke.direct._choice import BackendQuery, Chosen, NoneAvailable
from canvasyoke.direct._group_states import ServiceState
from canvasyoke.direct._metrics import DirectMetrics
from canvasyoke.direct._peer_loads import PeerLoad
from canvasyoke.direct._place_queue import PlaceQueue
from canvasyoke.direct._return_times import ReturnTimes
from canvasyoke.direct._roster import FleetView, Roster
from canvasyoke.direct._waiting import WaitingRequests
from canvasyoke.direct._waiting_gauges import build_waiting
from canvasyoke.direct.tests.calls import ROUTE, make_call
from canvasyoke.protocol import Reason
from canvasyoke.state import Endpoint, EndpointState

STREAM = replace(ROUTE, longest_pause=120)
SLOTS = 2
OPEN = ServiceState(True, 0, None, True)


class FixedPlanner:
    """Plans the same wait for each request."""

    def __init__(self) -> None:
        self.result = WaitPlan(0, 0)

    def plan(self, request: PendingRequest, room: ServiceRoom, now: int) -> WaitPlan:
        return self.result


class Place:
    """One entry with one backend of a group."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.roster = Roster("d", self.clock, random.Random(1))
        self.roster.merge([Endpoint("e", "ink", "e:1", "d", SLOTS, EndpointState.READY, 1)], 1)
        self.roster.learn_group("e", "g-1")
        self.state = OPEN
        self.planner = FixedPlanner()
        self.metrics = DirectMetrics()
        self.waiting = WaitingRequests(
            self.roster, lambda _: self.state, lambda _: self.planner, self.clock, self.metrics
        )
        self.pool = ThreadPoolExecutor(16)
        # Ended requests give the mean duration: places become free 20 times a second.
        for _ in range(4):
            self.fill()
            for _ in range(SLOTS):
                self.roster.record_finished("e", 100, failed=False)

    def call(self, priority: int = 1, is_gone: Callable[[], bool] = lambda: False) -> DirectCall:
        now = self.clock.now()
        call = make_call(STREAM)
        call.arrived_at, call.deadline = now, now + 8_000
        call.priority, call.is_disconnected = priority, is_gone
        return call

    def ask(self, call: DirectCall) -> Chosen | NoneAvailable:
        return self.waiting.choose(call, BackendQuery("ink"))

    def ask_later(self, call: DirectCall) -> Future[Chosen | NoneAvailable]:
        """Ask in a thread, and return once the request waits or is settled."""
        future = self.pool.submit(self.ask, call)
        pause = threading.Event()
        while not future.done() and not self.is_waiting(call):
            pause.wait(0.002)
        return future

    def is_waiting(self, call: DirectCall) -> bool:
        with self.waiting._lock:
            return any(holder.call is call for holder in self.waiting._holders.values())

    def fill(self) -> None:
        for _ in range(SLOTS):
            assert isinstance(self.ask(self.call()), Chosen)

    def end_one(self) -> None:
        self.roster.record_finished("e", 100, failed=False)
        self.waiting.on_change()


@pytest.fixture
def place() -> Place:
    return Place()


def test_only_streams_of_single_groups_with_a_pause_objective_wait(place: Place) -> None:
    call = place.call()
    assert place.waiting.applies_to(call)
    call.route = replace(STREAM, longest_pause=0)
    assert not place.waiting.applies_to(call)
    call.route = replace(STREAM, is_stream=False)
    assert not place.waiting.applies_to(call)
    place.state = replace(OPEN, is_single_group=False)
    assert not place.waiting.applies_to(place.call())


def test_a_place_goes_to_the_most_urgent_and_not_to_a_new_arrival(place: Place) -> None:
    place.fill()
    low = place.ask_later(place.call(2))
    urgent = place.ask_later(place.call(0))
    place.roster.record_finished("e", 100, failed=False)
    late = place.ask_later(place.call(1))
    assert isinstance(urgent.result(5), Chosen)
    assert not low.done()
    assert not late.done()
    assert place.roster.own_load() == {"e": SLOTS}
    place.end_one()
    place.end_one()
    assert isinstance(late.result(5), Chosen)
    assert isinstance(low.result(5), Chosen)
    assert place.waiting.waiting() == {}


def test_a_wait_that_gets_no_place_ends_with_its_forecast(place: Place) -> None:
    """The request was never sent, so its refusal must not count as an attempt."""
    place.fill()
    call = place.call()
    call.arrived_at -= 1_600
    result = place.ask_later(call).result(5)
    assert isinstance(result, NoneAvailable)
    assert result.reason is Reason.OVERLOADED
    assert result.forecast is not None
    assert result.forecast.request.patience_until == call.patience_until
    assert place.roster.own_load() == {"e": SLOTS}


def test_a_caller_that_disconnects_leaves_the_queue(place: Place) -> None:
    place.fill()
    gone = threading.Event()
    waiting = place.ask_later(place.call(is_gone=gone.is_set))
    gone.set()
    result = waiting.result(1)
    assert isinstance(result, NoneAvailable)
    assert result.reason is Reason.CANCELLED


def test_a_request_that_becomes_unservable_does_not_wait_for_a_place(place: Place) -> None:
    """It would be held until a place comes, and refused then."""
    unservable: list[DirectCall] = []
    place.waiting.refuse_when(lambda call: any(call is each for each in unservable))
    place.fill()
    waits, call = place.call(), place.call()
    results = [place.ask_later(waits), place.ask_later(call)]
    unservable.append(call)
    assert results[1].result(5) == NoneAvailable(Reason.CANCELLED)
    assert place.is_waiting(waits)
    place.end_one()
    assert isinstance(results[0].result(5), Chosen)


def test_above_the_bound_the_last_in_the_order_is_refused(
    place: Place, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_waiting, "MAX_WAITING", 2)
    place.fill()
    low, middle = place.ask_later(place.call(2)), place.ask_later(place.call(1))
    urgent = place.ask_later(place.call(0))
    assert isinstance(low.result(1), NoneAvailable)
    place.end_one()
    place.end_one()
    assert isinstance(urgent.result(5), Chosen)
    assert isinstance(middle.result(5), Chosen)


def test_a_place_is_left_to_a_more_urgent_request_elsewhere(place: Place) -> None:
    place.roster.update_peer_load("other", PeerLoad(1, {}, {"ink": {0: 4}}))
    assert place.roster.reserved_places("ink", 1) == 2
    assert place.roster.reserved_places("ink", 0) == 0
    waiting = place.ask_later(place.call(1))
    assert not waiting.done()
    assert isinstance(place.ask(place.call(0)), Chosen)
    # The report of the other entry is dropped after one second.
    assert isinstance(waiting.result(1.9), Chosen)


def test_a_closed_group_gets_no_requests_until_it_opens(place: Place) -> None:
    place.state = ServiceState(False, place.clock.now(), 500, True)
    assert isinstance(place.ask(place.call()), NoneAvailable)
    place.planner.result = WaitPlan(1_500, 300)
    waiting = place.ask_later(place.call())
    assert not waiting.done()
    assert place.roster.own_load() == {}
    place.state = OPEN
    place.waiting.on_change()
    assert isinstance(waiting.result(5), Chosen)


def test_a_planned_wait_ends_with_the_planned_return(place: Place) -> None:
    place.state = ServiceState(False, place.clock.now(), 500, True)
    place.planner.result = WaitPlan(100, 300)
    result = place.ask(place.call())
    assert isinstance(result, NoneAvailable)
    assert result.forecast is not None
    assert result.forecast.return_after == 300


def test_a_closed_group_of_unknown_state_is_probed_with_one_request(place: Place) -> None:
    """Otherwise an entry without reports would never learn that the group is open."""
    place.planner.result = WaitPlan(1_500, 0)
    place.state = ServiceState(False, place.clock.now() - 2_000, None, True)
    first, second = place.ask_later(place.call()), place.ask_later(place.call())
    assert isinstance(first.result(1), Chosen)
    assert not second.done()
    assert isinstance(second.result(1), Chosen)


def test_no_request_waits_for_an_evacuated_service(place: Place) -> None:
    """No opening of the group would give such a request a place."""
    place.state = ServiceState(False, place.clock.now(), 500, True)
    place.planner.result = WaitPlan(1_500, 300)
    waiting = place.ask_later(place.call())
    assert not waiting.done()
    place.roster.set_evacuated(frozenset({"d"}))
    place.waiting.on_change()
    assert waiting.result(1) == NoneAvailable(Reason.EVACUATED)
    began = place.clock.now()
    assert place.ask(place.call()) == NoneAvailable(Reason.EVACUATED)
    assert place.clock.now() - began < 500


def test_a_request_whose_choice_fails_leaves_the_queue(
    place: Place, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise its place in the order stays taken, and it may get a place that nobody uses."""

    def fail(_roster: Roster, _query: BackendQuery) -> Chosen:
        raise RuntimeError("scripted")

    with monkeypatch.context() as patch:
        patch.setattr(Roster, "choose", fail)
        with pytest.raises(RuntimeError, match="scripted"):
            place.ask(place.call())
    assert place.waiting.waiting() == {}


def test_gauges_by_service(place: Place) -> None:
    waiting = build_waiting(
        place.roster, ReturnTimes(place.roster, place.clock), place.clock, place.metrics
    )
    place.roster.learn_group("e", "g-1")
    assert isinstance(waiting.choose(place.call(), BackendQuery("ink")), Chosen)
    lines = place.metrics.all.render().splitlines()
    assert f'canvasyoke_places{{service="ink"}} {SLOTS}' in lines
    assert 'canvasyoke_places_in_use{service="ink"} 1' in lines
    assert 'canvasyoke_places_reserved{service="ink"} 0' in lines


def test_a_backend_of_unknown_group_does_not_end_the_waiting(place: Place) -> None:
    """A rank that has just started must not switch the admission of its whole group."""
    joined = Endpoint("f", "ink", "f:1", "d", SLOTS, EndpointState.READY, 2)
    place.roster.merge([*place.roster.endpoints(), joined], 2)
    assert place.roster.is_single_group("ink")
    place.roster.learn_group("f", "g-2")
    assert not place.roster.is_single_group("ink")


def test_a_place_is_not_given_to_a_caller_that_has_given_up() -> None:
    """An entry that resumes after a stall would fill the places with requests of such callers."""
    clock = ManualClock(start=10_000)
    roster = Roster("d", clock, random.Random(1))
    roster.merge([Endpoint("e", "ink", "e:1", "d", 1, EndpointState.READY, 1)], 1)
    queue = PlaceQueue("ink", roster, lambda _: OPEN, FixedPlanner())
    tickets = []
    for patience in (20_000, 12_000, 30_000):
        request = PendingRequest(1, "", clock.now(), 40_000, patience, 1_000)
        tickets.append(queue.ask(request, BackendQuery("ink"), clock.now()))
    assert [each.ticket for each in queue.assign(clock.now())] == tickets[:1]
    clock.advance(4_000)
    roster.record_finished("e", 1_000, failed=False)
    settled = {each.ticket: each.result for each in queue.assign(clock.now())}
    assert isinstance(settled[tickets[1]], NoneAvailable)
    assert isinstance(settled[tickets[2]], Chosen)


def test_refused_requests_do_not_count_against_those_behind_them() -> None:
    """A review after a stall of the entry would refuse requests that have time and a place."""
    clock = ManualClock(start=10_000)
    roster = Roster("d", clock, random.Random(1))
    roster.merge([Endpoint("e", "ink", "e:1", "d", 1, EndpointState.READY, 1)], 1)
    queue = PlaceQueue("ink", roster, lambda _: OPEN, FixedPlanner())

    def ask(patience: int, deadline: int) -> int:
        request = PendingRequest(1, "", clock.now(), deadline, patience, 1_000)
        return queue.ask(request, BackendQuery("ink"), clock.now())

    ask(20_000, 20_000)
    assert len(list(queue.assign(clock.now()))) == 1
    expired = [ask(12_000, 30_000) for _ in range(30)]
    behind = ask(20_000, 40_000)
    clock.advance(4_000)
    refused = [each.ticket for each in queue.review(clock.now())]
    assert sorted(refused) == expired
    assert queue.waiting() == {1: 1}
    assert behind not in refused


@pytest.mark.parametrize("started", [0, 200])
def test_an_entry_fills_its_home_share_without_pauses(started: int) -> None:
    """Backends that state a start time have runs with other names than their store entries."""
    clock = ManualClock(start=10_000)
    roster = Roster("d", clock, random.Random(1))
    roster.merge(
        [
            Endpoint(f"e-{n}", "ink", f"{n}:1", "d", 2, EndpointState.READY, 1, started)
            for n in range(4)
        ],
        1,
    )
    roster.set_fleet(FleetView(40, "a", frozenset("b"), is_full_mesh=False))
    query = BackendQuery("ink", needs_free_slot=True)
    results = [roster.choose(query) for _ in range(4)]
    assert all(isinstance(each, Chosen) for each in results)
    assert sorted(roster.own_load().values()) == [2, 2]


def test_after_an_opening_an_entry_uses_its_part_until_others_have_reported() -> None:
    clock = ManualClock(start=10_000)
    roster = Roster("d", clock, random.Random(1))
    roster.merge(
        [Endpoint(f"e-{n}", "ink", f"{n}:1", "d", 2, EndpointState.READY, 1) for n in range(4)], 1
    )
    for peer in "xyz":
        roster.update_peer_load(peer, PeerLoad(1, {}))
    roster.set_fleet(FleetView(4, "a", frozenset("xyz")))
    clock.advance(500)
    query = BackendQuery("ink", needs_free_slot=True, opened_at=clock.now() - 100)
    results = [roster.choose(query) for _ in range(4)]
    assert [isinstance(each, Chosen) for each in results] == [True, True, False, False]
    for peer in "xyz":
        roster.update_peer_load(peer, PeerLoad(2, {}))
    clock.advance(1_000)
    assert isinstance(roster.choose(query), Chosen)
