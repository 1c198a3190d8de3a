"""What is taken from a backend's pace and from its silence."""

from __future__ import annotations

import random

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.backend import DirectBackendPort
from canvasyoke.direct._choice import Chosen, Wanted
from canvasyoke.direct._pace_watch import PaceWatch
from canvasyoke.direct._peer_loads import PeerLoad
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.calls import ROUTE, CannedPort
from canvasyoke.state import (
    Endpoint,
    EndpointState,
    RankGeometry,
    RoutingTable,
    TableRoute,
    TableService,
)

RANKS = [f"b-{number}" for number in range(6)]
SLOTS = 5
GEOMETRY = RankGeometry(layers=2, experts=8, capacity=4, new_limit=1, copy_time=10.0)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(start=10_000)


@pytest.fixture
def roster(clock: ManualClock) -> Roster:
    """Return a roster of one group, whose streams begin after 150 ms."""
    roster = Roster("nbo-a", clock, random.Random(1))
    roster.merge(
        [Endpoint(n, "ink", f"{n}:1", "nbo-a", SLOTS, EndpointState.READY, 1) for n in RANKS], 1
    )
    for name in RANKS:
        roster.learn_group(name, "g-1")
    roster.stream_began(RANKS[0], 150)
    return roster


def play(roster: Roster, clock: ManualClock, pause: int, events: int) -> None:
    """Have the stream at the first backend go on."""
    for _ in range(events):
        clock.advance(pause)
        roster.stream_heard(RANKS[0], pause)


def chosen(roster: Roster, requests: int) -> list[str]:
    found = [roster.choose(Wanted("ink")) for _ in range(requests)]
    return [each.endpoint.id for each in found if isinstance(each, Chosen)]


#: Milliseconds since a stream was sent, whether its group makes steps, requests of other
#: entries at its backend, whether other streams there go on, and whether it is overdue.
WAITS = [
    ("not yet", 500, True, 0, False, False),
    ("nothing where others answer in 0.15 s", 700, True, 0, False, True),
    ("the whole group stands still", 700, False, 0, False, False),
    ("it may wait for a slot", 700, True, SLOTS + 1, False, False),
    ("other streams there go on", 700, True, 0, True, False),
]


@pytest.mark.parametrize(
    ("waited", "steps", "others", "goes_on", "expected"), [case[1:] for case in WAITS]
)
def test_silence_is_told_from_waiting(
    roster: Roster,
    clock: ManualClock,
    waited: int,
    steps: bool,
    others: int,
    goes_on: bool,
    expected: bool,
) -> None:
    if steps:
        play(roster, clock, 100, waited // 100)
    else:
        clock.advance(waited)
    roster.peer_load("entry-2", PeerLoad(1, {RANKS[1]: others}))
    if goes_on:
        roster.stream_heard(RANKS[1], 100)
    assert roster.is_overdue(RANKS[1], waited) is expected


def test_a_silent_backend_is_passed_over_for_some_seconds(
    roster: Roster, clock: ManualClock
) -> None:
    assert roster.fell_silent(RANKS[1])
    assert not roster.fell_silent(RANKS[1])  # so that word of it ends
    assert RANKS[1] not in chosen(roster, 10)
    clock.advance(5_000)
    assert RANKS[1] in chosen(roster, 20)


def test_a_slow_backend_gets_few_requests_while_word_of_it_is_fresh(
    roster: Roster, clock: ManualClock
) -> None:
    """Before: as many as the others, five of thirty."""
    assert roster.learn_pace(RANKS[2], 12.0)
    assert RANKS[2] not in chosen(roster, 25)
    clock.advance(3_000)
    assert not roster.is_slow(RANKS[2])


def test_the_same_word_is_news_again_after_a_while(roster: Roster, clock: ManualClock) -> None:
    assert roster.learn_pace(RANKS[2], 5.0)
    assert not roster.learn_pace(RANKS[2], 5.0)
    assert roster.learn_pace(RANKS[2], 1.0)
    clock.advance(600)
    assert roster.learn_pace(RANKS[2], 1.0)


#: Times that a backend takes, and whether its streams go on elsewhere.
PACES = [(1.0, False), (1.6, False), (2.9, False), (3.0, True), (12.0, True)]


@pytest.mark.parametrize(("pace", "expected"), PACES)
def test_streams_leave_a_backend_that_crawls(roster: Roster, pace: float, expected: bool) -> None:
    roster.learn_pace(RANKS[2], pace)
    assert roster.crawls(RANKS[2]) is expected


class _Paces(CannedPort):
    """Engines that tell their pace."""

    def __init__(self, paces: dict[str, float]) -> None:
        super().__init__(lambda: pytest.fail("nothing is sent"))
        self.paces = paces
        self.asked: list[str] = []

    def pace_of(self, endpoint: Endpoint) -> float | None:
        self.asked.append(endpoint.id)
        return self.paces.get(endpoint.id, 1.0)


def watch(port: DirectBackendPort, roster: Roster, told: list[tuple[str, float]]) -> PaceWatch:
    route = TableRoute(
        **{name: getattr(ROUTE, name) for name in ROUTE.__slots__ if name != "longest_pause"},
        longest_pause=120,
    )
    table = RoutingTable(
        version=1, routes=(route,), services={"ink": TableService("ink", 100, GEOMETRY)}
    )
    return PaceWatch(
        port, roster, lambda: table, lambda: True, lambda name, pace: told.append((name, pace))
    )


def test_engines_are_asked_only_while_their_group_is_late(
    roster: Roster, clock: ManualClock
) -> None:
    told: list[tuple[str, float]] = []
    port = _Paces({RANKS[4]: 12.0})
    paces = watch(port, roster, told)
    play(roster, clock, 90, 20)
    paces.look()
    assert port.asked == []
    play(roster, clock, 300, 40)
    paces.look()
    assert sorted(port.asked) == RANKS
    assert told == [(RANKS[4], 12.0)]


def test_an_engine_that_has_recovered_is_told_of(roster: Roster, clock: ManualClock) -> None:
    told: list[tuple[str, float]] = []
    port = _Paces({})
    paces = watch(port, roster, told)
    roster.learn_pace(RANKS[4], 12.0)
    play(roster, clock, 90, 20)
    paces.look()
    assert port.asked == [RANKS[4]]
    assert told == [(RANKS[4], 1.0)]


def test_all_backends_slow_is_better_than_none(roster: Roster) -> None:
    for name in RANKS:
        roster.learn_pace(name, 12.0)
    assert sorted(chosen(roster, 6)) == RANKS
