"""Rendering and sending of responses, which all HTTP servers share."""

from __future__ import annotations

import threading
from typing import Any

from waitress.channel import HTTPChannel
from waitress.task import ErrorTask, Task, WSGITask


class _ResponseTask(Task):
    """Sends no body in response to ``HEAD``, whatever the application returns (RFC 9110, 9.3.2).

    Waitress itself leaves out the bodies of responses whose status allows none.
    """

    def build_response_header(self) -> bytes:
        """Return the head of the response."""
        header = bytes(super().build_response_header())
        if self._is_head:
            self.chunked_response = False
        return header

    def write(self, data: bytes) -> None:
        """Send a part of the body, after the head if that was not sent yet."""
        super().write(b"" if self._is_head else data)

    @property
    def _is_head(self) -> bool:
        return getattr(self.request, "command", "") == "HEAD"  # unset before the request line


class ApplicationTask(_ResponseTask, WSGITask):
    """Sends the response of the application."""


class RefusalTask(_ResponseTask, ErrorTask):
    """Sends the response to a request that cannot be read."""


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

    @property
    def is_busy(self) -> bool:
        """Return whether a request is handled, or a part of its response has not been sent."""
        return bool(self.requests or self.total_outbufs_len)

    def close_if_idle(self) -> None:
        """Close the connection, after the rest of a response, if no request has begun."""
        with self.requests_lock:
            if not self.requests and self.request is None:
                self.close_when_flushed = True
