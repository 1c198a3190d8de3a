"""Encodes batches of messages as MessagePack."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from canvasyoke.protocol._messages import Message

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Message])


class CodecError(ValueError):
    """Data that is not a valid batch of messages."""


def encode_batch(messages: Sequence[Message]) -> bytes:
    """Encode ``messages``."""
    return _encoder.encode(messages)


def decode_batch(data: bytes) -> list[Message]:
    """Decode a batch; raises :class:`CodecError` if it is invalid."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise CodecError(str(exc)) from exc
