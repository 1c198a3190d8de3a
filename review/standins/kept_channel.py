"""Client channel that is kept for many requests and read as the protocol says."""

from __future__ import annotations

import re
import socket
from dataclasses import dataclass

from review.standins.deployment import HOST, KEY

_HEAD_END = b"\r\n\r\n"
_STATUS_LINE = re.compile(r"HTTP/1\.1 (\d{3})( .*)?")
_READ_BYTES = 65_536


class NotAnAnswerError(Exception):
    """Bytes came that are not an answer in the protocol."""


@dataclass(frozen=True)
class Answer:
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class KeptChannel:
    """One channel; bytes beyond an answer belong to the next one."""

    def __init__(self, address: str, timeout: float) -> None:
        host, port = address.rsplit(":", 1)
        self._sock = socket.create_connection((host, int(port)), timeout)
        self._received = b""
        #: Whether another request may be sent: the last answer was read and asks for no close.
        self.is_kept = True

    def close(self) -> None:
        """Close the channel."""
        self._sock.close()

    def ask(self, method: str, path: str, attempt: str, time_limit: int) -> Answer:
        """Send a request without a body and read its answer."""
        self.is_kept = False
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {attempt}",
            f"Request-Deadline: {time_limit}",
            f"Authorization: Bearer {KEY}",
        ]
        if method == "POST":
            lines.append("Content-Length: 0")
        self._sock.sendall("\r\n".join(lines).encode() + _HEAD_END)
        return self._read_answer(method)

    def _read_answer(self, method: str) -> Answer:
        status, headers = self._read_head()
        while status == 100:
            status, headers = self._read_head()
        # RFC 9110: such an answer ends with its head, whatever length it states.
        if method == "HEAD" or status in (204, 304):
            body = b""
        elif "chunked" in headers.get("transfer-encoding", "").lower():
            body = self._read_chunks()
        else:
            body = self._take(int(headers.get("content-length", "0")))
        self.is_kept = "close" not in headers.get("connection", "").lower()
        return Answer(status, headers, body)

    def _read_head(self) -> tuple[int, dict[str, str]]:
        status_line, *lines = self._take_until(_HEAD_END).decode("latin-1").split("\r\n")
        match = _STATUS_LINE.fullmatch(status_line)
        if match is None:
            raise NotAnAnswerError(status_line)
        fields = (line.partition(":") for line in lines)
        return int(match[1]), {name.lower(): value.strip() for name, _, value in fields}

    def _read_chunks(self) -> bytes:
        body = b""
        while size := int(self._take_until(b"\r\n").split(b";")[0], 16):
            body += self._take(size + 2)[:-2]
        while self._take_until(b"\r\n"):
            pass  # trailers
        return body

    def _take(self, length: int) -> bytes:
        while len(self._received) < length:
            self._receive()
        taken, self._received = self._received[:length], self._received[length:]
        return taken

    def _take_until(self, end: bytes) -> bytes:
        while end not in self._received:
            self._receive()
        taken, _, self._received = self._received.partition(end)
        return taken

    def _receive(self) -> None:
        data = self._sock.recv(_READ_BYTES)
        if not data:
            raise ConnectionResetError("the channel was closed")
        self._received += data
