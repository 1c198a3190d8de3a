"""Tests for the handling of slow and unresponsive backends."""

from __future__ import annotations

import random

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.backend import DirectBackendPort
from canvasyoke.direct._choice import BackendQuery, Chosen
from canvasyoke.direct._group_learner import GroupLearner
from canvasyoke.direct._pace_monitor import PaceMonitor
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
GEOMETRY = RankGeometry(layers=2, experts=8, capacity=4, max_new_experts=1, copy_time=10.0)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(start=10_000)


@pytest.fixture
def roster(clock: ManualClock) -> Roster:
    """Return a roster with one group and a mean wait of 150 ms for the first event."""
    roster = Roster("nbo-a", clock, random.Random(1))
    roster.merge(
        [Endpoint(n, "ink", f"{n}:1", "nbo-a", SLOTS, EndpointState.READY, 1) for n in RANKS], 1
    )
    for name in RANKS:
        roster.learn_group(name, "g-1")
    roster.record_stream_start(RANKS[0], 150)
    return roster


def record_events(roster: Roster, clock: ManualClock, pause: int, events: int) -> None:
    """Record further events of the stream at the first backend."""
    for _ in range(events):
        clock.advance(pause)
        roster.record_stream_event(RANKS[0], pause)


def choose_many(roster: Roster, requests: int) -> list[str]:
    found = [roster.choose(BackendQuery("ink")) for _ in range(requests)]
    return [each.endpoint.id for each in found if isinstance(each, Chosen)]


#: Milliseconds since the request, whether the group is progressing, requests of other entries
#: at the backend, whether its other streams have events, and whether the stream is overdue.
OVERDUE_CASES = [
    ("not yet", 500, True, 0, False, False),
    ("nothing where others answer in 0.15 s", 700, True, 0, False, True),
    ("the whole group stands still", 700, False, 0, False, False),
    ("it may wait for a slot", 700, True, SLOTS + 1, False, False),
    ("other streams there go on", 700, True, 0, True, False),
]


@pytest.mark.parametrize(
    ("waited", "is_progressing", "others", "has_other_events", "expected"),
    [case[1:] for case in OVERDUE_CASES],
)
def test_is_overdue(
    roster: Roster,
    clock: ManualClock,
    waited: int,
    is_progressing: bool,
    others: int,
    has_other_events: bool,
    expected: bool,
) -> None:
    if is_progressing:
        record_events(roster, clock, 100, waited // 100)
    else:
        clock.advance(waited)
    roster.update_peer_load("entry-2", PeerLoad(1, {RANKS[1]: others}))
    if has_other_events:
        roster.record_stream_event(RANKS[1], 100)
    assert roster.is_overdue(RANKS[1], waited) is expected


def test_unresponsive_backend_is_avoided_until_cooldown_ends(
    roster: Roster, clock: ManualClock
) -> None:
    assert roster.mark_unresponsive(RANKS[1])
    assert not roster.mark_unresponsive(RANKS[1])  # not reported to other entries again
    assert RANKS[1] not in choose_many(roster, 10)
    clock.advance(5_000)
    assert RANKS[1] in choose_many(roster, 20)


def test_slow_backend_is_avoided_until_its_pace_expires(roster: Roster, clock: ManualClock) -> None:
    assert roster.learn_pace(RANKS[2], 12.0)
    assert RANKS[2] not in choose_many(roster, 25)
    clock.advance(3_000)
    assert not roster.is_slow(RANKS[2])


def test_unchanged_pace_is_reported_again_after_interval(
    roster: Roster, clock: ManualClock
) -> None:
    assert roster.learn_pace(RANKS[2], 5.0)
    assert not roster.learn_pace(RANKS[2], 5.0)
    assert roster.learn_pace(RANKS[2], 1.0)
    clock.advance(600)
    assert roster.learn_pace(RANKS[2], 1.0)


#: Slowdown factor, and whether the backend's streams should move.
MIGRATION_CASES = [(1.0, False), (1.6, False), (2.9, False), (3.0, True), (12.0, True)]


@pytest.mark.parametrize(("pace", "expected"), MIGRATION_CASES)
def test_streams_move_from_a_very_slow_backend(roster: Roster, pace: float, expected: bool) -> None:
    roster.learn_pace(RANKS[2], pace)
    assert roster.should_migrate_streams(RANKS[2]) is expected


class _PacePort(CannedPort):
    """A port whose engines return given paces."""

    def __init__(self, paces: dict[str, float]) -> None:
        super().__init__(lambda: pytest.fail("nothing is sent"))
        self.paces = paces
        self.queried: list[str] = []

    def slowdown_of(self, endpoint: Endpoint) -> float | None:
        self.queried.append(endpoint.id)
        return self.paces.get(endpoint.id, 1.0)


def make_monitor(
    port: DirectBackendPort, roster: Roster, reported: list[tuple[str, float]]
) -> PaceMonitor:
    route = TableRoute(
        **{name: getattr(ROUTE, name) for name in ROUTE.__slots__ if name != "longest_pause"},
        longest_pause=120,
    )
    table = RoutingTable(
        version=1, routes=(route,), services={"ink": TableService("ink", 100, GEOMETRY)}
    )
    return PaceMonitor(
        port, roster, lambda: table, lambda: True, lambda name, pace: reported.append((name, pace))
    )


def test_engines_are_queried_only_while_their_group_is_late(
    roster: Roster, clock: ManualClock
) -> None:
    reported: list[tuple[str, float]] = []
    port = _PacePort({RANKS[4]: 12.0})
    monitor = make_monitor(port, roster, reported)
    record_events(roster, clock, 90, 20)
    monitor.poll()
    assert port.queried == []
    record_events(roster, clock, 300, 40)
    monitor.poll()
    assert sorted(port.queried) == RANKS
    assert reported == [(RANKS[4], 12.0)]


def test_recovery_of_an_engine_is_reported(roster: Roster, clock: ManualClock) -> None:
    reported: list[tuple[str, float]] = []
    port = _PacePort({})
    monitor = make_monitor(port, roster, reported)
    roster.learn_pace(RANKS[4], 12.0)
    record_events(roster, clock, 90, 20)
    monitor.poll()
    assert port.queried == [RANKS[4]]
    assert reported == [(RANKS[4], 1.0)]


def test_slow_backends_are_used_when_all_are_slow(roster: Roster) -> None:
    for name in RANKS:
        roster.learn_pace(name, 12.0)
    assert sorted(choose_many(roster, 6)) == RANKS


class _EvacuatingPort(_PacePort):
    """A port whose first query is answered after the domain has been evacuated."""

    def __init__(self, roster: Roster) -> None:
        super().__init__({})
        self._roster = roster

    def slowdown_of(self, endpoint: Endpoint) -> float | None:
        self._roster.set_evacuated(frozenset({endpoint.domain}))
        return super().slowdown_of(endpoint)

    def group_of(self, endpoint: Endpoint) -> str | None:
        self._roster.set_evacuated(frozenset({endpoint.domain}))
        self.queried.append(endpoint.id)
        return None


def test_queries_end_when_a_domain_is_evacuated(roster: Roster, clock: ManualClock) -> None:
    """Guards against queries of a list that was made before the evacuation."""
    port = _EvacuatingPort(roster)
    record_events(roster, clock, 300, 40)
    make_monitor(port, roster, []).poll()
    assert len(port.queried) == 1


def test_queries_for_groups_end_when_a_domain_is_evacuated(clock: ManualClock) -> None:
    """Guards against queries of a list that was made before the evacuation."""
    roster = Roster("nbo-a", clock, random.Random(1))
    roster.merge(
        [
            Endpoint(name, "ink", f"b:{n}", "nbo-a", 6, EndpointState.READY, 1)
            for n, name in enumerate(RANKS)
        ],
        5,
    )
    port = _EvacuatingPort(roster)
    table = RoutingTable(version=1, services={"ink": TableService("ink", 100, GEOMETRY)})
    learner = GroupLearner(
        port, roster, lambda: table, lambda: True, lambda _run, _group: None, clock
    )
    learner.poll()
    assert len(port.queried) == 1
