"""How soon estimates of demand follow a move, and that nothing else looks like one."""

from __future__ import annotations

import random

import pytest

from canvasyoke.coordination import DEMAND_ESTIMATES, DemandEstimate, share_distance

FRAME = 200
EXPERTS, LAYERS = 64, 4
#: Ways to estimate, with the frames after which a move is followed.
WAYS = [("fading", 5), ("moves", 2)]


def popularity(seed: int) -> list[float]:
    """Return the shares of experts by a power law, layer by layer, in an order of their own."""
    rng = random.Random(seed)
    weights = [1 / (rank + 1) ** 0.67 for rank in range(EXPERTS)]
    return [share for _ in range(LAYERS) for share in rng.sample(weights, EXPERTS)]


class Counting:
    """Requests of a group as its ranks count them."""

    def __init__(self, estimate: DemandEstimate, scale: int, seed: int) -> None:
        self._estimate = estimate
        self._scale = scale
        self._rng = random.Random(seed)
        self._wall = 0

    def frame(self, shares: list[float], before: list[float] | None = None) -> None:
        """Count for one frame; the first half of it by ``before``, if any."""
        for half in (before or shares, shares):
            counts = [self._count(share) for share in half]
            self._wall += FRAME // 2
            self._estimate.took(self._wall, counts)

    def _count(self, share: float) -> int:
        mean = share * self._scale
        return max(0, round(self._rng.gauss(mean, mean**0.5)))


def make(way: str, scale: int = 20_000, seed: int = 1) -> tuple[DemandEstimate, Counting]:
    estimate = DEMAND_ESTIMATES.get(way)(FRAME)
    return estimate, Counting(estimate, scale, seed)


@pytest.mark.parametrize(("way", "frames"), WAYS)
@pytest.mark.parametrize("seed", range(5))
def test_a_move_is_followed(way: str, frames: int, seed: int) -> None:
    """Half of a move's frame is of before it. Fading takes four frames of after it."""
    estimate, counting = make(way, seed=seed)
    old, new = popularity(seed), popularity(100 + seed)
    for _ in range(6):
        counting.frame(old)
    counting.frame(new, before=old)
    for _ in range(frames - 1):
        assert share_distance(estimate.weights, new) > 0.02
        counting.frame(new)
    assert share_distance(estimate.weights, new) < 0.02


@pytest.mark.parametrize("seed", range(5))
def test_the_frame_of_a_move_is_told_from_the_next_one(seed: int) -> None:
    estimate, counting = make("moves", seed=seed)
    old, new = popularity(seed), popularity(100 + seed)
    for _ in range(6):
        counting.frame(old)
    counting.frame(new, before=old)
    assert estimate.is_moving
    counting.frame(new)
    assert not estimate.is_moving
    assert estimate.moves == 1


def test_a_frame_of_after_a_move_alone_is_known_once_moves_are() -> None:
    estimate, counting = make("moves")
    for move in range(6):
        counting.frame(popularity(move))
        is_known = not estimate.is_moving
        for _ in range(4):
            counting.frame(popularity(move))
    assert estimate.moves == 5
    assert is_known


#: Choices of the most popular expert in a frame: from large groups to small ones.
SCALES = [20_000, 1_000, 200, 50]


@pytest.mark.parametrize("scale", SCALES)
@pytest.mark.parametrize("seed", range(5))
def test_chance_is_no_move_once_it_is_known(scale: int, seed: int) -> None:
    estimate, counting = make("moves", scale, seed)
    demand = popularity(seed)
    for _ in range(20):
        counting.frame(demand)
    learned = estimate.moves
    for _ in range(200):
        counting.frame(demand)
    assert estimate.moves - learned == 0


@pytest.mark.parametrize("scale", SCALES)
@pytest.mark.parametrize("seed", range(5))
def test_moves_show_beside_chance(scale: int, seed: int) -> None:
    estimate, counting = make("moves", scale, seed)
    for _ in range(20):
        counting.frame(popularity(seed))
    learned = estimate.moves
    for move in range(10):
        for _ in range(10):
            counting.frame(popularity(1_000 * seed + move))
    assert estimate.moves - learned >= 9


def test_nothing_counted_says_nothing() -> None:
    estimate, _ = make("moves")
    assert not estimate.took(FRAME, [])
    assert not estimate.took(2 * FRAME, [0] * (EXPERTS * LAYERS))
    assert estimate.weights == []


def test_counts_of_another_shape_begin_anew() -> None:
    estimate, _ = make("moves")
    assert estimate.took(FRAME, [5] * 8)
    assert estimate.took(2 * FRAME, [3] * 4)
    assert estimate.weights == [3.0] * 4
