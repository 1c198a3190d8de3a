"""What a silent owner has left behind is ended, and nothing else is touched."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from canvasyoke.experts import MapOrder, MapOrderKind, OrderOutcome, RankReport
from canvasyoke.experts._change import MapChanger
from canvasyoke.experts._change_types import HOLD_RANK, ChangeResult
from canvasyoke.experts._fences import Fences, take_fences
from canvasyoke.experts._group import NewMap
from canvasyoke.experts._member import RankMember
from canvasyoke.experts._standby import Standby, StandbyTurn
from canvasyoke.experts.tests.group_model import ModelGroup, OwnerDied, World
from canvasyoke.observe import Metrics
from canvasyoke.platform import ObjectsFleetStore
from fakes.object_store import ObjectStore, StoreDoor

LONG = 5_000
SHORT = 100


class _OwnerRank(RankMember):
    """Rank 0 of a model, as its engine is reached."""

    def __init__(self, world: World) -> None:
        self._world = world

    def report(self) -> RankReport | None:
        return self._world.report(self._world.ranks[0])


@dataclass
class Scene:
    """A group whose owner may stand still, the store, and the standby."""

    world: World
    door: StoreDoor
    store: ObjectsFleetStore
    standby: Standby

    def owner(self) -> tuple[MapChanger, Fences]:
        fences = take_fences(self.store, "g", "owner", 1)
        assert isinstance(fences, Fences)
        pause = lambda _seconds: self.world.pass_time()  # noqa: E731
        group = ModelGroup(self.world)
        return MapChanger(group, 1, fences, self.world.clock, pause), fences

    def turn(self, silence: int) -> StandbyTurn:
        return self.standby.turn(self.world.report(self.world.ranks[1]), silence)


@pytest.fixture(scope="module")
def door() -> Iterator[StoreDoor]:
    door = StoreDoor(ObjectStore())
    yield door
    door.close()


@pytest.fixture
def scene(door: StoreDoor) -> Scene:
    world = World(4, random.Random(5), busy=0.0)
    store = ObjectsFleetStore(door.address)
    standby = Standby(
        world.report(world.ranks[1]),
        lambda: _OwnerRank(world),
        lambda: ModelGroup(world, own_rank=1),
        store,
        "standby",
        Metrics().counter("changes", "", "result"),
        world.clock,
    )
    return Scene(world, door, store, standby)


def hold(scene: Scene) -> None:
    """Leave the group held as an owner does that stops between two orders."""
    _, fences = scene.owner()
    order = MapOrder(MapOrderKind.HOLD, fences.next(), 1, step=scene.world.step + 1)
    assert scene.world.ranks[HOLD_RANK].take(order, scene.world.step) is OrderOutcome.DONE


def test_a_hold_left_behind_is_released(scene: Scene) -> None:
    hold(scene)
    scene.world.begin_step()
    assert scene.world.step == 0
    assert scene.turn(LONG) is StandbyTurn.ENDED
    scene.world.begin_step()
    assert scene.world.step == 1


@pytest.mark.parametrize("seed", range(100))
def test_whatever_point_the_owner_stops_at(scene: Scene, seed: int) -> None:
    scene.world.rng = random.Random(seed)
    changer, fences = scene.owner()
    scene.world.busy, scene.world.death = 0.3, 0.08
    with contextlib.suppress(OwnerDied):
        changer.change(NewMap(fences.next(), ((),), copy_time=0))
    scene.world.death = 0.0
    for _ in range(10):
        scene.turn(LONG)
    assert not any(rank.held_step for rank in scene.world.ranks)
    before = scene.world.step
    for _ in range(12):
        scene.world.begin_step()
    assert scene.world.step == before + 12


def test_an_owner_that_comes_back_is_turned_away_and_takes_the_group_on_anew(
    scene: Scene,
) -> None:
    old, fences = scene.owner()
    hold(scene)
    assert scene.turn(LONG) is StandbyTurn.ENDED
    assert old.change(NewMap(fences.next(), ((),), copy_time=0)) is ChangeResult.REPLACED
    new, fences = scene.owner()
    scene.world.busy = 0.5
    assert new.change(NewMap(fences.next(), ((),), copy_time=0)) is ChangeResult.IN_FORCE


def test_an_owner_heard_of_lately_is_left_alone(scene: Scene) -> None:
    hold(scene)
    assert scene.turn(SHORT) is StandbyTurn.OWNER_ALIVE
    assert scene.world.ranks[HOLD_RANK].held_step


def test_a_group_without_a_change_under_way_is_left_alone(scene: Scene) -> None:
    assert scene.turn(LONG) is StandbyTurn.NOTHING_LEFT
    assert {rank.fence for rank in scene.world.ranks} == {0}


def test_without_the_store_it_tries_again(scene: Scene) -> None:
    hold(scene)
    scene.door.faults.status = 503
    assert scene.turn(LONG) is StandbyTurn.NO_FENCE
    scene.door.faults.status = 0
    assert scene.turn(LONG) is StandbyTurn.ENDED


def test_a_complete_change_is_left_to_happen_and_looked_at_once(scene: Scene) -> None:
    changer, fences = scene.owner()
    new = NewMap(fences.next(), ((),), copy_time=0)
    assert changer.change(new) is ChangeResult.IN_FORCE
    assert scene.turn(LONG) is StandbyTurn.ENDED
    assert scene.turn(LONG) is StandbyTurn.NOTHING_LEFT
    for _ in range(10):
        scene.world.begin_step()
    assert {rank.map_version for rank in scene.world.ranks} == {new.version}


def test_a_process_that_takes_a_group_on_twice_gets_higher_fences(scene: Scene) -> None:
    first = take_fences(scene.store, "g", "same", 1)
    second = take_fences(scene.store, "g", "same", 1)
    assert isinstance(first, Fences)
    assert isinstance(second, Fences)
    assert second.base > first.base
