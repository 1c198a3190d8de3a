"""HTTP server for callers, based on waitress, with limits that can change at run time.

Waitress parses and buffers requests and dispatches them to a thread pool. This module adds
an elastic thread pool, a timeout for slow request headers and bodies (408), an idle timeout
on a monotonic clock, and draining, which closes connections after their response.
"""

from __future__ import annotations

import contextlib
import fcntl
import socket
import struct
import termios
import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final

from waitress.adjustments import Adjustments
from waitress.task import ThreadedTaskDispatcher
from waitress.utilities import Error

from canvasyoke._clock import Clock
from canvasyoke.transport._bounded_server import NO_LIMIT, BoundedServer, ServerCapacity
from canvasyoke.transport._channel import Channel
from canvasyoke.transport._response_tasks import ApplicationTask

#: A WSGI application.
Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

#: Seconds between checks for idle and slow connections.
_MAINTENANCE_INTERVAL_S: Final = 1
#: Threads started with the server; more are started under load.
_INITIAL_THREADS: Final = 4
#: Bytes of a response buffered for a slow caller before the application is blocked.
_OUTPUT_HIGH_WATERMARK: Final = 1 << 20
#: Buffer size in bytes beyond which waitress uses a temporary file; keeps buffers in memory.
_BUFFER_OVERFLOW: Final = 1 << 30
#: Result of ``TIOCOUTQ``.
_C_INT: Final = struct.Struct("i")


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Size limits and timeouts of a caller's requests; times are in milliseconds."""

    header_bytes: int
    body_bytes: int
    header_time: int
    idle_time: int


class _RequestTimeout(Error):
    """The request was not received completely before the timeout."""

    code = 408
    reason = "Request Timeout"


class _ElasticDispatcher(ThreadedTaskDispatcher):
    """Thread pool that starts a thread when none is idle, up to a limit."""

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit

    def add_task(self, task: Any) -> None:
        """Queue ``task`` and start a thread for it if none is idle."""
        super().add_task(task)
        with self.lock:
            idle = len(self.threads) - self.active_count
            required = len(self.threads) + len(self.queue) - max(0, idle)
        if required > len(self.threads):
            self.set_thread_count(min(self._limit, required))


class _ResponseTask(ApplicationTask):
    channel: Any

    def build_response_header(self) -> bytes:
        if self.channel.server.is_draining:
            self.set_close_on_finish()
        return super().build_response_header()


class _Channel(Channel):
    """A caller's connection that records its activity for the timeouts."""

    task_class = _ResponseTask

    def __init__(self, server: Any, *args: Any, **kw: Any) -> None:
        #: Clock time of the first byte of the request being read; 0 between requests.
        self.header_started_at = 0
        #: Bytes in the kernel's buffer that the caller had not taken at the last check.
        self._unread = 0
        super().__init__(server, *args, **kw)

    def received(self, data: bytes) -> bool:
        """Parse data received from the caller."""
        if not self.header_started_at:
            self.header_started_at = self.server.clock.now()
        received = bool(super().received(data))
        if self.request is None:
            self.header_started_at = 0
        return received

    def was_read_since(self) -> bool:
        """Return whether the caller has taken data since the last check.

        The kernel accepts more data only once a large part of its buffer is free, which takes a
        slow caller longer than the idle timeout.
        """
        before = self._unread
        if self.socket is None:
            return False
        try:
            queued = fcntl.ioctl(self.socket, termios.TIOCOUTQ, bytes(_C_INT.size))
        except OSError:
            return False
        (self._unread,) = _C_INT.unpack(queued)
        return self._unread != before

    def drop(self) -> None:
        """Close the connection, also if the caller takes nothing of what is left to send.

        Waitress closes connections only when they can be written to.
        """
        self.will_close = True
        if self.total_outbufs_len:
            self.server.dropped_responses += 1
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)

    def time_out(self) -> None:
        """Answer an incomplete request with 408."""
        request = self.request
        if request is None or self.requests:
            return
        self.header_started_at = 0
        self.refuse(request, _RequestTimeout("the request did not come in time"))


class _Server(BoundedServer):
    channel_class = _Channel

    def __init__(self, limits: ServerLimits, *args: Any, **kw: Any) -> None:
        self.limits = limits
        #: Number of responses whose caller stopped reading before their end.
        self.dropped_responses = 0
        #: Whether each response closes its connection.
        self.is_draining = False
        #: Returns whether new connections are closed at once.
        self.is_full: Callable[[], bool] = lambda: False
        super().__init__(*args, **kw)

    def handle_accept(self) -> None:
        """Accept a connection; close it unread if the application is full."""
        if self.is_full():
            self.reject_connection()
        else:
            super().handle_accept()

    def maintenance(self, _now: int) -> None:
        """Close idle connections and time out slow requests."""
        now = self.clock.now()
        for channel in list(self.active_channels.values()):
            if channel.requests or channel.close_overdue(now):
                continue
            if channel.total_outbufs_len and channel.was_read_since():
                channel.record_activity()
            request = channel.request
            if request is None or not channel.header_started_at:
                if now - channel.last_active_at > self.limits.idle_time:
                    channel.drop()
            elif request.headers_finished:
                if now - channel.last_active_at > self.limits.idle_time:
                    channel.time_out()
            elif now - channel.header_started_at > self.limits.header_time:
                channel.time_out()

    def close_idle(self) -> None:
        """Close every connection that has no request in progress, once its response is sent."""
        for channel in list(self.active_channels.values()):
            channel.close_if_idle()
        self.pull_trigger()


class CallerServer:
    """Serves one WSGI application on one address."""

    def __init__(
        self,
        application: Application,
        address: str,
        threads: int,
        clock: Clock,
        limits: ServerLimits,
        capacity: ServerCapacity,
    ) -> None:
        adj = Adjustments(
            listen=address,
            inbuf_overflow=_BUFFER_OVERFLOW,
            outbuf_overflow=_BUFFER_OVERFLOW,
            outbuf_high_watermark=_OUTPUT_HIGH_WATERMARK,
            send_bytes=1,
            channel_request_lookahead=1,
            cleanup_interval=_MAINTENANCE_INTERVAL_S,
            connection_limit=NO_LIMIT,
            asyncore_use_poll=True,
            ident=None,
        )
        dispatcher = _ElasticDispatcher(threads)
        dispatcher.set_thread_count(min(threads, _INITIAL_THREADS))
        self._server = _Server(limits, clock, capacity, application, adj, dispatcher)
        self.set_limits(limits)
        self._thread = threading.Thread(target=self._run, name=f"http-{address}", daemon=True)

    def start(self) -> None:
        """Start serving."""
        self._thread.start()

    def set_limits(self, limits: ServerLimits) -> None:
        """Replace the limits for subsequent requests."""
        self._server.limits = limits
        # Waitress rejects sizes equal to its limit; these limits are inclusive.
        self._server.adj.max_request_header_size = limits.header_bytes + 1
        self._server.adj.max_request_body_size = limits.body_bytes + 1

    def set_full_check(self, is_full: Callable[[], bool]) -> None:
        """Set what tells whether new connections are closed unread."""
        self._server.is_full = is_full

    def set_draining(self, is_draining: bool) -> None:
        """Set whether each response closes its connection."""
        self._server.is_draining = is_draining

    def close_idle(self) -> None:
        """Close every connection that has no request in progress, once its response is sent."""
        self._server.close_idle()

    @property
    def busy_connections(self) -> int:
        """Return on how many connections a request is handled or a response not yet sent."""
        return sum(channel.is_busy for channel in list(self._server.active_channels.values()))

    @property
    def dropped_responses(self) -> int:
        """Return the number of responses whose caller stopped reading before their end."""
        return self._server.dropped_responses

    @property
    def refused_unread(self) -> Mapping[int, int]:
        """Return the number of requests refused before their end, by status."""
        return self._server.refused_unread.copy()

    @property
    def displaced_connections(self) -> int:
        """Return the number of connections that were closed for new ones."""
        return self._server.displaced_connections

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._server.active_channels)

    def _run(self) -> None:
        self._server.run()
