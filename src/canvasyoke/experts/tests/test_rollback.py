"""Orders that arrive after a rollback or a release change nothing."""

from __future__ import annotations

import random
from collections.abc import Mapping

import pytest

from canvasyoke.experts import MapOrder, MapOrderKind, OrderOutcome
from canvasyoke.experts._change import MapChanger
from canvasyoke.experts._change_types import HOLD_RANK, ChangeResult, OwnerReplacedError
from canvasyoke.experts._fences import FenceSequence
from canvasyoke.experts._group import NewMap, OrderResult
from canvasyoke.experts._hold_ledger import HoldLedger
from canvasyoke.experts._rollback import _Rollback
from canvasyoke.experts.tests.group_model import GroupModel, ModelRankGroup, OwnerDiedError, Rank

_STANDBY_BASE = 200_000


def idle_group(size: int = 6) -> GroupModel:
    model = GroupModel(size, random.Random(1), step_rate=0.0, requires_fencing=False)
    model.arrival_rate = 0.0
    return model


def changer(group: ModelRankGroup, base: int) -> MapChanger:
    clock = group.model.clock
    return MapChanger(group, 1, FenceSequence(base), clock, group.pause, HoldLedger())


def begin_steps(model: GroupModel) -> None:
    """Begin more steps than any change is ahead; raises if one begins with two maps."""
    before = model.step
    for _ in range(30):
        model.begin_step()
    assert model.step == before + 30


class _StopsAtOrder(ModelRankGroup):
    """The owner's process stops before its n-th order of a kind, which is then sent late."""

    def __init__(self, model: GroupModel, kind: MapOrderKind, number: int) -> None:
        super().__init__(model)
        self._kind = kind
        self._left = number
        self._has_stopped = False

    def send_orders(
        self, orders: Mapping[int, MapOrder], timeout: int
    ) -> Mapping[int, OrderResult]:
        sent = list(orders.items())
        results = {}
        for index, (rank, order) in enumerate(sent):
            if order.kind is self._kind and not self._has_stopped:
                self._left -= 1
            if self._left < 0 and not self._has_stopped:
                self._has_stopped = True
                self.model.delayed.extend(sent[index:])
                raise OwnerDiedError
            results[rank] = self._send_one(self.model.ranks[rank], order)
        return results


@pytest.mark.parametrize(
    ("kind", "number"),
    [(MapOrderKind.ARM, n) for n in range(6)] + [(MapOrderKind.RELEASE, 0)],
)
def test_an_owner_that_resumes_cannot_go_on_with_a_change_rolled_back(
    kind: MapOrderKind, number: int
) -> None:
    model = idle_group()
    owner = changer(_StopsAtOrder(model, kind, number), 100_000)
    with pytest.raises(OwnerDiedError):
        owner.change(NewMap(owner._fences.next(), ((),), copy_time=0))
    standby = ModelRankGroup(model, own_rank=HOLD_RANK)
    assert changer(standby, _STANDBY_BASE).recover() is ChangeResult.ABANDONED
    model.arrival_rate = 1.0
    while model.delayed:
        model.advance()
    with pytest.raises(OwnerReplacedError):
        owner._arm(100_001, 2)
    begin_steps(model)
    assert {rank.map_version for rank in model.ranks} == {0}


@pytest.mark.parametrize(
    ("ranks", "superseded", "can_disarm"),
    [
        (range(4), set(), {0}),
        (range(4), {1, 2}, {0}),
        (range(4), {0}, {0, 1, 2, 3}),
        (range(1, 4), set(), set()),
        (range(1, 4), {2}, {1, 2, 3}),
    ],
)
def test_no_rank_is_disarmed_while_the_owners_rank_may_be_armed(
    ranks: range, superseded: set[int], can_disarm: set[int]
) -> None:
    rollback = _Rollback(set(ranks), 5, {}, superseded)
    assert {rank for rank in ranks if rollback.can_disarm(rank)} == can_disarm


class _LateReleases(ModelRankGroup):
    """Rank 3 refuses some orders to arm it; each release is executed again at each order to arm."""

    def __init__(self, model: GroupModel, refusals: int) -> None:
        super().__init__(model)
        self._refusals = refusals
        self._releases: list[tuple[Rank, MapOrder]] = []

    def _send_one(self, rank: Rank, order: MapOrder) -> OrderResult:
        if order.kind is MapOrderKind.ARM and rank.number == 3 and self._refusals:
            self._refusals -= 1
            return OrderResult(OrderOutcome.CONFLICT, self._report(rank))
        result = super()._send_one(rank, order)
        if order.kind is MapOrderKind.RELEASE:
            self._releases.append((rank, order))
        if order.kind is MapOrderKind.ARM:
            for holder, release in self._releases:
                holder.apply(release, self.model.step)
            if not any(each.held_step for each in self.model.ranks):
                begin_steps(self.model)
        return result


def test_a_late_release_does_not_end_a_later_hold() -> None:
    model = idle_group()
    owner = changer(_LateReleases(model, refusals=5), 100_000)
    for _ in range(5):
        abandoned = NewMap(owner._fences.next(), ((),), copy_time=0)
        assert owner.change(abandoned) is ChangeResult.ABANDONED
    new = NewMap(owner._fences.next(), ((),), copy_time=0)
    assert owner.change(new) is ChangeResult.IN_FORCE
    begin_steps(model)
    assert {rank.map_version for rank in model.ranks} == {new.version}


def test_a_release_that_meets_another_hold_does_not_go_on_for_good() -> None:
    model = idle_group()
    for rank, step in ((1, 8), (2, 7)):
        order = MapOrder(MapOrderKind.HOLD, 5, 1, step=step)
        assert model.ranks[rank].apply(order, 0) is OrderOutcome.DONE
    owner = changer(ModelRankGroup(model), 100_000)
    owner._release({1: 5})
    assert owner.recover() is ChangeResult.ABANDONED
    begin_steps(model)


@pytest.mark.parametrize("size", [2, 3, 4])
def test_groups_of_a_few_ranks_are_rolled_back(size: int) -> None:
    model = idle_group(size)
    owner = changer(_StopsAtOrder(model, MapOrderKind.ARM, 1), 100_000)
    with pytest.raises(OwnerDiedError):
        owner.change(NewMap(owner._fences.next(), ((),), copy_time=0))
    assert changer(ModelRankGroup(model), _STANDBY_BASE).recover() is ChangeResult.ABANDONED
    begin_steps(model)
