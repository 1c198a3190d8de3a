"""Evacuations as the store's client reads them."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
import pytest

from canvasyoke.platform._evacuations import read_evacuation_changes
from canvasyoke.platform._store import ObjectsFleetStore
from canvasyoke.state import (
    EvacuationChanges,
    EvacuationRead,
    HistoryGone,
    NoChange,
    Unavailable,
    Unusable,
    era_of,
    store_position,
)
from fakes.object_store import ObjectStore, StoreEndpoint

KIND = "evacuations"


@pytest.fixture
def store() -> ObjectStore:
    return ObjectStore()


@pytest.fixture
def endpoint(store: ObjectStore) -> Iterator[StoreEndpoint]:
    endpoint = StoreEndpoint(store)
    yield endpoint
    endpoint.close()


@pytest.fixture
def client(endpoint: StoreEndpoint) -> ObjectsFleetStore:
    return ObjectsFleetStore(endpoint.address)


def test_a_list_has_all_pages_and_badly_written_objects(
    store: ObjectStore, client: ObjectsFleetStore
) -> None:
    """A body that makes no sense still evacuates its domain; a name too long is no domain."""
    bodies = [{}, None, [1], "x", {"Until": 7}]
    for number, body in enumerate(bodies):
        store.put(KIND, f"nbo-{number}", body)
    store.put(KIND, "z" * 201, {})
    listed = client.evacuations()
    assert isinstance(listed, EvacuationRead)
    assert listed.domains == {f"nbo-{number}" for number in range(len(bodies))}


@pytest.mark.parametrize(("status", "is_none"), [(404, True), (503, False), (0, True)])
def test_a_store_without_the_kind_has_none(
    endpoint: StoreEndpoint, client: ObjectsFleetStore, status: int, is_none: bool
) -> None:
    endpoint.faults.status = status
    listed = client.evacuations()
    assert isinstance(listed, EvacuationRead if is_none else Unavailable)
    assert not is_none or (isinstance(listed, EvacuationRead) and not listed.domains)


def test_a_watch_returns_changes_in_order(store: ObjectStore, client: ObjectsFleetStore) -> None:
    listed = client.evacuations()
    assert isinstance(listed, EvacuationRead)
    assert client.watch_evacuations(listed.position, 10) == NoChange(listed.position)
    store.put(KIND, "nbo-a", {})
    store.put(KIND, "nbo-b", {})
    store.remove(KIND, "nbo-a")
    changes = client.watch_evacuations(listed.position, 1_000)
    expected = (("nbo-a", True), ("nbo-b", True), ("nbo-a", False))
    assert changes == EvacuationChanges(expected, listed.position + 3)


def test_a_watch_ends_in_another_era(store: ObjectStore, client: ObjectsFleetStore) -> None:
    store.restore(store.snapshot())
    listed = client.evacuations()
    assert isinstance(listed, EvacuationRead)
    assert era_of(listed.position) == 1
    assert isinstance(client.watch_evacuations(store_position(0, 1), 10), HistoryGone)


@pytest.mark.parametrize(
    "event",
    [{}, {"object": {}}, {"object": {"Metadata": {"Name": ""}}}, {"gone": 3, "object": {}}, []],
)
def test_an_event_without_a_name_is_unusable(event: object) -> None:
    """The list that follows tells what has changed."""
    assert isinstance(read_evacuation_changes([msgspec.json.encode(event)], 5), Unusable)
