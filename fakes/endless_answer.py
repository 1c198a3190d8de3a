"""Answers that go on without end, and a peer that sends one to whoever connects."""

from __future__ import annotations

import contextlib
import itertools
import socket
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import Final

_TIMEOUT: Final = 20
OK: Final = b"HTTP/1.1 200 OK\r\n"
CHUNKED: Final = b"Transfer-Encoding: chunked\r\n\r\n"
FILL: Final = b"a" * 8_000


@dataclass(frozen=True)
class EndlessAnswer:
    """The begin of an answer, and what follows again and again."""

    begin: bytes
    rest: bytes
    #: Seconds between two bytes of what follows; 0 for as much as the connection takes.
    interval: float = 0.0

    def pieces(self) -> Iterator[bytes]:
        """Yield what is to be sent after the begin."""
        if not self.interval:
            return itertools.repeat(self.rest)
        return (bytes([byte]) for byte in itertools.cycle(self.rest))

    def send(self, write: Callable[[bytes], object], stopped: threading.Event) -> None:
        """Send the answer until ``stopped`` or the end of the connection, which raises."""
        write(self.begin)
        for piece in self.pieces():
            if stopped.wait(self.interval) if self.interval else stopped.is_set():
                return
            write(piece)


class EndlessPeer:
    """Sends the same answer to each connection until the other side closes it."""

    def __init__(self, answer: EndlessAnswer) -> None:
        self._answer = answer
        #: Bytes of the last answer that the connection has taken, and whether it has ended.
        self.sent = 0
        self.ended = threading.Event()
        self._stopped = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            with conn, contextlib.suppress(OSError):
                conn.settimeout(_TIMEOUT)
                conn.recv(1 << 16)
                self._answer.send(partial(self._write, conn), self._stopped)
            self.ended.set()

    def _write(self, conn: socket.socket, data: bytes) -> None:
        conn.sendall(data)
        self.sent += len(data)

    def close(self) -> None:
        """Stop the answer and refuse new connections."""
        self._stopped.set()
        self._listener.close()


#: Slow answers send a byte at a time, each within the time of a single read.
BYTE_INTERVAL: Final = 0.05
_CHUNKED_HEAD: Final = OK + CHUNKED
FLOODS: Final = {
    "status line": EndlessAnswer(b"", FILL),
    "status line after its begin": EndlessAnswer(b"HTTP/1.1 200 ", FILL),
    "header line": EndlessAnswer(OK + b"A: ", FILL),
    "header lines": EndlessAnswer(OK, b"A: b\r\n" * 50),
    "long header lines": EndlessAnswer(OK, b"A: " + FILL + b"\r\n"),
    "interim answers": EndlessAnswer(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 50),
    "interim answers with headers": EndlessAnswer(
        b"", b"HTTP/1.1 100 Continue\r\nA: b\r\n\r\n" * 50
    ),
    "early hints": EndlessAnswer(b"", b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" * 50),
    "length that is never reached": EndlessAnswer(
        OK + b"Content-Length: 99999999999\r\n\r\n", FILL
    ),
    "no length": EndlessAnswer(OK + b"Connection: close\r\n\r\n", FILL),
    "chunks": EndlessAnswer(_CHUNKED_HEAD, b"1f40\r\n" + FILL + b"\r\n"),
    "small chunks": EndlessAnswer(_CHUNKED_HEAD, b"1\r\na\r\n" * 500),
    "chunk that is never reached": EndlessAnswer(_CHUNKED_HEAD + b"ffffffff\r\n", FILL),
    "chunk line": EndlessAnswer(_CHUNKED_HEAD, b"1" * 8_000),
    "chunk extension": EndlessAnswer(_CHUNKED_HEAD + b"5;", FILL),
    "trailer line": EndlessAnswer(_CHUNKED_HEAD + b"1\r\na\r\n0\r\nA: ", FILL),
    "trailers": EndlessAnswer(_CHUNKED_HEAD + b"1\r\na\r\n0\r\n", b"A: b\r\n" * 50),
}
DRIPS: Final = {
    "status line": EndlessAnswer(b"", b"H", BYTE_INTERVAL),
    "header line": EndlessAnswer(OK + b"A: ", b"a", BYTE_INTERVAL),
    "header lines": EndlessAnswer(OK, b"A: b\r\n", BYTE_INTERVAL),
    "interim answers": EndlessAnswer(b"", b"HTTP/1.1 100 Continue\r\n\r\n", BYTE_INTERVAL),
    "length": EndlessAnswer(OK + b"Content-Length: 99999\r\n\r\n", b"a", BYTE_INTERVAL),
    "no length": EndlessAnswer(OK + b"Connection: close\r\n\r\n", b"a", BYTE_INTERVAL),
    "chunks": EndlessAnswer(_CHUNKED_HEAD, b"1\r\na\r\n", BYTE_INTERVAL),
    "one chunk": EndlessAnswer(_CHUNKED_HEAD + b"fff\r\n", b"a", BYTE_INTERVAL),
    "chunk line": EndlessAnswer(_CHUNKED_HEAD, b"1", BYTE_INTERVAL),
    "trailers": EndlessAnswer(_CHUNKED_HEAD + b"1\r\na\r\n0\r\n", b"A: b\r\n", BYTE_INTERVAL),
}
