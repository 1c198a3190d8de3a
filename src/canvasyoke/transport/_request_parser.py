"""Parses the requests of callers within the limits of a server and the budget of the process."""

from __future__ import annotations

from typing import Any, Final, Protocol

from waitress.parser import HTTPRequestParser
from waitress.utilities import Error

from canvasyoke._clock import SECOND
from canvasyoke.transport._chunked_body import ChunkedBody
from canvasyoke.transport._request_budget import RETRY_AFTER, RequestBudget, Reservation

#: Bytes that a header field takes up beside its text, in all forms in which a request is kept.
_FIELD_OVERHEAD: Final = 512


class Overloaded(Error):
    """There is no memory for the request, which was not run."""

    code = 503
    reason = "Service Unavailable"

    def __init__(
        self, content: bytes = b"there is no memory for it\n", content_type: str = "text/plain"
    ) -> None:
        super().__init__(self.reason)
        self._content = content
        self._content_type = content_type

    def to_response(self, ident: Any = None) -> Any:
        """Return status, headers and body."""
        headers = [
            ("Content-Type", self._content_type),
            ("Retry-After", f"{RETRY_AFTER / SECOND:g}"),
        ]
        return f"{self.code} {self.reason}", headers, self._content


class RequestOwner(Protocol):
    """The connection that a request is received on."""

    @property
    def budget(self) -> RequestBudget:
        """Return the memory that the request is received into."""

    def overload_error(self) -> Error:
        """Return the refusal of a request for which there is no memory."""

    def give_up(self, request: RequestParser) -> None:
        """End the request soon; called by any thread."""

    def stop_reading(self, error: Error) -> None:
        """Parse nothing of what follows a request that is refused."""


class RequestParser(HTTPRequestParser):
    """Collects one request; ``error`` tells why it is refused.

    The limits in the adjustments of waitress are one byte above those that apply.
    """

    # Wrong in the type stubs of waitress.
    headers: Any
    error: Any

    def __init__(self, adj: Any, owner: RequestOwner) -> None:
        super().__init__(adj)
        self._owner = owner
        self._reservation: Reservation | None = None
        self._received_bytes = 0

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
        self._received_bytes += used
        if self.error is None and not self._reserve():
            self.error = self._owner.overload_error()
        if self.error is not None:
            self.refuse(self.error)
            return len(data)
        if self.completed:
            # Waitress would wait for a body that the request does not have.
            self.expect_continue = False
        if self.empty:
            self.close()
        return used

    @property
    def is_fragmented(self) -> bool:
        """Return whether the body comes in chunks of few bytes."""
        return self.chunked and bool(self.body_rcv.is_fragmented)

    def refuse(self, error: Error) -> None:
        """End the request, and drop what was received of it."""
        self.error = error
        self.completed = True
        self.expect_continue = False
        self.close()
        self._owner.stop_reading(error)

    def close(self) -> None:
        """Release the memory of the request."""
        super().close()
        if self._reservation is not None:
            self._owner.budget.release(self._reservation)

    def _receive_body(self, data: bytes) -> int:
        used = int(self.body_rcv.received(data))
        self.body_bytes_received += used
        self.error = self.body_rcv.error
        self.completed = self.body_rcv.completed
        if self.completed and self.chunked:
            self.headers["CONTENT_LENGTH"] = str(len(self.body_rcv))
        return used

    def _reserve(self) -> bool:
        """Reserve memory for what is kept of the request; return whether there is any."""
        budget = self._owner.budget
        if self._reservation is None:
            self._reservation = budget.open(lambda: self._owner.give_up(self))
        if not budget.reserve(self._reservation, self._size(), self._received_bytes):
            return False
        return not self.completed or budget.complete(self._reservation)

    def _size(self) -> int:
        """Return the bytes that the request takes up, or will with the body that it announces."""
        if not self.headers_finished:
            return len(self.header_plus)
        head = self.header_bytes_received + _FIELD_OVERHEAD * len(self.headers)
        if not self.chunked:
            return head + self.content_length
        return head + len(self.body_rcv) + int(self.body_rcv.unfinished_bytes)


def take_body(environ: dict[str, Any]) -> bytes:
    """Return the body of a request without a copy, so that the server keeps none of its own."""
    stream = environ["wsgi.input"]
    body: bytes = stream.getvalue()
    stream.close()
    return body
