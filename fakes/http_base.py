"""Threaded HTTP server base for the fakes."""

from __future__ import annotations

import json
import socket
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit


class Server(ThreadingHTTPServer):
    """HTTP server with a long accept queue and daemon threads."""

    daemon_threads = True
    request_queue_size = 1024
    allow_reuse_address = True

    def serve_forever(self, poll_interval: float = 0.02) -> None:
        """Serve until shutdown; ``poll_interval`` bounds how long a shutdown takes."""
        super().serve_forever(poll_interval)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore errors from peers that disconnect during a response."""


class Handler(BaseHTTPRequestHandler):
    """Base request handler; subclasses implement ``handle_request``."""

    protocol_version = "HTTP/1.1"

    def setup(self) -> None:
        """Disable Nagle's algorithm."""
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def log_message(self, format: str, *args: Any) -> None:
        """Suppress request logging."""

    def handle_request(self, method: str, path: str, query: dict[str, str], body: bytes) -> None:
        """Handle one request."""
        raise NotImplementedError

    def read_body(self, length: int) -> bytes:
        """Return the body of the request."""
        return self.rfile.read(length)

    def _dispatch(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = self.read_body(length) if length else b""
        parts = urlsplit(self.path)
        query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        self.handle_request(self.command, parts.path, query, body)

    do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = do_HEAD = do_OPTIONS = _dispatch

    def reply(self, status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        """Send a complete response."""
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)

    def reply_json(
        self, value: Any, status: int = 200, headers: dict[str, str] | None = None
    ) -> None:
        """Send ``value`` as a JSON response."""
        kind = {"Content-Type": "application/json"}
        self.reply(status, json.dumps(value).encode(), kind | (headers or {}))

    def begin_chunked(self, content_type: str) -> None:
        """Start a chunked response."""
        self.send_response(200)
        self.send_header("Content-Type", content_type)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def write_chunk(self, data: bytes) -> None:
        """Write one chunk; an empty chunk ends the response."""
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))

    def abort_connection(self) -> None:
        """Close the connection without a response."""
        self.close_connection = True
        self.connection.shutdown(socket.SHUT_RDWR)
