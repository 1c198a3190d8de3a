"""An exchange that is cancelled before its request is sent sends nothing."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from canvasyoke.transport import Exchange, ExchangeHandle, Withdrawn, exchange


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.settimeout(10)
        yield server


def send(listener: socket.socket, handle: ExchangeHandle) -> object:
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    return exchange(
        address, "POST", "/r/1", [], b"body", connect_timeout=5_000, read_timeout=200, handle=handle
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
