"""Fences hold whether or not the engine checks them."""

import pytest

from canvasyoke.backend import RankAnswer, RankOrder, RankPort
from canvasyoke.protocol import GroupOrder
from canvasyoke.target._rank import Fence, RankGuard


class Engine(RankPort):
    """Carries out whatever it is told; checks nothing."""

    def __init__(self) -> None:
        self.in_force = Fence()
        self.done: list[tuple[str, int, int]] = []
        self.up = True

    def order(self, order: RankOrder) -> RankAnswer:
        if not self.up:
            return RankAnswer(False, "down")
        self.done.append((order.action, order.epoch, order.number))
        if order.action == "activate":
            self.in_force = Fence(order.epoch, order.number)
        return RankAnswer(True, "", self.in_force.epoch, self.in_force.number)


def order(action: str, epoch: int, number: int, rank: int = 2, group: str = "ink") -> GroupOrder:
    return GroupOrder(order=1, group=group, rank=rank, epoch=epoch, number=number, action=action)


@pytest.fixture
def engine() -> Engine:
    return Engine()


@pytest.fixture
def guard(engine: Engine) -> RankGuard:
    return RankGuard(engine, "ink", 2)


@pytest.mark.parametrize(
    "behind",
    [
        order("prepare", 4, 9),
        order("activate", 4, 9),
        order("release", 5, 1),
        order("counts", 4, 9),
        order("prepare", 6, 1, rank=1),
        order("prepare", 6, 1, group="other"),
    ],
)
def test_orders_that_are_behind_never_reach_the_engine(
    engine: Engine, guard: RankGuard, behind: GroupOrder
) -> None:
    assert guard.carry(order("prepare", 5, 2)).ok
    before = list(engine.done)
    reply = guard.carry(behind)
    assert not reply.ok
    assert engine.done == before


def test_paused_owner_learns_that_it_is_behind(guard: RankGuard) -> None:
    guard.carry(order("prepare", 5, 1))
    reply = guard.carry(order("counts", 4, 7))
    assert (reply.ok, reply.epoch) == (False, 5)


def test_restarted_guard_learns_from_its_engine_first(engine: Engine, guard: RankGuard) -> None:
    guard.carry(order("prepare", 5, 2))
    guard.carry(order("activate", 5, 2))
    again = RankGuard(engine, "ink", 2)
    assert not again.carry(order("activate", 5, 1)).ok
    assert engine.in_force == Fence(5, 2)


def test_nothing_is_obeyed_while_the_engine_is_silent(engine: Engine, guard: RankGuard) -> None:
    engine.up = False
    assert not guard.carry(order("prepare", 1, 1)).ok
    engine.up = True
    assert guard.carry(order("prepare", 1, 1)).ok
