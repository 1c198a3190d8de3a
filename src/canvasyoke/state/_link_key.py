"""The key that processes of one role share, kept in the platform's store.

Ports between processes can be reached by strangers; the store cannot. The first process
that finds no key makes one.
"""

from __future__ import annotations

import secrets
from typing import Final

import msgspec

from canvasyoke.state._fleet_store import FleetStore, Note

_KIND: Final = "link-keys"
_KEY_BYTES: Final = 32


def read_link_key(store: FleetStore, name: str) -> bytes:
    """Return the key called ``name``; empty while the store does not give it."""
    body = msgspec.json.encode(secrets.token_hex(_KEY_BYTES))
    note = store.create_note(_KIND, name, body)
    if not isinstance(note, Note):
        return b""
    try:
        return bytes.fromhex(msgspec.json.decode(note.body, type=str))
    except (msgspec.MsgspecError, ValueError):
        return b""
