"""Reads the heads and chunks of answers strictly, before the HTTP libraries interpret them.

The libraries pass over lines that are no fields, and read numbers in more forms than HTTP has. What
they make of a head that is spoilt may be an answer whose body is not the one that was sent.
"""

from __future__ import annotations

import http.client
import io
import re
from collections import deque
from typing import Final, Protocol

_MAX_LINE_BYTES: Final = 64 << 10
_TOKEN: Final = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
#: Visible characters, blanks and bytes above 127 (RFC 9110, 5.5).
_TEXT: Final = rb"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE: Final = re.compile(rb"HTTP/1\.([0-9]) ([1-5][0-9][0-9])(?: " + _TEXT + rb")?")
_FIELD: Final = re.compile(rb"(" + _TOKEN + rb"):(" + _TEXT + rb")")
_CHUNK_SIZE_LINE: Final = re.compile(rb"([0-9A-Fa-f]+)[\t ]*(?:;" + _TEXT + rb")?")
#: Twenty digits hold any length in 64 bits.
_DIGITS: Final = re.compile(rb"[0-9]{1,20}")
_BLANKS: Final = b" \t"
_LENGTH: Final = b"content-length"
_CODING: Final = b"transfer-encoding"
_CHUNKED: Final = b"chunked"


class MalformedAnswer(http.client.HTTPException):
    """What was received is no answer in HTTP."""


class Source(Protocol):
    """A buffered socket."""

    def readline(self, limit: int = -1, /) -> bytes:
        """Read a line; without its end if the connection has ended."""

    def read(self, size: int = -1, /) -> bytes:
        """Read bytes until the end of the connection, or ``size`` of them."""

    def read1(self, size: int = -1, /) -> bytes:
        """Read what is there, at most ``size`` bytes."""

    def readinto(self, buffer: bytearray | memoryview, /) -> int:
        """Read bytes into a buffer; return how many."""

    def close(self) -> None:
        """Close the socket."""


class AnswerReader(io.BufferedIOBase):
    """Gives the HTTP libraries the lines and bytes of a socket that are an answer.

    Raises :class:`MalformedAnswer` for the others, and passes on what sockets raise.
    """

    def __init__(self, source: Source) -> None:
        self._source = source
        #: Lines of the head that were checked and not yet read; ``None`` before a status line.
        self._fields: deque[bytes] | None = None
        self._version = b""
        #: Whether the head is read; what follows is a body.
        self._is_body = False
        self._is_chunked = False
        #: Bytes of the current chunk that were not read; ``None`` where a size is expected.
        self._chunk_left: int | None = None

    def begin_body(self) -> None:
        """Expect the body of the answer whose head was read last."""
        self._is_body = True

    def readline(self, limit: int | None = -1, /) -> bytes:
        """Read a line of the head, the size of a chunk or a trailer."""
        if self._is_body:
            return self._read_chunk_line(-1 if limit is None else limit)
        if self._fields is None:
            return self._read_status_line()
        line = self._fields.popleft()
        if not self._fields:
            self._fields = None
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        """Read a part of the body."""
        data = self._source.read(-1 if size is None else size)
        if self._is_chunked:
            self._check_chunk(data)
        return data

    def read1(self, size: int = -1, /) -> bytes:
        """Read what is there of a body that has no chunks."""
        return self._source.read1(size)

    def readinto(self, buffer: bytearray | memoryview, /) -> int:  # type: ignore[override]
        """Read a part of a body that has no chunks."""
        return self._source.readinto(buffer)

    def close(self) -> None:
        """Close the socket."""
        self._source.close()
        super().close()

    def _read_status_line(self) -> bytes:
        line = self._source.readline(_MAX_LINE_BYTES + 1)
        if not line:
            return line
        status_line = _STATUS_LINE.fullmatch(_content(line))
        if status_line is None:
            raise MalformedAnswer(f"no status line: {line[:100]!r}")
        self._version = status_line[1]
        self._fields = deque(self._read_fields())
        return line

    def _read_fields(self) -> list[bytes]:
        """Return the checked fields, with the empty line behind them."""
        lines: list[bytes] = []
        while line := _content(self._source.readline(_MAX_LINE_BYTES + 1)):
            if line[:1] not in (b" ", b"\t"):
                lines.append(line)
            elif lines:
                # RFC 9112, 5.2: a line that continues another one is joined to it by a blank.
                lines[-1] = lines[-1].rstrip(_BLANKS) + b" " + line.lstrip(_BLANKS)
            else:
                raise MalformedAnswer("a blank before the first field")
        fields = [_parse_field(line) for line in lines]
        return [name + b": " + value + b"\r\n" for name, value in self._unify(fields)] + [b"\r\n"]

    def _unify(self, fields: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
        """Return the fields with at most one length; raise if they do not agree on the framing."""
        values = [value for name, value in fields if name.lower() == _LENGTH]
        lengths = [part.strip(_BLANKS) for value in values for part in value.split(b",")]
        if any(not _DIGITS.fullmatch(length) or length != lengths[0] for length in lengths):
            raise MalformedAnswer(f"no length: {lengths!r}")
        codings = [value.lower() for name, value in fields if name.lower() == _CODING]
        if codings and (codings != [_CHUNKED] or self._version == b"0"):
            raise MalformedAnswer(f"no coding that is known: {codings!r}")
        self._is_chunked = bool(codings)
        others = [field for field in fields if field[0].lower() != _LENGTH]
        return others + ([(b"Content-Length", lengths[0])] if lengths else [])

    def _read_chunk_line(self, limit: int) -> bytes:
        line = self._source.readline(limit)
        if self._is_chunked and self._chunk_left is None and line:
            size = _CHUNK_SIZE_LINE.fullmatch(line.rstrip(b"\n").removesuffix(b"\r"))
            if size is None:
                raise MalformedAnswer(f"no size of a chunk: {line[:100]!r}")
            self._chunk_left = int(size[1], 16)
        return line

    def _check_chunk(self, data: bytes) -> None:
        """Check that a chunk ends where its size says; the libraries drop what is there."""
        if self._chunk_left is None or not data:
            return
        if self._chunk_left:
            self._chunk_left -= len(data)
        elif data == b"\r\n":
            self._chunk_left = None
        else:
            raise MalformedAnswer("a chunk is longer than its size")


def _content(line: bytes) -> bytes:
    """Return a line without its end; raises if it has none."""
    if not line.endswith(b"\n"):
        raise MalformedAnswer("the head ends within a line, or a line is too long")
    return line[:-1].removesuffix(b"\r")


def _parse_field(line: bytes) -> tuple[bytes, bytes]:
    field = _FIELD.fullmatch(line)
    if field is None:
        raise MalformedAnswer(f"no field: {line[:100]!r}")
    return field[1], field[2].strip(_BLANKS)
