"""A caller's connection, which all HTTP servers share."""

from __future__ import annotations

import socket
import threading
from typing import Any, Final

from waitress.channel import HTTPChannel
from waitress.utilities import Error

from canvasyoke._clock import SECOND
from canvasyoke.transport._request_budget import RequestBudget
from canvasyoke.transport._request_parser import RequestParser
from canvasyoke.transport._response_tasks import ApplicationTask, RefusalTask

#: Milliseconds in which a caller has to close the connection after it was sent a refusal.
_LINGER_TIME: Final = 2 * SECOND
#: Bytes read at a time of a body in chunks of few bytes.
_FRAGMENTED_BYTES: Final = 1 << 10
#: Bytes read at a time to be discarded.
_DISCARD_BYTES: Final = 64 << 10


class Channel(HTTPChannel):
    """A connection that receives requests within the budget of its process.

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
    socket: Any
    _flush_exception: Any
    _flush_some: Any
    #: Whether a request was refused, so that what follows is discarded.
    _is_refusing = False
    _discarded_bytes = 0
    #: Clock time until which data is discarded after the refusal was sent; 0 before that.
    _lingers_until = 0

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

    def stop_reading(self, error: Error) -> None:
        """Parse nothing of what follows a request that is refused."""
        self._is_refusing = True
        self.server.refused_unread[error.code] += 1

    def received(self, data: bytes) -> bool:
        """Parse received data."""
        self.record_activity()
        return not self._is_refusing and bool(super().received(data))

    def readable(self) -> bool:
        """Return whether to read from the connection now."""
        return bool(super().readable()) and not self._has_discarded_enough

    def recv(self, buffer_size: int) -> bytes:
        """Read at most ``buffer_size`` bytes; less of a body that takes much time to decode.

        One thread reads a part from each connection in turn.
        """
        if self.request is not None and self.request.is_fragmented:
            buffer_size = min(buffer_size, _FRAGMENTED_BYTES)
        return bytes(super().recv(buffer_size))

    def handle_read(self) -> None:
        """Read from the connection; discard what follows a refused request."""
        if not self._is_refusing:
            super().handle_read()
            return
        try:
            self._discarded_bytes += len(self.recv(_DISCARD_BYTES))
        except OSError:
            self.handle_close()
        if self._lingers_until and self._has_discarded_enough:
            self.handle_close()

    def handle_write(self) -> None:
        """Send what the caller takes now, and close the connection if nothing else is to be done.

        A connection that is closed with unread data is reset, and its caller may not receive the
        refusal. So the connection is closed for sending only until the caller closes it as well.
        """
        if not (self._is_refusing and self.close_when_flushed) or self.will_close:
            super().handle_write()
            return
        self._flush_exception(self._flush_some)
        if self.will_close:
            self.handle_close()
        elif not self.total_outbufs_len:
            self._linger()

    def close_overdue(self, now: int) -> bool:
        """Close a connection that has lingered for long; return whether it lingers."""
        if self._lingers_until and now > self._lingers_until:
            self.will_close = True
        return self._lingers_until > 0

    def _linger(self) -> None:
        self.close_when_flushed = False
        if self._lingers_until:
            return
        self._lingers_until = self.server.clock.now() + _LINGER_TIME
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.handle_close()

    @property
    def _has_discarded_enough(self) -> bool:
        return self._discarded_bytes > int(self.adj.max_request_body_size)

    @property
    def is_busy(self) -> bool:
        """Return whether a request is handled, or a part of its response has not been sent."""
        return bool(self.requests or self.total_outbufs_len)

    def close_if_idle(self) -> None:
        """Close the connection, after the rest of a response, if no request has begun."""
        with self.requests_lock:
            if not self.requests and self.request is None:
                self.close_when_flushed = True
