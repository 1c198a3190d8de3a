"""Handover of a slot's executed keys to its next holder, through the platform's store."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import msgspec

from canvasyoke.coordination import Handover, HandoverEntry, slot_of
from canvasyoke.state import CREATE, Found, Platform, Written

_KEY_PREFIX: Final = "handover/"
#: Limits an object to about 300 KB. Slots with more keys are released without a handover.
_MAX_KEYS_PER_OBJECT: Final = 4_000


class HandoverStore:
    """Reads and writes the handover objects of one service."""

    def __init__(self, platform: Platform, service: str) -> None:
        self._platform = platform
        self._service = service

    def write(self, keys: Mapping[int, Sequence[HandoverEntry]], prefix: str) -> dict[int, str]:
        """Write the keys of some slots; return the object name of each slot written.

        Slots share objects to reduce the number of writes: until they complete, the slots
        have no holder, and entries refuse requests that wait too long for one.
        """
        names: dict[int, str] = {}
        for number, slots in enumerate(_pack_slots(keys)):
            name = f"{_KEY_PREFIX}{self._service}/{prefix}-{number}"
            entries = [entry for slot in slots for entry in keys[slot]]
            value = msgspec.json.encode(Handover(entries))
            if isinstance(self._platform.write(name, value, CREATE), Written):
                names.update(dict.fromkeys(slots, name))
        return names

    def read(self, slots: Mapping[int, str], count: int) -> dict[int, list[HandoverEntry]]:
        """Return the keys of each slot whose object is readable.

        ``count`` is the number of slots in the service's table.
        """
        keys: dict[int, list[HandoverEntry]] = {}
        for name in set(slots.values()):
            found = self._platform.read(name)
            if not isinstance(found, Found):
                continue
            keys.update({slot: [] for slot, object_name in slots.items() if object_name == name})
            for entry in msgspec.json.decode(found.value, type=Handover).keys:
                slot = slot_of(entry.name.split("/", 1)[1], count)
                if slots.get(slot) == name:
                    keys[slot].append(entry)
        return keys

    def delete(self, names: Iterable[str]) -> None:
        """Delete objects that no slot refers to any more."""
        for name in names:
            self._platform.delete(name)


def _pack_slots(keys: Mapping[int, Sequence[HandoverEntry]]) -> list[list[int]]:
    """Group slots so that each group fits one object; omit slots too large for one."""
    groups: list[list[int]] = []
    remaining = 0
    for slot, entries in sorted(keys.items()):
        if len(entries) > _MAX_KEYS_PER_OBJECT:
            continue
        if not groups or len(entries) > remaining:
            groups.append([])
            remaining = _MAX_KEYS_PER_OBJECT
        groups[-1].append(slot)
        remaining -= len(entries)
    return groups
