"""Compact encoding of counts and expert maps for transfer over links.

Maps are compressed once and the result is shared by the orders to all ranks. Encoding the map
separately for each rank would exhaust the owner's memory and bandwidth in large groups, where
orders are queued and repeated.

Counts are quantized with a step no larger than their statistical noise, which makes them compress
better.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Sequence
from typing import Any, Final

import msgspec

from canvasyoke.experts._rank_port import RankLayers

#: Fastest level of zlib; higher levels take much longer and save little.
_COMPRESSION_LEVEL: Final = 1
#: Maximum decompressed size, enough for the counts of 200,000 experts.
_MAX_UNPACKED_BYTES: Final = 1_000_000


#: Maximum number of low bits dropped by quantization.
_MAX_SHIFT: Final = 16


class PackingError(ValueError):
    """Raised for data that is malformed or too large when decompressed."""


def pack_counts(counts: Sequence[int]) -> bytes:
    """Return quantized and compressed ``counts``; empty if there are none."""
    if not counts:
        return b""
    bits = _quantization_bits(sum(counts) / len(counts))
    half = (1 << bits) >> 1
    # Alternate between rounding a half up and down, so that totals are preserved.
    rounding = (half, max(0, half - 1))
    quantized = [(count + rounding[index & 1]) >> bits for index, count in enumerate(counts)]
    return _pack([bits, *quantized])


def unpack_counts(data: bytes) -> list[int]:
    """Return decoded counts; raise :class:`PackingError` for invalid data."""
    if not data:
        return []
    bits, *quantized = _unpack(data, list[int]) or [0]
    if not 0 <= bits <= _MAX_SHIFT:
        raise PackingError(f"quantization of {bits} bits is out of range")
    return [value << bits for value in quantized]


def _quantization_bits(mean: float) -> int:
    """Return the number of low bits to drop, so that the step is at most the standard deviation."""
    return min(_MAX_SHIFT, max(0, int(math.log2(max(1.0, mean))) // 2))


def pack_layers(layers_by_rank: Sequence[RankLayers]) -> bytes:
    """Return the compressed layers of each rank; empty if there is no map."""
    return _pack(layers_by_rank) if layers_by_rank else b""


def unpack_layers(data: bytes) -> tuple[RankLayers, ...]:
    """Return the layers of each rank; raise :class:`PackingError` for invalid data."""
    return _unpack(data, tuple[tuple[tuple[int, ...], ...], ...]) if data else ()


def _pack(value: object) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(value), _COMPRESSION_LEVEL)


def _unpack(data: bytes, expected_type: Any) -> Any:
    unpacker = zlib.decompressobj()
    try:
        decompressed = unpacker.decompress(data, _MAX_UNPACKED_BYTES)
        if unpacker.unconsumed_tail or not unpacker.eof:
            raise PackingError("packed data is too large or truncated")
        return msgspec.msgpack.decode(decompressed, type=expected_type)
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise PackingError(str(exc)) from exc
