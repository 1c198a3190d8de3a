"""An exchange that is withdrawn when its connection stands sends nothing."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from canvasyoke.transport import Exchange, ExchangeSlot, Withdrawn, exchange


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.settimeout(10)
        yield server


def send(listener: socket.socket, slot: ExchangeSlot) -> object:
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    return exchange(
        address, "POST", "/r/1", [], b"body", connect_timeout=5_000, read_timeout=200, slot=slot
    )


def what_came(listener: socket.socket) -> bytes:
    conn, _ = listener.accept()
    with conn:
        conn.settimeout(10)
        return conn.recv(1 << 16)


def test_nothing_is_sent_to_a_peer_that_wants_no_more(listener: socket.socket) -> None:
    """Asked once connected: the connection takes a while, and word may come meanwhile."""
    asked: list[bool] = []

    def may_send() -> bool:
        asked.append(True)
        return False

    sent = send(listener, ExchangeSlot(may_send))
    assert isinstance(sent, Withdrawn)
    assert asked == [True]
    assert what_came(listener) == b""


def test_nothing_is_sent_on_a_slot_that_was_shut(listener: socket.socket) -> None:
    slot = ExchangeSlot()
    slot.shut()
    assert isinstance(send(listener, slot), Withdrawn)
    assert what_came(listener) == b""


def test_a_request_is_sent_where_nothing_speaks_against_it(listener: socket.socket) -> None:
    assert not isinstance(send(listener, ExchangeSlot()), Exchange | Withdrawn)
    assert what_came(listener).startswith(b"POST /r/1 HTTP/1.1\r\n")
