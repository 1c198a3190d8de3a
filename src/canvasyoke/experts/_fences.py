"""Numbers that order the owners of a group's map, taken from the platform's store.

Ranks turn away an order whose fence is below the highest that they have seen. Each time
that a process takes a group on it writes the group's object anew; the revision of that
write is above those of all writes before it, so its fences are too. A store that is back
from an older copy gives revisions out again; its era, which rises, goes before them.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import Final

import msgspec

from canvasyoke.state import FleetStore, Note, Unavailable, Unusable, era_of, revision_of

#: Kind of the objects that number the owners of a group.
_OWNERS: Final = "map-owners"
#: Orders and maps that one owner can number before it would reach the next one's.
_FENCES_PER_OWNER: Final = 100_000
#: Revisions that one era of the store can number before it would reach the next one's: at
#: 50 writes a second 31 days. With 671 eras fences stay below 2 to the 53rd, up to which
#: any reader of JSON takes whole numbers.
_REVISIONS_PER_ERA: Final = 1 << 27
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
    owners = era_of(written.position) * _REVISIONS_PER_ERA + revision_of(written.position)
    return Fences(owners * _FENCES_PER_OWNER)
