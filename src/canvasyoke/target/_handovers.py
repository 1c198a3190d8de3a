"""What a holder of key slots writes down for the next one: the keys that it ran."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import msgspec

from canvasyoke.coordination import Handover, HandoverEntry, slot_of
from canvasyoke.state import CREATE, Found, Platform, Written

_PREFIX: Final = "handover/"
#: Keys in one object at the most: some 300 KB. A slot with more is given back without.
_KEYS: Final = 4_000


class Handovers:
    """The handovers of one service, in the platform's store."""

    def __init__(self, platform: Platform, service: str) -> None:
        self._platform = platform
        self._service = service

    def write(self, keys: Mapping[int, Sequence[HandoverEntry]], label: str) -> dict[int, str]:
        """Write down the keys of some slots; return the object of each slot written.

        Slots share objects, since nobody runs their keys meanwhile: with one object for
        each of 8 slots and a store that took 100 ms an answer, keys had no holder for 3.4
        to 3.6 s, longer than an entry waits for one, and saves were refused.
        """
        names: dict[int, str] = {}
        for number, slots in enumerate(_packed(keys)):
            name = f"{_PREFIX}{self._service}/{label}-{number}"
            notes = [note for slot in slots for note in keys[slot]]
            value = msgspec.json.encode(Handover(notes))
            if isinstance(self._platform.write(name, value, CREATE), Written):
                names.update(dict.fromkeys(slots, name))
        return names

    def read(self, slots: Mapping[int, str], count: int) -> dict[int, list[HandoverEntry]]:
        """Return the keys of each slot whose object can be read, ``count`` slots in all."""
        keys: dict[int, list[HandoverEntry]] = {}
        for name in set(slots.values()):
            found = self._platform.read(name)
            if not isinstance(found, Found):
                continue
            keys.update({slot: [] for slot, each in slots.items() if each == name})
            for note in msgspec.json.decode(found.value, type=Handover).keys:
                slot = slot_of(note.name.split("/", 1)[1], count)
                if slots.get(slot) == name:
                    keys[slot].append(note)
        return keys

    def drop(self, names: Iterable[str]) -> None:
        """Remove objects that no slot refers to any more."""
        for name in names:
            self._platform.delete(name)


def _packed(keys: Mapping[int, Sequence[HandoverEntry]]) -> list[list[int]]:
    """Return the slots in groups that fit an object each; without those too large for one."""
    groups: list[list[int]] = []
    room = 0
    for slot, notes in sorted(keys.items()):
        if len(notes) > _KEYS:
            continue
        if not groups or len(notes) > room:
            groups.append([])
            room = _KEYS
        groups[-1].append(slot)
        room -= len(notes)
    return groups
