"""Fencing tokens ("fences") that order the owners of a group's map.

Ranks reject an order whose fence is below the highest that they have seen. A process that takes
ownership of a group writes the group's object to the platform's store, and the revision of that
write determines its fences, so that they are above those of all earlier owners. A store restored
from an older copy may repeat revisions; its era increases with every restore and therefore takes
precedence over the revision.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import Final

import msgspec

from canvasyoke.state import FleetStore, Note, Unavailable, Unusable, era_of, revision_of

#: Kind of the store objects written when a process takes ownership of a group.
_OWNERS_KIND: Final = "map-owners"
#: Size of the range of numbers reserved for one owner's orders and maps.
_FENCES_PER_OWNER: Final = 100_000
#: Size of the range of revisions reserved for one era: 31 days at 50 writes a second. With up to
#: 671 eras fences stay below 2**53, the limit for exact integers in JSON readers.
_REVISIONS_PER_ERA: Final = 1 << 27
_NONCE_BYTES: Final = 8


@dataclass(slots=True)
class FenceSequence:
    """Strictly increasing numbers, above those of all earlier owners."""

    #: Greater than all numbers of earlier owners.
    base: int
    _allocated: int = 0

    @property
    def last(self) -> int:
        """Return the number allocated last; no version of this owner's maps is above it."""
        return self.base + self._allocated

    def next(self) -> int:
        """Return a number greater than all earlier ones."""
        self._allocated += 1
        return self.base + self._allocated


class _OwnerNote(msgspec.Struct, frozen=True):
    """Stored record of the process that last took ownership of a group."""

    incarnation: str
    epoch: int
    #: Makes every write a change, as a write of equal content keeps the old revision and a process
    #: that takes ownership twice would reuse its numbers.
    nonce: str


def allocate_fences(
    store: FleetStore, group: str, incarnation: str, epoch: int
) -> FenceSequence | Unavailable | Unusable:
    """Return fences above those of all earlier owners of the group."""
    note = _OwnerNote(incarnation, epoch, secrets.token_hex(_NONCE_BYTES))
    written = store.put_note(_OWNERS_KIND, group, msgspec.json.encode(note))
    if not isinstance(written, Note):
        return written
    owner_number = era_of(written.position) * _REVISIONS_PER_ERA + revision_of(written.position)
    return FenceSequence(owner_number * _FENCES_PER_OWNER)
