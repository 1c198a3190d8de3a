"""Tests of the compression of configurations."""

from __future__ import annotations

import json
import zlib

import pytest

from canvasyoke.direct._packed_document import DocumentError, pack_document, unpack_document


def document(routes: int) -> bytes:
    """Return a configuration with distinct names, hosts and prefixes of routes."""
    each = [
        {
            "name": f"r-{number:06x}",
            "host": f"host{number % 37}.example",
            "prefix": f"/part{number * 7919 % 100_003}/",
            "service": "pool",
            "kind": "streaming",
            "timeout": 8_000,
            "attempts": 2,
            "objective": 400,
            "priority": 1,
        }
        for number in range(routes)
    ]
    return json.dumps({"version": 7, "routes": each}).encode()


@pytest.mark.parametrize("routes", [0, 1, 240, 1_440])
def test_document_round_trip(routes: int) -> None:
    assert unpack_document(pack_document(document(routes))) == document(routes)


def test_large_document_is_compressed_to_a_sixth() -> None:
    """Large configurations delay streams on the same links."""
    plain = document(1_440)
    assert len(plain) > 200_000
    assert len(pack_document(plain)) < len(plain) / 6


@pytest.mark.parametrize(
    "data",
    [b"", b"{}", pack_document(document(9))[:-5], zlib.compress(bytes(9 << 20), 1)],
    ids=["nothing", "not packed", "cut short", "too long"],
)
def test_invalid_data_is_rejected(data: bytes) -> None:
    with pytest.raises(DocumentError):
        unpack_document(data)
