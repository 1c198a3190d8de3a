"""A map that leaves a rank's experts where they are is complete."""

from __future__ import annotations

import pytest

from canvasyoke.experts import (
    MapOrder,
    MapOrderKind,
    OrderOutcome,
    RankMap,
    RankPort,
    RankReport,
    RankUnreachable,
)
from canvasyoke.experts._rank_client import RankClient


class _Port(RankPort):
    """A rank that records its orders."""

    def __init__(self, rank: int, size: int, layers: tuple[tuple[int, ...], ...]) -> None:
        self._report = RankReport("g", rank, size, 1, True, 0, 0, 0, None, 0)
        self.layers: tuple[tuple[int, ...], ...] | None = layers
        self.orders: list[MapOrder] = []

    def report(self) -> RankReport:
        return self._report

    def counts(self) -> tuple[int, ...]:
        return (0,) * 16

    def current_map(self) -> RankMap | RankUnreachable:
        return RankUnreachable("down") if self.layers is None else RankMap(0, self.layers)

    def order(self, order: MapOrder) -> OrderOutcome:
        self.orders.append(order)
        return OrderOutcome.DONE


_KEEP = MapOrder(MapOrderKind.PREPARE, 5, 1, 7, experts=8)


@pytest.mark.parametrize("rank", range(4))
@pytest.mark.parametrize("layers", [((0, 1, 2), (5, 6)), ((3,), (0, 1, 2, 7))])
def test_a_rank_keeps_its_experts(rank: int, layers: tuple[tuple[int, ...], ...]) -> None:
    port = _Port(rank, 4, layers)
    assert RankClient(port).order(_KEEP).outcome is OrderOutcome.DONE
    sent = port.orders[0].layers_by_rank
    assert sent[rank] == layers
    for layer in range(2):
        placed = sorted(expert for held in sent for expert in held[layer])
        assert placed == list(range(8))
        assert max(len(held[layer]) for held in sent) <= 4


def test_nothing_is_ordered_while_the_experts_of_a_rank_are_unknown() -> None:
    port = _Port(0, 4, ())
    port.layers = None
    assert RankClient(port).order(_KEEP).outcome is OrderOutcome.UNKNOWN
    assert not port.orders


def test_the_number_of_experts_is_known_from_the_counts() -> None:
    assert RankClient(_Port(0, 4, ((0, 1), (2, 3)))).expert_count() == 8
