"""Rendering and sending of responses, which all HTTP servers share."""

from __future__ import annotations

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
