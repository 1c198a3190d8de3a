"""No step begins with two maps, whatever happens to orders, owners and ranks."""

from __future__ import annotations

import contextlib
import random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from canvasyoke.experts import MapOrder, MapOrderKind, OrderOutcome
from canvasyoke.experts._change import MapChanger
from canvasyoke.experts._change_types import HOLD_RANK, ChangeResult
from canvasyoke.experts._fences import Fences
from canvasyoke.experts._group import NewMap, Ordered
from canvasyoke.experts.tests.group_model import (
    MapsDiffer,
    ModelGroup,
    OwnerDied,
    Rank,
    World,
)

_OWNER_RANGE = 100_000


def owner(world: World, number: int = 1) -> tuple[MapChanger, Fences]:
    fences = Fences(number * _OWNER_RANGE)
    group = ModelGroup(world)
    changer = MapChanger(
        group, world.epoch, fences, world.clock, lambda _seconds: world.pass_time()
    )
    return changer, fences


def standby(world: World, number: int) -> MapChanger:
    """Return a changer beside rank 1 that cannot reach the owner's rank."""
    group = ModelGroup(world, own_rank=HOLD_RANK, out_of_reach=frozenset({0}), lag=200)
    fences = Fences(number * _OWNER_RANGE)
    return MapChanger(group, world.epoch, fences, world.clock, group.pause)


def new_map(fences: Fences) -> NewMap:
    return NewMap(fences.next(), ((),), copy_time=0)


def test_a_change_is_in_force_on_all_ranks_at_one_step() -> None:
    world = World(8, random.Random(1))
    changer, fences = owner(world)
    new = new_map(fences)
    assert changer.change(new) is ChangeResult.IN_FORCE
    for _ in range(10):
        world.begin_step()
    assert {rank.map_version for rank in world.ranks} == {new.version}


def test_an_idle_group_takes_the_map_with_its_next_step() -> None:
    world = World(4, random.Random(1), busy=0.0)
    changer, fences = owner(world)
    new = new_map(fences)
    assert changer.change(new) is ChangeResult.IN_FORCE
    assert world.ranks[0].map_version == 0
    for _ in range(6):
        world.begin_step()
    assert {rank.map_version for rank in world.ranks} == {new.version}


@pytest.mark.parametrize("seed", range(200))
def test_lost_and_late_orders_never_leave_a_hold_behind(seed: int) -> None:
    world = World(4, random.Random(seed), silent=0.1, tardy=0.2, lost=0.1, busy=0.3)
    changer, fences = owner(world)
    for _ in range(5):
        changer.change(new_map(fences))
    while world.late:
        world.arrival = 1.0
        world.pass_time()
    # A hold that came late after its owner gave up is ended like one left behind.
    changer.recover()
    assert not any(rank.held_step for rank in world.ranks)
    before = world.step
    world.begin_step()
    assert world.step == before + 1


@pytest.mark.parametrize("seed", range(300))
def test_an_owner_that_dies_is_followed_by_one_that_settles(seed: int) -> None:
    world = World(4, random.Random(seed), silent=0.1, tardy=0.1, lost=0.1, death=0.05)
    for number in range(1, 6):
        changer, fences = owner(world, number)
        try:
            assert changer.recover() is not ChangeResult.REPLACED
            for _ in range(5):
                changer.change(new_map(fences))
        except OwnerDied:
            continue
    world.death = world.silent = world.tardy = world.lost = 0.0
    changer, _ = owner(world, 9)
    while changer.recover() is ChangeResult.NOT_HELD:
        world.pass_time()
    assert not any(rank.held_step for rank in world.ranks)


@pytest.mark.parametrize("seed", range(300))
def test_a_silent_owner_is_no_need_for_a_long_hold(seed: int) -> None:
    """Unless all other ranks are armed, the group goes on without the owner's rank."""
    world = World(4, random.Random(seed), death=0.08, busy=0.3, arrival=0.0)
    changer, fences = owner(world)
    with contextlib.suppress(OwnerDied):
        changer.change(new_map(fences))
    world.death = 0.0
    others = world.ranks[1:]
    is_held = any(rank.held_step for rank in others)
    may_be_armed = all(rank.armed is not None for rank in others)
    result = standby(world, 2).recover_without_owner()
    if is_held and may_be_armed:
        assert result is ChangeResult.NOT_HELD
    if is_held and not may_be_armed:
        assert result is ChangeResult.ABANDONED
        assert not any(rank.held_step for rank in world.ranks)
    world.arrival = 0.5
    while world.late:
        world.pass_time()  # the owner wakes and sends the rest
    for _ in range(8):
        world.begin_step()


class _OwnArmLate(ModelGroup):
    """The owner's own order to arm comes late, and it dies at one of its disarms."""

    def __init__(self, world: World, disarms: int) -> None:
        super().__init__(world)
        self._disarms = disarms

    def _give_one(self, rank: Rank, order: MapOrder) -> Ordered:
        if rank.number == 0 and order.kind is MapOrderKind.ARM:
            self.world.late.append((0, order))
            return Ordered(OrderOutcome.UNKNOWN)
        if order.kind is MapOrderKind.DISARM:
            self._disarms -= 1
            if self._disarms < 0:
                raise OwnerDied
        return super()._give_one(rank, order)


@pytest.mark.parametrize("disarms", range(5))
def test_an_owner_that_dies_while_it_disarms_leaves_no_two_maps(disarms: int) -> None:
    world = World(4, random.Random(1), busy=0.0, arrival=0.0)
    fences = Fences(_OWNER_RANGE)
    group = _OwnArmLate(world, disarms)
    with contextlib.suppress(OwnerDied):
        MapChanger(group, 1, fences, world.clock, group.pause).change(new_map(fences))
    standby(world, 2).recover_without_owner()
    world.arrival = 1.0
    while world.late:
        world.pass_time()
    for _ in range(8):
        world.begin_step()


def test_an_owner_that_was_replaced_stops() -> None:
    world = World(4, random.Random(1))
    old, old_fences = owner(world, 1)
    assert old.change(new_map(old_fences)) is ChangeResult.IN_FORCE
    for _ in range(10):
        world.begin_step()
    new, new_fences = owner(world, 2)
    assert new.change(new_map(new_fences)) is ChangeResult.IN_FORCE
    assert old.change(new_map(old_fences)) is ChangeResult.REPLACED


def test_a_group_formed_anew_is_noticed() -> None:
    world = World(4, random.Random(1))
    changer, fences = owner(world)
    world.form_anew()
    assert changer.change(new_map(fences)) is ChangeResult.REFORMED


def test_the_model_sees_two_maps() -> None:
    """What the tests above rely on: arming without a hold is caught."""
    world = World(2, random.Random(1))
    for rank in world.ranks:
        rank.take(MapOrder(MapOrderKind.PREPARE, 1, 1, version=5), world.step)
    world.ranks[0].take(MapOrder(MapOrderKind.ARM, 2, 1, version=5, step=1), world.step)
    with pytest.raises(MapsDiffer):
        world.begin_step()


class MapChanges(RuleBasedStateMachine):
    """Owners come, die and are paused; the group breaks; orders do as they please."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(3, random.Random(0), silent=0.1, tardy=0.2, lost=0.1, arrival=0.1)
        self.number = 0
        self.take_over()

    def take_over(self) -> None:
        self.number += 1
        self.changer, self.fences = owner(self.world, self.number)
        self.settle()

    def settle(self) -> None:
        """Recover until it is settled, as the owner's loop does."""
        try:
            result = self.changer.recover()
            while result is ChangeResult.NOT_HELD:
                self.world.pass_time()
                result = self.changer.recover()
        except OwnerDied:
            self.take_over()
            return
        if result in (ChangeResult.REFORMED, ChangeResult.REPLACED):
            self.take_over()

    @rule(seed=st.integers(0, 1 << 30), death=st.sampled_from([0.0, 0.03, 0.1]))
    def change(self, seed: int, death: float) -> None:
        self.world.rng = random.Random(seed)
        self.world.death = death
        try:
            result = self.changer.change(new_map(self.fences))
        except OwnerDied:
            result = ChangeResult.REPLACED
        self.world.death = 0.0
        if result in (ChangeResult.REFORMED, ChangeResult.REPLACED):
            self.take_over()

    @rule(seed=st.integers(0, 1 << 30))
    def change_while_the_group_breaks(self, seed: int) -> None:
        self.world.rng = random.Random(seed)
        self.world.reform = 0.03
        try:
            result = self.changer.change(new_map(self.fences))
        finally:
            self.world.reform = 0.0
        if result in (ChangeResult.REFORMED, ChangeResult.REPLACED):
            self.take_over()

    @rule(seed=st.integers(0, 1 << 30), steps=st.integers(0, 10))
    def owner_falls_silent_with_its_rank(self, seed: int, steps: int) -> None:
        """Another ends what it left; then it wakes and sends what it had not sent."""
        self.world.rng = random.Random(seed)
        self.world.death = 0.1
        with contextlib.suppress(OwnerDied):
            self.changer.change(new_map(self.fences))
        self.world.death = 0.0
        self.number += 1
        standby(self.world, self.number).recover_without_owner()
        for _ in range(steps):
            self.world.pass_time()
        self.take_over()

    @rule(busy=st.sampled_from([0.0, 0.3, 0.9]))
    def load_changes(self, busy: float) -> None:
        self.world.busy = busy

    @rule()
    def owner_is_replaced(self) -> None:
        self.take_over()

    @rule(count=st.integers(1, 20))
    def time_passes(self, count: int) -> None:
        for _ in range(count):
            self.world.pass_time()

    @invariant()
    def the_group_can_go_on(self) -> None:
        if any(rank.held_step for rank in self.world.ranks):
            self.settle()
        assert not any(rank.held_step for rank in self.world.ranks)


TestMapChanges = MapChanges.TestCase
TestMapChanges.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
