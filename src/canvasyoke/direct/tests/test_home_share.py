"""Tests for the assignment of a domain's backends to its entries."""

from __future__ import annotations

from collections import Counter

import pytest

from canvasyoke.direct._home_share import assign_home_share
from canvasyoke.state import Endpoint, EndpointState


def backends(service: str, count: int, domain: str = "nbo-a") -> list[Endpoint]:
    return [
        Endpoint(f"{service}-{n}", service, f"10.0.0.{n}:1", domain, 3, EndpointState.READY)
        for n in range(count)
    ]


def shares(entries: int, endpoints: list[Endpoint]) -> list[frozenset[str]]:
    names = [f"front-{n}" for n in range(entries)]
    return [
        assign_home_share(own, "nbo-a", [n for n in names if n != own], endpoints) for own in names
    ]


#: Number of entries and backends, and size of the smallest and largest share.
ASSIGNMENTS = [
    ("more backends than entries", 22, 39, 1, 2),
    ("as many", 20, 20, 1, 1),
    ("one entry has all", 1, 7, 7, 7),
    ("fewer backends than entries are nobody's", 22, 2, 0, 0),
]


@pytest.mark.parametrize(("entries", "count", "least", "most"), [case[1:] for case in ASSIGNMENTS])
def test_each_backend_is_assigned_to_one_entry(
    entries: int, count: int, least: int, most: int
) -> None:
    assigned = shares(entries, backends("ink", count))
    assert {min(len(share) for share in assigned), max(len(share) for share in assigned)} == {
        least,
        most,
    }
    owners = Counter(backend for share in assigned for backend in share)
    assert set(owners.values()) <= {1}
    assert len(owners) == (count if most else 0)


def test_services_are_assigned_separately() -> None:
    assigned = shares(4, [*backends("ink", 8), *backends("shelf", 4)])
    assert all(
        Counter(b.split("-")[0] for b in share) == {"ink": 2, "shelf": 1} for share in assigned
    )


def test_backends_of_other_domains_are_not_assigned() -> None:
    assert shares(2, backends("ink", 8, "nbo-b")) == [frozenset(), frozenset()]
