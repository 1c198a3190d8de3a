"""What a configuration takes on the links between entries."""

from __future__ import annotations

import json
import zlib

import pytest

from canvasyoke.direct._packed_document import DocumentError, pack_document, unpack_document


def document(routes: int) -> bytes:
    """Return a configuration whose routes differ in name, host and prefix."""
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
def test_a_document_passes_unchanged(routes: int) -> None:
    assert unpack_document(pack_document(document(routes))) == document(routes)


def test_a_large_document_takes_a_sixth_of_its_size() -> None:
    """Before: all of it, 0.24 MB for 1,440 routes, to each entry and with each version."""
    plain = document(1_440)
    assert len(plain) > 200_000
    assert len(pack_document(plain)) < len(plain) / 6


@pytest.mark.parametrize(
    "data",
    [b"", b"{}", pack_document(document(9))[:-5], zlib.compress(bytes(9 << 20), 1)],
    ids=["nothing", "not packed", "cut short", "too long"],
)
def test_other_bytes_are_told_from_a_document(data: bytes) -> None:
    with pytest.raises(DocumentError):
        unpack_document(data)
