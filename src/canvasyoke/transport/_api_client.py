"""HTTP client for calls whose answers are read as a whole, such as reports and stored objects."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import urllib3

from canvasyoke._clock import SECOND
from canvasyoke.transport._answer_errors import ExchangeError, answer_errors, check_length
from canvasyoke.transport._http_client import CallFailed, failure_of

#: Bytes read at a time. The length stated by an answer is not trusted for allocations.
_READ_BYTES: Final = 64 << 10


@dataclass(frozen=True, slots=True)
class ApiAnswer:
    """A complete answer."""

    status: int
    #: Values by header name; lookups ignore case.
    headers: Mapping[str, str]
    data: bytes


class ApiClient:
    """Client of one address; connections are reused, and nothing is retried."""

    def __init__(self, address: str, connections: int, max_answer_bytes: int) -> None:
        host, port = address.rsplit(":", 1)
        self._pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=connections, retries=False)
        self._max_answer_bytes = max_answer_bytes

    def call(
        self,
        method: str,
        path: str,
        *,
        connect_timeout: int,
        read_timeout: int,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> ApiAnswer | CallFailed:
        """Send a request and read the answer; times are in milliseconds."""
        timeout = urllib3.Timeout(connect=connect_timeout / SECOND, read=read_timeout / SECOND)
        try:
            with answer_errors():
                response = self._pool.urlopen(
                    method,
                    path,
                    body=body,
                    headers=dict(headers or {}),
                    timeout=timeout,
                    redirect=False,
                    preload_content=False,
                    decode_content=False,
                )
            return ApiAnswer(response.status, response.headers, self._read(response))
        except ExchangeError as exc:
            return CallFailed(failure_of(exc), str(exc))

    def _read(self, response: urllib3.BaseHTTPResponse) -> bytes:
        """Return the body; raises :class:`ExchangeError` if it is invalid or too large."""
        pieces: list[bytes] = []
        size = 0
        is_complete = False
        try:
            with answer_errors():
                check_length(response)
                for piece in response.stream(_READ_BYTES, decode_content=False):
                    pieces.append(piece)
                    size += len(piece)
                    if size > self._max_answer_bytes:
                        raise ExchangeError(f"more than {self._max_answer_bytes} bytes")
            is_complete = True
        finally:
            if not is_complete:
                response.close()
            response.release_conn()
        return b"".join(pieces)
