"""Tests for writing and reading handover objects."""

from __future__ import annotations

from collections.abc import Mapping

import pytest

from canvasyoke.coordination import HandoverEntry, slot_of
from canvasyoke.target._handover_store import HandoverStore
from fakes.memory_platform import MemoryPlatform

SLOT_COUNT = 8
MAX_KEYS_PER_OBJECT = 4_000

#: Case, keys of each slot, expected number of objects, slots without an object.
PACKING_CASES: list[tuple[str, dict[int, int], int, set[int]]] = [
    ("nothing", {}, 0, set()),
    ("slots that ran nothing share one", dict.fromkeys(range(8), 0), 1, set()),
    ("a few keys each", dict.fromkeys(range(8), 20), 1, set()),
    (
        "as many as one object holds",
        {0: MAX_KEYS_PER_OBJECT // 2, 1: MAX_KEYS_PER_OBJECT // 2},
        1,
        set(),
    ),
    ("one more", {0: MAX_KEYS_PER_OBJECT // 2, 1: MAX_KEYS_PER_OBJECT // 2 + 1}, 2, set()),
    ("one slot with too many", {0: 5, 1: MAX_KEYS_PER_OBJECT + 1, 2: 5}, 1, {1}),
]


def make_entries(slot: int, count: int) -> list[HandoverEntry]:
    """Return entries of ``count`` keys that fall into ``slot``."""
    names = (f"org/{slot}-{number}" for number in range(SLOT_COUNT * (count * 2 + 40)))
    found = [name for name in names if slot_of(name.split("/", 1)[1], SLOT_COUNT) == slot]
    return [HandoverEntry(name, 1, b"d") for name in found[:count]]


@pytest.mark.parametrize(("case", "sizes", "objects", "unwritten"), PACKING_CASES)
def test_slots_share_objects_up_to_the_limit(
    case: str, sizes: Mapping[int, int], objects: int, unwritten: set[int]
) -> None:
    platform = MemoryPlatform()
    store = HandoverStore(platform, "shelf")
    keys = {slot: make_entries(slot, size) for slot, size in sizes.items()}
    assert {slot: len(entries) for slot, entries in keys.items()} == dict(sizes)
    names = store.write(keys, "7-run")
    assert platform.writes == objects
    assert set(sizes) - set(names) == unwritten
    read = store.read(names, SLOT_COUNT)
    assert read == {slot: entries for slot, entries in keys.items() if slot not in unwritten}


def test_read_returns_only_the_requested_slots() -> None:
    platform = MemoryPlatform()
    store = HandoverStore(platform, "shelf")
    keys = {slot: make_entries(slot, 3) for slot in range(4)}
    names = store.write(keys, "7-run")
    assert store.read({2: names[2]}, SLOT_COUNT) == {2: keys[2]}


def test_missing_object_yields_no_keys() -> None:
    store = HandoverStore(MemoryPlatform(), "shelf")
    assert store.read({1: "handover/shelf/gone"}, SLOT_COUNT) == {}


def test_unavailable_store_yields_no_object_names() -> None:
    platform = MemoryPlatform(down=True)
    assert HandoverStore(platform, "shelf").write({1: make_entries(1, 2)}, "7-run") == {}
