"""What the store says in one era is not taken for another's; fences rise over eras."""

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
    Note,
    NothingNew,
    TableRead,
    Unavailable,
    era_of,
    revision_of,
)
from fakes.object_store import ObjectStore, StoreEndpoint
from tests.direct import configuration

#: The most that any reader of JSON takes as a whole number.
LARGEST_NUMBER = 1 << 53


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
    made = ObjectStore()
    for number in range(5):  # two pages
        made.put("servers", f"b-{number}", spec(number))
    made.put("config", "main", configuration(3))
    return made


@pytest.fixture
def client(store: ObjectStore) -> Iterator[ObjectsFleetStore]:
    door = StoreEndpoint(store)
    yield ObjectsFleetStore(door.address)
    door.close()


def listed(client: ObjectsFleetStore) -> EndpointList:
    found = client.endpoints()
    assert isinstance(found, EndpointList)
    return found


def test_all_that_a_list_says_is_of_its_era(store: ObjectStore, client: ObjectsFleetStore) -> None:
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


def test_pages_of_two_eras_are_no_list(
    store: ObjectStore, client: ObjectsFleetStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The second page is asked for by a name, which any era has."""
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
def test_a_watch_of_the_era_before_goes_on_with_a_list(
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


def test_a_watch_within_an_era_tells_of_it(store: ObjectStore, client: ObjectsFleetStore) -> None:
    store.restore(store.snapshot())
    position = listed(client).position
    nothing = client.watch_endpoints(position, 1)
    assert nothing == NothingNew(position)
    store.put("servers", "b-9", spec(9))
    store.remove("servers", "b-1")
    seen = client.watch_endpoints(position, 10)
    assert isinstance(seen, EndpointChanges)
    assert {era_of(change.position) for change in seen.changes} == {1}
    assert seen.position > position


def test_a_conditional_write_names_the_revision_alone(
    store: ObjectStore, client: ObjectsFleetStore
) -> None:
    store.restore(store.snapshot())
    assert isinstance(client.put_note("entries", "a", b'"one"'), Note)
    written = client.put_note("entries", "a", b'"two"')
    assert isinstance(written, Note)
    assert era_of(written.position) == 1
    assert store.get("entries") == {"a": "two"}


def test_an_owner_s_fences_are_above_those_of_every_era_before(
    store: ObjectStore, client: ObjectsFleetStore
) -> None:
    """Fences went below those that engines had seen, and all orders were turned away."""
    older = store.snapshot()
    bases = []
    for era in range(4):
        for number in range(30 - era * 10):
            store.put("others", f"o-{number}", [era, number])
        for incarnation in ("a", "b"):
            taken = allocate_fences(client, "g-1", incarnation, 1)
            assert isinstance(taken, FenceSequence)
            bases.append(taken.base)
        store.restore(older)
    assert bases == sorted(set(bases))
    assert bases[-1] < LARGEST_NUMBER
