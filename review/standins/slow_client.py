"""Client behind a slow link: reads its answer at a bounded rate."""

from __future__ import annotations

import socket
import time
from dataclasses import dataclass

from review.standins.deployment import HOST, KEY

_HEAD_END = b"\r\n\r\n"
_READ_BYTES = 16_384
#: Receive buffer and segment size, as over an ordinary network instead of loopback.
_RECEIVE_BUFFER = 32_768
_SEGMENT_BYTES = 1_460


@dataclass
class SlowAnswer:
    """What the client got; the length is that stated in the head."""

    attempt: str
    status: int = 0
    length: int = -1
    received: int = 0
    #: How the channel ended, empty if the client closed it after a whole answer.
    end: str = ""
    #: Whether the client gave up at its time limit.
    is_out_of_time: bool = False

    @property
    def is_whole(self) -> bool:
        """Return whether the whole body came."""
        return self.received == self.length


def fetch_slowly(answer: SlowAnswer, address: str, path: str, rate: int, limit: float) -> None:
    """Send a request, and read the answer at ``rate`` bytes a second for ``limit`` seconds."""
    host, port = address.rsplit(":", 1)
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
        sock.settimeout(limit)
        sock.connect((host, int(port)))
        head = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {answer.attempt}",
            f"Request-Deadline: {round(limit * 1_000)}",
            f"Authorization: Bearer {KEY}",
            "Content-Length: 0",
        ]
        sock.sendall("\r\n".join(head).encode() + _HEAD_END)
        _read(sock, answer, rate, time.monotonic() + limit)


def _read(sock: socket.socket, answer: SlowAnswer, rate: int, deadline: float) -> None:
    data = b""
    began_at = time.monotonic()
    read = 0
    while answer.length < 0 or not answer.is_whole:
        if time.monotonic() > deadline:
            answer.end, answer.is_out_of_time = "the time limit of the client", True
            return
        try:
            piece = sock.recv(_READ_BYTES)
        except TimeoutError:
            answer.end, answer.is_out_of_time = "the time limit of the client", True
            return
        except OSError as exc:
            answer.end = type(exc).__name__
            return
        if not piece:
            answer.end = "closed by the other end"
            return
        read += len(piece)
        if answer.length < 0:
            data += piece
            head, found, rest = data.partition(_HEAD_END)
            if found:
                _read_head(head.decode("latin-1"), answer)
                answer.received = len(rest)
        else:
            answer.received += len(piece)
        time.sleep(max(0.0, began_at + read / rate - time.monotonic()))


def _read_head(head: str, answer: SlowAnswer) -> None:
    status, *lines = head.split("\r\n")
    answer.status = int(status.split()[1])
    for line in lines:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            answer.length = int(value)
