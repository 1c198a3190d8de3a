"""A caller's connection, which all HTTP servers share."""

from __future__ import annotations

import threading
from typing import Any

from waitress.channel import HTTPChannel

from canvasyoke.transport._request_parser import RequestParser
from canvasyoke.transport._response_tasks import ApplicationTask, RefusalTask


class Channel(HTTPChannel):
    """A connection whose responses are rendered by these tasks.

    It is in use while the caller still reads, not only while its request is handled.
    """

    task_class = ApplicationTask
    error_task_class = RefusalTask
    # Missing in the type stubs of waitress.
    requests: Any
    requests_lock: threading.Lock
    total_outbufs_len: int
    #: Whether a request was refused before its end, so that what follows is not parsed.
    _is_refusing = False

    def parser_class(self, adj: Any) -> RequestParser:  # type: ignore[override]
        """Return the parser of the next request."""
        return RequestParser(adj, self)

    def stop_reading(self) -> None:
        """Parse nothing of what follows a request that is refused."""
        self._is_refusing = True

    def received(self, data: bytes) -> bool:
        """Parse received data."""
        return not self._is_refusing and bool(super().received(data))

    @property
    def is_busy(self) -> bool:
        """Return whether a request is handled, or a part of its response has not been sent."""
        return bool(self.requests or self.total_outbufs_len)

    def close_if_idle(self) -> None:
        """Close the connection, after the rest of a response, if no request has begun."""
        with self.requests_lock:
            if not self.requests and self.request is None:
                self.close_when_flushed = True
