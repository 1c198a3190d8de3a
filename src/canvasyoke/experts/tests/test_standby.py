"""The standby recovers changes of an unresponsive owner and does nothing else."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from canvasyoke.experts import MapOrder, MapOrderKind, OrderOutcome, RankReport
from canvasyoke.experts._change import MapChanger
from canvasyoke.experts._change_types import HOLD_RANK, ChangeResult
from canvasyoke.experts._fences import FenceSequence, allocate_fences
from canvasyoke.experts._group import NewMap
from canvasyoke.experts._rank_client import RankClient
from canvasyoke.experts._standby import Standby, StandbyOutcome
from canvasyoke.experts.tests.group_model import GroupModel, ModelRankGroup, OwnerDiedError
from canvasyoke.observe import Metrics
from canvasyoke.platform import ObjectsFleetStore
from fakes.object_store import ObjectStore, StoreEndpoint

LONG = 5_000
SHORT = 100


class _OwnerClient(RankClient):
    """Client of rank 0 of a model."""

    def __init__(self, model: GroupModel) -> None:
        self._world = model

    def report(self) -> RankReport | None:
        return self._world.report(self._world.ranks[0])


@dataclass
class Scenario:
    """A group, the store and the standby."""

    model: GroupModel
    door: StoreEndpoint
    store: ObjectsFleetStore
    standby: Standby

    def owner(self) -> tuple[MapChanger, FenceSequence]:
        fences = allocate_fences(self.store, "g", "owner", 1)
        assert isinstance(fences, FenceSequence)
        pause = lambda _seconds: self.model.advance()  # noqa: E731
        group = ModelRankGroup(self.model)
        return MapChanger(group, 1, fences, self.model.clock, pause), fences

    def check(self, silence: int) -> StandbyOutcome:
        return self.standby.check(self.model.report(self.model.ranks[1]), silence)


@pytest.fixture(scope="module")
def door() -> Iterator[StoreEndpoint]:
    door = StoreEndpoint(ObjectStore())
    yield door
    door.close()


@pytest.fixture
def scenario(door: StoreEndpoint) -> Scenario:
    model = GroupModel(4, random.Random(5), step_rate=0.0)
    store = ObjectsFleetStore(door.address)
    standby = Standby(
        model.report(model.ranks[1]),
        lambda: _OwnerClient(model),
        lambda: ModelRankGroup(model, own_rank=1),
        store,
        "standby",
        Metrics().counter("changes", "", "result"),
        model.clock,
    )
    return Scenario(model, door, store, standby)


def hold(scenario: Scenario) -> None:
    """Place a hold as an owner does that dies before the next order."""
    _, fences = scenario.owner()
    order = MapOrder(MapOrderKind.HOLD, fences.next(), 1, step=scenario.model.step + 1)
    assert scenario.model.ranks[HOLD_RANK].apply(order, scenario.model.step) is OrderOutcome.DONE


def test_a_hold_of_an_unresponsive_owner_is_released(scenario: Scenario) -> None:
    hold(scenario)
    scenario.model.begin_step()
    assert scenario.model.step == 0
    assert scenario.check(LONG) is StandbyOutcome.ENDED
    scenario.model.begin_step()
    assert scenario.model.step == 1


@pytest.mark.parametrize("seed", range(100))
def test_recovery_from_an_owner_that_stops_at_any_order(scenario: Scenario, seed: int) -> None:
    scenario.model.rng = random.Random(seed)
    changer, fences = scenario.owner()
    scenario.model.step_rate, scenario.model.death_rate = 0.3, 0.08
    with contextlib.suppress(OwnerDiedError):
        changer.change(NewMap(fences.next(), ((),), copy_time=0))
    scenario.model.death_rate = 0.0
    for _ in range(10):
        scenario.check(LONG)
    assert not any(rank.held_step for rank in scenario.model.ranks)
    before = scenario.model.step
    for _ in range(12):
        scenario.model.begin_step()
    assert scenario.model.step == before + 12


def test_an_owner_that_resumes_is_fenced_and_takes_ownership_again(
    scenario: Scenario,
) -> None:
    old, fences = scenario.owner()
    hold(scenario)
    assert scenario.check(LONG) is StandbyOutcome.ENDED
    assert old.change(NewMap(fences.next(), ((),), copy_time=0)) is ChangeResult.REPLACED
    new, fences = scenario.owner()
    scenario.model.step_rate = 0.5
    assert new.change(NewMap(fences.next(), ((),), copy_time=0)) is ChangeResult.IN_FORCE


def test_a_responsive_owner_is_left_alone(scenario: Scenario) -> None:
    hold(scenario)
    assert scenario.check(SHORT) is StandbyOutcome.OWNER_ALIVE
    assert scenario.model.ranks[HOLD_RANK].held_step


def test_a_group_without_a_change_in_progress_is_left_alone(scenario: Scenario) -> None:
    assert scenario.check(LONG) is StandbyOutcome.NOTHING_LEFT
    assert {rank.fence for rank in scenario.model.ranks} == {0}


def test_recovery_is_retried_while_the_store_is_unavailable(scenario: Scenario) -> None:
    hold(scenario)
    scenario.door.faults.status = 503
    assert scenario.check(LONG) is StandbyOutcome.NO_FENCE
    scenario.door.faults.status = 0
    assert scenario.check(LONG) is StandbyOutcome.ENDED


def test_a_complete_change_is_kept_and_recovered_only_once(scenario: Scenario) -> None:
    changer, fences = scenario.owner()
    new = NewMap(fences.next(), ((),), copy_time=0)
    assert changer.change(new) is ChangeResult.IN_FORCE
    assert scenario.check(LONG) is StandbyOutcome.ENDED
    assert scenario.check(LONG) is StandbyOutcome.NOTHING_LEFT
    for _ in range(10):
        scenario.model.begin_step()
    assert {rank.map_version for rank in scenario.model.ranks} == {new.version}


def test_taking_ownership_twice_gives_higher_fences(scenario: Scenario) -> None:
    first = allocate_fences(scenario.store, "g", "same", 1)
    second = allocate_fences(scenario.store, "g", "same", 1)
    assert isinstance(first, FenceSequence)
    assert isinstance(second, FenceSequence)
    assert second.base > first.base
