"""How many objects a handover takes, and which keys come back from them."""

from __future__ import annotations

from collections.abc import Mapping

import pytest

from canvasyoke.coordination import HandoverEntry, slot_of
from canvasyoke.target._handovers import Handovers
from fakes.memory_platform import MemoryPlatform

COUNT = 8
LIMIT = 4_000

#: Keys that each slot ran; the objects written; slots that have none.
PACKINGS: list[tuple[str, dict[int, int], int, set[int]]] = [
    ("nothing", {}, 0, set()),
    ("slots that ran nothing share one", dict.fromkeys(range(8), 0), 1, set()),
    ("a few keys each", dict.fromkeys(range(8), 20), 1, set()),
    ("as many as one object holds", {0: LIMIT // 2, 1: LIMIT // 2}, 1, set()),
    ("one more", {0: LIMIT // 2, 1: LIMIT // 2 + 1}, 2, set()),
    ("one slot with too many", {0: 5, 1: LIMIT + 1, 2: 5}, 1, {1}),
]


def notes(slot: int, count: int) -> list[HandoverEntry]:
    """Return notes of keys that fall into ``slot``."""
    names = (f"org/{slot}-{number}" for number in range(COUNT * (count * 2 + 40)))
    found = [name for name in names if slot_of(name.split("/", 1)[1], COUNT) == slot]
    return [HandoverEntry(name, 1, b"d") for name in found[:count]]


@pytest.mark.parametrize(("case", "sizes", "objects", "without"), PACKINGS)
def test_slots_share_objects(
    case: str, sizes: Mapping[int, int], objects: int, without: set[int]
) -> None:
    platform = MemoryPlatform()
    handovers = Handovers(platform, "shelf")
    keys = {slot: notes(slot, size) for slot, size in sizes.items()}
    assert {slot: len(each) for slot, each in keys.items()} == dict(sizes)
    names = handovers.write(keys, "7-run")
    assert platform.writes == objects
    assert set(sizes) - set(names) == without
    read = handovers.read(names, COUNT)
    assert read == {slot: each for slot, each in keys.items() if slot not in without}


def test_only_the_keys_of_slots_asked_for_come_back() -> None:
    platform = MemoryPlatform()
    handovers = Handovers(platform, "shelf")
    keys = {slot: notes(slot, 3) for slot in range(4)}
    names = handovers.write(keys, "7-run")
    assert handovers.read({2: names[2]}, COUNT) == {2: keys[2]}


def test_an_object_that_is_gone_is_nobody_s_word() -> None:
    handovers = Handovers(MemoryPlatform(), "shelf")
    assert handovers.read({1: "handover/shelf/gone"}, COUNT) == {}


def test_a_store_that_is_out_takes_nothing() -> None:
    platform = MemoryPlatform(down=True)
    assert Handovers(platform, "shelf").write({1: notes(1, 2)}, "7-run") == {}
