"""TCP proxy with fault injection and replay.

    python -m fakes.proxy CONTROL_ADDRESS

``PUT /routes/NAME`` with ``{"listen": ADDRESS, "to": ADDRESS}`` opens a route.
``PUT /faults`` with ``{"routes": PREFIX, ...}`` sets faults on all routes whose names start
with the prefix: ``cut`` resets connections and refuses new ones, ``silent`` keeps connections
open without forwarding, ``delay_ms`` delays each chunk, ``reset_after`` resets a connection
after that many more bytes to the target. ``POST /replay/NAME`` sends the recorded bytes of a
route again on new connections and returns the number of bytes received.
"""

from __future__ import annotations

import contextlib
import json
import socket
import struct
import sys
import threading
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote

from fakes.http_base import Handler, Server

_CHUNK_BYTES = 64 << 10
_RECORD_LIMIT = 1 << 20


@dataclass
class Faults:
    """Faults that are active on a route."""

    cut: bool = False
    silent: bool = False
    delay_ms: int = 0
    reset_after: int = -1


@dataclass
class Route:
    """A listener, its upstream address, and the recorded traffic."""

    listen: str
    to: str
    faults: Faults = field(default_factory=Faults)
    sockets: set[socket.socket] = field(default_factory=set)
    recorded: list[bytes] = field(default_factory=list)

    def start(self) -> None:
        """Accept connections on a background thread."""
        self._server = socket.create_server(_split(self.listen), backlog=512)
        threading.Thread(target=self._accept, daemon=True).start()

    def set_faults(self, changes: dict[str, Any]) -> None:
        """Update faults; a cut resets open connections."""
        for name, value in changes.items():
            setattr(self.faults, name, value)
        if self.faults.cut:
            for connection in list(self.sockets):
                _reset(connection)

    def _accept(self) -> None:
        while True:
            client, _ = self._server.accept()
            if self.faults.cut:
                _reset(client)
                continue
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        try:
            server = socket.create_connection(_split(self.to), timeout=2.0)
            server.settimeout(None)
        except OSError:
            _reset(client)
            return
        record: list[bytes] = []
        connections = (client, server)
        for connection in connections:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sockets.update(connections)
        reverse = threading.Thread(target=self._pump, args=(server, client, None), daemon=True)
        reverse.start()
        self._pump(client, server, record)
        reverse.join()
        self.sockets.difference_update(connections)
        self.recorded.append(b"".join(record))

    def _pump(self, source: socket.socket, sink: socket.socket, record: list[bytes] | None) -> None:
        try:
            while data := source.recv(_CHUNK_BYTES):
                if not self._forward(data, sink, record):
                    break
        except OSError:
            pass
        for connection in (source, sink):
            _close(connection)

    def _forward(self, data: bytes, sink: socket.socket, record: list[bytes] | None) -> bool:
        """Forward one chunk subject to the faults; return false to end the connection."""
        faults = self.faults
        while faults.silent and not faults.cut:
            time.sleep(0.02)
        if faults.delay_ms:
            time.sleep(faults.delay_ms / 1_000)
        sink.sendall(data)
        if record is None:
            return True
        if sum(map(len, record)) < _RECORD_LIMIT:
            record.append(data)
        if faults.reset_after >= 0:
            faults.reset_after -= len(data)
            if faults.reset_after < 0:
                faults.reset_after = -1
                _reset(sink)
                return False
        return True

    def replay(self) -> int:
        """Send all recorded bytes again; return the number of bytes received."""
        received = 0
        for sent in list(self.recorded):
            with socket.create_connection(_split(self.to), timeout=2.0) as again:
                again.settimeout(0.5)
                try:
                    again.sendall(sent)
                    while data := again.recv(_CHUNK_BYTES):
                        received += len(data)
                except OSError:
                    continue
        return received


def _split(address: str) -> tuple[str, int]:
    host, port = address.rsplit(":", 1)
    return host, int(port)


def _reset(connection: socket.socket) -> None:
    """Close the connection with a TCP reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    _close(connection)


def _close(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()


class ProxyHandler(Handler):
    """The control interface."""

    routes: dict[str, Route]

    def handle_request(self, method: str, path: str, query: dict[str, str], body: bytes) -> None:
        """Handle a control request."""
        path = unquote(path)
        if path.startswith("/routes/"):
            route = Route(**json.loads(body))
            route.start()
            self.routes[path.removeprefix("/routes/")] = route
            self.reply_json({})
        elif path == "/faults":
            changes = json.loads(body)
            prefix = changes.pop("routes", "")
            for name, route in self.routes.items():
                if name.startswith(prefix):
                    route.set_faults(changes)
            self.reply_json({})
        elif path.startswith("/replay/"):
            self.reply_json({"received": self.routes[path.removeprefix("/replay/")].replay()})
        else:
            self.reply(404)


def serve(address: str) -> Server:
    """Create a proxy controlled at ``address`` without starting it."""
    handler: Any = type("BoundHandler", (ProxyHandler,), {"routes": {}})
    return Server(_split(address), handler)


if __name__ == "__main__":
    serve(sys.argv[1]).serve_forever()
