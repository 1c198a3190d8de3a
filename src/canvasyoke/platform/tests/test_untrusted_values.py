"""What is read from engines and from entries of other writers can be sent to other processes."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from canvasyoke.experts import RankReport, RankUnreachable
from canvasyoke.experts._packing import pack_counts
from canvasyoke.experts._rank_client import to_reading
from canvasyoke.platform import ObjectsFleetStore
from canvasyoke.platform._config import decode_table
from canvasyoke.platform._endpoints import read_list
from canvasyoke.platform._notices import read_notice
from canvasyoke.platform._ranks import ObjectsRankPort
from canvasyoke.protocol._codec import decode_batch, encode_batch
from canvasyoke.state import EndpointList, RoutingTable, Unavailable
from canvasyoke.transport import ApiAnswer

_SETTINGS = settings(max_examples=100, deadline=None, derandomize=True)
_NUMBERS = st.integers(-(1 << 130), 1 << 130) | st.sampled_from([0, 1, 1 << 53, 1 << 63, 1 << 64])
_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | _NUMBERS
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=300),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=4,
)
REPORT: dict[str, Any] = {
    "Stage": "dual",
    "group": {"Name": "g-1", "epoch": 1, "rank": 0, "State": "open"},
    "size": 4,
    "step": 7,
    "map": 3,
    "prepared": 3,
    "armed": {"Version": 3, "step": 9},
    "held": 9,
    "pace": 1.5,
}
SPEC: dict[str, Any] = {
    "Service": "ink",
    "Address": "127.0.0.1:7001",
    "Zone": "a",
    "Version": "v1",
    "Slots": 6,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 1,
    "born": 5,
}
_DEEP = b"[" * 100_000 + b"]" * 100_000


class _Client:
    """HTTP client with one answer."""

    def __init__(self, data: bytes, headers: dict[str, str] | None = None) -> None:
        self._answer = ApiAnswer(200, headers or {}, data)

    def call(self, *_args: Any, **_kwargs: Any) -> ApiAnswer:
        return self._answer


def port(data: bytes) -> ObjectsRankPort:
    rank_port = ObjectsRankPort("127.0.0.1:1")
    rank_port._client = _Client(data)  # type: ignore[assignment]
    return rank_port


def with_value(document: dict[str, Any], path: str, value: Any) -> bytes:
    """Return the document with the value at a path like ``group.epoch``."""
    changed: dict[str, Any] = json.loads(json.dumps(document))
    *outer, name = path.split(".")
    target = changed
    for each in outer:
        target = target[each]
    target[name] = value
    return json.dumps(changed, allow_nan=False).encode()


def can_be_sent(report: RankReport) -> bool:
    sent = encode_batch([to_reading(report, [])])
    return bool(decode_batch(sent))


REPORT_FIELDS = [
    *(f"group.{name}" for name in ("Name", "epoch", "rank", "State")),
    *("size", "step", "map", "prepared", "held", "pace", "armed"),
    *("armed.Version", "armed.step"),
]


@pytest.mark.parametrize("path", REPORT_FIELDS)
def test_a_report_with_any_value_is_sent_or_unreadable(path: str) -> None:
    """Guards against numbers that no message can hold, which end the process that sends them."""

    @_SETTINGS
    @given(value=_VALUES)
    def check(value: Any) -> None:
        report = port(with_value(REPORT, path, value)).report()
        assert report is None or isinstance(report, RankUnreachable) or can_be_sent(report)

    check()


@pytest.mark.parametrize("body", [_DEEP, b'{"group":' + _DEEP + b"}", b"\xff\xfe", b"", b"null"])
def test_an_answer_that_cannot_be_decoded_is_unreadable(body: bytes) -> None:
    assert isinstance(port(body).report(), RankUnreachable)
    assert isinstance(port(body).counts(), RankUnreachable)
    assert isinstance(port(body).current_map(), RankUnreachable)


@_SETTINGS
@given(counts=st.lists(_NUMBERS, max_size=4))
def test_counts_are_packed_or_unreadable(counts: list[int]) -> None:
    read = port(json.dumps({"Counts": counts}).encode()).counts()
    assert isinstance(read, RankUnreachable) or pack_counts(list(read)) is not None


@pytest.mark.parametrize("name", SPEC)
def test_an_entry_with_any_value_is_sent_or_names_no_backend(name: str) -> None:
    """Guards against an entry of another writer that ends all processes that read it."""

    @_SETTINGS
    @given(value=_VALUES)
    def check(value: Any) -> None:
        spec = with_value(SPEC, name, value)
        item = b'{"Metadata":{"Name":"odd","Revision":3},"Spec":' + spec + b"}"
        sound = json.dumps({"Metadata": {"Name": "sound", "Revision": 4}, "Spec": SPEC}).encode()
        listed = read_list([item, sound], 9)
        assert listed.endpoints[-1].id == "sound"
        for endpoint in listed.endpoints:
            assert msgspec.msgpack.encode(asdict(endpoint))

    check()


@pytest.mark.parametrize("revision", [1 << 40, 1 << 64, 1 << 130, -1, 1.5])
def test_an_entry_with_a_revision_beyond_the_store_names_no_backend(revision: float) -> None:
    meta = {"Name": "odd", "Revision": revision}
    listed = read_list([json.dumps({"Metadata": meta, "Spec": SPEC}).encode()], 9)
    assert not listed.endpoints


@pytest.mark.parametrize("era", ["9" * 5_000, "9" * 20, "10000"])
def test_an_era_that_makes_no_sense_is_an_unusable_answer(era: str) -> None:
    store = ObjectsFleetStore("127.0.0.1:1")
    page = b'{"Items":[],"more":false,"at":9}'
    store._client = _Client(page, {"Store-Era": era})  # type: ignore[assignment]
    assert isinstance(store.endpoints(), Unavailable)
    store._client = _Client(page, {"Store-Era": "12"})  # type: ignore[assignment]
    assert isinstance(store.endpoints(), EndpointList)


@_SETTINGS
@given(
    load=st.lists(_NUMBERS, min_size=3, max_size=3).map(lambda each: ",".join(map(str, each))),
    decimal=_NUMBERS.map(str) | st.floats().map(str) | st.text(max_size=20),
)
def test_a_notice_with_any_numbers_can_be_sent(load: str, decimal: str) -> None:
    headers = {"Server-Load": load, "Retry-After": decimal, "Server-Limit": decimal}
    notice = read_notice(headers.get, 503)
    assert msgspec.msgpack.encode(asdict(notice))
    assert notice.backoff >= 0
    assert notice.load is None or min(asdict(notice.load).values()) >= 0


CONFIGURATION: dict[str, Any] = {
    "Version": 3,
    "Routes": [],
    "Services": [],
    "Limits": {
        "MaxHeaderBytes": 8_192,
        "MaxBodyBytes": 1_048_576,
        "HeaderTimeoutMs": 2_000,
        "IdleTimeoutMs": 10_000,
    },
    "Tenants": [],
}


@pytest.mark.parametrize("path", ["Version", "Limits.MaxBodyBytes", "Limits.IdleTimeoutMs"])
@pytest.mark.parametrize("number", [1 << 64, 1 << 130, -1, 1e300])
def test_a_configuration_with_a_number_that_makes_no_sense_is_unusable(
    path: str, number: float
) -> None:
    assert not isinstance(decode_table(with_value(CONFIGURATION, path, number)), RoutingTable)


def test_a_configuration_that_is_nested_too_deeply_is_unusable() -> None:
    assert not isinstance(decode_table(b'{"Version":3,"odd":' + _DEEP + b"}"), RoutingTable)
