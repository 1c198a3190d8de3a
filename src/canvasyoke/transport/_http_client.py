"""HTTP client for backends, based on urllib3, with streamed responses."""

from __future__ import annotations

import enum
from collections.abc import Iterator, Mapping
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
from canvasyoke.transport._bounded_connection import BoundedPool, bounds_of

#: Bytes read at a time. The length stated by an answer is not trusted for allocations.
_READ_BYTES: Final = 64 << 10
#: Longest line that is collected.
_MAX_LINE_BYTES: Final = 1 << 20


#: Exceptions after which the backend has not seen the request.
_NOT_SENT_ERRORS: Final = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class HttpFailure(enum.Enum):
    """Whether a failed call may have reached the backend."""

    #: No connection was established, so the backend has not seen the request.
    NOT_SENT = enum.auto()
    #: The request may have been sent.
    MAYBE_SENT = enum.auto()


class HttpReply:
    """A response: status, headers and a streamed body."""

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        self._response = response
        self._bounds = bounds_of(response)
        #: HTTP status.
        self.status = response.status
        #: Header names and values, in the order received.
        self.headers = list(response.headers.items())
        #: Values by header name; lookups ignore case.
        self.named_headers: Mapping[str, str] = response.headers

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it is received; raises ``OSError`` if it is incomplete."""
        with answer_errors():
            yield from self._bounds.limit(self._response.stream(_READ_BYTES))
            if getattr(self._response, "chunked", False):
                self._bounds.check_chunks()
            elif not is_framed(self._response):
                self._bounds.check_end()

    def read(self, max_bytes: int) -> bytes:
        """Return the body; raises :class:`ExchangeError` if it is incomplete or larger."""
        body = bytearray()
        for piece in self.chunks():
            body += piece
            if len(body) > max_bytes:
                raise ExchangeError(f"more than {max_bytes} bytes", FailureCause.TOO_LARGE)
        return bytes(body)

    def lines(self) -> Iterator[bytes]:
        """Yield the lines of the body, without line ends; raises ``OSError`` if one is too long."""
        rest = b""
        for chunk in self.chunks():
            *whole, rest = (rest + chunk).split(b"\n")
            yield from whole
            if len(rest) > _MAX_LINE_BYTES:
                raise ExchangeError(
                    f"a line of more than {_MAX_LINE_BYTES} bytes", FailureCause.TOO_LARGE
                )
        if rest:
            raise OSError("the answer broke off within a line")

    def limit_time(self, timeout: int, read_timeout: int) -> None:
        """Limit the rest of the answer, and each read of it; both are in milliseconds."""
        self._bounds.limit_time(timeout, read_timeout)

    def close(self) -> None:
        """Close the connection."""
        self._response.close()

    def release(self) -> None:
        """Return the connection to the pool, after the response was read completely."""
        self._response.release_conn()


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call that received no response."""

    #: Whether the request may have been sent.
    failure: HttpFailure
    #: The cause, for logs.
    detail: str


class BackendPool:
    """A connection pool for one address, without retries."""

    def __init__(self, address: str, connections: int) -> None:
        host, port = address.rsplit(":", 1)
        self._pool = BoundedPool(host, int(port), maxsize=connections, block=False, retries=False)

    def call(
        self,
        method: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        connect_timeout: int = 1 * SECOND,
        read_timeout: int = 30 * SECOND,
    ) -> HttpReply | CallFailed:
        """Send a request and wait for the response headers; times are in milliseconds.

        ``read_timeout`` is also the time limit of the whole answer, unless
        :meth:`HttpReply.limit_time` sets another one.
        """
        timeout = urllib3.Timeout(connect=connect_timeout / SECOND, read=read_timeout / SECOND)
        try:
            with answer_errors():
                response = self._pool.urlopen(
                    method,
                    path,
                    body=body,
                    headers=headers or {},
                    timeout=timeout,
                    retries=False,
                    redirect=False,
                    preload_content=False,
                    decode_content=False,
                )
        except ExchangeError as exc:
            is_unsent = isinstance(exc.__cause__, _NOT_SENT_ERRORS)
            failure = HttpFailure.NOT_SENT if is_unsent else HttpFailure.MAYBE_SENT
            return CallFailed(failure, str(exc))
        return HttpReply(response)
