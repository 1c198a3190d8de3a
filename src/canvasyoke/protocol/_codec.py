"""Batches of messages as MessagePack, by msgspec."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from canvasyoke.protocol._messages import Message

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Message])


class CodecError(ValueError):
    """Bytes that are not a batch of known messages."""


def encode_batch(messages: Sequence[Message]) -> bytes:
    """Return the bytes of ``messages``."""
    return _encoder.encode(messages)


def decode_batch(data: bytes) -> list[Message]:
    """Return the messages in ``data`` or raise :class:`CodecError`."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise CodecError(str(exc)) from exc
