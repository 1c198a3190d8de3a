"""Which other processes one links with: a rule that each evaluates alone.

A small fleet is a full mesh: every message takes one hop. A mesh of 99 entries has 4,851
links and cost each process 212 tasks, so a larger fleet is an overlay of few links:

- within a failure domain a ring in an order that all agree on, with chords of the square
  root of its size: each process dials two others, is dialled by two, and a message takes
  about as many hops as the chord is long;
- between domains, again a ring with chords, of doubling length: each process dials one
  partner in each of those domains. Partners are dealt evenly, and no process of a small
  domain is dialled by more than a few of a large one.

Links are used in both directions. A process that is away is left out by those who dial
it, and the next one in order takes its place.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Collection
from typing import Final

from canvasyoke.membership._places import Place, precedence

#: Processes up to which all link with all. A dozen links cost a process 24 tasks, about
#: what the overlay of a hundred processes does.
MESH_LIMIT: Final = 12
#: Processes of one other domain by which one is dialled at the most. Two, so that one
#: that dies takes no domain's only link with it.
_DIALLED_BY: Final = 2


def is_mesh(count: int) -> bool:
    """Tell whether ``count`` processes all link with each other."""
    return count <= MESH_LIMIT


def choose_dials(own: Place, others: Collection[Place]) -> frozenset[str]:
    """Return the names of those that ``own`` dials among those that are not away."""
    if is_mesh(len(others) + 1):
        return frozenset(place.name for place in others)
    domains = _by_domain([own, *others])
    position = domains[own.domain].index(own.name)
    chosen = _in_own_domain(domains[own.domain], position)
    for domain in _domains_ahead(sorted(domains), own.domain):
        chosen |= _partner(position, len(domains[own.domain]), domains[domain])
    return frozenset(chosen - {own.name})


def _partner(position: int, count: int, theirs: list[str]) -> set[str]:
    """Return whom the process at ``position`` of ``count`` dials in another domain."""
    a_partner = max(1, -(-count // (_DIALLED_BY * len(theirs))))
    if position % a_partner:
        return set()
    return {theirs[position * len(theirs) // count]}


def _by_domain(places: Collection[Place]) -> dict[str, list[str]]:
    """Return the names of each domain's processes in their common order."""
    names: defaultdict[str, list[str]] = defaultdict(list)
    for place in places:
        names[place.domain].append(place.name)
    return {domain: sorted(found, key=precedence) for domain, found in names.items()}


def _in_own_domain(ring: list[str], position: int) -> set[str]:
    """Return the next process of the ring, and the one a chord ahead."""
    steps = (1, max(2, math.isqrt(len(ring))))
    return {ring[(position + step) % len(ring)] for step in steps}


def _domains_ahead(ring: list[str], own: str) -> list[str]:
    """Return the domains one, two, four and so on ahead, up to half of the ring."""
    position = ring.index(own)
    ahead = []
    step = 1
    while step <= len(ring) // 2:
        ahead.append(ring[(position + step) % len(ring)])
        step *= 2
    return ahead
