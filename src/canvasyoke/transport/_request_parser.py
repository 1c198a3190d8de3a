"""Parses the requests of callers within the limits of a server."""

from __future__ import annotations

from typing import Any, Protocol

from waitress.parser import HTTPRequestParser

from canvasyoke.transport._chunked_body import ChunkedBody


class RequestOwner(Protocol):
    """The connection that a request is received on."""

    def stop_reading(self) -> None:
        """Parse nothing of what follows a request that is refused."""


class RequestParser(HTTPRequestParser):
    """Collects one request; ``error`` tells why it is refused.

    The limits in the adjustments of waitress are one byte above those that apply.
    """

    # Wrong in the type stubs of waitress.
    headers: Any

    def __init__(self, adj: Any, owner: RequestOwner) -> None:
        super().__init__(adj)
        self._owner = owner

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the head."""
        super().parse_header(header_plus)
        if self.chunked:
            max_bytes = self.adj.max_request_body_size - 1
            max_line = self.adj.max_request_header_size - 1
            self.body_rcv: Any = ChunkedBody(self.body_rcv.getbuf(), max_bytes, max_line)

    def received(self, data: bytes) -> int:
        """Parse received bytes; return how many of them were used."""
        if self.completed:
            return 0
        is_body = self.body_rcv is not None
        used = self._receive_body(data) if is_body else int(super().received(data))
        if self.error is not None:
            self._refuse()
            return len(data)
        if self.completed:
            # Waitress would wait for a body that the request does not have.
            self.expect_continue = False
        return used

    def _receive_body(self, data: bytes) -> int:
        used = int(self.body_rcv.received(data))
        self.body_bytes_received += used
        self.error = self.body_rcv.error
        self.completed = self.body_rcv.completed or self.error is not None
        if self.completed and self.chunked:
            self.headers["CONTENT_LENGTH"] = str(len(self.body_rcv))
        return used

    def _refuse(self) -> None:
        """Drop what was received; the caller is not told to go on."""
        self.expect_continue = False
        self.close()
        self._owner.stop_reading()
