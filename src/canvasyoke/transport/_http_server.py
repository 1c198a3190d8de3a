"""HTTP server based on waitress, with one thread per request in progress."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

from waitress.server import TcpWSGIServer, create_server

from canvasyoke.transport._channel import Channel

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


class HttpServer:
    """Serves one WSGI application on one or more addresses.

    Requests are read completely, up to ``max_body`` bytes, before the application is
    called; responses are streamed.
    """

    def __init__(
        self, application: Application, addresses: list[str], threads: int, max_body: int
    ) -> None:
        servers: dict[int, Any] = {}
        self._server = create_server(
            application,
            servers,
            listen=" ".join(addresses),
            threads=threads,
            max_request_body_size=max_body,
            inbuf_overflow=max_body + 1,
            outbuf_overflow=1 << 30,
            outbuf_high_watermark=1 << 20,
            send_bytes=1,
            channel_request_lookahead=1,
            channel_timeout=120,
            connection_limit=4_000,
            asyncore_use_poll=True,
            ident="canvasyoke",
            clear_untrusted_proxy_headers=True,
        )
        # Any, as the type stubs of waitress are wrong about their channels.
        self._listeners: list[Any] = [
            each for each in servers.values() if isinstance(each, TcpWSGIServer)
        ]
        for listener in self._listeners:
            listener.channel_class = _Channel
        self._thread = threading.Thread(target=self._run, name="http-server", daemon=True)

    def start(self) -> None:
        """Start serving."""
        self._thread.start()

    def stop(self) -> None:
        """Close the listening sockets."""
        self._server.close()

    @property
    def busy_connections(self) -> int:
        """Return on how many connections a request is handled or a response not yet sent."""
        channels = (c for each in self._listeners for c in list(each.active_channels.values()))
        return sum(channel.is_busy for channel in channels)

    def _run(self) -> None:
        try:
            self._server.run()
        except OSError:
            return
