import random

import pytest

from canvasyoke.coordination import POLICIES, ExpertMap, initial_map, map_skew, plan_map

RANKS = tuple(range(4))


def random_loads(seed: int, experts: int = 16, layers: int = 2) -> list[list[float]]:
    rng = random.Random(seed)
    return [[rng.paretovariate(1.2) for _ in range(experts)] for _ in range(layers)]


def assert_valid(mapping: ExpertMap, ranks: tuple[int, ...], capacity: int) -> None:
    """Check that every expert has distinct valid holders and no rank exceeds its capacity."""
    for layer in mapping.layers:
        held = dict.fromkeys(ranks, 0)
        for holders in layer:
            assert holders
            assert len(set(holders)) == len(holders)
            for rank in holders:
                held[rank] += 1
        assert max(held.values()) <= capacity


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("policy", sorted(POLICIES))
def test_plans_are_valid_and_do_not_increase_skew(seed: int, policy: str) -> None:
    loads = random_loads(seed)
    before = initial_map(RANKS, 16, 2)
    after = plan_map(before, loads, RANKS, 6, POLICIES[policy])
    assert_valid(after, RANKS, 6)
    assert map_skew(after, loads, RANKS) <= map_skew(before, loads, RANKS)
    assert after.copies_added(before) <= POLICIES[policy].max_copies


def test_balanced_load_needs_no_copies() -> None:
    before = initial_map(RANKS, 16, 2)
    loads = [[1.0] * 16] * 2
    assert plan_map(before, loads, RANKS, 6, POLICIES["skew-first"]) == before


def test_cost_first_makes_fewer_copies_than_skew_first() -> None:
    before = initial_map(RANKS, 16, 2)
    copies = {
        name: sum(
            plan_map(before, random_loads(s), RANKS, 6, policy).copies_added(before)
            for s in range(20)
        )
        for name, policy in POLICIES.items()
    }
    assert copies["cost-first"] < copies["skew-first"]


@pytest.mark.parametrize("seed", range(4))
def test_experts_of_a_failed_rank_are_reassigned_when_others_are_full(seed: int) -> None:
    loads = random_loads(seed)
    before = plan_map(initial_map(RANKS, 16, 2), loads, RANKS, 6, POLICIES["skew-first"])
    after = plan_map(before, loads, RANKS[1:], 6, POLICIES["cost-first"])
    assert_valid(after, RANKS[1:], 6)


def test_popular_expert_is_replicated() -> None:
    loads = [[100.0] + [1.0] * 15]
    after = plan_map(initial_map(RANKS, 16, 1), loads, RANKS, 6, POLICIES["skew-first"])
    assert len(after.layers[0][0]) > 1
