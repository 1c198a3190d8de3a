"""Exchanges that are cancelled before their request is sent, or while their answer is read."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator

import pytest

from canvasyoke.transport import (
    Exchange,
    ExchangeError,
    ExchangeHandle,
    FailureCause,
    NoResponse,
    Withdrawn,
    exchange,
)


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.settimeout(10)
        yield server


def send(listener: socket.socket, handle: ExchangeHandle, read_timeout: int = 200) -> object:
    return exchange(
        f"127.0.0.1:{listener.getsockname()[1]}",
        "POST",
        "/r/1",
        [],
        b"body",
        connect_timeout=5_000,
        read_timeout=read_timeout,
        handle=handle,
    )


def received_bytes(listener: socket.socket) -> bytes:
    conn, _ = listener.accept()
    with conn:
        conn.settimeout(10)
        return conn.recv(1 << 16)


def test_nothing_is_sent_if_may_send_denies_it(listener: socket.socket) -> None:
    """The answer may change while the connection is established, so it is checked afterwards."""
    calls: list[bool] = []

    def may_send() -> bool:
        calls.append(True)
        return False

    sent = send(listener, ExchangeHandle(may_send))
    assert isinstance(sent, Withdrawn)
    assert calls == [True]
    assert received_bytes(listener) == b""


def test_nothing_is_sent_after_cancellation(listener: socket.socket) -> None:
    handle = ExchangeHandle()
    handle.cancel()
    assert isinstance(send(listener, handle), Withdrawn)
    assert received_bytes(listener) == b""


def test_request_is_sent_by_default(listener: socket.socket) -> None:
    assert not isinstance(send(listener, ExchangeHandle()), Exchange | Withdrawn)
    assert received_bytes(listener).startswith(b"POST /r/1 HTTP/1.1\r\n")


_HEAD = b"HTTP/1.1 200 OK\r\n"
#: Begin of a response by its framing, and by how far it gets before the exchange is cancelled.
PARTS = {
    "unframed": {"body": b"\r\npart", "no body": b"\r\n"},
    "length": {"body": b"Content-Length: 9\r\n\r\npart", "no body": b"Content-Length: 9\r\n\r\n"},
    "chunks": {
        "body": b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        "no body": b"Transfer-Encoding: chunked\r\n\r\n",
    },
}
CUTS = [(framing, cut) for framing, parts in PARTS.items() for cut in parts]


def read_cancelled(listener: socket.socket, begin: bytes) -> Exchange | NoResponse | ExchangeError:
    """Cancel an exchange once ``begin`` was received; return how reading it ends."""
    handle = ExchangeHandle()
    sent: list[object] = []
    sender = threading.Thread(target=lambda: sent.append(send(listener, handle, 10_000)))
    sender.start()
    conn, _ = listener.accept()
    with conn:
        conn.settimeout(10)
        conn.recv(1 << 16)
        conn.sendall(begin)
        if b"\r\n\r\n" in begin:
            sender.join(10)
        handle.cancel()
        sender.join(10)
        (result,) = sent
        assert isinstance(result, Exchange | NoResponse)
        if isinstance(result, NoResponse):
            return result
        try:
            list(result.chunks())
        except ExchangeError as exc:
            return exc
        return result


@pytest.mark.parametrize(("framing", "cut"), CUTS)
def test_a_cancelled_exchange_is_not_read_as_complete(
    listener: socket.socket, framing: str, cut: str
) -> None:
    """Guards against an own shutdown that is taken for the end of the body."""
    end = read_cancelled(listener, _HEAD + PARTS[framing][cut])
    assert isinstance(end, ExchangeError)
    assert end.cause is FailureCause.CANCELLED


@pytest.mark.parametrize("begin", [b"", b"HTTP/1.1 2", _HEAD, _HEAD + b"A: b\r\n"])
def test_an_exchange_cancelled_within_the_head_has_no_response(
    listener: socket.socket, begin: bytes
) -> None:
    end = read_cancelled(listener, begin)
    assert isinstance(end, NoResponse)
    assert end.cause is FailureCause.CANCELLED


@pytest.mark.parametrize(
    "answer",
    [
        b"Content-Length: 4\r\n\r\npart",
        b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
    ],
)
def test_a_framed_answer_received_before_the_cancellation_is_complete(
    listener: socket.socket, answer: bytes
) -> None:
    assert isinstance(read_cancelled(listener, _HEAD + answer), Exchange)
