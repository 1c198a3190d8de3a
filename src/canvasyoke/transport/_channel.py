"""A caller's connection, which all HTTP servers share."""

from __future__ import annotations

import threading
from typing import Any

from waitress.channel import HTTPChannel
from waitress.utilities import Error

from canvasyoke.transport._request_budget import RequestBudget
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
    request: Any
    total_outbufs_len: int
    # Wrong in the type stubs of waitress.
    server: Any
    #: Whether a request was refused before its end, so that what follows is not parsed.
    _is_refusing = False

    def __init__(self, server: Any, *args: Any, **kw: Any) -> None:
        #: Clock time of the last data received, or taken by the caller at a check, or of the last
        #: request finished. Waitress keeps its own ``last_activity`` on the wall clock.
        self.last_active_at = server.clock.now()
        super().__init__(server, *args, **kw)

    def record_activity(self) -> None:
        """Record that the connection is in use."""
        self.last_active_at = self.server.clock.now()

    def parser_class(self, adj: Any) -> RequestParser:  # type: ignore[override]
        """Return the parser of the next request."""
        return RequestParser(adj, self)

    @property
    def budget(self) -> RequestBudget:
        """Return the memory that requests are received into."""
        budget: RequestBudget = self.server.budget
        return budget

    def overload_error(self) -> Error:
        """Return the refusal of a request for which there is no memory."""
        error: Error = self.server.make_overload_error()
        return error

    def give_up(self, request: RequestParser) -> None:
        """End a request whose memory others need, in the thread that reads from callers."""
        self.server.trigger.pull_trigger(lambda: self.refuse(request, self.overload_error()))

    def refuse(self, request: RequestParser, error: Error) -> None:
        """Refuse a request that is being received."""
        with self.requests_lock:
            if self.request is not request:
                return
            request.refuse(error)
            self.request = None
            self.requests.append(request)
            if len(self.requests) == 1:
                self.server.add_task(self)

    def service(self) -> None:
        """Run the application for the next request."""
        super().service()
        self.record_activity()
        if not self.connected:
            with self.requests_lock:
                unserved = list(self.requests)
            for request in unserved:
                request.close()

    def handle_close(self) -> None:
        """Close the connection, and drop the request that is being received."""
        super().handle_close()
        if self.request is not None:
            self.request.close()

    def stop_reading(self) -> None:
        """Parse nothing of what follows a request that is refused."""
        self._is_refusing = True

    def received(self, data: bytes) -> bool:
        """Parse received data."""
        self.record_activity()
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
