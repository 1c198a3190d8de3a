"""Time limits of callers' connections.

Guards against limits that are not applied, or that end a connection in use.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from typing import Any

import pytest

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.transport import CallerServer, RequestBudget, ServerCapacity, ServerLimits
from canvasyoke.transport._request_budget import ALLOWANCE, Reservation
from fakes.launcher import wait_until
from fakes.ports import free_address

LIMITS = ServerLimits(4_096, 4_096, header_time=2 * SECOND, idle_time=5 * SECOND)
#: Bytes that requests may hold together.
BUDGET = 64 << 10
CONNECTIONS = 3
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
        self.budget = RequestBudget(self.clock, BUDGET)
        capacity = ServerCapacity(self.budget, CONNECTIONS)
        server = CallerServer(_answer, address, 4, self.clock, LIMITS, capacity)
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


#: Requests that are refused before their end: the head, and the status.
REFUSED_EARLY = [
    ("announced", b"Content-Length: 1000000", b"413"),
    ("chunked", b"Transfer-Encoding: chunked", b"413"),
    ("expects to be told", b"Content-Length: 1000000\r\nExpect: 100-continue", b"413"),
    ("a head over the limit", b"Name: " + b"x" * 5_000, b"431"),
]


@pytest.mark.parametrize(
    ("field", "status"), [case[1:] for case in REFUSED_EARLY], ids=[c[0] for c in REFUSED_EARLY]
)
def test_a_refusal_is_not_lost_with_what_is_still_being_sent(
    connection: Connection, field: bytes, status: bytes
) -> None:
    """Many callers read no answer before they have sent all, and none where sending fails."""
    connection.socket.sendall(b"POST /a HTTP/1.1\r\n" + field + b"\r\n\r\n" + b"fffff\r\n")
    assert connection.read_to_end().split(b" ")[1] == status
    for _ in range(8):
        connection.socket.sendall(bytes(LIMITS.body_bytes // 16))


def test_a_caller_that_sends_on_after_a_refusal_is_closed(connection: Connection) -> None:
    connection.socket.sendall(b"POST /a HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n")
    assert connection.read_to_end().startswith(b"HTTP/1.1 413 ")
    with pytest.raises(ConnectionError):
        for _ in range(1_000):
            connection.socket.sendall(bytes(LIMITS.body_bytes))


def test_a_caller_that_stays_after_a_refusal_is_closed(connection: Connection) -> None:
    connection.socket.sendall(b"POST /a HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n")
    assert connection.read_to_end().startswith(b"HTTP/1.1 413 ")
    assert connection.server.connections == 1
    connection.clock.advance(3 * SECOND)
    wait_until(lambda: connection.server.connections == 0, "the connection is closed")


def test_nothing_of_a_refused_request_is_parsed_as_another(connection: Connection) -> None:
    body = b"POST /b HTTP/1.1\r\nContent-Length: 4\r\n\r\nabcd" * 20
    connection.socket.sendall(b"POST /a HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n" + body)
    assert connection.read_to_end().count(b"HTTP/1.1") == 1


def _connect(connection: Connection) -> socket.socket:
    return socket.create_connection(connection.socket.getpeername(), EVENT_TIMEOUT)


def _hold_budget(connection: Connection) -> Reservation:
    """Return a reservation of all memory for requests."""
    reservation = connection.budget.open(lambda: None)
    assert connection.budget.reserve(reservation, ALLOWANCE + BUDGET, 0)
    return reservation


def test_a_request_without_memory_is_told_to_return(connection: Connection) -> None:
    """A legal request that finds no room has not run; 413 would be final."""
    connection.server.set_limits(replace(LIMITS, body_bytes=32 << 10))
    _hold_budget(connection)
    connection.socket.sendall(b"POST /a HTTP/1.1\r\nContent-Length: 32768\r\n\r\n" + bytes(9_000))
    answer = connection.read_to_end()
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nRetry-After: 1\r\n" in answer
    assert connection.budget.refused == 1
    assert connection.server.refused_unread == {503: 1}


def test_usual_requests_are_served_while_large_ones_hold_all_memory(connection: Connection) -> None:
    _hold_budget(connection)
    connection.socket.sendall(REQUEST + b"page")
    assert connection.socket.recv(4_096).startswith(b"HTTP/1.1 200 ")


def test_a_request_that_stops_gives_its_memory_to_others(connection: Connection) -> None:
    connection.server.set_limits(replace(LIMITS, body_bytes=64 << 10))
    head = b"POST /a HTTP/1.1\r\nContent-Length: 65536\r\n\r\n"
    connection.send(head + b"x")
    connection.clock.advance(SECOND)
    with _connect(connection) as second:
        second.sendall(head + bytes(64 << 10))
        assert second.recv(4_096).startswith(b"HTTP/1.1 200 ")
    assert connection.read_to_end().startswith(b"HTTP/1.1 503 ")
    assert connection.budget.given_up == 1


#: What ends a request of 20,000 bytes: the rest of what is sent, and the milliseconds that pass.
ENDS = [
    ("answered", bytes(20_000), 0),
    ("refused", b"", 0),
    ("timed out", b"ab", LIMITS.idle_time + 1),
    ("disconnected", b"ab", 0),
]


@pytest.mark.parametrize(("case", "body", "wait"), ENDS, ids=[end[0] for end in ENDS])
def test_each_end_of_a_request_releases_its_memory(
    connection: Connection, case: str, body: bytes, wait: int
) -> None:
    connection.server.set_limits(replace(LIMITS, body_bytes=20_000))
    length = b"20000" if case != "refused" else b"20001"
    connection.socket.sendall(b"POST /a HTTP/1.1\r\nContent-Length: " + length + b"\r\n\r\n" + body)
    if body == b"ab":
        wait_until(lambda: connection.budget.held > 0, "the request has memory")
    if case == "disconnected":
        connection.socket.close()
    connection.clock.advance(wait)
    if case in ("answered", "refused"):
        assert connection.socket.recv(4_096)
    wait_until(lambda: connection.budget.held == 0, "all memory is released")


def _serve(sock: socket.socket) -> bool:
    """Return whether a request on this connection is answered."""
    sock.sendall(REQUEST + b"page")
    received = b""
    while not received.endswith(b"done"):
        received += sock.recv(4_096)
    return received.startswith(b"HTTP/1.1 200 ")


def test_a_new_connection_displaces_the_one_unused_for_longest(connection: Connection) -> None:
    connection.clock.advance(1)
    with contextlib.ExitStack() as stack:
        others = [stack.enter_context(_connect(connection)) for _ in range(CONNECTIONS)]
        for other in others:
            assert _serve(other)
            connection.wait_served()
            connection.clock.advance(1)
        assert connection.socket.recv(1) == b""
        assert all(_serve(other) for other in others)
    assert connection.server.displaced_connections == 1


@pytest.mark.parametrize(("size", "expected"), [(1, 1 << 10), (64, 8 << 10)])
def test_chunks_of_few_bytes_get_less_of_the_reading_thread(
    connection: Connection, size: int, expected: int
) -> None:
    """Guards against callers that wait for the decoding of others' bodies."""
    connection.send(b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
    chunk = b"%x\r\n%s\r\n" % (size, bytes(size))
    connection.send(chunk * 4)
    (channel,) = connection.server._server.active_channels.values()
    received = bytes(16 << 10)
    channel.socket, sock = _Recorder(received), channel.socket
    try:
        assert len(channel.recv(8 << 10)) == expected
    finally:
        channel.socket = sock


class _Recorder:
    """A socket that has these bytes."""

    def __init__(self, received: bytes) -> None:
        self._received = received

    def recv(self, size: int) -> bytes:
        """Return as many bytes as are asked for."""
        return self._received[:size]
