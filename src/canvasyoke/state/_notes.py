"""The system's own notes in the platform's store, each read alone.

Others may write there too: a note that cannot be read tells nothing and stops nobody.
"""

from __future__ import annotations

from typing import Annotated, TypeAlias, TypeVar

import msgspec

from canvasyoke.state._fleet_store import Note, Unusable

#: Where a process or an engine listens, as ``IP:PORT``.
SocketAddress: TypeAlias = Annotated[
    str, msgspec.Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")
]
NoteT = TypeVar("NoteT")


def read_note(note: Note, kind: type[NoteT]) -> NoteT | Unusable:
    """Return what a note tells, or why it cannot be read."""
    try:
        return msgspec.json.decode(note.body, type=kind)
    except (msgspec.MsgspecError, RecursionError) as exc:
        return Unusable(f"the note {note.name} cannot be read: {exc}")
