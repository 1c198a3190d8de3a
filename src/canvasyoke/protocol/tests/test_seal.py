import msgspec
import pytest

from canvasyoke.protocol import (
    Chunk,
    CodecError,
    HandshakeError,
    Opener,
    Sealer,
    SealError,
    accept_hello,
    accept_welcome,
    decode_batch,
    encode_batch,
    make_hello,
)

KEY = b"k" * 32


def handshake(dial_key: bytes = KEY, listen_key: bytes = KEY) -> tuple[Sealer, Opener]:
    """Return the dialling end's sealer and the listening end's opener."""
    hello, data = make_hello(dial_key, "entry", "e-1", "run-1")
    _, welcome, _, opener = accept_hello(listen_key, data, "t-1", "run-2")
    _, sealer, _ = accept_welcome(dial_key, hello, welcome)
    return sealer, opener


def test_frames_are_accepted_in_order() -> None:
    sealer, opener = handshake()
    for number in range(1, 4):
        frame = opener.open(sealer.seal(b"x" * number, number))
        assert (frame.sequence, frame.acknowledged, len(frame.payload)) == (number, number, number)


def test_peer_without_the_link_key_is_rejected() -> None:
    with pytest.raises(HandshakeError, match="link key"):
        handshake(dial_key=b"z" * 32)


@pytest.mark.parametrize(
    "data", [b"", b"GET / HTTP/1.1\r\n\r\n", b"\x01" + bytes(40), bytes(5_000)]
)
def test_invalid_hello_is_rejected(data: bytes) -> None:
    with pytest.raises(HandshakeError):
        accept_hello(KEY, data, "t-1", "run-2")


def test_welcome_of_another_session_is_rejected() -> None:
    hello, data = make_hello(KEY, "entry", "e-1", "run-1")
    other, _ = make_hello(KEY, "entry", "e-1", "run-1")
    welcome = accept_hello(KEY, data, "t-1", "run-2")[1]
    accept_welcome(KEY, hello, welcome)
    with pytest.raises(HandshakeError):
        accept_welcome(KEY, other, welcome)


@pytest.mark.parametrize("position", [0, 3, 12, 20, -1])
def test_modified_frame_is_rejected(position: int) -> None:
    sealer, opener = handshake()
    frame = bytearray(sealer.seal(b"payload", 0))
    frame[position] ^= 1
    with pytest.raises(SealError):
        opener.open(bytes(frame))


def test_replayed_and_skipped_frames_are_rejected() -> None:
    sealer, opener = handshake()
    first, _skipped, third = (sealer.seal(b"x", 0) for _ in range(3))
    opener.open(first)
    for frame in (first, third):
        with pytest.raises(SealError, match="received after"):
            opener.open(frame)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode([{"type": "no-such-message"}]),
        msgspec.msgpack.encode([{"type": "chunk", "request": -1}]),
        msgspec.msgpack.encode({"type": "chunk"}),
    ],
)
def test_invalid_batches_are_rejected(data: bytes) -> None:
    with pytest.raises(CodecError):
        decode_batch(data)


def test_batch_round_trip() -> None:
    batch = [Chunk(1, 1, 0, b"a"), Chunk(1, 1, 1, b"b")]
    assert decode_batch(encode_batch(batch)) == batch
