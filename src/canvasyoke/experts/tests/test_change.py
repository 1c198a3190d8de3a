"""No step begins with two maps, whichever orders are lost or delayed and whichever owners die."""

from __future__ import annotations

import contextlib
import random

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from canvasyoke.experts import MapOrder, MapOrderKind, OrderOutcome
from canvasyoke.experts._change import MapChanger
from canvasyoke.experts._change_types import HOLD_RANK, ChangeResult
from canvasyoke.experts._fences import FenceSequence
from canvasyoke.experts._group import NewMap, OrderResult
from canvasyoke.experts.tests.group_model import (
    GroupModel,
    MapMismatchError,
    ModelRankGroup,
    OwnerDiedError,
    Rank,
)

_OWNER_RANGE = 100_000


def owner(model: GroupModel, number: int = 1) -> tuple[MapChanger, FenceSequence]:
    fences = FenceSequence(number * _OWNER_RANGE)
    group = ModelRankGroup(model)
    changer = MapChanger(group, model.epoch, fences, model.clock, lambda _seconds: model.advance())
    return changer, fences


def standby(model: GroupModel, number: int) -> MapChanger:
    """Return a changer beside rank 1 that cannot reach the owner's rank."""
    group = ModelRankGroup(model, own_rank=HOLD_RANK, unreachable=frozenset({0}), lag=200)
    fences = FenceSequence(number * _OWNER_RANGE)
    return MapChanger(group, model.epoch, fences, model.clock, group.pause)


def new_map(fences: FenceSequence) -> NewMap:
    return NewMap(fences.next(), ((),), copy_time=0)


def test_a_change_is_in_force_on_all_ranks_at_one_step() -> None:
    model = GroupModel(8, random.Random(1))
    changer, fences = owner(model)
    new = new_map(fences)
    assert changer.change(new) is ChangeResult.IN_FORCE
    for _ in range(10):
        model.begin_step()
    assert {rank.map_version for rank in model.ranks} == {new.version}


def test_an_idle_group_activates_the_map_at_a_later_step() -> None:
    model = GroupModel(4, random.Random(1), step_rate=0.0)
    changer, fences = owner(model)
    new = new_map(fences)
    assert changer.change(new) is ChangeResult.IN_FORCE
    assert model.ranks[0].map_version == 0
    for _ in range(6):
        model.begin_step()
    assert {rank.map_version for rank in model.ranks} == {new.version}


@pytest.mark.parametrize("requires_fencing", [True, False])
@pytest.mark.parametrize("seed", range(200))
def test_lost_and_delayed_orders_leave_no_hold(seed: int, requires_fencing: bool) -> None:
    model = GroupModel(
        4,
        random.Random(seed),
        unanswered_rate=0.1,
        delay_rate=0.2,
        loss_rate=0.1,
        step_rate=0.3,
        requires_fencing=requires_fencing,
    )
    changer, fences = owner(model)
    for _ in range(5):
        changer.change(new_map(fences))
    while model.delayed:
        model.arrival_rate = 1.0
        model.advance()
    # Also recovers from a hold that arrived after its owner had given up.
    changer.recover()
    assert not any(rank.held_step for rank in model.ranks)
    before = model.step
    model.begin_step()
    assert model.step == before + 1


@pytest.mark.parametrize("requires_fencing", [True, False])
@pytest.mark.parametrize("seed", range(300))
def test_the_next_owner_recovers_after_an_owner_died(seed: int, requires_fencing: bool) -> None:
    model = GroupModel(
        4,
        random.Random(seed),
        unanswered_rate=0.1,
        delay_rate=0.1,
        loss_rate=0.1,
        death_rate=0.05,
        requires_fencing=requires_fencing,
    )
    for number in range(1, 6):
        changer, fences = owner(model, number)
        try:
            assert changer.recover() is not ChangeResult.REPLACED
            for _ in range(5):
                changer.change(new_map(fences))
        except OwnerDiedError:
            continue
    model.death_rate = model.unanswered_rate = model.delay_rate = model.loss_rate = 0.0
    changer, _ = owner(model, 9)
    while changer.recover() is ChangeResult.NOT_HELD:
        model.advance()
    assert not any(rank.held_step for rank in model.ranks)


@pytest.mark.parametrize("requires_fencing", [True, False])
@pytest.mark.parametrize("seed", range(300))
def test_the_standby_recovers_without_the_owners_rank(seed: int, requires_fencing: bool) -> None:
    """The group can continue without the owner's rank unless all other ranks are armed."""
    model = GroupModel(
        4,
        random.Random(seed),
        death_rate=0.08,
        step_rate=0.3,
        arrival_rate=0.0,
        requires_fencing=requires_fencing,
    )
    changer, fences = owner(model)
    with contextlib.suppress(OwnerDiedError):
        changer.change(new_map(fences))
    model.death_rate = 0.0
    others = model.ranks[1:]
    is_held = any(rank.held_step for rank in others)
    are_all_armed = all(rank.armed is not None for rank in others)
    result = standby(model, 2).recover_without_owner()
    if is_held and are_all_armed:
        assert result is ChangeResult.NOT_HELD
    if is_held and not are_all_armed:
        assert result is ChangeResult.ABANDONED
        assert not any(rank.held_step for rank in model.ranks)
    model.arrival_rate = 0.5
    while model.delayed:
        model.advance()  # the owner resumes and sends the rest
    for _ in range(8):
        model.begin_step()


class _DelayedOwnerArm(ModelRankGroup):
    """The order to arm the owner's rank is delayed, and the owner dies while disarming."""

    def __init__(self, model: GroupModel, disarms: int) -> None:
        super().__init__(model)
        self._disarms = disarms

    def _send_one(self, rank: Rank, order: MapOrder) -> OrderResult:
        if rank.number == 0 and order.kind is MapOrderKind.ARM:
            self.model.delayed.append((0, order))
            return OrderResult(OrderOutcome.UNKNOWN)
        if order.kind is MapOrderKind.DISARM:
            self._disarms -= 1
            if self._disarms < 0:
                raise OwnerDiedError
        return super()._send_one(rank, order)


@pytest.mark.parametrize("requires_fencing", [True, False])
@pytest.mark.parametrize("disarms", range(5))
def test_an_owner_that_dies_while_disarming_leaves_one_map(
    disarms: int, requires_fencing: bool
) -> None:
    model = GroupModel(
        4,
        random.Random(1),
        step_rate=0.0,
        arrival_rate=0.0,
        requires_fencing=requires_fencing,
    )
    fences = FenceSequence(_OWNER_RANGE)
    group = _DelayedOwnerArm(model, disarms)
    with contextlib.suppress(OwnerDiedError):
        MapChanger(group, 1, fences, model.clock, group.pause).change(new_map(fences))
    standby(model, 2).recover_without_owner()
    model.arrival_rate = 1.0
    while model.delayed:
        model.advance()
    for _ in range(8):
        model.begin_step()


@pytest.mark.parametrize("requires_fencing", [True, False])
def test_an_owner_that_was_replaced_stops(requires_fencing: bool) -> None:
    model = GroupModel(4, random.Random(1), requires_fencing=requires_fencing)
    old, old_fences = owner(model, 1)
    assert old.change(new_map(old_fences)) is ChangeResult.IN_FORCE
    for _ in range(10):
        model.begin_step()
    new, new_fences = owner(model, 2)
    assert new.change(new_map(new_fences)) is ChangeResult.IN_FORCE
    assert old.change(new_map(old_fences)) is ChangeResult.REPLACED


def test_a_reformed_group_is_detected() -> None:
    model = GroupModel(4, random.Random(1))
    changer, fences = owner(model)
    model.reform()
    assert changer.change(new_map(fences)) is ChangeResult.REFORMED


def test_the_model_detects_two_maps() -> None:
    """Verifies that the model detects ranks armed without a hold."""
    model = GroupModel(2, random.Random(1))
    for rank in model.ranks:
        rank.apply(MapOrder(MapOrderKind.PREPARE, 1, 1, version=5), model.step)
    model.ranks[0].apply(MapOrder(MapOrderKind.ARM, 2, 1, version=5, step=1), model.step)
    with pytest.raises(MapMismatchError):
        model.begin_step()


class MapChanges(RuleBasedStateMachine):
    """Random sequences of changes, owner failures, re-formed groups and faulty orders."""

    requires_fencing = True

    def __init__(self) -> None:
        super().__init__()
        self.model = GroupModel(
            3,
            random.Random(0),
            unanswered_rate=0.1,
            delay_rate=0.2,
            loss_rate=0.1,
            arrival_rate=0.1,
            requires_fencing=self.requires_fencing,
        )
        self.number = 0
        self.replace_owner()

    def replace_owner(self) -> None:
        self.number += 1
        self.changer, self.fences = owner(self.model, self.number)
        self.recover()

    def recover(self) -> None:
        """Recover until the result is final, as the owner's loop does."""
        try:
            result = self.changer.recover()
            while result is ChangeResult.NOT_HELD:
                self.model.advance()
                result = self.changer.recover()
        except OwnerDiedError:
            self.replace_owner()
            return
        if result in (ChangeResult.REFORMED, ChangeResult.REPLACED):
            self.replace_owner()

    @rule(seed=st.integers(0, 1 << 30), death_rate=st.sampled_from([0.0, 0.03, 0.1]))
    def change(self, seed: int, death_rate: float) -> None:
        self.model.rng = random.Random(seed)
        self.model.death_rate = death_rate
        try:
            result = self.changer.change(new_map(self.fences))
        except OwnerDiedError:
            result = ChangeResult.REPLACED
        self.model.death_rate = 0.0
        if result in (ChangeResult.REFORMED, ChangeResult.REPLACED):
            self.replace_owner()

    @rule(seed=st.integers(0, 1 << 30))
    def change_while_the_group_breaks(self, seed: int) -> None:
        self.model.rng = random.Random(seed)
        self.model.reform_rate = 0.03
        try:
            result = self.changer.change(new_map(self.fences))
        finally:
            self.model.reform_rate = 0.0
        if result in (ChangeResult.REFORMED, ChangeResult.REPLACED):
            self.replace_owner()

    @rule(seed=st.integers(0, 1 << 30), steps=st.integers(0, 10))
    def owner_falls_silent_with_its_rank(self, seed: int, steps: int) -> None:
        """The standby recovers; then the owner resumes and sends its remaining orders."""
        self.model.rng = random.Random(seed)
        self.model.death_rate = 0.1
        with contextlib.suppress(OwnerDiedError):
            self.changer.change(new_map(self.fences))
        self.model.death_rate = 0.0
        self.number += 1
        standby(self.model, self.number).recover_without_owner()
        for _ in range(steps):
            self.model.advance()
        self.replace_owner()

    @rule(step_rate=st.sampled_from([0.0, 0.3, 0.9]))
    def load_changes(self, step_rate: float) -> None:
        self.model.step_rate = step_rate

    @rule()
    def owner_is_replaced(self) -> None:
        self.replace_owner()

    @rule(count=st.integers(1, 20))
    def time_passes(self, count: int) -> None:
        for _ in range(count):
            self.model.advance()

    @invariant()
    def the_group_can_go_on(self) -> None:
        if any(rank.held_step for rank in self.model.ranks):
            self.recover()
        assert not any(rank.held_step for rank in self.model.ranks)


class MapChangesWithoutFencing(MapChanges):
    """The same with engines that do not check fences."""

    requires_fencing = False


TestMapChanges = MapChanges.TestCase
TestMapChangesWithoutFencing = MapChangesWithoutFencing.TestCase
TestMapChanges.settings = TestMapChangesWithoutFencing.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def _arm_all_at_once(changer: MapChanger, version: int, step: int) -> bool:
    order = MapOrder(MapOrderKind.ARM, changer._fences.next(), changer._epoch, version, step)
    return changer._arm_ranks(set(range(changer._group.size)), order)


def test_steps_begin_with_two_maps_if_the_owners_rank_is_not_armed_last(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Shows that the state machine sees what arming it last prevents."""
    monkeypatch.setattr(MapChanger, "_arm", _arm_all_at_once)
    with pytest.raises(MapMismatchError):
        run_state_machine_as_test(
            MapChangesWithoutFencing,
            settings=settings(TestMapChanges.settings, max_examples=3_000, phases=[Phase.generate]),
        )
