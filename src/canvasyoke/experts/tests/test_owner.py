"""Conditions under which the owner plans a map change."""

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
GEOMETRY = RankGeometry(LAYERS, EXPERTS, capacity=4, max_new_experts=1, copy_time=100.0)
EVEN = [10_000] * (EXPERTS * LAYERS)


class _FakeGroup:
    """A group whose ranks are all linked and hold the initial map."""

    name, epoch, own_rank, size, is_linked = "g-1", 1, 0, RANKS, True

    def __init__(self) -> None:
        self.counts: list[int] = []
        self.slow_ranks: dict[int, float] = {}
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

    def slowdowns(self) -> dict[int, float]:
        return self.slow_ranks

    def confirms_hold(self) -> bool:
        return False

    def fetch_layers(self, timeout: int) -> dict[int, Any]:
        return {rank: held for rank, held in self._held.items() if rank}

    def own_layers(self) -> RankMap:
        return RankMap(0, self._held[0])


class _FakeStore:
    def put_note(self, kind: str, name: str, body: bytes) -> Note:
        return Note(name, 7, body)


class _FakeChanger:
    def __init__(self, *_: object) -> None:
        pass

    def recover(self) -> ChangeResult:
        return ChangeResult.IN_FORCE


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(start=10_000)


@pytest.fixture
def planned(monkeypatch: pytest.MonkeyPatch, clock: ManualClock) -> list[int]:
    """Return the times of planning; the plans never find a worthwhile change."""
    times: list[int] = []

    def plan(layers: Sequence[Layer], *_: object) -> MapUpdate:
        times.append(clock.now())
        return MapUpdate(tuple(layers), 1.5, 1.5)

    monkeypatch.setattr(_owner, "plan_map_update", plan)
    monkeypatch.setattr(_owner, "MapChanger", _FakeChanger)
    return times


def make_owner(group: _FakeGroup, clock: ManualClock) -> MapOwner:
    counter = Metrics().counter("changes", "Changes.", "result")
    owner = MapOwner(
        group,  # type: ignore[arg-type]
        _FakeStore(),  # type: ignore[arg-type]
        "run-1",
        GEOMETRY,
        DemandStabilityEstimator(),
        counter,
        clock,
    )
    assert owner.tick()
    assert owner.owns_map
    return owner


def tick(owner: MapOwner, clock: ManualClock, ticks: int) -> None:
    for _ in range(ticks):
        clock.advance(100)
        assert owner.tick()


def test_planning_pauses_after_no_worthwhile_change_was_found(
    planned: list[int], clock: ManualClock
) -> None:
    group = _FakeGroup()
    owner = make_owner(group, clock)
    group.counts = EVEN
    tick(owner, clock, 45)
    assert planned == [10_100, 12_200, 14_200]


def test_a_rise_in_skew_ends_the_pause(planned: list[int], clock: ManualClock) -> None:
    group = _FakeGroup()
    owner = make_owner(group, clock)
    group.counts = EVEN
    tick(owner, clock, 5)
    assert len(planned) == 1
    group.counts = [60_000, *EVEN[1:]]
    tick(owner, clock, 3)  # one frame with mixed counts, one with new counts
    assert len(planned) == 2
    assert owner.skew > 1.4


def test_nothing_is_planned_from_too_few_counts(planned: list[int], clock: ManualClock) -> None:
    group = _FakeGroup()
    owner = make_owner(group, clock)
    group.counts = [10] * (EXPERTS * LAYERS)
    tick(owner, clock, 10)
    assert planned == []


def test_a_slow_rank_ends_the_pause(planned: list[int], clock: ManualClock) -> None:
    group = _FakeGroup()
    owner = make_owner(group, clock)
    group.counts = EVEN
    tick(owner, clock, 5)
    assert len(planned) == 1
    group.slow_ranks = {2: 12.0}
    tick(owner, clock, 2)
    assert len(planned) == 2
    assert owner.skew == pytest.approx(12.0)


def test_nothing_is_planned_in_a_frame_with_a_demand_shift(
    planned: list[int], clock: ManualClock
) -> None:
    group = _FakeGroup()
    owner = make_owner(group, clock)
    group.counts = EVEN
    tick(owner, clock, 20)
    planned.clear()
    clock.advance(100)
    group.counts = [60_000, *EVEN[1:]]
    assert owner.tick()  # the second half of a frame
    tick(owner, clock, 1)
    before = list(planned)
    tick(owner, clock, 2)
    assert before == []
    assert len(planned) == 1
