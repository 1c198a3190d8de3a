"""HTTP client for calls whose answers are read as a whole, such as reports and stored objects."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from canvasyoke.transport._answer_errors import ExchangeError
from canvasyoke.transport._http_client import BackendPool, CallFailed, HttpFailure, HttpReply


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
        """Send a request and read the answer; times are in milliseconds."""
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
        try:
            return ApiAnswer(reply.status, reply.named_headers, self._read(reply))
        except ExchangeError as exc:
            reply.close()
            return CallFailed(HttpFailure.MAYBE_SENT, str(exc))
        finally:
            reply.release()

    def _read(self, reply: HttpReply) -> bytes:
        """Return the body; raises :class:`ExchangeError` if it is invalid or too large."""
        pieces: list[bytes] = []
        size = 0
        for piece in reply.chunks():
            pieces.append(piece)
            size += len(piece)
            if size > self._max_answer_bytes:
                raise ExchangeError(f"more than {self._max_answer_bytes} bytes")
        return b"".join(pieces)
