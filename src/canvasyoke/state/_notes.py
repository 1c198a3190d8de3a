"""Decoding of notes, the objects that canvasyoke itself keeps in the platform's store.

Other writers can create notes too, so each note is decoded separately and an invalid one does not
affect the others.
"""

from __future__ import annotations

from typing import Annotated, TypeAlias, TypeVar

import msgspec

from canvasyoke.state._fleet_store import Note, Unusable

#: Address on which a process or an engine listens, as ``IP:PORT``.
SocketAddress: TypeAlias = Annotated[
    str, msgspec.Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")
]
NoteT = TypeVar("NoteT")


def read_note(note: Note, kind: type[NoteT]) -> NoteT | Unusable:
    """Decode the body of ``note`` as ``kind``; return the error if it is invalid."""
    try:
        return msgspec.json.decode(note.body, type=kind)
    except (msgspec.MsgspecError, RecursionError) as exc:
        return Unusable(f"the note {note.name} cannot be read: {exc}")
