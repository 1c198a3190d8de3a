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

    def close(self) -> None:
        """Close the channel."""
        self._sock.close()

    def ask(self, method: str, path: str, attempt: str, time_limit: int) -> Answer:
        """Send a request without a body and read its answer."""
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
        while _HEAD_END not in self._received:
            self._receive()
        head, _, self._received = self._received.partition(_HEAD_END)
        status_line, *lines = head.decode("latin-1").split("\r\n")
        match = _STATUS_LINE.fullmatch(status_line)
        if match is None:
            raise NotAnAnswerError(status_line)
        fields = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in fields}
        # RFC 9110: an answer to HEAD ends with its head, whatever length it states.
        length = 0 if method == "HEAD" else int(headers.get("content-length", "0"))
        while len(self._received) < length:
            self._receive()
        body, self._received = self._received[:length], self._received[length:]
        return Answer(int(match[1]), headers, body)

    def _receive(self) -> None:
        data = self._sock.recv(_READ_BYTES)
        if not data:
            raise ConnectionResetError("the channel was closed")
        self._received += data
