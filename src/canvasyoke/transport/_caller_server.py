"""HTTP towards callers by waitress, with limits that can change while it runs.

Waitress parses, buffers and hands each request to a thread of its pool. What it lacks
for a load balancer is added here: threads as they are needed, a time limit for heads
and bodies that come slowly (408), idle connections judged by a clock that does not
jump, and a drain that tells callers to close.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

from waitress.adjustments import Adjustments
from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer
from waitress.task import ThreadedTaskDispatcher, WSGITask
from waitress.utilities import Error

from canvasyoke._clock import Clock

#: A WSGI application.
Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

#: Seconds between looks at connections that are idle or slow.
_LOOK_EVERY: Final = 1
_CONNECTION_LIMIT: Final = 3_000
#: Threads kept from the start; more come with load.
_FIRST_THREADS: Final = 4
#: Bytes of an answer that may wait for a caller who reads slowly.
_UNSENT_LIMIT: Final = 1 << 20
_IN_MEMORY: Final = 1 << 30


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """What a caller may send and how long it may take. Times in milliseconds."""

    header_bytes: int
    body_bytes: int
    header_time: int
    idle_time: int


class _RequestTimeout(Error):
    """The rest of a request did not come in time."""

    code = 408
    reason = "Request Timeout"


class _ElasticDispatcher(ThreadedTaskDispatcher):
    """Starts a thread when a task finds none idle, up to a limit."""

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit

    def add_task(self, task: Any) -> None:
        """Queue ``task`` and see that a thread will take it."""
        super().add_task(task)
        with self.lock:
            idle = len(self.threads) - self.active_count
            wanted = len(self.threads) + len(self.queue) - max(0, idle)
        if wanted > len(self.threads):
            self.set_thread_count(min(self._limit, wanted))


class _Task(WSGITask):
    channel: Any

    def build_response_header(self) -> bytes:
        if self.channel.server.is_draining:
            self.set_close_on_finish()
        return bytes(super().build_response_header())


class _Channel(HTTPChannel):
    """A caller's connection that knows when it was last heard of."""

    task_class = _Task
    # The stubs of waitress lack or mistype what a subclass needs of these.
    server: Any
    requests: Any
    requests_lock: threading.Lock

    def __init__(self, server: Any, *args: Any, **kw: Any) -> None:
        #: Time on the clock of the last byte in either direction.
        self.touched = server.clock.now()
        #: Time on the clock at which the head being read began; 0 between requests.
        self.head_began = 0
        super().__init__(server, *args, **kw)

    def received(self, data: bytes) -> bool:
        """Take bytes from the caller."""
        now = self.server.clock.now()
        self.touched = now
        if not self.head_began:
            self.head_began = now
        taken = bool(super().received(data))
        if self.request is None:
            self.head_began = 0
        return taken

    def service(self) -> None:
        """Answer one request."""
        super().service()
        self.touched = self.server.clock.now()

    def time_out(self) -> None:
        """Refuse the request whose rest does not come."""
        with self.requests_lock:
            request = self.request
            if request is None or self.requests:
                return
            request.error = _RequestTimeout("the request did not come in time")
            request.completed = True
            self.request = None
            self.head_began = 0
            self.requests.append(request)
            self.server.add_task(self)


class _Server(TcpWSGIServer):
    channel_class = _Channel
    active_channels: Any

    def __init__(self, clock: Clock, limits: ServerLimits, *args: Any, **kw: Any) -> None:
        self.clock = clock
        self.limits = limits
        #: Whether callers are told to close their connections.
        self.is_draining = False
        super().__init__(*args, **kw)

    def maintenance(self, _now: float) -> None:
        """Close connections that are idle; refuse requests that come too slowly."""
        now = self.clock.now()
        for channel in list(self.active_channels.values()):
            if channel.requests:
                continue
            request = channel.request
            if request is None or not channel.head_began:
                if now - channel.touched > self.limits.idle_time:
                    channel.will_close = True
            elif request.headers_finished:
                if now - channel.touched > self.limits.idle_time:
                    channel.time_out()
            elif now - channel.head_began > self.limits.header_time:
                channel.time_out()

    def close_idle(self) -> None:
        """Close every connection on which nothing is under way."""
        for channel in list(self.active_channels.values()):
            if not channel.requests and channel.request is None:
                channel.will_close = True
        self.pull_trigger()


class CallerServer:
    """Serves one application on one address."""

    def __init__(
        self,
        application: Application,
        address: str,
        threads: int,
        clock: Clock,
        limits: ServerLimits,
    ) -> None:
        adj = Adjustments(
            listen=address,
            inbuf_overflow=_IN_MEMORY,
            outbuf_overflow=_IN_MEMORY,
            outbuf_high_watermark=_UNSENT_LIMIT,
            send_bytes=1,
            channel_request_lookahead=1,
            cleanup_interval=_LOOK_EVERY,
            connection_limit=_CONNECTION_LIMIT,
            asyncore_use_poll=True,
            ident=None,
        )
        dispatcher = _ElasticDispatcher(threads)
        dispatcher.set_thread_count(min(threads, _FIRST_THREADS))
        self._server = _Server(clock, limits, application, adj=adj, dispatcher=dispatcher)
        self.set_limits(limits)
        self._task = threading.Thread(target=self._run, name=f"http-{address}", daemon=True)

    def start(self) -> None:
        """Start serving."""
        self._task.start()

    def set_limits(self, limits: ServerLimits) -> None:
        """Put other limits in force, for requests that come from now on."""
        self._server.limits = limits
        # Waitress refuses what reaches a limit; ours may be reached.
        self._server.adj.max_request_header_size = limits.header_bytes + 1
        self._server.adj.max_request_body_size = limits.body_bytes + 1

    def set_draining(self, is_draining: bool) -> None:
        """Tell callers with each answer to close their connection, or no longer."""
        self._server.is_draining = is_draining

    def close_idle(self) -> None:
        """Close every connection on which nothing is under way."""
        self._server.close_idle()

    @property
    def connections(self) -> int:
        """Return the connections open now."""
        return len(self._server.active_channels)

    def _run(self) -> None:
        self._server.run()
