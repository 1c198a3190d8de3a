"""Numbers that order the owners of a group's map, taken from the platform's store.

Ranks turn away an order whose fence is below the highest that they have seen. Each time
that a process takes a group on it writes the group's object anew; the revision of that
write is above those of all writes before it, so its fences are too.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import Final

import msgspec

from canvasyoke.state import FleetStore, Note, Unavailable, Unusable

#: Kind of the objects that number the owners of a group.
_OWNERS: Final = "map-owners"
#: Orders and maps that one owner can number before it would reach the next one's.
_FENCES_PER_OWNER: Final = 100_000
_NONCE_BYTES: Final = 8


@dataclass(slots=True)
class Fences:
    """Numbers that only rise, also from one owner to the next."""

    #: Above every number of earlier owners.
    base: int
    _used: int = 0

    def next(self) -> int:
        """Return a number above all before it."""
        self._used += 1
        return self.base + self._used


class _OwnerNote(msgspec.Struct, frozen=True):
    """Who took a group on last."""

    incarnation: str
    epoch: int
    #: Makes each taking a change: a write that changes nothing has no new revision, and
    #: a process that takes the same group on twice would reuse its own numbers.
    nonce: str


def take_fences(
    store: FleetStore, group: str, incarnation: str, epoch: int
) -> Fences | Unavailable | Unusable:
    """Return fences above those of every owner before."""
    note = _OwnerNote(incarnation, epoch, secrets.token_hex(_NONCE_BYTES))
    written = store.put_note(_OWNERS, group, msgspec.json.encode(note))
    if not isinstance(written, Note):
        return written
    return Fences(written.revision * _FENCES_PER_OWNER)
