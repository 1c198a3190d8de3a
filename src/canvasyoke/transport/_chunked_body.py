"""Decodes the chunked bodies of requests, with limits for all that frames them."""

from __future__ import annotations

import re
from typing import Any, Final

from waitress.receiver import ChunkedReceiver
from waitress.rfc7230 import CHUNK_EXT_RE
from waitress.utilities import BadRequest, RequestEntityTooLarge

_LINE_END: Final = b"\r\n"
#: Wrong in the type stubs of waitress.
_EXTENSIONS: Final[Any] = CHUNK_EXT_RE
_PLAIN_SIZE_LINE: Final = re.compile(rb"([0-9A-Fa-f]{1,8})\r\n")
_CHUNK_SIZE: Final = re.compile(rb"[0-9A-Fa-f]+")
#: Bytes that may frame one byte of the longest body. A chunk of one byte is framed by five.
_FRAMING_FACTOR: Final = 8


class ChunkedBody(ChunkedReceiver):
    """Decodes a body in one pass over the bytes received.

    The limit of a body is for its content. Waitress counts the framing as well, keeps lines of any
    length, and copies the rest of what it reads for every chunk and every part of a line.
    """

    def __init__(self, buf: Any, max_bytes: int, max_line: int) -> None:
        super().__init__(buf)
        self._max_bytes = max_bytes
        #: Limit of a size line with its extensions, and of all trailers together.
        self._max_line = max_line
        self._max_framing = self._framing_left = _FRAMING_FACTOR * max_bytes + max_line
        self._content_bytes = 0
        self._chunk_bytes_left = 0
        self._expects_chunk_end = False
        self._trailer_bytes = 0
        #: Part of a line whose end has not been received.
        self._line = b""

    @property
    def unfinished_bytes(self) -> int:
        """Return the number of bytes kept of an unfinished line."""
        return len(self._line)

    @property
    def is_fragmented(self) -> bool:
        """Return whether more bytes frame the content than it has, so that it costs much time."""
        return self._max_framing - self._framing_left > self._content_bytes

    def received(self, s: bytes) -> int:
        """Decode received bytes; return how many of them belong to the body."""
        kept = len(self._line)
        data, self._line = self._line + s, b""
        pieces: list[bytes] = []
        position = 0
        while position < len(data) and not self.completed and self.error is None:
            position = self._take_whole_chunks(data, position, pieces)
            if self._chunk_bytes_left:
                piece = data[position : position + self._chunk_bytes_left]
                pieces.append(piece)
                position += len(piece)
                self._chunk_bytes_left -= len(piece)
                self._expects_chunk_end = not self._chunk_bytes_left
                continue
            end = data.find(_LINE_END, position)
            if end < 0:
                self._keep(data[position:])
                position = len(data)
            else:
                self._take_line(data[position:end])
                position = end + len(_LINE_END)
        if pieces:
            self.buf.append(b"".join(pieces))
        return position - kept

    def _take_whole_chunks(self, data: bytes, position: int, pieces: list[bytes]) -> int:
        """Take chunks that are received whole, without extensions; return where they end.

        Chunks of few bytes are so many that a step for each of their lines takes most of the time.
        """
        if self._chunk_bytes_left or self._expects_chunk_end or self.all_chunks_received:
            return position
        content_left = self._max_bytes - self._content_bytes
        framing_left = self._framing_left
        while match := _PLAIN_SIZE_LINE.match(data, position):
            start = match.end()
            size = int(match[1], 16)
            end = start + size
            content_left -= size
            framing_left -= start - position + len(_LINE_END)
            if not size or content_left < 0 or framing_left < 0:
                break
            if not data.startswith(_LINE_END, end):
                break
            pieces.append(data[start:end])
            position = end + len(_LINE_END)
            self._content_bytes += size
            self._framing_left = framing_left
        return position

    def _keep(self, line: bytes) -> None:
        """Keep the beginning of a line until the rest is received."""
        if self._check_length(line):
            self._line = line

    def _take_line(self, line: bytes) -> None:
        """Handle a complete line, without its end."""
        self._framing_left -= len(line) + len(_LINE_END)
        if self._framing_left < 0:
            self.error = BadRequest("the framing of the chunks exceeds its limit")
        elif not self._check_length(line):
            return
        elif self._expects_chunk_end:
            self._expects_chunk_end = False
            if line:
                self.error = BadRequest("Chunk not properly terminated")
        elif not self.all_chunks_received:
            self._begin_chunk(line)
        elif line:
            self._trailer_bytes += len(line)
        else:
            self.completed = True

    def _check_length(self, line: bytes) -> bool:
        """Return whether a line, with the trailers before it, is within the limit."""
        if len(line) + self._trailer_bytes <= self._max_line:
            return True
        self.error = BadRequest(f"a line or the trailers exceed {self._max_line} bytes")
        return False

    def _begin_chunk(self, line: bytes) -> None:
        digits, separator, _ = line.partition(b";")
        if separator and not _EXTENSIONS.fullmatch(line[len(digits) :]):
            self.error = BadRequest("Invalid chunk extension")
        elif not _CHUNK_SIZE.fullmatch(digits):
            self.error = BadRequest("Invalid chunk size")
        else:
            size = int(digits, 16)
            self._content_bytes += size
            self._chunk_bytes_left = size
            self.all_chunks_received = not size
            if self._content_bytes > self._max_bytes:
                self.error = RequestEntityTooLarge(f"exceeds {self._max_bytes} bytes")
