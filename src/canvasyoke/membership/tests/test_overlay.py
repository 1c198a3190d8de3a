"""Tests of the overlay topology."""

from __future__ import annotations

import random
from collections import defaultdict

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from canvasyoke.membership import MESH_LIMIT, Node, choose_peers
from canvasyoke.membership._nodes import hash_order


def fleet(*sizes: int) -> list[Node]:
    """Return a fleet with one domain for each of ``sizes``."""
    return [
        Node(f"front-{domain}-{n}", f"10.{domain}.0.{n}:7340", f"domain-{domain}")
        for domain, size in enumerate(sizes)
        for n in range(size)
    ]


def links(nodes: list[Node], unavailable: frozenset[str] = frozenset()) -> dict[str, set[str]]:
    """Return the neighbors of each process once all have dialled their peers."""
    neighbors: defaultdict[str, set[str]] = defaultdict(set)
    for own in nodes:
        others = [p for p in nodes if p is not own and p.name not in unavailable]
        for name in choose_peers(own, others):
            neighbors[own.name].add(name)
            neighbors[name].add(own.name)
    return neighbors


def count_hops(neighbors: dict[str, set[str]], start: str) -> dict[str, int]:
    """Return the distance in hops from ``start`` to each reachable process."""
    reached = {start: 0}
    frontier = [start]
    while frontier:
        frontier = [name for at in frontier for name in neighbors[at] if name not in reached]
        for name in frontier:
            reached_neighbors = [reached[n] for n in neighbors[name] if n in reached]
            reached.setdefault(name, min(reached_neighbors) + 1)
    return reached


#: Name, processes by domain, most links of one process, most hops to any process.
FLEETS = [
    ("a small fleet is a mesh", (3, 3, 2), 7, 1),
    ("twice the mesh", (8, 8, 8), 8, 4),
    ("one domain", (40,), 4, 5),
    ("thirty-two in three domains", (11, 11, 10), 8, 4),
    ("ninety-nine in five domains", (22, 17, 21, 19, 20), 10, 5),
    ("uneven domains", (60, 3, 3), 8, 8),
    ("fifteen hundred in thirty-four domains", (44,) * 34, 14, 9),
]


@pytest.mark.parametrize(("sizes", "most", "farthest"), [case[1:] for case in FLEETS])
def test_few_links_reach_all_in_few_hops(sizes: tuple[int, ...], most: int, farthest: int) -> None:
    nodes = fleet(*sizes)
    neighbors = links(nodes)
    assert max(len(names) for names in neighbors.values()) <= most
    reached = count_hops(neighbors, nodes[0].name)
    assert len(reached) == len(nodes)
    assert max(reached.values()) <= farthest


@settings(max_examples=60, deadline=None)
@given(
    sizes=st.lists(st.integers(1, 30), min_size=1, max_size=8),
    seed=st.integers(0, 1 << 30),
    share=st.floats(0, 0.6),
)
def test_available_processes_stay_connected(sizes: list[int], seed: int, share: float) -> None:
    nodes = fleet(*sizes)
    rng = random.Random(seed)
    unavailable = frozenset(p.name for p in nodes if rng.random() < share)
    alive = [p for p in nodes if p.name not in unavailable]
    if not alive:
        return
    neighbors = links(alive, unavailable)
    assert len(count_hops(neighbors, alive[0].name)) == len(alive)


def test_partitioned_domain_leaves_the_others_connected() -> None:
    nodes = fleet(22, 17, 21, 19, 20)
    partitioned = frozenset(p.name for p in nodes if p.domain == "domain-2")
    alive = [p for p in nodes if p.name not in partitioned]
    assert len(count_hops(links(alive, partitioned), alive[0].name)) == len(alive)


def test_order_is_independent_of_input_order() -> None:
    names = [p.name for p in fleet(9)]
    orders = {tuple(sorted(random.Random(n).sample(names, 9), key=hash_order)) for n in range(9)}
    assert len(orders) == 1
    assert orders != {tuple(names)}


def test_fleet_above_the_mesh_limit_has_few_links() -> None:
    assert {len(n) for n in links(fleet(MESH_LIMIT)).values()} == {MESH_LIMIT - 1}
    assert max(len(n) for n in links(fleet(MESH_LIMIT + 1)).values()) <= 4
