"""Tests that an invalid entry of the store does not prevent others from being decoded."""

from __future__ import annotations

import json
from typing import Any, ClassVar

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from canvasyoke.platform._endpoints import read_changes, read_list
from canvasyoke.platform._store import ObjectsFleetStore
from canvasyoke.state import (
    Endpoint,
    EndpointChanges,
    EndpointGone,
    EndpointList,
    EndpointState,
    Unusable,
)

VALID_SPEC: dict[str, Any] = {
    "Service": "shelf",
    "Address": "10.0.0.1:8080",
    "Zone": "nbo-a",
    "Version": "v1",
    "Slots": 6,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 4,
}


def stored(name: Any, spec: Any, revision: Any = 7) -> bytes:
    """Return an object as the store holds it."""
    meta = {"Name": name, "Revision": revision, "made": 1}
    return json.dumps({"Metadata": meta, "Spec": spec, "Status": None}).encode()


def event(item: bytes, gone: bool = False) -> bytes:
    """Return one event of a watch."""
    return b'{"object":' + item + b',"gone":' + json.dumps(gone).encode() + b"}"


def test_a_valid_entry_is_decoded() -> None:
    (endpoint,) = read_list([stored("a", VALID_SPEC)], 9).endpoints
    assert endpoint == Endpoint(
        "a", "shelf", "10.0.0.1:8080", "nbo-a", 6, EndpointState.READY, position=7
    )


def test_a_start_time_is_decoded() -> None:
    (endpoint,) = read_list([stored("a", VALID_SPEC | {"born": 1_764_720_000_000})], 9).endpoints
    assert (endpoint.started, endpoint.run) == (1_764_720_000_000, "a@1764720000000")


def test_unknown_fields_are_ignored() -> None:
    listed = read_list([stored("a", VALID_SPEC | {"Models": [{"Name": "m"}], "Stage": "dual"})], 9)
    assert [endpoint.id for endpoint in listed.endpoints] == ["a"]


INVALID_FIELDS: list[tuple[str, list[Any]]] = [
    ("Service", [None, 7, "", [], "x" * 201]),
    ("Address", [None, 7, "", "10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:0", "10.0.0.1:65536"]),
    ("Address", ["host:80", "10.0.0:80", "10.0.0.1:8x", "0.0.0.0:80", "10.0.0.1:٣", "[::1]:80"]),
    ("Zone", [None, 7, "", {}]),
    ("Version", [None, 7]),
    ("Slots", [None, "6", 0, -1, 1.5, True, []]),
    ("State", [None, "warming", "Ready", "", 1, True]),
    ("ColdRemainingMs", [None, "0", []]),
    ("Sequence", [None, "4", 0.5]),
    ("born", [None, "1764720000000", 0.5, -1, True]),
]


@pytest.mark.parametrize(
    ("field", "value"), [(field, value) for field, values in INVALID_FIELDS for value in values]
)
def test_an_entry_with_an_invalid_field_is_unreadable(field: str, value: Any) -> None:
    listed = read_list([stored("odd", VALID_SPEC | {field: value}), stored("a", VALID_SPEC)], 9)
    assert [endpoint.id for endpoint in listed.endpoints] == ["a"]
    assert [entry.id for entry in listed.unreadable] == ["odd"]
    assert listed.unreadable[0].fault


@pytest.mark.parametrize("field", VALID_SPEC)
def test_an_entry_without_a_required_field_is_unreadable(field: str) -> None:
    spec = {name: value for name, value in VALID_SPEC.items() if name != field}
    listed = read_list([stored("odd", spec), stored("a", VALID_SPEC)], 9)
    assert [endpoint.id for endpoint in listed.endpoints] == ["a"]
    assert [entry.id for entry in listed.unreadable] == ["odd"]


UNREADABLE_OBJECTS = [
    (b'{"Metadata":{"Name":"odd"},"Spec":{"Slots":NaN}}', "odd"),
    (b'{"Metadata":{"Name":"odd"},"Spec":{"Slots":1e999}}', "odd"),
    (b'{"Metadata":{"Name":"odd"},"Spec":{"Zone":"\\ud800"}}', "odd"),
    (b'{"Metadata":{"Name":"odd"},"Spec":' + b"[" * 5_000 + b"]" * 5_000 + b"}", "odd"),
    (b'{"Metadata":{"Name":"odd","Revision":3},"Spec":{"Service":"\xff\xfe"}}', "odd"),
    (b'{"Metadata":{"Name":"odd","Revision":3}}', "odd"),
    (b'{"Metadata":{"Name":"odd","Revision":"3"},"Spec":null}', ""),
    (b'{"Metadata":{"Name":"","Revision":3},"Spec":null}', ""),
    (b'{"Metadata":7}', ""),
    (b"null", ""),
    (b"7", ""),
]


@pytest.mark.parametrize(("item", "name"), UNREADABLE_OBJECTS)
def test_an_unreadable_object_does_not_affect_others(item: bytes, name: str) -> None:
    listed = read_list([item, stored("a", VALID_SPEC), item], 9)
    assert [endpoint.id for endpoint in listed.endpoints] == ["a"]
    assert [entry.id for entry in listed.unreadable] == [name, name]


class _FakePool:
    """Fake HTTP client with one response."""

    status = 200
    headers: ClassVar[dict[str, str]] = {}

    def __init__(self, data: bytes) -> None:
        self.data = data

    def call(self, *_args: Any, **_kwargs: Any) -> _FakePool:
        return self


@pytest.mark.parametrize(("item", "name"), UNREADABLE_OBJECTS)
def test_a_page_or_watch_with_an_unreadable_object_is_decoded(item: bytes, name: str) -> None:
    store = ObjectsFleetStore("127.0.0.1:1")
    valid = stored("a", VALID_SPEC)
    page = b'{"Items":[' + item + b"," + valid + b'],"more":false,"at":9}'
    store._client = _FakePool(page)  # type: ignore[assignment]
    listed = store.endpoints()
    assert isinstance(listed, EndpointList)
    assert [endpoint.id for endpoint in listed.endpoints] == ["a"]
    assert [entry.id for entry in listed.unreadable] == [name]
    watch = b'{"events":[' + event(item) + b"," + event(valid) + b'],"at":9}'
    store._client = _FakePool(watch)  # type: ignore[assignment]
    seen = store.watch_endpoints(5, 10)
    if name:
        assert isinstance(seen, EndpointChanges)
        assert [change.id for change in seen.changes] == [name, "a"]
    else:
        assert isinstance(seen, Unusable)


class _PagedPool:
    """Fake HTTP client that returns one page after another and records requested paths."""

    def __init__(self, *pages: list[bytes]) -> None:
        self.pages = list(pages)
        self.requested_paths: list[str] = []

    def call(self, _method: str, path: str, **_kwargs: Any) -> _FakePool:
        self.requested_paths.append(path)
        items = b",".join(self.pages.pop(0))
        more = json.dumps(bool(self.pages)).encode()
        return _FakePool(b'{"Items":[' + items + b'],"more":' + more + b',"at":9}')


#: Last item of the first of two pages, and the name after which the second is requested.
LAST_ITEMS = [
    (stored("b", None), "b"),
    (stored("x" * 201, VALID_SPEC), "x" * 201),
    (b'{"Metadata":{"Name":"odd"},"Spec":NaN}', "odd"),
    (b'{"Metadata":7}', "a"),
    (b"null", "a"),
]


@pytest.mark.parametrize(("last_item", "after"), LAST_ITEMS)
def test_listing_continues_after_a_page_that_ends_with_an_unreadable_entry(
    last_item: bytes, after: str
) -> None:
    store = ObjectsFleetStore("127.0.0.1:1")
    pool = _PagedPool([stored("a", VALID_SPEC), last_item], [stored("z", VALID_SPEC)])
    store._client = pool  # type: ignore[assignment]
    listed = store.endpoints()
    assert isinstance(listed, EndpointList)
    assert [endpoint.id for endpoint in listed.endpoints] == ["a", "z"]
    assert pool.requested_paths[1].endswith(f"After={after}")


def test_a_list_without_a_next_page_is_unusable() -> None:
    store = ObjectsFleetStore("127.0.0.1:1")
    store._client = _PagedPool([b"null"], [b"null"])  # type: ignore[assignment]
    assert isinstance(store.endpoints(), Unusable)


def test_an_unreadable_entry_in_a_watch_is_reported_by_name() -> None:
    invalid = stored("odd", VALID_SPEC | {"Slots": "six"}, revision=8)
    changes = read_changes([event(invalid), event(stored("a", VALID_SPEC, revision=9))], 9)
    assert isinstance(changes, EndpointChanges)
    gone, changed = changes.changes
    assert isinstance(gone, EndpointGone)
    assert isinstance(changed, Endpoint)
    assert (gone.id, gone.position, changed.id) == ("odd", 8, "a")
    assert gone.fault


def test_an_event_without_a_name_makes_the_watch_unusable() -> None:
    assert isinstance(read_changes([event(b'{"Metadata":7}')], 9), Unusable)


@pytest.mark.parametrize("spec", [None, 7, "text", {"Service": 1}])
def test_a_removal_requires_only_a_name(spec: Any) -> None:
    changes = read_changes([event(stored("a", spec, revision=3), gone=True)], 9)
    assert changes == EndpointChanges((EndpointGone("a", 9),), 9)


#: Events of a batch up to revision 15, and the expected revision of the removal of ``a``.
REMOVALS: list[tuple[list[tuple[str, int, bool]], int]] = [
    ([("a", 3, True)], 15),
    ([("a", 3, True), ("b", 15, False)], 14),
    ([("a", 3, True), ("a", 12, False), ("b", 15, False)], 11),
    ([("b", 9, False), ("a", 3, True), ("b", 4, True), ("c", 13, False)], 12),
    # The revision of the object itself is used if it is higher.
    ([("a", 14, True), ("b", 12, False)], 14),
]


@pytest.mark.parametrize(("batch", "revision"), REMOVALS)
def test_a_removal_is_older_than_the_following_event(
    batch: list[tuple[str, int, bool]], revision: int
) -> None:
    events = [event(stored(name, VALID_SPEC, at), gone) for name, at, gone in batch]
    changes = read_changes(events, 15)
    assert isinstance(changes, EndpointChanges)
    assert EndpointGone("a", revision) in changes.changes
    assert [c.id for c in changes.changes] == [name for name, _, _ in batch]


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=6,
)


@given(
    invalid=st.lists(
        st.builds(lambda f, v: {**VALID_SPEC, f: v}, st.sampled_from(list(VALID_SPEC)), _JSON)
        | _JSON,
        max_size=4,
    ),
    at=st.integers(0, 4),
)
@example(invalid=[{**VALID_SPEC, "Slots": 1 << 70}], at=0)
def test_a_valid_entry_is_decoded_beside_any_others(invalid: list[Any], at: int) -> None:
    items = [stored(f"odd-{n}", spec) for n, spec in enumerate(invalid)]
    items.insert(min(at, len(items)), stored("a", VALID_SPEC))
    listed = read_list(items, 9)
    assert "a" in {endpoint.id for endpoint in listed.endpoints}
    assert len(listed.endpoints) + len(listed.unreadable) == len(items)
    for endpoint in listed.endpoints:
        assert endpoint.slots >= 1
        assert endpoint.service
        assert endpoint.domain
    changes = read_changes([event(item) for item in items], 9)
    assert isinstance(changes, EndpointChanges)
    assert [change.id for change in changes.changes if isinstance(change, Endpoint)] == [
        endpoint.id for endpoint in listed.endpoints
    ]


@given(st.binary(max_size=60))
def test_arbitrary_bytes_raise_no_exception(data: bytes) -> None:
    listed = read_list([data, stored("a", VALID_SPEC)], 9)
    assert listed.endpoints[-1].id == "a"
    read_changes([data], 9)


def test_texts_are_limited_to_the_maximum_length_of_messages() -> None:
    long = "x" * 200
    (endpoint,) = read_list([stored(long, VALID_SPEC | {"Service": long})], 9).endpoints
    assert len(endpoint.id) == len(endpoint.service) == 200
    assert not read_list([stored(long + "x", VALID_SPEC)], 9).endpoints


@pytest.mark.parametrize(
    ("stated", "read"), [(0, 0), (2_999.2, 3_000), (-5, 0), (1e300, 3_600_000)]
)
def test_the_remaining_cold_time_is_read(stated: float, read: int) -> None:
    """An absurd value must not keep a backend cold for ever."""
    [endpoint] = read_list([stored("a", VALID_SPEC | {"ColdRemainingMs": stated})], 9).endpoints
    assert endpoint.cold_remaining == read
