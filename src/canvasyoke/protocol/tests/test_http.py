import random

import pytest

from canvasyoke.protocol import HeaderError, key_time, new_key, parse_call_options

KEY = new_key(1_700_000_000_000, random.Random(1))


@pytest.mark.parametrize(
    ("headers", "wait", "priority", "key"),
    [
        ({}, 0, -1, ""),
        ({"prefer": "wait=2.5"}, 2_500, -1, ""),
        ({"prefer": "respond-async, wait=10"}, 10_000, -1, ""),
        ({"priority": "u=0, i"}, 0, 0, ""),
        ({"idempotency-key": f'"{KEY}"'}, 0, -1, KEY),
    ],
)
def test_call_options(headers: dict[str, str], wait: int, priority: int, key: str) -> None:
    options = parse_call_options(headers)
    assert (options.wait, options.priority, options.key) == (wait, priority, key)


@pytest.mark.parametrize(
    "headers",
    [
        {"prefer": "wait=soon"},
        {"prefer": "wait=-1"},
        {"priority": "u=9"},
        {"priority": "high"},
        {"idempotency-key": "abc"},
        {"idempotency-key": "6f2b8a52-3a3d-4c2f-9d5e-111111111111"},
        {"x-request-id": "two words"},
        {"x-request-id": "x" * 129},
    ],
)
def test_malformed_headers_are_rejected(headers: dict[str, str]) -> None:
    with pytest.raises(HeaderError):
        parse_call_options(headers)


def test_key_contains_its_time() -> None:
    assert key_time(KEY) == 1_700_000_000_000
    assert parse_call_options({"idempotency-key": KEY}).key_time == 1_700_000_000_000
