"""Responses that have no body by HTTP, on connections that stay open."""

from __future__ import annotations

import http.client
import socket
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import pytest

from canvasyoke._clock import SECOND, SystemClock
from canvasyoke.transport import (
    CallerServer,
    HttpServer,
    RequestBudget,
    ServerCapacity,
    ServerLimits,
)
from fakes.ports import free_address

_TIMEOUT = 20.0
_CAPACITY = ServerCapacity(RequestBudget(SystemClock(), 1 << 20), 10)
_LIMITS = ServerLimits(4_096, 4_096, header_time=20 * SECOND, idle_time=20 * SECOND)
#: Status, headers and body of the application's response by path.
RESPONSES: dict[str, tuple[str, list[tuple[str, str]], list[bytes]]] = {
    "/length": ("200 OK", [("Content-Length", "4")], [b"body"]),
    "/refused": ("503 Service Unavailable", [("Content-Length", "7")], [b"refused"]),
    "/pieces": ("200 OK", [("Content-Length", "4")], [b"bo", b"dy"]),
    "/chunks": ("200 OK", [], [b"bo", b"dy"]),
    "/no-content": ("204 No Content", [("Content-Length", "4")], [b"body"]),
    "/not-modified": ("304 Not Modified", [("Content-Length", "4")], [b"body"]),
    "/next": ("200 OK", [("Content-Length", "4")], [b"next"]),
}


def _application(environ: dict[str, Any], start: Callable[..., Any]) -> Iterable[bytes]:
    status, headers, body = RESPONSES[environ["PATH_INFO"]]
    start(status, headers)
    yield from body


def _start_caller_server(address: str) -> None:
    CallerServer(_application, address, 4, SystemClock(), _LIMITS, _CAPACITY).start()


def _start_http_server(address: str) -> None:
    HttpServer(_application, address, 4, 4_096, _CAPACITY).start()


@pytest.fixture(params=[_start_caller_server, _start_http_server])
def address(request: pytest.FixtureRequest) -> str:
    chosen = free_address()
    request.param(chosen)
    return chosen


@pytest.fixture
def connection(address: str) -> Iterator[socket.socket]:
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), _TIMEOUT) as sock:
        yield sock


def send(connection: socket.socket, method: str, path: str) -> None:
    connection.sendall(f"{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())


def read_head(connection: socket.socket) -> bytes:
    """Return a head, and nothing after it."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        received = connection.recv(1)
        assert received
        head += received
    return head


CASES = [("HEAD", path) for path in RESPONSES]
CASES += [("GET", "/no-content"), ("GET", "/not-modified")]


@pytest.mark.parametrize(("method", "path"), CASES)
def test_nothing_follows_the_head_of_a_response_without_a_body(
    connection: socket.socket, method: str, path: str
) -> None:
    """Guards against a body that the caller takes for the beginning of the next response."""
    send(connection, method, path)
    head = read_head(connection)
    assert head.startswith(b"HTTP/1.1 " + RESPONSES[path][0].encode())
    if b"Connection: close" in head:
        assert connection.recv(1) == b""
        return
    send(connection, "GET", "/next")
    assert read_head(connection).startswith(b"HTTP/1.1 200 ")
    assert connection.recv(4, socket.MSG_WAITALL) == b"next"


@pytest.mark.parametrize("path", ["/length", "/refused", "/pieces"])
def test_a_response_to_head_states_the_length_for_get(connection: socket.socket, path: str) -> None:
    _, headers, _ = RESPONSES[path]
    send(connection, "HEAD", path)
    assert f"Content-Length: {headers[0][1]}\r\n".encode() in read_head(connection)


def test_a_refused_request_gets_no_body_to_head(connection: socket.socket) -> None:
    connection.sendall(b"HEAD /next HTTP/1.1\r\nHost: a\r\nContent-Length: 9999\r\n\r\n")
    assert read_head(connection).startswith(b"HTTP/1.1 413 ")
    assert connection.recv(1) == b""


def test_the_library_reads_a_response_to_head_and_the_next_one(address: str) -> None:
    conn = http.client.HTTPConnection(address, timeout=_TIMEOUT)
    for method, path, body in [("HEAD", "/refused", b""), ("GET", "/next", b"next")]:
        conn.request(method, path)
        assert conn.getresponse().read() == body
    conn.close()
