"""The key that processes of one role share, kept in the platform's store.

Ports between processes can be reached by strangers; the store cannot. The first process
that finds no key makes one. A store that is back from an older copy may have lost it, and
got another from a process that started then: whoever knows the key puts it back where there
is none, and goes by the one that is there.
"""

from __future__ import annotations

import secrets
from typing import Final

import msgspec

from canvasyoke.state._fleet_store import FleetStore, Note

_KIND: Final = "link-keys"
_KEY_BYTES: Final = 32


def read_link_key(store: FleetStore, name: str, known: bytes = b"") -> bytes:
    """Return the key called ``name``; empty while the store does not give it.

    Where there is none, ``known`` becomes it, or a new one if nothing is known.
    """
    body = msgspec.json.encode(known.hex() if known else secrets.token_hex(_KEY_BYTES))
    note = store.create_note(_KIND, name, body)
    if not isinstance(note, Note):
        return b""
    try:
        return bytes.fromhex(msgspec.json.decode(note.body, type=str))
    except (msgspec.MsgspecError, ValueError):
        return b""
