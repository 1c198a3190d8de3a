"""Answers of a peer that resets the connection while the request is still being sent."""

from __future__ import annotations

import socket
import struct
import threading
from collections.abc import Callable, Iterator

import pytest

from canvasyoke.transport import (
    ApiAnswer,
    ApiClient,
    BackendPool,
    Exchange,
    ExchangeError,
    HttpReply,
    exchange,
)

#: More than the kernel takes for a peer that does not read.
UPLOAD = bytes(24 << 20)
_TIMEOUT = 10_000
_OK = b"HTTP/1.1 200 OK\r\n"
#: Answers of ``abc`` before the reset, and whether they are complete.
ANSWERS = [
    ("no length", _OK + b"\r\nabc", False),
    ("a length", _OK + b"Content-Length: 3\r\n\r\nabc", True),
    ("chunks", _OK + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", True),
    ("too little", _OK + b"Content-Length: 4\r\n\r\nabc", False),
]


class _Peer:
    """Answers before it has read the request, and resets the connection."""

    def __init__(self) -> None:
        self.answer = b""
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            with conn:
                conn.recv(1 << 10)
                conn.sendall(self.answer)
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def close(self) -> None:
        self._listener.close()


@pytest.fixture
def peer() -> Iterator[_Peer]:
    sender = _Peer()
    yield sender
    sender.close()


def call_api(address: str) -> bytes | None:
    """Return the body of a complete answer; ``None`` for a failure."""
    answer = ApiClient(address, 1, 1_000).call(
        "POST", "/order", body=UPLOAD, connect_timeout=_TIMEOUT, read_timeout=_TIMEOUT
    )
    return answer.data if isinstance(answer, ApiAnswer) else None


def forward(address: str) -> bytes | None:
    sent = exchange(
        address, "POST", "/r/1", [], UPLOAD, connect_timeout=_TIMEOUT, read_timeout=_TIMEOUT
    )
    if not isinstance(sent, Exchange):
        return None
    try:
        return b"".join(sent.chunks())
    except ExchangeError:
        return None
    finally:
        sent.close()


def call_pool(address: str) -> bytes | None:
    reply = BackendPool(address, 1).call("POST", "/generate", body=UPLOAD, read_timeout=_TIMEOUT)
    if not isinstance(reply, HttpReply):
        return None
    try:
        return b"".join(reply.chunks())
    except OSError:
        return None
    finally:
        reply.close()


@pytest.mark.parametrize("call", [call_api, forward, call_pool])
@pytest.mark.parametrize(
    ("answer", "is_whole"), [a[1:] for a in ANSWERS], ids=[a[0] for a in ANSWERS]
)
def test_a_reset_does_not_complete_an_answer(
    peer: _Peer, call: Callable[[str], bytes | None], answer: bytes, is_whole: bool
) -> None:
    """Guards against the end of a reset connection that is taken for the end of a body."""
    peer.answer = answer
    assert call(peer.address) == (b"abc" if is_whole else None)
