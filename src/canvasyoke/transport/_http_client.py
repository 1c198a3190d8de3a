"""Calls to backends over HTTP with urllib3; the answer is read as it comes."""

from __future__ import annotations

import enum
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

import urllib3

from canvasyoke._clock import SECOND

#: Bytes read at once from an answer of known length.
_READ_BYTES: Final = 64 << 10


class HttpFailure(enum.Enum):
    """How far a call had come when it failed."""

    #: No connection was made: the backend did not see the call.
    NOT_SENT = enum.auto()
    #: The call was on its way or running.
    MAYBE_SENT = enum.auto()


class HttpReply:
    """The head of an answer and an iterator over its body."""

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        self._response = response
        #: HTTP status.
        self.status = response.status
        #: Header names and values in the order they came.
        self.headers = list(response.headers.items())

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it comes; raises ``OSError`` when it breaks off."""
        try:
            if getattr(self._response, "chunked", False):
                yield from self._response.read_chunked()
            else:
                yield from self._response.stream(_READ_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise OSError(f"the answer broke off: {exc}") from exc

    def lines(self) -> Iterator[bytes]:
        """Yield the body line by line, without line ends."""
        rest = b""
        for chunk in self.chunks():
            *whole, rest = (rest + chunk).split(b"\n")
            yield from whole
        if rest:
            raise OSError("the answer broke off within a line")

    def close(self) -> None:
        """Give the connection up; the backend sees it closed."""
        self._response.close()

    def release(self) -> None:
        """Give a connection whose answer was read to its end back to the pool."""
        self._response.release_conn()


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call without an answer."""

    #: How far it had come.
    failure: HttpFailure
    #: The cause, for logs.
    detail: str


class BackendPool:
    """A pool of connections to one address; makes no retries of its own."""

    def __init__(self, address: str, connections: int) -> None:
        host, port = address.rsplit(":", 1)
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=connections, block=False, retries=False
        )

    def call(
        self,
        method: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        connect_timeout: int = 1 * SECOND,
        read_timeout: int = 30 * SECOND,
    ) -> HttpReply | CallFailed:
        """Send one request; times are in milliseconds."""
        timeout = urllib3.Timeout(connect=connect_timeout / SECOND, read=read_timeout / SECOND)
        try:
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
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            return CallFailed(HttpFailure.NOT_SENT, str(exc))
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return CallFailed(HttpFailure.MAYBE_SENT, str(exc))
        return HttpReply(response)
