"""Topology of the overlay: which peers a process dials.

Each process evaluates the rule locally. A small fleet is a full mesh, in which every message
takes one hop. The number of links in a mesh grows quadratically, so larger fleets use a
sparse overlay:

- Within a failure domain, processes form a ring ordered by ``hash_order``. Each one dials
  its successor and the process one chord ahead; the chord is the square root of the ring
  size.
- Domains form a ring with chords of doubling length. Each process dials at most one process
  in each domain that is a chord ahead, spread evenly over that domain.

Links are bidirectional. Dialling processes leave out unavailable peers, which promotes the
next process in the order.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Collection
from typing import Final

from canvasyoke.membership._nodes import Node, hash_order

#: Largest fleet that is a full mesh. A larger mesh needs more links per process than the sparse
#: overlay. A dozen links cost a process 24 threads, about as many as the overlay of a hundred
#: processes does.
MESH_LIMIT: Final = 12
#: Largest number of processes of one remote domain that dial the same process. With two, the
#: death of one process does not cut the only link between two domains.
_MAX_DIALERS: Final = 2


def is_mesh(count: int) -> bool:
    """Return whether a fleet of ``count`` processes is a full mesh."""
    return count <= MESH_LIMIT


def choose_peers(own: Node, others: Collection[Node]) -> frozenset[str]:
    """Return the names of the peers that ``own`` dials; ``others`` are those available."""
    if is_mesh(len(others) + 1):
        return frozenset(node.name for node in others)
    domains = _group_by_domain([own, *others])
    position = domains[own.domain].index(own.name)
    chosen = _ring_neighbors(domains[own.domain], position)
    for domain in _chord_domains(sorted(domains), own.domain):
        chosen |= _choose_partner(position, len(domains[own.domain]), domains[domain])
    return frozenset(chosen - {own.name})


def _choose_partner(position: int, count: int, remote: list[str]) -> set[str]:
    """Return which of ``remote`` the process at ``position`` of ``count`` dials, if any."""
    group_size = max(1, -(-count // (_MAX_DIALERS * len(remote))))
    if position % group_size:
        return set()
    return {remote[position * len(remote) // count]}


def _group_by_domain(nodes: Collection[Node]) -> dict[str, list[str]]:
    """Return the process names of each domain, sorted by ``hash_order``."""
    names: defaultdict[str, list[str]] = defaultdict(list)
    for node in nodes:
        names[node.domain].append(node.name)
    return {domain: sorted(domain_names, key=hash_order) for domain, domain_names in names.items()}


def _ring_neighbors(ring: list[str], position: int) -> set[str]:
    """Return the successor of ``position`` and the process one chord ahead."""
    steps = (1, max(2, math.isqrt(len(ring))))
    return {ring[(position + step) % len(ring)] for step in steps}


def _chord_domains(ring: list[str], own: str) -> list[str]:
    """Return the domains 1, 2, 4, ... positions ahead, up to half of the ring."""
    position = ring.index(own)
    chosen = []
    step = 1
    while step <= len(ring) // 2:
        chosen.append(ring[(position + step) % len(ring)])
        step *= 2
    return chosen
