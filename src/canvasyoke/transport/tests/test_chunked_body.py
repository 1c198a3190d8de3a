"""Chunked bodies of requests.

Guards against limits that count the framing as content, and against lines without a limit.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from waitress.buffers import OverflowableBuffer

from canvasyoke.transport._chunked_body import ChunkedBody

MAX_BYTES = 40
MAX_LINE = 30


def _received(pieces: list[bytes]) -> tuple[ChunkedBody, int]:
    """Return a body that has received these pieces, and how many bytes it took for its own."""
    body = ChunkedBody(OverflowableBuffer(1 << 20), MAX_BYTES, MAX_LINE)
    used = 0
    for piece in pieces:
        used += body.received(piece)
        if body.completed or body.error:
            break
    return body, used


@st.composite
def _chunked(draw: st.DrawFn) -> tuple[bytes, bytes]:
    """Return a body within the limits, and its encoding."""
    content = draw(st.binary(max_size=MAX_BYTES))
    encoded = b""
    rest = content
    while rest:
        size = draw(st.integers(1, len(rest)))
        extension = draw(st.sampled_from([b"", b";a", b";a=b", b';a="\\""']))
        encoded += b"%x%s\r\n%s\r\n" % (size, extension, rest[:size])
        rest = rest[size:]
    trailer = draw(st.sampled_from([b"", b"Checksum: 1\r\n", b"A: 1\r\nB: 2\r\n"]))
    return content, encoded + b"0\r\n" + trailer + b"\r\n"


@given(_chunked(), st.lists(st.integers(1, 12), max_size=60), st.binary(max_size=4))
def test_a_body_within_the_limits_is_decoded(
    body: tuple[bytes, bytes], sizes: list[int], following: bytes
) -> None:
    content, encoded = body
    data, pieces = encoded + following, []
    for size in sizes:
        pieces.append(data[:size])
        data = data[size:]
    received, used = _received([piece for piece in [*pieces, data] if piece])
    assert received.error is None
    assert received.completed
    assert received.getfile().getvalue() == content
    assert used == len(encoded)


#: Encodings that are refused, and the status that says so.
REFUSED = [
    ("content over the limit", b"29\r\n", 413),
    ("chunks that add up to more", b"14\r\n" + bytes(20) + b"\r\n15\r\n", 413),
    ("a size of many digits", b"f" * 20 + b"\r\n", 413),
    ("a size line without end", b"0" * 31, 400),
    ("a size line over the limit", b"0" * 31 + b"1\r\na\r\n", 400),
    ("an extension without end", b"5;" + b"x" * 30, 400),
    ("a trailer without end", b"0\r\n" + b"x" * 31, 400),
    ("trailers without end", b"0\r\n" + b"x: 1\r\n" * 8, 400),
    ("no size", b"\r\n", 400),
    ("a size that is no number", b"+5\r\nabcde\r\n", 400),
    ("a line feed behind the size", b"5\n\r\nabcde\r\n", 400),
    ("a chunk that is longer than its size", b"1\r\nab\r\n", 400),
    ("an extension that is none", b"1;\r\n", 400),
]


@pytest.mark.parametrize(
    ("encoded", "status"), [case[1:] for case in REFUSED], ids=[case[0] for case in REFUSED]
)
@pytest.mark.parametrize("step", [1, 1_000])
def test_other_bodies_are_refused(encoded: bytes, status: int, step: int) -> None:
    pieces = [encoded[start : start + step] for start in range(0, len(encoded), step)]
    body, _ = _received(pieces)
    assert body.error is not None
    assert body.error.code == status
    assert body.unfinished_bytes <= MAX_LINE


def test_the_framing_has_a_limit() -> None:
    """Chunks whose content stays within the limit may not repeat extensions without end."""
    chunk = b"1;" + b"x" * 20 + b"\r\na\r\n"
    body, _ = _received([chunk] * MAX_BYTES)
    assert body.error is not None
    assert len(body) < MAX_BYTES
