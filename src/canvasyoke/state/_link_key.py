"""Shared key that authenticates links between processes of one role.

The key is kept in the platform's store, which untrusted hosts cannot reach, unlike the ports
between processes. The first process that finds no key creates one. A store that was restored from
a backup can lack the key or hold a newer one: processes write the key that they know back if there
is none, and otherwise use the stored key.
"""

from __future__ import annotations

import secrets
from typing import Final

import msgspec

from canvasyoke.state._fleet_store import FleetStore, Note

_KIND: Final = "link-keys"
_KEY_BYTES: Final = 32


def read_link_key(store: FleetStore, name: str, known: bytes = b"") -> bytes:
    """Return the key ``name``; empty if the store is unavailable or the key is invalid.

    If there is no key, store ``known``, or a new random key if ``known`` is empty.
    """
    body = msgspec.json.encode(known.hex() if known else secrets.token_hex(_KEY_BYTES))
    note = store.create_note(_KIND, name, body)
    if not isinstance(note, Note):
        return b""
    try:
        return bytes.fromhex(msgspec.json.decode(note.body, type=str))
    except (msgspec.MsgspecError, ValueError):
        return b""
