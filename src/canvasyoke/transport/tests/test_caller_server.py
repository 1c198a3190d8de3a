"""Time limits of callers' connections.

Guards against limits that are not applied, or that end a connection in use.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import pytest

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.transport import CallerServer, ServerLimits
from fakes.launcher import wait_until
from fakes.ports import free_address

LIMITS = ServerLimits(4_096, 4_096, header_time=2 * SECOND, idle_time=5 * SECOND)
REQUEST = b"POST /a HTTP/1.1\r\nHost: reader.example\r\nContent-Length: 4\r\n\r\n"
#: Timeout in seconds for expected events.
EVENT_TIMEOUT = 20.0


def _answer(environ: dict[str, Any], start: Callable[..., Any]) -> Iterable[bytes]:
    environ["wsgi.input"].read()
    start("200 OK", [("Content-Length", "4")])
    return [b"done"]


class Connection:
    """A caller's connection to a server whose clock the test controls."""

    def __init__(self) -> None:
        self.clock = ManualClock(start=100_000)
        address = free_address()
        server = CallerServer(_answer, address, 4, self.clock, LIMITS)
        server.start()
        self.server = server
        host, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((host, int(port)), EVENT_TIMEOUT)
        wait_until(lambda: server.connections == 1, "the connection is accepted")

    def send(self, data: bytes) -> None:
        """Send data and wait until the server has read it."""
        (channel,) = self.server._server.active_channels.values()
        channel.last_active_at = 0
        self.socket.sendall(data)
        wait_until(lambda: channel.last_active_at > 0, "the data is read")

    def wait_served(self) -> None:
        """Wait until the request is finished, which counts as activity."""
        dispatcher = self.server._server.task_dispatcher
        wait_until(lambda: dispatcher.active_count == 0, "the request is finished")

    def read_to_end(self) -> bytes:
        """Return everything until the server closes the connection."""
        received = b""
        while data := self.socket.recv(4_096):
            received += data
        return received


@pytest.fixture
def connection() -> Iterator[Connection]:
    connection = Connection()
    yield connection
    connection.socket.close()


#: What is sent, milliseconds that pass, and status of the response before the connection closes.
EXPIRED = [
    ("nothing", b"", LIMITS.idle_time, []),
    ("part of a head", REQUEST[:20], LIMITS.header_time, [b"408"]),
    ("part of a body", REQUEST + b"ab", LIMITS.idle_time, [b"408"]),
    ("a whole request", REQUEST + b"abcd", LIMITS.idle_time, [b"200"]),
]


@pytest.mark.parametrize(
    ("sent", "limit", "statuses"), [e[1:] for e in EXPIRED], ids=[e[0] for e in EXPIRED]
)
def test_connections_end_at_their_time_limit(
    connection: Connection, sent: bytes, limit: int, statuses: list[bytes]
) -> None:
    if sent:
        connection.send(sent)
    if statuses == [b"200"]:
        assert connection.socket.recv(1, socket.MSG_PEEK)
        connection.wait_served()
    connection.clock.advance(limit + 1)
    assert connection.read_to_end().split(b" ")[1:2] == statuses


@pytest.mark.parametrize("sent", [b"", REQUEST + b"ab"], ids=["idle", "a slow body"])
def test_connections_stay_open_within_the_limit(connection: Connection, sent: bytes) -> None:
    """A body may take longer than the limit as long as data arrives."""
    if sent:
        connection.send(sent)
    connection.clock.advance(LIMITS.idle_time)
    connection.server._server.maintenance(0)
    connection.send(b"c" if sent else REQUEST)
    connection.clock.advance(LIMITS.idle_time)
    connection.server._server.maintenance(0)
    connection.send(b"d" if sent else b"abcd")
    assert connection.socket.recv(4_096).startswith(b"HTTP/1.1 200 ")


def test_a_full_server_closes_new_connections_unread(connection: Connection) -> None:
    """A caller whose request was read and refused has lost an attempt."""
    connection.server.set_full_check(lambda: True)
    with socket.create_connection(connection.socket.getpeername(), EVENT_TIMEOUT) as new:
        with contextlib.suppress(ConnectionError):
            new.sendall(REQUEST + b"page")
            assert new.recv(4_096) == b""
    connection.send(REQUEST + b"page")
    connection.wait_served()
    assert connection.socket.recv(4_096).startswith(b"HTTP/1.1 200")
    connection.server.set_full_check(lambda: False)
    with socket.create_connection(connection.socket.getpeername(), EVENT_TIMEOUT) as new:
        new.sendall(REQUEST + b"page")
        assert new.recv(4_096).startswith(b"HTTP/1.1 200")
