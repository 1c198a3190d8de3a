"""A TCP proxy that injects faults, and replays what went through it.

    python -m fakes.proxy CONTROL_ADDRESS

``PUT /routes/NAME`` with ``{"listen": ADDRESS, "to": ADDRESS}`` opens a route;
``PUT /faults`` with ``{"routes": PREFIX, ...}`` sets faults on all routes whose name
begins so: ``cut`` ends connections and refuses new ones, ``silent`` keeps
connections open and passes nothing, ``delay_ms`` delays each piece, ``reset_after``
resets a connection once so many further bytes went towards the target.
``POST /replay/NAME`` sends what a route's connections sent once more, on a new
connection, and returns the bytes that came back.
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

_PIECE = 64 << 10
_RECORD_LIMIT = 1 << 20


@dataclass
class Faults:
    """What is wrong with one route now."""

    cut: bool = False
    silent: bool = False
    delay_ms: int = 0
    reset_after: int = -1


@dataclass
class Route:
    """One listener and where it leads."""

    listen: str
    to: str
    faults: Faults = field(default_factory=Faults)
    sockets: set[socket.socket] = field(default_factory=set)
    recorded: list[bytes] = field(default_factory=list)

    def start(self) -> None:
        """Listen on a thread of its own."""
        self._server = socket.create_server(_split(self.listen), backlog=512)
        threading.Thread(target=self._accept, daemon=True).start()

    def set_faults(self, changes: dict[str, Any]) -> None:
        """Change faults; a cut ends what is open."""
        for name, value in changes.items():
            setattr(self.faults, name, value)
        if self.faults.cut:
            for each in list(self.sockets):
                _reset(each)

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
        pair = (client, server)
        for each in pair:
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sockets.update(pair)
        back = threading.Thread(target=self._pump, args=(server, client, None), daemon=True)
        back.start()
        self._pump(client, server, record)
        back.join()
        self.sockets.difference_update(pair)
        self.recorded.append(b"".join(record))

    def _pump(self, source: socket.socket, sink: socket.socket, record: list[bytes] | None) -> None:
        try:
            while data := source.recv(_PIECE):
                if not self._pass(data, sink, record):
                    break
        except OSError:
            pass
        for each in (source, sink):
            _close(each)

    def _pass(self, data: bytes, sink: socket.socket, record: list[bytes] | None) -> bool:
        """Pass one piece on, as the faults have it; false to end the connection."""
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
        """Send everything recorded once more; return the bytes that came back."""
        back = 0
        for sent in list(self.recorded):
            with socket.create_connection(_split(self.to), timeout=2.0) as again:
                again.settimeout(0.5)
                try:
                    again.sendall(sent)
                    while data := again.recv(_PIECE):
                        back += len(data)
                except OSError:
                    continue
        return back


def _split(address: str) -> tuple[str, int]:
    host, port = address.rsplit(":", 1)
    return host, int(port)


def _reset(each: socket.socket) -> None:
    """Close with a reset, as a machine that has lost power would look later."""
    try:
        each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        each.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    _close(each)


def _close(each: socket.socket) -> None:
    with contextlib.suppress(OSError):
        each.shutdown(socket.SHUT_RDWR)
    each.close()


class ProxyHandler(Handler):
    """The control interface."""

    routes: dict[str, Route]

    def handle_request(self, method: str, path: str, query: dict[str, str], body: bytes) -> None:
        """Change routes."""
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
    """Return a proxy controlled at ``address``, not yet started."""
    handler: Any = type("BoundHandler", (ProxyHandler,), {"routes": {}})
    return Server(_split(address), handler)


if __name__ == "__main__":
    serve(sys.argv[1]).serve_forever()
