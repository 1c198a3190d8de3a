"""Callers that read their response slowly get all of it, and those that stop reading are closed."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import pytest

from canvasyoke._clock import SECOND, ManualClock, SystemClock
from canvasyoke.transport import (
    CallerServer,
    HttpServer,
    RequestBudget,
    ServerCapacity,
    ServerLimits,
)
from fakes.launcher import wait_until
from fakes.ports import free_address

_CAPACITY = ServerCapacity(RequestBudget(SystemClock(), 1 << 20), 10)
_LIMITS = ServerLimits(4_096, 4_096, header_time=2 * SECOND, idle_time=5 * SECOND)
_TIMEOUT = 20.0
#: More than the kernel takes for a connection that is not read.
_BODY = bytes(range(256)) * 40_000
#: Small, so that the sender sees each read.
_RECEIVE_BUFFER = 32 << 10
#: Bytes that the reader takes between two steps of the clock.
_STEP_BYTES = 2 << 20


def _answer(_environ: dict[str, Any], start: Callable[..., Any]) -> Iterable[bytes]:
    start("200 OK", [("Content-Length", str(len(_BODY)))])
    return [_BODY]


class _Reader:
    """A connection that has sent a request, and reads its response when told."""

    def __init__(self) -> None:
        self.clock = ManualClock(start=100_000)
        address = free_address()
        self.server = CallerServer(
            _answer,
            address,
            4,
            self.clock,
            _LIMITS,
            _CAPACITY,
        )
        self.server.start()
        host, port = address.rsplit(":", 1)
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER)
        self.socket.settimeout(_TIMEOUT)
        self.socket.connect((host, int(port)))
        self.socket.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        channels = self.server._server.active_channels
        wait_until(lambda: self.server.busy_connections > 0, "the request is received")
        wait_until(
            lambda: not any(channel.requests for channel in list(channels.values())),
            "the request is finished",
        )
        self.received = bytearray()

    def read(self, size: int) -> int:
        """Read up to ``size`` bytes of what the rest of the response has; return their number."""
        before = len(self.received)
        while len(self.received) < before + size and not self.is_whole:
            data = self.socket.recv(64 << 10)
            if not data:
                break
            self.received += data
        return len(self.received) - before

    def read_to_end(self) -> None:
        while data := self.socket.recv(64 << 10):
            self.received += data

    @property
    def is_whole(self) -> bool:
        return bytes(self.received).endswith(b"\r\n\r\n" + _BODY)


@pytest.fixture
def reader() -> Iterator[_Reader]:
    reader = _Reader()
    yield reader
    reader.socket.close()


def test_a_connection_is_closed_after_the_rest_of_its_response(reader: _Reader) -> None:
    """Guards against a stopping server that drops what it has not sent yet."""
    reader.server.close_idle()
    assert reader.server.busy_connections
    reader.read_to_end()
    assert reader.is_whole
    wait_until(lambda: not reader.server.busy_connections, "everything is sent")


def test_a_response_that_is_read_slowly_is_not_idle(reader: _Reader) -> None:
    """Guards against an idle timeout that counts from the end of the request."""
    while not reader.is_whole:
        assert reader.read(_STEP_BYTES)
        reader.clock.advance(_LIMITS.idle_time // 2)
        reader.server._server.maintenance(0)
    assert reader.is_whole


def test_sending_a_response_is_activity_of_an_http_server() -> None:
    """Guards against an idle timeout that counts from the end of the request."""
    address = free_address()
    server = HttpServer(_answer, address, 4, 4_096, _CAPACITY)
    server.start()
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), _TIMEOUT) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        listener = server._server
        wait_until(lambda: bool(listener.active_channels), "the connection is accepted")
        (channel,) = listener.active_channels.values()
        wait_until(
            lambda: channel.total_outbufs_len > 0 and not channel.requests, "the rest is left"
        )
        channel.last_activity = 0
        while not channel.last_activity:
            assert sock.recv(64 << 10)


def test_a_response_that_is_read_in_small_steps_is_not_idle(reader: _Reader) -> None:
    """Guards against an idle timeout while the kernel's buffer has no room for more."""
    maintenance = reader.server._server.maintenance
    for _ in range(20):
        assert reader.read(4 * _RECEIVE_BUFFER)
        reader.clock.advance(_LIMITS.idle_time // 2)
        maintenance(0)
    reader.server.close_idle()
    reader.read_to_end()
    assert reader.is_whole


def test_a_response_that_is_not_read_any_more_is_closed(reader: _Reader) -> None:
    """Guards against a stopping server that waits for good."""
    reader.server.close_idle()

    def is_closed() -> bool:
        # The kernel may take the last bytes that it has room for after the clock was advanced.
        reader.clock.advance(_LIMITS.idle_time + 1)
        return not reader.server.busy_connections

    wait_until(is_closed, "the connection is closed")
    reader.read_to_end()
    assert not reader.is_whole
    assert reader.server.dropped_responses == 1
