"""HTTP server based on waitress, with one thread per request in progress."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from waitress.adjustments import Adjustments

from canvasyoke._clock import SystemClock
from canvasyoke.transport._bounded_server import NO_LIMIT, BoundedServer, ServerCapacity
from canvasyoke.transport._channel import Channel
from canvasyoke.transport._request_parser import Overloaded

#: A WSGI application.
Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

# Suppresses waitress's warnings about a full task queue and disconnected callers;
# both are counted elsewhere.
logging.getLogger("waitress").setLevel(logging.CRITICAL)


class _Channel(Channel):
    """A connection that is not idle while its response is being sent."""

    def send(self, data: bytes, do_close: bool = True) -> int:
        """Send what the caller takes now; return the number of bytes."""
        sent = int(super().send(data, do_close))
        if sent:
            self.last_activity = time.time()
        return sent


class _Server(BoundedServer):
    channel_class = _Channel


class HttpServer:
    """Serves one WSGI application on one address.

    Requests are read completely, up to ``max_body`` bytes, before the application is
    called; responses are streamed.
    """

    def __init__(
        self,
        application: Application,
        address: str,
        threads: int,
        max_body: int,
        capacity: ServerCapacity,
        make_overload_error: Callable[[], Overloaded] = Overloaded,
    ) -> None:
        adj = Adjustments(
            listen=address,
            threads=threads,
            max_request_body_size=max_body,
            inbuf_overflow=max_body + 1,
            outbuf_overflow=1 << 30,
            outbuf_high_watermark=1 << 20,
            send_bytes=1,
            channel_request_lookahead=1,
            channel_timeout=120,
            connection_limit=NO_LIMIT,
            asyncore_use_poll=True,
            ident="canvasyoke",
            clear_untrusted_proxy_headers=True,
        )
        self._server = _Server(SystemClock(), capacity, application, adj)
        self._server.make_overload_error = make_overload_error
        self._thread = threading.Thread(target=self._run, name="http-server", daemon=True)

    def start(self) -> None:
        """Start serving."""
        self._thread.start()

    def stop(self) -> None:
        """Close the listening socket."""
        self._server.close()

    @property
    def busy_connections(self) -> int:
        """Return on how many connections a request is handled or a response not yet sent."""
        return sum(channel.is_busy for channel in list(self._server.active_channels.values()))

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
        try:
            self._server.run()
        except OSError:
            return
