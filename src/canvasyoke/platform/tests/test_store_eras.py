"""Tests that positions of different store eras are not mixed and that fences increase over eras."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from canvasyoke.experts._fences import FenceSequence, allocate_fences
from canvasyoke.platform._store import ObjectsFleetStore
from canvasyoke.state import (
    EndpointChanges,
    EndpointList,
    HistoryGone,
    NoChange,
    Note,
    TableRead,
    Unavailable,
    era_of,
    revision_of,
)
from fakes.object_store import ObjectStore, StoreEndpoint
from tests.direct import configuration

#: Every JSON decoder represents integers below this exactly.
JSON_INTEGER_LIMIT = 1 << 53


def spec(number: int) -> dict[str, object]:
    return {
        "Service": "shelf",
        "Address": f"10.0.0.{number}:8080",
        "Zone": "nbo-a",
        "Version": "v1",
        "Slots": 6,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Sequence": 1,
    }


@pytest.fixture
def store() -> ObjectStore:
    store = ObjectStore()
    for number in range(5):  # two pages
        store.put("servers", f"b-{number}", spec(number))
    store.put("config", "main", configuration(3))
    return store


@pytest.fixture
def client(store: ObjectStore) -> Iterator[ObjectsFleetStore]:
    server = StoreEndpoint(store)
    yield ObjectsFleetStore(server.address)
    server.close()


def listed(client: ObjectsFleetStore) -> EndpointList:
    found = client.endpoints()
    assert isinstance(found, EndpointList)
    return found


def test_positions_in_a_list_have_its_era(store: ObjectStore, client: ObjectsFleetStore) -> None:
    before = listed(client)
    store.restore(store.snapshot())
    after = listed(client)
    assert {era_of(e.position) for e in before.endpoints} == {0}
    assert {era_of(e.position) for e in after.endpoints} == {era_of(after.position)} == {1}
    assert [revision_of(e.position) for e in after.endpoints] == [
        e.position for e in before.endpoints
    ]
    table = client.table()
    assert isinstance(table, TableRead)
    assert era_of(table.position) == 1


def test_a_list_with_pages_of_two_eras_is_rejected(
    store: ObjectStore, client: ObjectsFleetStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The second page is requested by name, which is valid in any era."""
    copy = store.snapshot()
    answer = store.answer

    def return_and_answer(
        method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        if "After" in query:
            store.restore(copy)
        return answer(method, path, query, body)

    monkeypatch.setattr(store, "answer", return_and_answer)
    assert isinstance(client.endpoints(), Unavailable)


@pytest.mark.parametrize("changes", [0, 50], ids=["its count is lower", "its count is above"])
def test_a_watch_of_an_earlier_era_requires_a_new_list(
    store: ObjectStore, client: ObjectsFleetStore, changes: int
) -> None:
    older = store.snapshot()
    store.put("servers", "b-9", spec(9))
    position = listed(client).position
    store.restore(older)
    for number in range(changes):
        store.put("servers", f"more-{number}", spec(number))
    assert isinstance(client.watch_endpoints(position, 10), HistoryGone)
    assert isinstance(client.watch_table(position, 10), HistoryGone)


def test_changes_in_a_watch_have_its_era(store: ObjectStore, client: ObjectsFleetStore) -> None:
    store.restore(store.snapshot())
    position = listed(client).position
    nothing = client.watch_endpoints(position, 1)
    assert nothing == NoChange(position)
    store.put("servers", "b-9", spec(9))
    store.remove("servers", "b-1")
    seen = client.watch_endpoints(position, 10)
    assert isinstance(seen, EndpointChanges)
    assert {era_of(change.position) for change in seen.changes} == {1}
    assert seen.position > position


def test_a_conditional_write_contains_only_the_revision(
    store: ObjectStore, client: ObjectsFleetStore
) -> None:
    store.restore(store.snapshot())
    assert isinstance(client.put_note("entries", "a", b'"one"'), Note)
    written = client.put_note("entries", "a", b'"two"')
    assert isinstance(written, Note)
    assert era_of(written.position) == 1
    assert store.get("entries") == {"a": "two"}


def test_fences_are_higher_than_those_of_earlier_eras(
    store: ObjectStore, client: ObjectsFleetStore
) -> None:
    """With lower fences than before the restore, engines would reject all orders."""
    older = store.snapshot()
    bases = []
    for era in range(4):
        for number in range(30 - era * 10):
            store.put("others", f"o-{number}", [era, number])
        for incarnation in ("a", "b"):
            allocated = allocate_fences(client, "g-1", incarnation, 1)
            assert isinstance(allocated, FenceSequence)
            bases.append(allocated.base)
        store.restore(older)
    assert bases == sorted(set(bases))
    assert bases[-1] < JSON_INTEGER_LIMIT
