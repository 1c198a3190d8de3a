"""Size of a large group's orders and readings, in memory and on the wire."""

from __future__ import annotations

import random
import tracemalloc
import zlib
from typing import cast

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.experts import MapOrder, MapOrderKind, OrderOutcome, RankPort, RankReport
from canvasyoke.experts import _linked_group as linked_group_module
from canvasyoke.experts._linked_group import LinkedGroup
from canvasyoke.experts._packing import (
    PackingError,
    pack_counts,
    pack_layers,
    unpack_counts,
    unpack_layers,
)
from canvasyoke.experts._rank_client import RankClient, to_reading
from canvasyoke.experts._rank_port import RankLayers
from canvasyoke.protocol import Message, RankOrder, encode_batch
from canvasyoke.transport import Session

RANKS, LAYERS, EXPERTS = 96, 16, 192
#: Experts of each rank in the initial map.
FIRST_MAP = tuple(
    tuple(tuple(e for e in range(EXPERTS) if e % RANKS == rank) for _ in range(LAYERS))
    for rank in range(RANKS)
)


class SlowSession:
    """A link that has queued messages and not sent them yet."""

    closed = False
    peer = "side-1"

    def __init__(self) -> None:
        self.queued: list[Message] = []

    def send(self, message: Message) -> None:
        self.queued.append(message)


def report(rank: int) -> RankReport:
    return RankReport("g-1", rank, RANKS, 1, True, 10, 0, 0, None, 0)


def make_large_group() -> tuple[LinkedGroup, list[SlowSession]]:
    clock = ManualClock(start=10_000)
    group = LinkedGroup(RankClient(cast(RankPort, None)), report(0), clock, lambda _: None)
    sessions = [SlowSession() for _ in range(1, RANKS)]
    for rank, session in enumerate(sessions, 1):
        group.on_message(cast(Session, session), to_reading(report(rank), []))
    return group, sessions


def test_repeated_map_orders_do_not_fill_the_owners_memory() -> None:
    """Orders queued on slow links must share one packed map."""
    group, sessions = make_large_group()
    order = MapOrder(MapOrderKind.PREPARE, 5, 1, 3, layers_by_rank=FIRST_MAP)
    tracemalloc.start()
    try:
        for _ in range(8):
            results = group.send_orders(dict.fromkeys(range(1, RANKS), order), timeout=0)
            assert {o.outcome for o in results.values()} == {OrderOutcome.UNKNOWN}
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert sum(len(session.queued) for session in sessions) == 8 * (RANKS - 1)
    assert held < 2_000_000


def test_a_map_is_packed_once_for_all_ranks(monkeypatch: pytest.MonkeyPatch) -> None:
    packed = []

    def pack(layers: tuple[RankLayers, ...]) -> bytes:
        packed.append(layers)
        return pack_layers(layers)

    monkeypatch.setattr(linked_group_module, "pack_layers", pack)
    group, _ = make_large_group()
    order = MapOrder(MapOrderKind.PREPARE, 5, 1, 3, layers_by_rank=FIRST_MAP)
    group.send_orders(dict.fromkeys(range(1, RANKS), order), timeout=0)
    assert packed == [FIRST_MAP]


def test_a_packed_map_is_small_and_decodes_to_the_original() -> None:
    """The packed map must be small and decode to the original."""
    group, sessions = make_large_group()
    order = MapOrder(MapOrderKind.PREPARE, 5, 1, 3, layers_by_rank=FIRST_MAP)
    group.send_orders({1: order}, timeout=0)
    message = sessions[0].queued[0]
    assert isinstance(message, RankOrder)
    assert len(encode_batch([message])) < 1_000
    assert unpack_layers(message.layers_by_rank) == FIRST_MAP


#: Mean count per expert, maximum packed size in bytes, and maximum quantization step.
READINGS = [
    ("one interval of an almost idle rank", 1.5, 1_200, 1),
    ("one interval of a busy rank", 31.0, 2_000, 4),
    ("sum of a domain's ranks", 600.0, 2_600, 16),
    ("sum over a minute", 180_000.0, 6_000, 256),
]


@pytest.mark.parametrize(("mean", "size", "step"), [case[1:] for case in READINGS])
def test_count_quantization_error_is_bounded(mean: float, size: int, step: int) -> None:
    rng = random.Random(1)
    counts = [int(rng.gammavariate(4, mean / 4) + 0.5) for _ in range(LAYERS * EXPERTS)]
    packed = pack_counts(counts)
    unpacked = unpack_counts(packed)
    assert len(packed) < size
    assert max(abs(a - b) for a, b in zip(unpacked, counts, strict=True)) <= step / 2
    assert sum(unpacked) == pytest.approx(sum(counts), rel=0.01)


@pytest.mark.parametrize("pack", [pack_counts, pack_layers])
def test_empty_values_are_packed_as_empty_bytes(pack: object) -> None:
    assert pack([]) == b""  # type: ignore[operator]
    assert unpack_counts(b"") == []
    assert unpack_layers(b"") == ()


BROKEN = [
    ("not compressed", b"\x00\x01"),
    ("truncated", pack_counts([1] * 500)[:-3]),
    ("not a list of integers", zlib.compress(b"\xa1x")),
    ("too large when decompressed", zlib.compress(bytes(2_000_000))),
]


@pytest.mark.parametrize("data", [case[1] for case in BROKEN], ids=[c[0] for c in BROKEN])
def test_invalid_data_raises_packing_error(data: bytes) -> None:
    with pytest.raises(PackingError):
        unpack_counts(data)
    with pytest.raises(PackingError):
        unpack_layers(data)


def test_a_reading_with_invalid_counts_is_ignored() -> None:
    group, _ = make_large_group()
    session = SlowSession()
    reading = to_reading(report(1), [3, 4])
    broken = type(reading)(
        **{f: getattr(reading, f) for f in reading.__struct_fields__} | {"counts": b"x"}
    )
    group.on_message(cast(Session, session), broken)
    assert group.take_counts() == []
    group.on_message(cast(Session, session), reading)
    assert group.take_counts() == [3, 4]
