"""Order of waiting requests, and the shares that kinds, organisations and sizes get."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from canvasyoke.admission import PendingRequest, WaitQueue


def request(
    priority: int = 1,
    organisation: str = "o",
    arrived_at: int = 0,
    deadline: int = 8_000,
    duration: int = 1_000,
) -> PendingRequest:
    return PendingRequest(
        priority, organisation, arrived_at, deadline, arrived_at + 1_900, duration
    )


#: Waiting requests in order of arrival, and the index of the one that gets the next place.
ORDERS: list[tuple[str, list[PendingRequest], int]] = [
    ("priority", [request(2, deadline=100), request(0), request(1)], 1),
    ("deadline", [request(deadline=9_000), request(deadline=5_000)], 1),
    ("arrival", [request(), request()], 0),
    ("priority before organisation", [request(1, "new"), request(0, "busy")], 1),
    ("fewest places", [request(1, "busy", deadline=10), request(1, "new")], 1),
]


@pytest.mark.parametrize(("requests", "first"), [case[1:] for case in ORDERS])
def test_order(requests: list[PendingRequest], first: int) -> None:
    queue = WaitQueue()
    for _ in range(3):
        queue.record_admitted(queue.add(request(0, "busy")), 0)
    tickets = [queue.add(each) for each in requests]
    assert queue.next(0) == tickets[first]
    assert queue.ahead_of(tickets[first], 0) <= min(queue.positions(0).values())


def test_removed_requests_get_no_place() -> None:
    queue = WaitQueue()
    ticket = queue.add(request())
    queue.remove(ticket)
    assert queue.next(0) is None
    assert len(queue) == 0
    assert not queue.waiting()


def test_positions_count_more_urgent_requests_that_are_expected() -> None:
    """A request behind a steady urgent load must not be told that it is next."""
    queue = WaitQueue()
    for now in range(0, 5_000, 20):
        queue.record_admitted(queue.add(request(0, arrived_at=now)), now)
    ticket = queue.add(request(2, arrived_at=5_000))
    assert queue.ahead_of(ticket, 5_000) > 5


def test_a_retrying_caller_delays_waiting_ones_of_its_kind() -> None:
    queue = WaitQueue()
    waiting = queue.add(request(deadline=9_000))
    less_urgent = queue.add(request(2, deadline=9_000))
    early = queue.add(request(deadline=5_000))
    assert queue.delayed_by(early, 0) == [waiting]
    assert less_urgent not in queue.delayed_by(early, 0)


#: Requests a second by priority and organisation.
OVERLOADS = [
    ("least urgent kind", {(0, "a"): 30, (1, "a"): 30, (2, "a"): 200}),
    ("most urgent kind", {(0, "a"): 200, (1, "a"): 30, (2, "a"): 30}),
    ("one organisation", {(1, "big"): 200, (1, "b"): 30, (1, "c"): 30, (1, "d"): 30}),
    ("many small ones", {(1, "big"): 200, **{(1, f"s-{n}"): 6 for n in range(24)}}),
]


@pytest.mark.parametrize("rates", [case[1] for case in OVERLOADS])
def test_no_kind_organisation_or_size_starves(rates: dict[tuple[int, str], int]) -> None:
    """100 places a second are given to requests that each wait for at most 1.9 s."""
    rng = random.Random(1)
    queue = WaitQueue()
    asked: Counter[str] = Counter()
    placed: Counter[str] = Counter()
    waiting: dict[int, PendingRequest] = {}
    pairs = list(rates)
    for now in range(0, 30_000, 10):
        arrivals = rng.choices(pairs, list(rates.values()), k=round(sum(rates.values()) / 100))
        for priority, name in arrivals:
            duration = 4_000 if rng.random() < 0.1 else 1_000
            new = request(priority, name, now, now + 8_000, duration)
            waiting[queue.add(new)] = new
            asked.update(_classes(new))
        for ticket in [t for t, r in waiting.items() if now >= r.patience_until]:
            queue.remove(ticket)
            del waiting[ticket]
        chosen = queue.next(now)
        assert chosen is not None
        queue.record_admitted(chosen, now)
        placed.update(_classes(waiting.pop(chosen)))
    overall = placed["all"] / asked["all"]
    for key in asked:
        if not key.startswith("large of "):
            assert placed[key] / asked[key] >= 0.25 * overall, key
    for key in [key for key in asked if key.startswith("large of ")]:
        kind = key.removeprefix("large of ")
        assert placed[key] / asked[key] >= 0.5 * placed[kind] / asked[kind], key


def _classes(each: PendingRequest) -> list[str]:
    kind = f"kind {each.priority}"
    size = ["large", f"large of {kind}"] if each.expected_duration > 1_000 else []
    return ["all", kind, f"organisation {each.organisation}", *size]
