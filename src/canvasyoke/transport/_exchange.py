"""One request on a connection of its own, with urllib3; the answer is read as it comes.

A fresh connection for each request costs a round trip inside the data centre. In return
no answer can be taken for another's, a connection that went stale cannot swallow a
request that must not repeat, and bytes left over from an answer die with their socket.
"""

from __future__ import annotations

import contextlib
import enum
import http.client
import socket
import threading
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final

import urllib3
from urllib3.connection import HTTPConnection

from canvasyoke._clock import SECOND

#: Keep-alive probes tell a peer without power from one that is busy: one second idle,
#: then two probes a second apart. Shorter would add wake-ups, longer lets a stream that
#: could go on elsewhere wait past the two seconds after which callers give up.
_PROBE_AFTER_S: Final = 1
_PROBE_EVERY_S: Final = 1
_PROBES: Final = 2
#: Milliseconds that sent bytes may stay without acknowledgement.
_UNACKNOWLEDGED: Final = 2 * SECOND
_SOCKET_OPTIONS: Final[list[tuple[int, int, int | bytes]]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_AFTER_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_EVERY_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED),
]
_READ_BYTES: Final = 64 << 10
#: Least time given to a socket operation, in milliseconds; zero would mean not to block.
_LEAST_TIMEOUT: Final = 1


class ExchangeError(OSError):
    """An answer broke off, is malformed or did not come in time."""

    def __init__(self, detail: str, *, is_late: bool = False) -> None:
        super().__init__(detail)
        #: Whether it did not come in time, so that nothing is known of the peer.
        self.is_late = is_late


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection was made, so the peer has not seen the request."""

    detail: str


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The connection was made, and the request was not sent after all."""

    detail: str


@dataclass(frozen=True, slots=True)
class Sent:
    """The request may have been read by the peer, and there is no answer."""

    detail: str
    #: Whether the answer did not come in time, so that nothing is known of the peer.
    is_late: bool = False


class Exchange:
    """A request that was sent, and its answer."""

    def __init__(self, connection: HTTPConnection, response: urllib3.HTTPResponse) -> None:
        self._connection = connection
        self._response = response
        #: HTTP status.
        self.status = response.status
        #: Header names and values in the order they came.
        self.headers: list[tuple[str, str]] = list(response.headers.items())
        #: Whether the body's end is told by a length or a last chunk, not by the
        #: connection's end alone.
        self.is_framed = bool(response.chunked) or response.length_remaining is not None

    def header(self, name: str) -> str | None:
        """Return the value of a header, or ``None``."""
        return self._response.headers.get(name)

    def pieces(self) -> Iterator[bytes]:
        """Yield the body as it comes; raises :class:`ExchangeError` if it is not whole."""
        try:
            if self._response.chunked:
                yield from self._response.read_chunked(decode_content=False)
                return
            while piece := self._response.read1(_READ_BYTES, decode_content=False):
                yield piece
            if self._response.length_remaining:
                raise ExchangeError(f"{self._response.length_remaining} bytes are missing")
        except ExchangeError:
            raise
        except (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError) as exc:
            raise ExchangeError(f"{type(exc).__name__}: {exc}", is_late=_is_late(exc)) from exc
        except (AttributeError, ValueError) as exc:
            # A socket that another task shut down while it was being read.
            raise ExchangeError(f"the connection was closed: {exc}") from exc

    def wait_at_most(self, duration: int) -> None:
        """Let each further read take up to ``duration`` milliseconds."""
        sock = self._connection.sock
        if sock is not None:
            sock.settimeout(max(_LEAST_TIMEOUT, duration) / SECOND)

    def close(self) -> None:
        """Give the connection up; the peer sees it closed."""
        with contextlib.suppress(OSError):
            self._response.close()
        self._connection.close()


class ExchangeSlot:
    """Lets others stop an exchange: before its request is sent, and at any moment after.

    ``may_send`` is asked when the connection stands, right before the request is written.
    """

    def __init__(self, may_send: Callable[[], bool] = lambda: True) -> None:
        self._lock = threading.Lock()
        self._may_send = may_send
        self._connection: HTTPConnection | None = None
        self._sock: socket.socket | None = None
        #: Whether it was shut down.
        self.is_shut = False

    def hold(self, sock: socket.socket | None) -> str:
        """Take the socket in use now; return why nothing may be sent on it, or nothing."""
        with self._lock:
            self._sock = sock
            if self.is_shut:
                return "given up before anything was sent"
        return "" if self._may_send() else "the backend takes no requests any more"

    def shut(self) -> None:
        """Shut the socket down, now or as soon as there is one."""
        with self._lock:
            self.is_shut = True
            if self._sock is None:
                return
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)


class Reach(enum.Enum):
    """What a try to connect to an address has shown."""

    LISTENING = enum.auto()
    #: Its machine answers, and nothing listens at the port.
    REFUSED = enum.auto()
    #: Nothing came back: the machine is off, cut off or slow, or a packet was lost.
    SILENT = enum.auto()


def reach(address: str, timeout: int) -> Reach:
    """Try to connect to ``address`` within ``timeout`` milliseconds."""
    host, port = address.rsplit(":", 1)
    try:
        socket.create_connection((host, int(port)), timeout / SECOND).close()
    except ConnectionRefusedError:
        return Reach.REFUSED
    except OSError:
        return Reach.SILENT
    return Reach.LISTENING


def can_connect(address: str, timeout: int) -> bool:
    """Tell whether a connection to ``address`` is made within ``timeout`` milliseconds."""
    return reach(address, timeout) is Reach.LISTENING


def exchange(
    address: str,
    method: str,
    target: str,
    headers: Sequence[tuple[str, str]],
    body: bytes,
    *,
    connect_timeout: int,
    read_timeout: int,
    slot: ExchangeSlot | None = None,
) -> Exchange | NotConnected | Withdrawn | Sent:
    """Send one request and wait for the head of its answer; times in milliseconds."""
    slot = slot or ExchangeSlot()
    host, port = address.rsplit(":", 1)
    connection = HTTPConnection(
        host, int(port), timeout=connect_timeout / SECOND, socket_options=_SOCKET_OPTIONS
    )
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        connection.close()
        return NotConnected(f"{type(exc).__name__}: {exc}")
    why_not = slot.hold(connection.sock)
    if why_not:
        connection.close()
        return Withdrawn(why_not)
    connection.timeout = max(_LEAST_TIMEOUT, read_timeout) / SECOND
    connection.sock.settimeout(connection.timeout)
    try:
        # A backend may refuse a long body before it has read it: the answer is there
        # although the rest of the body could not be sent.
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            connection.request(
                method,
                target,
                body=body or None,
                headers=_with_defaults(headers),
                preload_content=False,
                decode_content=False,
            )
        return Exchange(connection, connection.getresponse())
    except (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError, ValueError) as exc:
        connection.close()
        return Sent(f"{type(exc).__name__}: {exc}", _is_late(exc))


def _is_late(exc: Exception) -> bool:
    """Tell whether an exchange failed for want of time, the system's limits among them."""
    causes = (exc, exc.__cause__, *exc.args)
    return any(isinstance(each, TimeoutError | urllib3.exceptions.TimeoutError) for each in causes)


def _with_defaults(headers: Sequence[tuple[str, str]]) -> dict[str, str]:
    """Return the headers, with those that the library would add switched off."""
    sent: dict[str, str] = {
        "User-Agent": urllib3.util.SKIP_HEADER,
        "Accept-Encoding": urllib3.util.SKIP_HEADER,
        "Connection": "close",
    }
    sent.update(headers)
    return sent
