"""Counts and maps as they go over a link: packed once, and small.

In a group of 96 ranks with 16 layers of 192 experts an order to prepare a map is 6 KB and
needs 0.14 MB as nested lists. An owner that made one for each rank and sent it again to
ranks that had not answered yet, since 0.6 MB take the better part of a second on 6 Mbit/s,
held 13 MB more with each round of orders and went over 168 MB within seconds. Packed, the
same map is 0.5 to 2 KB and is shared by the orders to all ranks.

Counts go in steps no finer than they scatter by chance: a rank that chose each of 3,072
experts 31 times in 0.2 s tells 1.5 KB in place of 2.6 KB, and of 4.6 KB unpacked.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Sequence
from typing import Any, Final

import msgspec

from canvasyoke.experts._rank_port import RankLayers

#: zlib's fastest level: the next ones take twice as long for a tenth less.
_LEVEL: Final = 1
#: Bytes that packed figures may have once unpacked: counts of 200,000 experts.
_UNPACKED_LIMIT: Final = 1_000_000


#: Bits that a step leaves out at the most: counts of 4 thousand million.
_MOST_BITS: Final = 16


class PackingError(ValueError):
    """Bytes that are not packed figures, or too many of them."""


def pack_counts(counts: Sequence[int]) -> bytes:
    """Return ``counts`` packed, each to the next step; empty for none."""
    if not counts:
        return b""
    bits = _step_bits(sum(counts) / len(counts))
    half = (1 << bits) >> 1
    # Halves go up and down in turn, so that sums stay what they were.
    halves = (half, max(0, half - 1))
    steps = [(count + halves[index & 1]) >> bits for index, count in enumerate(counts)]
    return _pack([bits, *steps])


def unpack_counts(data: bytes) -> list[int]:
    """Return packed counts; raises :class:`PackingError`."""
    if not data:
        return []
    bits, *steps = _unpack(data, list[int]) or [0]
    if not 0 <= bits <= _MOST_BITS:
        raise PackingError(f"steps of {bits} bits")
    return [step << bits for step in steps]


def _step_bits(mean: float) -> int:
    """Return the bits left out: the longest step that is no longer than chance scatters."""
    return min(_MOST_BITS, max(0, int(math.log2(max(1.0, mean))) // 2))


def pack_layers(layers_by_rank: Sequence[RankLayers]) -> bytes:
    """Return what each rank holds, packed; empty for no map."""
    return _pack(layers_by_rank) if layers_by_rank else b""


def unpack_layers(data: bytes) -> tuple[RankLayers, ...]:
    """Return what each rank holds; raises :class:`PackingError`."""
    return _unpack(data, tuple[tuple[tuple[int, ...], ...], ...]) if data else ()


def _pack(figures: object) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(figures), _LEVEL)


def _unpack(data: bytes, kind: Any) -> Any:
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, _UNPACKED_LIMIT)
        if unpacker.unconsumed_tail or not unpacker.eof:
            raise PackingError("too long or cut short")
        return msgspec.msgpack.decode(plain, type=kind)
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise PackingError(str(exc)) from exc
