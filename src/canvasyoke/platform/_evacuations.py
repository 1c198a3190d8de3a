"""Decodes the evacuations in the platform's store.

The name of an object is the failure domain; its body says nothing more and is not decoded, so that
an object that another program wrote badly still evacuates its domain.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from canvasyoke.platform._bounds import MAX_TEXT_LENGTH
from canvasyoke.platform._endpoints import read_name
from canvasyoke.platform._json_parts import DECODE_ERRORS, split_object
from canvasyoke.state import EvacuationChanges, EvacuationRead, StorePosition, Unusable


def read_evacuations(items: Iterable[bytes], position: StorePosition) -> EvacuationRead:
    """Return the domains named by the objects of a list; objects without a name are ignored."""
    names = (read_name(item) for item in items)
    return EvacuationRead(frozenset(name for name in names if _is_domain(name)), position)


def read_evacuation_changes(
    events: Iterable[bytes], position: StorePosition
) -> EvacuationChanges | Unusable:
    """Decode the events of a watch, in order; unusable if the name in one cannot be decoded."""
    changes = []
    for event in events:
        try:
            parts = split_object(event)
            is_gone = msgspec.json.decode(parts.get("gone", b"false"), type=bool)
            name = read_name(parts["object"])
        except (*DECODE_ERRORS, KeyError) as exc:
            return Unusable(f"a change of an evacuation cannot be read: {exc}")
        if not name:
            return Unusable("a change of an evacuation has no name")
        if _is_domain(name):
            changes.append((name, not is_gone))
    return EvacuationChanges(tuple(changes), position)


def _is_domain(name: str) -> bool:
    return 0 < len(name) <= MAX_TEXT_LENGTH
