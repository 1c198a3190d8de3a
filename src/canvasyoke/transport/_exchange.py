"""HTTP exchanges that use one connection per request, with streamed responses.

A new connection costs one round trip. In return, a response cannot be matched to the wrong
request, and a request that must not be repeated cannot be lost on a stale connection.
"""

from __future__ import annotations

import contextlib
import enum
import socket
import threading
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final

import urllib3

from canvasyoke._clock import SECOND
from canvasyoke.transport._answer_errors import (
    ExchangeError,
    FailureCause,
    answer_errors,
    is_framed,
)
from canvasyoke.transport._bounded_connection import MIN_TIMEOUT, BoundedConnection

#: TCP keep-alive detects a dead peer behind a silent connection: two probes, one second apart,
#: after one second without traffic. Shorter intervals would add wake-ups. With longer ones a stream
#: that could resume elsewhere would wait past the 2 s after which callers give up.
_KEEPALIVE_IDLE_S: Final = 1
_KEEPALIVE_INTERVAL_S: Final = 1
_KEEPALIVE_PROBES: Final = 2
#: Milliseconds that sent data may remain unacknowledged.
_TCP_USER_TIMEOUT: Final = 2 * SECOND
_SOCKET_OPTIONS: Final[list[tuple[int, int, int | bytes]]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT),
]
_READ_BYTES: Final = 64 << 10


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection was established, so the peer has not seen the request."""

    detail: str
    #: Whether the host responded that nothing listens on the port.
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The exchange was cancelled after connecting, before the request was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class NoResponse:
    """The peer may have received the request, but no valid response arrived."""

    detail: str
    cause: FailureCause


class Exchange:
    """A request that was sent, and its response."""

    def __init__(
        self,
        connection: BoundedConnection,
        response: urllib3.HTTPResponse,
        handle: ExchangeHandle,
    ) -> None:
        self._connection = connection
        self._response = response
        self._handle = handle
        #: HTTP status.
        self.status = response.status
        #: Header names and values, in the order received.
        self.headers: list[tuple[str, str]] = list(response.headers.items())
        #: Whether the body is delimited by a length or chunked encoding, not only by the
        #: end of the connection.
        self.is_framed = is_framed(response)

    def header(self, name: str) -> str | None:
        """Return the value of a header, or ``None`` if it is absent."""
        return self._response.headers.get(name)

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it is received; raises :class:`ExchangeError` if it is incomplete."""
        with self._handle.answer_errors():
            yield from self._connection.bounds.limit(self._pieces())
            if self._response.chunked:
                self._connection.bounds.check_chunks()
            elif self._response.length_remaining:
                raise ExchangeError(f"{self._response.length_remaining} bytes are missing")
            if self.is_framed:
                return
            self._connection.bounds.check_end()
            if self._handle.is_cancelled:
                raise ExchangeError("nothing but the end of the connection delimits the body")

    def _pieces(self) -> Iterator[bytes]:
        if self._response.chunked:
            return self._response.read_chunked(_READ_BYTES, decode_content=False)
        return iter(lambda: self._response.read1(_READ_BYTES, decode_content=False), b"")

    def limit_time(self, duration: int) -> None:
        """Limit the rest of the answer to ``duration`` milliseconds."""
        self._connection.bounds.limit_time(duration, duration)

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self._response.close()
        self._connection.close()


class ExchangeHandle:
    """Cancels an exchange from another thread.

    ``may_send`` is called once the connection is established, right before the request is sent.
    """

    def __init__(self, may_send: Callable[[], bool] = lambda: True) -> None:
        self._lock = threading.Lock()
        self._may_send = may_send
        self._sock: socket.socket | None = None
        #: Whether the exchange was cancelled.
        self.is_cancelled = False

    def attach(self, sock: socket.socket | None) -> str:
        """Set the exchange's socket; return why the request must not be sent, or ``""``."""
        with self._lock:
            self._sock = sock
            if self.is_cancelled:
                return "given up before anything was sent"
        return "" if self._may_send() else "the backend takes no requests any more"

    @contextlib.contextmanager
    def answer_errors(self) -> Iterator[None]:
        """Raise :class:`ExchangeError` for any exception raised while the answer is read.

        To the reader, the end of a cancelled exchange looks like the peer's.
        """
        try:
            with answer_errors():
                yield
        except ExchangeError as exc:
            if not self.is_cancelled:
                raise
            detail = f"the exchange was cancelled: {exc}"
            raise ExchangeError(detail, FailureCause.CANCELLED) from exc

    def cancel(self) -> None:
        """Shut the socket down, or prevent the request from being sent if there is none yet."""
        with self._lock:
            self.is_cancelled = True
            if self._sock is None:
                return
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)


class ProbeResult(enum.Enum):
    """Result of a connection attempt."""

    LISTENING = enum.auto()
    #: The host responds, but nothing listens on the port.
    REFUSED = enum.auto()
    #: No response: the host is down, unreachable or slow, or a packet was lost.
    SILENT = enum.auto()


def probe_address(address: str, timeout: int) -> ProbeResult:
    """Try to connect to ``address`` within ``timeout`` milliseconds."""
    host, port = address.rsplit(":", 1)
    try:
        socket.create_connection((host, int(port)), timeout / SECOND).close()
    except ConnectionRefusedError:
        return ProbeResult.REFUSED
    except OSError:
        return ProbeResult.SILENT
    return ProbeResult.LISTENING


def can_connect(address: str, timeout: int) -> bool:
    """Return whether ``address`` accepts a connection within ``timeout`` milliseconds."""
    return probe_address(address, timeout) is ProbeResult.LISTENING


def exchange(
    address: str,
    method: str,
    target: str,
    headers: Sequence[tuple[str, str]],
    body: bytes,
    *,
    connect_timeout: int,
    read_timeout: int,
    handle: ExchangeHandle | None = None,
) -> Exchange | NotConnected | Withdrawn | NoResponse:
    """Send a request and wait for the response headers; times are in milliseconds.

    ``read_timeout`` is also the time limit of the whole answer, unless :meth:`Exchange.limit_time`
    sets another one.
    """
    handle = handle or ExchangeHandle()
    host, port = address.rsplit(":", 1)
    connection = BoundedConnection(
        host, int(port), timeout=connect_timeout / SECOND, socket_options=_SOCKET_OPTIONS
    )
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        connection.close()
        return NotConnected(f"{type(exc).__name__}: {exc}", _is_refused(exc))
    abort_reason = handle.attach(connection.sock)
    if abort_reason:
        connection.close()
        return Withdrawn(abort_reason)
    connection.timeout = max(MIN_TIMEOUT, read_timeout) / SECOND
    connection.sock.settimeout(connection.timeout)
    try:
        with handle.answer_errors():
            response = _send(connection, method, target, headers, body)
    except ExchangeError as exc:
        connection.close()
        return NoResponse(str(exc), exc.cause)
    return Exchange(connection, response, handle)


def _send(
    connection: BoundedConnection,
    method: str,
    target: str,
    headers: Sequence[tuple[str, str]],
    body: bytes,
) -> urllib3.HTTPResponse:
    """Send a request on an open connection and wait for the response headers."""
    # A backend may respond and close before it has read the whole body: the response is then
    # available although sending failed.
    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
        connection.request(
            method,
            target,
            body=body or None,
            headers=_suppress_default_headers(headers),
            preload_content=False,
            decode_content=False,
        )
    return connection.getresponse()


def _is_refused(exc: Exception) -> bool:
    """Return whether a connection failed because nothing listens on the port."""
    causes = (exc, exc.__cause__, *exc.args)
    return any(isinstance(each, ConnectionRefusedError) for each in causes)


def _suppress_default_headers(headers: Sequence[tuple[str, str]]) -> dict[str, str]:
    """Return the headers, with urllib3's default headers suppressed."""
    sent: dict[str, str] = {
        "User-Agent": urllib3.util.SKIP_HEADER,
        "Accept-Encoding": urllib3.util.SKIP_HEADER,
        "Connection": "close",
    }
    sent.update(headers)
    return sent
