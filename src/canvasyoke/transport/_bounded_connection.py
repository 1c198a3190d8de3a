"""HTTP connections whose answers are bounded in time and in undelivered bytes.

The HTTP libraries bound single reads and single lines. A peer that sends lines, interim answers or
single bytes without end keeps their loops running, so the bounds are applied to the socket itself.
"""

from __future__ import annotations

import http.client
import socket
from collections.abc import Iterator
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final

import urllib3
from urllib3.connection import HTTPConnection

from canvasyoke._clock import SECOND, Clock, SystemClock
from canvasyoke.transport._answer_errors import ExchangeError, FailureCause
from canvasyoke.transport._answer_reader import AnswerReader

if TYPE_CHECKING:
    from _typeshed import ReadableBuffer, WriteableBuffer

#: Bytes that may be received for a head, or for one piece of a body with its framing.
_MAX_UNDELIVERED_BYTES: Final = 256 << 10
#: Milliseconds in which data that arrived before the time limit is still read after it.
_MAX_LATE_TIME: Final = 200
_INTERIM: Final = range(100, 200)
_LINE_FEED: Final = ord("\n")
#: Minimum socket timeout in milliseconds; zero would make the socket non-blocking.
MIN_TIMEOUT: Final = 1


class AnswerBounds:
    """Limits of the answer that is read from a connection; times are in milliseconds."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: Longest time for a single read.
        self._read_timeout = 0
        #: Clock time by which the answer has to be complete.
        self._deadline = 0
        self._undelivered_bytes = 0
        #: Clock time of the first read past the time limit; 0 before it.
        self._late_since = 0
        #: Whether the connection has ended, and the last byte before its end.
        self._has_ended = False
        self._last_byte = 0
        #: Whether sending failed because the connection was reset or closed.
        self._is_reset = False

    def begin(self, timeout: int) -> None:
        """Expect an answer that takes at most ``timeout``."""
        self._has_ended = False
        self.limit_time(timeout, timeout)
        self.begin_piece()

    def limit_time(self, timeout: int, read_timeout: int) -> None:
        """Limit the rest of the answer to ``timeout``, and each read to ``read_timeout``."""
        self._deadline = self._clock.now() + timeout
        self._read_timeout = read_timeout
        self._late_since = 0

    def begin_piece(self) -> None:
        """Expect the next piece of the answer."""
        self._undelivered_bytes = 0

    def limit(self, pieces: Iterator[bytes]) -> Iterator[bytes]:
        """Yield the pieces of a body, each within the limits."""
        self.begin_piece()
        for piece in pieces:
            yield piece
            self.begin_piece()

    def next_timeout(self) -> int:
        """Return the timeout of the next read; raises ``TimeoutError`` past the time limit."""
        now = self._clock.now()
        if now < self._deadline:
            return max(MIN_TIMEOUT, min(self._deadline - now, self._read_timeout))
        self._late_since = self._late_since or now
        if now - self._late_since > _MAX_LATE_TIME:
            raise TimeoutError("the answer is not complete at its time limit")
        return MIN_TIMEOUT

    def check_head(self) -> None:
        """Raise :class:`ExchangeError` if the head that was read was cut off.

        The libraries take the end of the connection for the end of the head. They read no further
        than the empty line after it, so that they meet the end of the connection only before it.
        """
        if self._has_ended:
            raise ExchangeError("the connection ended within the head")

    def check_chunks(self) -> None:
        """Raise :class:`ExchangeError` if the line that ended a chunked body was cut off.

        The libraries take the first zeros of the size of a chunk for the last chunk.
        """
        if self._has_ended and self._last_byte != _LINE_FEED:
            raise ExchangeError("the connection ended within a line of the chunks")

    def check_end(self) -> None:
        """Raise :class:`ExchangeError` if the end of the connection says nothing of a body's end.

        A reset is reported once. If sending met it, reading finds the end of the connection.
        """
        if self._is_reset:
            raise ExchangeError("the connection was reset, and nothing else delimits the body")

    def record_reset(self) -> None:
        """Record that the peer reset or closed the connection while the request was sent."""
        self._is_reset = True

    def record_end(self) -> None:
        """Record that the connection has ended."""
        self._has_ended = True

    def record(self, received: int, last_byte: int) -> None:
        """Count received bytes; raises :class:`ExchangeError` if there are too many."""
        self._last_byte = last_byte
        self._undelivered_bytes += received
        if self._undelivered_bytes > _MAX_UNDELIVERED_BYTES:
            raise ExchangeError(
                f"more than {_MAX_UNDELIVERED_BYTES} bytes without an end of the head or a piece",
                FailureCause.TOO_LARGE,
            )


class _BoundedSocket(socket.socket):
    """Takes over a connected socket and applies the bounds to each read."""

    def __init__(self, connected: socket.socket, bounds: AnswerBounds) -> None:
        family, kind, proto = connected.family, connected.type, connected.proto
        timeout = connected.gettimeout()
        super().__init__(family, kind, proto, fileno=connected.detach())
        self.settimeout(timeout)
        self._bounds = bounds

    def recv_into(self, buffer: WriteableBuffer, nbytes: int = 0, flags: int = 0) -> int:
        """Read what has arrived; raises ``TimeoutError`` or :class:`ExchangeError`."""
        self.settimeout(self._bounds.next_timeout() / SECOND)
        received = super().recv_into(buffer, nbytes, flags)
        if received:
            self._bounds.record(received, memoryview(buffer)[received - 1])
        else:
            self._bounds.record_end()
        return received

    def sendall(self, data: ReadableBuffer, flags: int = 0, /) -> None:
        """Send data; raises what sockets raise."""
        try:
            super().sendall(data, flags)
        except ConnectionError:
            self._bounds.record_reset()
            raise


class _FinalResponse(http.client.HTTPResponse):
    """Reads the head strictly, and skips all interim responses.

    The library skips those with status 100 only.
    """

    def begin(self) -> None:
        """Read the head of the final response."""
        reader: Any = AnswerReader(self.fp)
        self.fp = reader
        super().begin()
        reader.begin_body()

    def _read_status(self) -> tuple[str, int, str]:
        while True:
            version, status, reason = super()._read_status()  # type: ignore[misc]
            if status not in _INTERIM:
                return version, status, reason
            if status == HTTPStatus.SWITCHING_PROTOCOLS:
                raise http.client.BadStatusLine(f"{status} without a request for it")
            http.client.parse_headers(self.fp)


class BoundedConnection(HTTPConnection):
    """A connection whose timeout also limits the time of the whole answer."""

    response_class = _FinalResponse

    #: Limits of the current answer.
    bounds: AnswerBounds

    def connect(self) -> None:
        """Connect; raises what urllib3 raises."""
        super().connect()
        self.bounds = AnswerBounds(SystemClock())
        self.sock = _BoundedSocket(self.sock, self.bounds)

    def getresponse(self) -> urllib3.HTTPResponse:  # type: ignore[override]
        """Wait for the response headers; raises what urllib3 raises."""
        assert self.timeout is not None
        self.bounds.begin(round(self.timeout * SECOND))
        response = super().getresponse()
        try:
            self.bounds.check_head()
        except ExchangeError:
            response.close()
            raise
        return response


class BoundedPool(urllib3.HTTPConnectionPool):
    """A pool of such connections."""

    ConnectionCls = BoundedConnection


def bounds_of(response: urllib3.BaseHTTPResponse) -> AnswerBounds:
    """Return the limits of a response that was just received over a pooled connection."""
    connection = response.connection
    assert isinstance(connection, BoundedConnection)
    return connection.bounds
