"""Answers that go on without end, or a byte at a time, end at the limits of their call."""

from __future__ import annotations

import contextlib
import itertools
import socket
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import pytest

from canvasyoke.transport import (
    ApiAnswer,
    ApiClient,
    BackendPool,
    CallFailed,
    Exchange,
    ExchangeError,
    HttpReply,
    NoResponse,
    exchange,
)

#: Milliseconds for a call, and seconds between two bytes of a slow answer. Each byte comes within
#: the time for a single read.
_TIMEOUT = 400
_BYTE_INTERVAL = 0.05
#: Seconds after which a call is taken for endless.
_PATIENCE = 20
#: Bytes that a call may read. Buffers of the kernel on both sides are added to them.
_MAX_READ_BYTES = 16 << 20
_MAX_ANSWER_BYTES = 1 << 20
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_FILL = b"a" * 8_000


@dataclass(frozen=True)
class _Endless:
    """The begin of an answer, and what follows again and again."""

    begin: bytes
    rest: bytes


FLOODS = {
    "status line": _Endless(b"", _FILL),
    "status line after its begin": _Endless(b"HTTP/1.1 200 ", _FILL),
    "header line": _Endless(_OK + b"A: ", _FILL),
    "header lines": _Endless(_OK, b"A: b\r\n" * 50),
    "long header lines": _Endless(_OK, b"A: " + _FILL + b"\r\n"),
    "interim answers": _Endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 50),
    "interim answers with headers": _Endless(b"", b"HTTP/1.1 100 Continue\r\nA: b\r\n\r\n" * 50),
    "early hints": _Endless(b"", b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" * 50),
    "length that is never reached": _Endless(_OK + b"Content-Length: 99999999999\r\n\r\n", _FILL),
    "no length": _Endless(_OK + b"Connection: close\r\n\r\n", _FILL),
    "chunks": _Endless(_CHUNKED, b"1f40\r\n" + _FILL + b"\r\n"),
    "small chunks": _Endless(_CHUNKED, b"1\r\na\r\n" * 500),
    "chunk that is never reached": _Endless(_CHUNKED + b"ffffffff\r\n", _FILL),
    "chunk line": _Endless(_CHUNKED, b"1" * 8_000),
    "chunk extension": _Endless(_CHUNKED + b"5;", _FILL),
    "trailer line": _Endless(_CHUNKED + b"1\r\na\r\n0\r\nA: ", _FILL),
    "trailers": _Endless(_CHUNKED + b"1\r\na\r\n0\r\n", b"A: b\r\n" * 50),
}
#: Floods of which the streaming clients deliver each piece.
DELIVERED = {
    "length that is never reached",
    "no length",
    "chunks",
    "small chunks",
    "chunk that is never reached",
}
DRIPS = {
    "status line": _Endless(b"", b"H"),
    "header line": _Endless(_OK + b"A: ", b"a"),
    "header lines": _Endless(_OK, b"A: b\r\n"),
    "interim answers": _Endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "length": _Endless(_OK + b"Content-Length: 99999\r\n\r\n", b"a"),
    "no length": _Endless(_OK + b"Connection: close\r\n\r\n", b"a"),
    "chunks": _Endless(_CHUNKED, b"1\r\na\r\n"),
    "one chunk": _Endless(_CHUNKED + b"fff\r\n", b"a"),
    "chunk line": _Endless(_CHUNKED, b"1"),
    "trailers": _Endless(_CHUNKED + b"1\r\na\r\n0\r\n", b"A: b\r\n"),
}


class _Peer:
    """Answers each connection without end, until the other side closes it."""

    def __init__(self) -> None:
        self.answer = _Endless(b"", b"")
        self.interval = 0.0
        #: Bytes of the last answer that were taken, and whether its connection has ended.
        self.sent = 0
        self.ended = threading.Event()
        self._closed = threading.Event()
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
                conn.settimeout(_PATIENCE)
                conn.recv(1 << 16)
                self._send(conn)
            self.ended.set()

    def _send(self, conn: socket.socket) -> None:
        pieces = itertools.chain([self.answer.begin], itertools.repeat(self.answer.rest))
        if self.interval:
            # Bytes of the repeated part come one by one.
            pieces = itertools.chain(
                [self.answer.begin],
                (bytes([byte]) for byte in itertools.cycle(self.answer.rest)),
            )
        for piece in pieces:
            conn.sendall(piece)
            self.sent += len(piece)
            if self._closed.wait(self.interval if self.sent > len(self.answer.begin) else 0):
                return

    def close(self) -> None:
        self._closed.set()
        self._listener.close()


@pytest.fixture
def peer() -> Iterator[_Peer]:
    sender = _Peer()
    yield sender
    sender.close()


def call_api(address: str) -> bool:
    """Return whether a call gets a complete answer."""
    client = ApiClient(address, 1, _MAX_ANSWER_BYTES)
    answer = client.call("GET", "/report", connect_timeout=2_000, read_timeout=_TIMEOUT)
    assert isinstance(answer, ApiAnswer | CallFailed)
    return isinstance(answer, ApiAnswer)


def forward(address: str) -> bool:
    sent = exchange(address, "GET", "/r/1", [], b"", connect_timeout=2_000, read_timeout=_TIMEOUT)
    assert isinstance(sent, Exchange | NoResponse)
    if isinstance(sent, NoResponse):
        return False
    try:
        for _ in sent.chunks():
            pass
    except ExchangeError:
        return False
    finally:
        sent.close()
    return True


def call_pool(address: str) -> bool:
    return _read_reply(address, HttpReply.chunks)


def call_pool_by_lines(address: str) -> bool:
    return _read_reply(address, HttpReply.lines)


def _read_reply(address: str, read: Callable[[HttpReply], Iterator[bytes]]) -> bool:
    reply = BackendPool(address, 1).call("GET", "/healthz", read_timeout=_TIMEOUT)
    assert isinstance(reply, HttpReply | CallFailed)
    if isinstance(reply, CallFailed):
        return False
    try:
        for _ in read(reply):
            pass
    except OSError:
        return False
    finally:
        reply.close()
    return True


CLIENTS = [call_api, forward, call_pool, call_pool_by_lines]
#: Clients that keep what they read until the answer, or a line of it, is complete.
COLLECTING_CLIENTS = [call_api, call_pool_by_lines]


def fails_in_time(call: Callable[[str], bool], peer: _Peer) -> bool:
    """Return whether a call fails, and closes its connection, before it counts as endless."""
    results: list[bool] = []
    caller = threading.Thread(target=lambda: results.append(call(peer.address)), daemon=True)
    caller.start()
    caller.join(_PATIENCE)
    return results == [False] and peer.ended.wait(_PATIENCE)


@pytest.mark.parametrize("call", CLIENTS)
@pytest.mark.parametrize("name", FLOODS)
def test_an_answer_without_end_fails(peer: _Peer, call: Callable[[str], bool], name: str) -> None:
    """Guards against a call that reads on, or keeps what it reads, for as long as bytes come."""
    peer.answer = FLOODS[name]
    assert fails_in_time(call, peer)
    if call in COLLECTING_CLIENTS or name not in DELIVERED:
        assert peer.sent < _MAX_READ_BYTES


@pytest.mark.parametrize("call", CLIENTS)
@pytest.mark.parametrize("name", DRIPS)
def test_an_answer_of_single_bytes_fails(
    peer: _Peer, call: Callable[[str], bool], name: str
) -> None:
    """Guards against a call that lasts as long as each byte comes in time."""
    peer.answer, peer.interval = DRIPS[name], _BYTE_INTERVAL
    assert fails_in_time(call, peer)
