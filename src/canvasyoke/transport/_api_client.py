"""HTTP client for calls whose answers are read as a whole, such as reports and stored objects."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from canvasyoke.transport._answer_errors import ExchangeError
from canvasyoke.transport._http_client import BackendPool, CallFailed, HttpFailure

#: Longest time for a body, in read timeouts. A large list over a slow link takes several.
_BODY_TIMEOUTS: Final = 4


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
        self._pool = BackendPool(address, connections)
        self._max_answer_bytes = max_answer_bytes

    def call(
        self,
        method: str,
        path: str,
        *,
        connect_timeout: int,
        read_timeout: int,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> ApiAnswer | CallFailed:
        """Send a request and read the answer; times are in milliseconds.

        ``read_timeout`` limits the head and each read; a body may take several times as long.
        """
        reply = self._pool.call(
            method,
            path,
            headers=headers,
            body=body,
            connect_timeout=connect_timeout,
            read_timeout=read_timeout,
        )
        if isinstance(reply, CallFailed):
            return reply
        reply.limit_time(_BODY_TIMEOUTS * read_timeout, read_timeout)
        try:
            body = reply.read(self._max_answer_bytes)
            return ApiAnswer(reply.status, reply.named_headers, body)
        except ExchangeError as exc:
            reply.close()
            return CallFailed(HttpFailure.MAYBE_SENT, str(exc))
        finally:
            reply.release()
