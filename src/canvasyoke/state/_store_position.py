"""Where in the store's history something came to be.

The store counts its changes, and the number of a change tells what is newer. It may come
back from an older copy of itself: the count then goes back and is given out again, and the
store says so by an era that rises each time. Order is told by the era first.

A position is one number, with the era above the revision. So it compares at the cost of a
number, entries of a release that knew revisions alone order it rightly, and a store without
eras gives the revisions themselves.
"""

from __future__ import annotations

from typing import Final, TypeAlias

#: Bits for the revision: at the 400 writes a second that the store takes, 87 years an era.
_REVISION_BITS: Final = 40

#: An era and a revision of the store; made and taken apart here alone.
StorePosition: TypeAlias = int


def store_position(era: int, revision: int) -> StorePosition:
    """Return the position of a revision in an era; both are 0 or more."""
    return (era << _REVISION_BITS) + revision


def era_of(position: StorePosition) -> int:
    """Return how many times the store had come back from a copy."""
    return position >> _REVISION_BITS


def revision_of(position: StorePosition) -> int:
    """Return the store's own count of changes within the era."""
    return position & ((1 << _REVISION_BITS) - 1)


def format_position(position: StorePosition) -> str:
    """Return a position as people read it: ``ERA.REVISION``, or the revision without eras."""
    era, revision = era_of(position), revision_of(position)
    return f"{era}.{revision}" if era else str(revision)
