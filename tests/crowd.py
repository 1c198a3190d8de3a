"""Crowds of callers that send more than they should, or stop before the end, and stay connected."""

from __future__ import annotations

import contextlib
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Final

#: Seconds without any progress after which a client takes the process for hung.
_HUNG_SECONDS: Final = 120.0
_SAMPLE_SECONDS: Final = 0.02
_KILOBYTE: Final = 1_024
MEGABYTE: Final = 1 << 20
#: Memory and descriptors of the machine that each process is told to run on.
MACHINE_MEMORY: Final = 160 * MEGABYTE
MACHINE_DESCRIPTORS: Final = 256
#: Limits of the requests in the crowd's settings.
MAX_BODY: Final = 4 * MEGABYTE
CROWD_SIZE: Final = 48
#: One client in so many sends its request to its end.
_WHOLE_EVERY: Final = 8
CHUNKED: Final = "Transfer-Encoding: chunked"
LAST_CHUNK: Final = b"0\r\n\r\n"
_PIECE: Final = 64 << 10

#: Returns the head of a request whose body has this framing.
Head = Callable[[str], bytes]
#: Yields what client number N of a crowd sends, in pieces.
Script = Callable[[Head, int], Iterator[bytes]]


def body_of(size: int) -> bytes:
    """Return a body that engines accept as a prompt."""
    start, end = b'{"max_tokens": 1, "prompt": "', b'"}'
    return start + b"x" * (size - len(start) - len(end)) + end


#: The longest legal body.
BODY: Final = body_of(MAX_BODY)


def in_chunks(body: bytes, size: int) -> Iterator[bytes]:
    """Yield a body in chunks of ``size`` bytes without the last chunk, in pieces of 64 KiB."""
    piece = bytearray()
    for start in range(0, len(body), size):
        part = body[start : start + size]
        piece += f"{len(part):x}\r\n".encode() + part + b"\r\n"
        if len(piece) >= _PIECE:
            yield bytes(piece)
            piece.clear()
    yield bytes(piece)


def _chunked(body: bytes, size: int) -> Script:
    """Return a client that sends a body in chunks of ``size``, mostly without the last chunk."""

    def pieces(head: Head, number: int) -> Iterator[bytes]:
        yield head(CHUNKED)
        yield from in_chunks(body, size)
        if number % _WHOLE_EVERY == 0:
            yield LAST_CHUNK

    return pieces


def _with_length(piece_size: int, missing: int) -> Script:
    """Return a client that sends the longest legal body, mostly without its last bytes."""

    def pieces(head: Head, number: int) -> Iterator[bytes]:
        yield head(f"Content-Length: {len(BODY)}")
        end = len(BODY) - (missing if number % _WHOLE_EVERY else 0)
        for start in range(0, end, piece_size):
            yield BODY[start : min(end, start + piece_size)]

    return pieces


def _without_end(prefix: bytes, piece: bytes, total: int) -> Script:
    """Return a client that sends a chunked body which begins so, and repeats a piece."""

    def pieces(head: Head, _number: int) -> Iterator[bytes]:
        yield head(CHUNKED) + prefix
        for _ in range(total // len(piece)):
            yield piece

    return pieces


def _announced_over_limit(head: Head, _number: int) -> Iterator[bytes]:
    yield head("Content-Length: 2147483648")
    for _ in range(16):
        yield bytes(_PIECE)


def half_a_head(head: Head, number: int) -> Iterator[bytes]:
    """Send nothing, or a part of a head."""
    if number % 2:
        yield head(CHUNKED)[:-8]


_ONE_CHUNK: Final = b"%x\r\n" % _PIECE + bytes(_PIECE) + b"\r\n"
_FILLER: Final = b"x" * _PIECE

#: Clients inside the limits.
LEGAL: Final[dict[str, Script]] = {
    "large chunks": _chunked(BODY, _PIECE),
    "small chunks": _chunked(body_of(7 * MAX_BODY // 8), 64),
    "chunks of one byte": _chunked(body_of(_PIECE), 1),
    "length, whole": _with_length(MAX_BODY, missing=0),
    "length, short": _with_length(MAX_BODY, missing=1),
    "length, in pieces": _with_length(1_460, missing=1),
}
#: Clients over the limits, or with bodies that are none in HTTP.
ILLEGAL: Final[dict[str, Script]] = {
    "over the limit, announced": _announced_over_limit,
    "over the limit, sent": _without_end(b"", _ONE_CHUNK, 2 * MAX_BODY),
    "size line without end": _without_end(b"0" * 16, b"0" * _PIECE, MAX_BODY),
    "chunk extension without end": _without_end(b"5;", _FILLER, MAX_BODY),
    "trailer without end": _without_end(b"0\r\nx: ", _FILLER, 2 * MEGABYTE),
}
#: Framing of the longest legal body, and its bytes.
IN_CALM: Final[dict[str, tuple[str, list[bytes]]]] = {
    "length": (f"Content-Length: {MAX_BODY}", [BODY]),
    "large chunks": (CHUNKED, [*in_chunks(BODY, _PIECE), LAST_CHUNK]),
    "small chunks": (CHUNKED, [*in_chunks(BODY, 64), LAST_CHUNK]),
    "one chunk with a trailer": (
        CHUNKED,
        [b"%x;name=value\r\n" % MAX_BODY, BODY, b"\r\n0\r\nChecksum: 1\r\n\r\n"],
    ),
}


@dataclass
class Client:
    """One member of a crowd."""

    request_id: str
    #: Set once it sends no more: all is sent, or it was answered or disconnected.
    is_done: threading.Event = field(default_factory=threading.Event)
    #: What it received.
    received: bytes = b""
    #: Whether it found no progress.
    is_stuck: bool = False

    @property
    def status(self) -> int:
        """Return the status of the answer; 0 for none."""
        first = self.received.partition(b"\r\n")[0].split(b" ")
        return int(first[1]) if len(first) > 1 else 0

    def run(self, address: str, pieces: Iterator[bytes], leave: threading.Event) -> None:
        """Send all pieces, then stay connected until the crowd leaves."""
        host, port = address.rsplit(":", 1)
        with contextlib.suppress(ConnectionError), contextlib.closing(socket.socket()) as sock:
            sock.settimeout(_HUNG_SECONDS)
            try:
                sock.connect((host, int(port)))
                for piece in pieces:
                    if leave.is_set() or (_is_readable(sock) and not self._receive(sock)):
                        return
                    sock.sendall(piece)
                self.is_done.set()
                while not leave.is_set():
                    if _is_readable(sock, _SAMPLE_SECONDS) and not self._receive(sock):
                        return
            except TimeoutError:
                self.is_stuck = True
        self.is_done.set()

    def _receive(self, sock: socket.socket) -> bool:
        received = sock.recv(64 * _KILOBYTE)
        self.received += received
        return bool(received)


def _is_readable(sock: socket.socket, seconds: float = 0.0) -> bool:
    return bool(select.select([sock], [], [], seconds)[0])


class Crowd:
    """Clients that run the same script at the same time; a context manager that ends them."""

    def __init__(
        self, address: str, size: int, script: Script, head: Callable[[str, str], bytes]
    ) -> None:
        self.clients = [Client(f"crowd-{number}") for number in range(size)]
        self._leave = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run,
                args=(client, address, script(partial(head, client.request_id), number)),
            )
            for number, client in enumerate(self.clients)
        ]

    def _run(self, client: Client, address: str, pieces: Iterator[bytes]) -> None:
        try:
            client.run(address, pieces, self._leave)
        finally:
            client.is_done.set()

    def __enter__(self) -> Crowd:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._leave.set()
        for thread in self._threads:
            thread.join()

    def check_promises(self, run: set[str], is_legal: bool) -> None:
        """Check that a refusal tells the truth, and that clients inside the limits may return."""
        for client in self.clients:
            if client.status in (408, 503):
                assert client.request_id not in run
            if client.status == 503:
                assert b"Retry-After: " in client.received
            if is_legal and client.status:
                assert client.status in (200, 503), client.received

    def wait_sent(self) -> None:
        """Wait until no client sends any more."""
        for client in self.clients:
            client.is_done.wait()
        assert not any(client.is_stuck for client in self.clients), "the process reads no more"


class Usage:
    """Samples the memory and descriptors of a process; a context manager."""

    def __init__(self, pid: int, address: str) -> None:
        self._pid = pid
        self._port = int(address.rsplit(":", 1)[1])
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        #: Most bytes that had arrived at the port and were not read.
        self.peak_unread = 0
        #: Most open descriptors.
        self.peak_descriptors = 0

    def __enter__(self) -> Usage:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        self._thread.join()

    def check(self) -> None:
        """Check that the process stayed within its machine."""
        megabytes = self.peak_memory / MEGABYTE
        assert self.peak_memory <= MACHINE_MEMORY, f"{megabytes:.0f} MB"
        assert self.peak_descriptors <= MACHINE_DESCRIPTORS

    @property
    def peak_memory(self) -> int:
        """Return the most bytes that the process held, with those that it had not read."""
        status = Path(f"/proc/{self._pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * _KILOBYTE + self.peak_unread

    def _run(self) -> None:
        while not self._stop.is_set():
            with contextlib.suppress(OSError):
                descriptors = len(list(Path(f"/proc/{self._pid}/fd").iterdir()))
                self.peak_descriptors = max(self.peak_descriptors, descriptors)
            self.peak_unread = max(self.peak_unread, self._unread())
            time.sleep(_SAMPLE_SECONDS)

    def _unread(self) -> int:
        """Return the bytes in the receive queues of the port's connections."""
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            columns = line.split()
            if int(columns[1].rpartition(":")[2], 16) == self._port:
                total += int(columns[4].partition(":")[2], 16)
        return total
