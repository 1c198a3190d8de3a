"""Tests that outdated orders are fenced even if the engine does not check them."""

import pytest

from canvasyoke.backend import RankAnswer, RankOrder, RankPort
from canvasyoke.protocol import GroupOrder
from canvasyoke.target._rank_guard import MapVersion, RankGuard


class FakeRankPort(RankPort):
    """Executes every order without checks."""

    def __init__(self) -> None:
        self.active_version = MapVersion()
        self.executed: list[tuple[str, int, int]] = []
        self.up = True

    def order(self, order: RankOrder) -> RankAnswer:
        if not self.up:
            return RankAnswer(False, "down")
        self.executed.append((order.action, order.epoch, order.number))
        if order.action == "activate":
            self.active_version = MapVersion(order.epoch, order.number)
        return RankAnswer(True, "", self.active_version.epoch, self.active_version.number)


def order(action: str, epoch: int, number: int, rank: int = 2, group: str = "ink") -> GroupOrder:
    return GroupOrder(order=1, group=group, rank=rank, epoch=epoch, number=number, action=action)


@pytest.fixture
def port() -> FakeRankPort:
    return FakeRankPort()


@pytest.fixture
def guard(port: FakeRankPort) -> RankGuard:
    return RankGuard(port, "ink", 2)


@pytest.mark.parametrize(
    "stale_order",
    [
        order("prepare", 4, 9),
        order("activate", 4, 9),
        order("release", 5, 1),
        order("counts", 4, 9),
        order("prepare", 6, 1, rank=1),
        order("prepare", 6, 1, group="other"),
    ],
)
def test_outdated_orders_never_reach_the_rank(
    port: FakeRankPort, guard: RankGuard, stale_order: GroupOrder
) -> None:
    assert guard.execute(order("prepare", 5, 2)).ok
    before = list(port.executed)
    reply = guard.execute(stale_order)
    assert not reply.ok
    assert port.executed == before


def test_outdated_owner_is_told_the_current_epoch(guard: RankGuard) -> None:
    guard.execute(order("prepare", 5, 1))
    reply = guard.execute(order("counts", 4, 7))
    assert (reply.ok, reply.epoch) == (False, 5)


def test_restarted_guard_queries_the_rank_first(port: FakeRankPort, guard: RankGuard) -> None:
    guard.execute(order("prepare", 5, 2))
    guard.execute(order("activate", 5, 2))
    restarted = RankGuard(port, "ink", 2)
    assert not restarted.execute(order("activate", 5, 1)).ok
    assert port.active_version == MapVersion(5, 2)


def test_orders_are_refused_while_the_rank_is_unreachable(
    port: FakeRankPort, guard: RankGuard
) -> None:
    port.up = False
    assert not guard.execute(order("prepare", 1, 1)).ok
    port.up = True
    assert guard.execute(order("prepare", 1, 1)).ok
