"""Positions in the store's history.

The store numbers its changes with increasing revisions. Restoring it from a backup resets the
revision, so that revisions are reused; the store then increments its era. Positions are ordered by
era first and revision second.

A position packs both into one integer, with the era in the high bits. Positions therefore compare
as integers, and those of era 0 equal the revision, which keeps them compatible with releases and
stores without eras.
"""

from __future__ import annotations

from typing import Final, TypeAlias

#: Bits for the revision; at 400 writes per second they suffice for 87 years per era.
_REVISION_BITS: Final = 40
#: Largest revision that a position can contain.
MAX_REVISION: Final = (1 << _REVISION_BITS) - 1

#: A packed era and revision. Only this module encodes and decodes it.
StorePosition: TypeAlias = int


def store_position(era: int, revision: int) -> StorePosition:
    """Pack an era and a revision, both non-negative, into a position."""
    return (era << _REVISION_BITS) + revision


def era_of(position: StorePosition) -> int:
    """Return the era: how many times the store had been restored from a backup."""
    return position >> _REVISION_BITS


def revision_of(position: StorePosition) -> int:
    """Return the revision within the era."""
    return position & MAX_REVISION


def format_position(position: StorePosition) -> str:
    """Format a position as ``ERA.REVISION``, or as ``REVISION`` in era 0."""
    era, revision = era_of(position), revision_of(position)
    return f"{era}.{revision}" if era else str(revision)
