"""When the owner of a group's map looks for a change of it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.coordination import DemandStabilityEstimator, Layer, MapUpdate, initial_map
from canvasyoke.experts import _owner
from canvasyoke.experts._change_types import ChangeResult
from canvasyoke.experts._owner import MapOwner
from canvasyoke.experts._rank_port import RankMap, RankReport
from canvasyoke.observe import Metrics
from canvasyoke.state import Note, RankGeometry

RANKS, EXPERTS, LAYERS = 4, 8, 2
GEOMETRY = RankGeometry(LAYERS, EXPERTS, capacity=4, new_limit=1, copy_time=100.0)
EVEN = [10_000] * (EXPERTS * LAYERS)


class _Group:
    """A group of which all ranks are linked and hold the first map."""

    name, epoch, own_rank, size, is_linked = "g-1", 1, 0, RANKS, True

    def __init__(self) -> None:
        self.counts: list[int] = []
        self.slow: dict[int, float] = {}
        layers = initial_map(range(RANKS), EXPERTS, LAYERS).layers
        self._held = {
            rank: tuple(
                tuple(e for e, holders in enumerate(layer) if rank in holders) for layer in layers
            )
            for rank in range(RANKS)
        }

    def own_report(self) -> RankReport:
        return RankReport("g-1", 0, RANKS, 1, True, 5, 0, 0, None, 0)

    def take_counts(self) -> list[int]:
        return self.counts

    def paces(self) -> dict[int, float]:
        return self.slow

    def last_held(self, rank: int) -> bool:
        return False

    def ask_layers(self, timeout: int) -> dict[int, Any]:
        return {rank: held for rank, held in self._held.items() if rank}

    def own_layers(self) -> RankMap:
        return RankMap(0, self._held[0])


class _Store:
    def put_note(self, kind: str, name: str, body: bytes) -> Note:
        return Note(name, 7, body)


class _Changer:
    def __init__(self, *_: object) -> None:
        pass

    def recover(self) -> ChangeResult:
        return ChangeResult.IN_FORCE


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(start=10_000)


@pytest.fixture
def planned(monkeypatch: pytest.MonkeyPatch, clock: ManualClock) -> list[int]:
    """Return the times at which a plan is made; none of them finds a change that pays."""
    times: list[int] = []

    def plan(layers: Sequence[Layer], *_: object) -> MapUpdate:
        times.append(clock.now())
        return MapUpdate(tuple(layers), 1.5, 1.5)

    monkeypatch.setattr(_owner, "plan_map_update", plan)
    monkeypatch.setattr(_owner, "MapChanger", _Changer)
    return times


def make_owner(group: _Group, clock: ManualClock) -> MapOwner:
    counter = Metrics().counter("changes", "Changes.", "result")
    owner = MapOwner(
        group,  # type: ignore[arg-type]
        _Store(),  # type: ignore[arg-type]
        "run-1",
        GEOMETRY,
        DemandStabilityEstimator(),
        counter,
        clock,
    )
    assert owner.turn()
    assert owner.has_taken_on
    return owner


def turn(owner: MapOwner, clock: ManualClock, turns: int) -> None:
    for _ in range(turns):
        clock.advance(100)
        assert owner.turn()


def test_where_no_change_paid_none_is_looked_for_at_each_turn(
    planned: list[int], clock: ManualClock
) -> None:
    group = _Group()
    owner = make_owner(group, clock)
    group.counts = EVEN
    turn(owner, clock, 45)
    assert planned == [10_100, 12_200, 14_200]


def test_a_skew_that_rises_is_looked_at_at_once(planned: list[int], clock: ManualClock) -> None:
    group = _Group()
    owner = make_owner(group, clock)
    group.counts = EVEN
    turn(owner, clock, 5)
    assert len(planned) == 1
    group.counts = [60_000, *EVEN[1:]]
    turn(owner, clock, 3)  # a frame with counts of before and after, and one of after
    assert len(planned) == 2
    assert owner.skew > 1.4


def test_too_few_counts_plan_nothing(planned: list[int], clock: ManualClock) -> None:
    group = _Group()
    owner = make_owner(group, clock)
    group.counts = [10] * (EXPERTS * LAYERS)
    turn(owner, clock, 10)
    assert planned == []


def test_a_rank_that_turns_slow_is_looked_at_at_once(
    planned: list[int], clock: ManualClock
) -> None:
    group = _Group()
    owner = make_owner(group, clock)
    group.counts = EVEN
    turn(owner, clock, 5)
    assert len(planned) == 1
    group.slow = {2: 12.0}
    turn(owner, clock, 2)
    assert len(planned) == 2
    assert owner.skew == pytest.approx(12.0)


def test_a_frame_in_which_demand_moves_plans_nothing(
    planned: list[int], clock: ManualClock
) -> None:
    group = _Group()
    owner = make_owner(group, clock)
    group.counts = EVEN
    turn(owner, clock, 20)
    planned.clear()
    clock.advance(100)
    group.counts = [60_000, *EVEN[1:]]
    assert owner.turn()  # the second half of a frame
    turn(owner, clock, 1)
    before = list(planned)
    turn(owner, clock, 2)
    assert before == []
    assert len(planned) == 1
