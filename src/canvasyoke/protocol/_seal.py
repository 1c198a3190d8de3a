"""Handshake and frame authentication of links between processes.

Both ends hold the fleet's link key. The dialling end proves possession in its first frame;
the listening end does not respond to an unauthenticated one. Each session derives its own key,
and each frame carries a sequence number, an acknowledgement and a keyed BLAKE2 digest over
both and the payload. A frame that is forged, replayed or out of order ends the session.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
import struct
from dataclasses import dataclass
from typing import Final, TypeVar

import msgspec

from canvasyoke._version import PROTOCOL_VERSION

#: Maximum frame size in bytes.
MAX_FRAME_BYTES: Final = 9 << 20
_HELLO: Final = b"\x01"
_WELCOME: Final = b"\x02"
_FRAME: Final = b"\x03"
_DIGEST_BYTES: Final = 16
_NONCE_BYTES: Final = 16
_FIELDS: Final = struct.Struct(">cQQ")
_MAX_HANDSHAKE_BYTES: Final = 2_048


class HandshakeError(ValueError):
    """The peer did not prove possession of the link key or uses another protocol version."""


class SealError(ValueError):
    """A frame is forged, replayed, out of order or too large."""


class Hello(msgspec.Struct, frozen=True):
    """First frame of a session, from the dialling end."""

    version: int
    role: str
    instance: str
    #: Random id of this run of the process.
    incarnation: str
    nonce: bytes


class Welcome(msgspec.Struct, frozen=True):
    """Reply to a :class:`Hello`, from the listening end."""

    version: int
    instance: str
    incarnation: str
    nonce: bytes


HandshakeModel = TypeVar("HandshakeModel", Hello, Welcome)


@dataclass(frozen=True, slots=True)
class Frame:
    """An authenticated frame."""

    #: Sequence number, starting at 1 without gaps.
    sequence: int
    #: Highest sequence number with a payload that the sender has received.
    acknowledged: int
    #: Encoded batch of messages; empty for acknowledgements and heartbeats.
    payload: bytes


def _digest(key: bytes, *parts: bytes) -> bytes:
    state = hashlib.blake2b(key=key, digest_size=_DIGEST_BYTES)
    for part in parts:
        state.update(part)
    return state.digest()


def _session_key(link_key: bytes, hello_nonce: bytes, welcome_nonce: bytes) -> bytes:
    material = b"session" + hello_nonce + welcome_nonce
    return hashlib.blake2b(material, key=link_key, digest_size=32).digest()


def make_hello(link_key: bytes, role: str, instance: str, incarnation: str) -> tuple[Hello, bytes]:
    """Return a new hello and its encoded frame."""
    hello = Hello(PROTOCOL_VERSION, role, instance, incarnation, secrets.token_bytes(_NONCE_BYTES))
    body = msgspec.msgpack.encode(hello)
    return hello, _HELLO + _digest(link_key, _HELLO, body) + body


def accept_hello(
    link_key: bytes, data: bytes, instance: str, incarnation: str
) -> tuple[Hello, bytes, Sealer, Opener]:
    """Verify a hello; return it, the welcome to send, and the session's sealer and opener.

    Raises :class:`HandshakeError`; the listening end must then not respond.
    """
    hello = _open_handshake(link_key, data, _HELLO, Hello, b"")
    welcome = Welcome(PROTOCOL_VERSION, instance, incarnation, secrets.token_bytes(_NONCE_BYTES))
    body = msgspec.msgpack.encode(welcome)
    reply = _WELCOME + _digest(link_key, _WELCOME, hello.nonce, body) + body
    key = _session_key(link_key, hello.nonce, welcome.nonce)
    return hello, reply, Sealer(key, b"L"), Opener(key, b"D")


def accept_welcome(link_key: bytes, hello: Hello, data: bytes) -> tuple[Welcome, Sealer, Opener]:
    """Verify the reply to ``hello``; return it and the session's sealer and opener."""
    welcome = _open_handshake(link_key, data, _WELCOME, Welcome, hello.nonce)
    key = _session_key(link_key, hello.nonce, welcome.nonce)
    return welcome, Sealer(key, b"D"), Opener(key, b"L")


def _open_handshake(
    link_key: bytes, data: bytes, kind: bytes, model: type[HandshakeModel], context: bytes
) -> HandshakeModel:
    if len(data) > _MAX_HANDSHAKE_BYTES or data[:1] != kind:
        raise HandshakeError("the first frame is not a handshake")
    digest, body = data[1 : 1 + _DIGEST_BYTES], data[1 + _DIGEST_BYTES :]
    if not hmac.compare_digest(digest, _digest(link_key, kind, context, body)):
        raise HandshakeError("the peer does not hold the link key")
    try:
        message = msgspec.msgpack.decode(body, type=model)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise HandshakeError(f"malformed handshake: {exc}") from None
    if message.version != PROTOCOL_VERSION:
        raise HandshakeError(
            f"peer has protocol version {message.version}, expected {PROTOCOL_VERSION}"
        )
    return message


class Sealer:
    """Numbers and authenticates outgoing frames; used by one thread."""

    def __init__(self, key: bytes, direction: bytes) -> None:
        self._key = key
        self._direction = direction
        self._sequence = 0

    @property
    def sequence(self) -> int:
        """Return the sequence number of the last frame."""
        return self._sequence

    def seal(self, payload: bytes, acknowledged: int) -> bytes:
        """Return a frame with ``payload``."""
        if len(payload) > MAX_FRAME_BYTES - _FIELDS.size - _DIGEST_BYTES:
            raise SealError(f"a payload of {len(payload)} bytes exceeds the frame size limit")
        self._sequence += 1
        fields = _FIELDS.pack(_FRAME, self._sequence, acknowledged)
        return fields + _digest(self._key, self._direction, fields, payload) + payload


class Opener:
    """Verifies incoming frames; used by one thread."""

    def __init__(self, key: bytes, direction: bytes) -> None:
        self._key = key
        self._direction = direction
        self._sequence = 0

    @property
    def sequence(self) -> int:
        """Return the sequence number of the last frame received."""
        return self._sequence

    def open(self, data: bytes) -> Frame:
        """Verify and return a frame; raises :class:`SealError` if it is invalid."""
        start = _FIELDS.size + _DIGEST_BYTES
        if len(data) < start or data[:1] != _FRAME:
            raise SealError("not a session frame")
        fields, digest, payload = data[: _FIELDS.size], data[_FIELDS.size : start], data[start:]
        if not hmac.compare_digest(digest, _digest(self._key, self._direction, fields, payload)):
            raise SealError("invalid frame digest")
        _, sequence, acknowledged = _FIELDS.unpack(fields)
        if sequence != self._sequence + 1:
            raise SealError(f"frame {sequence} received after frame {self._sequence}")
        self._sequence = sequence
        return Frame(sequence, acknowledged, payload)
