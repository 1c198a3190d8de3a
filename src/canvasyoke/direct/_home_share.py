"""Assignment of a failure domain's backends to its entries.

In a large fleet, load reports arrive too late for entries to avoid choosing the same backends.
Each entry therefore prefers its own share of the domain's backends, whose load it knows
exactly, and uses others only when its share has no free slots.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from canvasyoke.membership import hash_order
from canvasyoke.state import Endpoint


def assign_home_share(
    name: str, domain: str, domain_peers: Collection[str], endpoints: Iterable[Endpoint]
) -> frozenset[str]:
    """Return the ids of the backends assigned to entry ``name``.

    ``domain_peers`` has the names of the domain's other entries. Every entry computes the same
    assignment from a common order. Services with fewer backends in the domain than entries
    are not assigned.
    """
    entries = sorted({*domain_peers, name}, key=hash_order)
    position = entries.index(name)
    by_service: dict[str, list[str]] = {}
    for endpoint in endpoints:
        if endpoint.domain == domain:
            by_service.setdefault(endpoint.service, []).append(endpoint.id)
    share: set[str] = set()
    for ids in by_service.values():
        if len(ids) >= len(entries):
            ordered = sorted(ids, key=hash_order)
            first = position * len(ordered) // len(entries)
            share.update(ordered[first : (position + 1) * len(ordered) // len(entries)])
    return frozenset(share)
