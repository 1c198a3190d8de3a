"""A stand-in for the platform's engines and plain services.

Runs in the test's own process. What it does with the next requests is a queue of
behaviours that the test fills; without one it answers.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from fakes.engine_ledger import SENDER_HEADER, EngineWord, Exchanged
from fakes.http_base import Handler, Server

_TERMINATOR = b"\n\n"


@dataclass(frozen=True)
class Arrival:
    """A request that reached the engine."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class PlatformEngine:
    """One engine; ``behaviours`` holds what it does next."""

    id: str
    events: int = 5
    #: Rank group; empty for none.
    group: str = ""
    #: Seconds between two events of a stream.
    event_pause: float = 0.0
    #: Port to listen at; 0 for any that is free.
    port: int = 0
    #: Body of the requests that end it as soon as it begins to run them; empty for none.
    deadly: bytes = b""
    #: Seconds for which its port is still there after its connections have ended under such
    #: a request: a front that outlives its worker, or a slow exit.
    port_outlives: float = 0.0
    #: Set when its connections end under such a request, and when it has ended.
    broke: threading.Event = field(default_factory=threading.Event)
    ended: threading.Event = field(default_factory=threading.Event)
    behaviours: deque[Callable[[Handler, PlatformEngine], None]] = field(default_factory=deque)
    #: What it says of itself in its answers, and whether it turns all requests away.
    word: EngineWord = field(default_factory=EngineWord)
    is_shedding: bool = False
    #: All that it has answered by itself, in the order of the answers.
    ledger: list[Exchanged] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    #: Set when a caller's connection was found closed while an answer was being made.
    cancelled: threading.Event = field(default_factory=threading.Event)
    #: Set when a request has arrived.
    arrived: threading.Event = field(default_factory=threading.Event)

    def __post_init__(self) -> None:
        engine = self

        class _Handler(Handler):
            def setup(self) -> None:
                super().setup()
                engine._connections.add(self.connection)

            def finish(self) -> None:
                engine._connections.discard(self.connection)
                super().finish()

            def handle_request(
                self, method: str, path: str, query: dict[str, str], body: bytes
            ) -> None:
                if engine.broke.is_set():
                    self.close_connection = True
                    return
                if path == "/report":
                    engine.report(self)
                    return
                engine.arrivals.append(Arrival(method, self.path, dict(self.headers), body))
                engine.arrived.set()
                if engine.deadly and body == engine.deadly:
                    engine.crash()
                    self.close_connection = True
                    return
                behave = engine.behaviours.popleft() if engine.behaviours else answer
                if engine.is_shedding:
                    behave = full
                engine.begin(self)
                behave(self, engine)

            def send_response(self, code: int, message: str | None = None) -> None:
                """Write down what is answered before it leaves."""
                engine.note(self, code)
                super().send_response(code, message)

        self._connections: set[socket.socket] = set()
        self._begun: dict[Handler, float] = {}
        self._server = Server(("127.0.0.1", self.port), _Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop serving; new connections are refused."""
        self._server.shutdown()
        self._server.server_close()

    def crash(self) -> None:
        """End as a process does: nothing listens any more, and all connections end."""
        self.broke.set()
        if self.port_outlives:
            threading.Timer(self.port_outlives, self._end).start()
        else:
            self.close()
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        if not self.port_outlives:
            self.ended.set()

    def _end(self) -> None:
        self.close()
        self.ended.set()

    def begin(self, handler: Handler) -> None:
        """Take the time at which a request has come."""
        self._begun[handler] = time.monotonic()

    def note(self, handler: Handler, status: int) -> None:
        """Write down an answer to a request; other answers are left out."""
        at = self._begun.pop(handler, None)
        if at is not None:
            sender = handler.headers.get(SENDER_HEADER, "")
            self.ledger.append(Exchanged(sender, at, time.monotonic(), status, self.word))

    def report(self, handler: Handler) -> None:
        """Tell the rank group."""
        told: dict[str, object] = {"Stage": "dual"}
        if self.group:
            told["group"] = {"Name": self.group, "epoch": 1, "rank": 0, "State": "open"}
            told["size"] = 2
        handler.reply_json(told)

    def entry(self, service: str, state: str = "ready", zone: str = "nbo-a") -> dict[str, object]:
        """Return the engine's entry in the store."""
        return {
            "Service": service,
            "Address": self.address,
            "Zone": zone,
            "Version": "v1",
            "Slots": 6,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
        }


def _seal_headers(handler: Handler, engine: PlatformEngine) -> dict[str, str]:
    return {
        "Attempt-Id": handler.headers["Attempt-Id"],
        "Response-Seal": f"seal-of-{engine.id}",
        "Server-Load": "1,0,6",
        **engine.word.headers(is_refusal=False),
    }


def answer(handler: Handler, engine: PlatformEngine) -> None:
    """Answer whole: a stream where the path says so, a short body otherwise."""
    if "/stream" in handler.path:
        stream(handler, engine, engine.events)
        handler.write_chunk(b"")
        return
    handler.reply(200, f"answer of {engine.id}".encode(), _seal_headers(handler, engine))


def stream(handler: Handler, engine: PlatformEngine, until: int) -> None:
    """Send the events after the one that the caller has, up to number ``until``."""
    handler.send_response(200)
    for name, value in _seal_headers(handler, engine).items():
        handler.send_header(name, value)
    handler.send_header("Content-Type", "text/event-stream")
    handler.send_header("Transfer-Encoding", "chunked")
    handler.end_headers()
    first = int(handler.headers.get("Last-Event-Id") or 0) + 1
    for number in range(first, until + 1):
        try:
            handler.write_chunk(event(number))
        except OSError:
            engine.cancelled.set()
            raise
        time.sleep(engine.event_pause)


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: token {number}".encode() + _TERMINATOR


def full(handler: Handler, engine: PlatformEngine) -> None:
    """Refuse without running."""
    headers = {"Not-Executed": "1", **engine.word.headers(is_refusal=True)}
    handler.reply(503, b"", headers)


def group_broken(handler: Handler, engine: PlatformEngine) -> None:
    """Refuse without running, because another rank of the group is gone."""
    handler.reply(503, b"", {"Not-Executed": "1", "At-Server": "i-lost"})


def moved(handler: Handler, engine: PlatformEngine) -> None:
    """Say that another engine has the address now."""
    handler.reply(421, b"", {"Instance-Id": "i-other"})


def failing(handler: Handler, engine: PlatformEngine) -> None:
    """Run and fail."""
    handler.reply(500, b"failed", _seal_headers(handler, engine))


def answer_lost(handler: Handler, engine: PlatformEngine) -> None:
    """Run, and reset the connection instead of an answer."""
    reset(handler)


def without_seal(handler: Handler, engine: PlatformEngine) -> None:
    """Answer with a success that no engine made."""
    handler.reply(200, b"not mine", {"Attempt-Id": handler.headers["Attempt-Id"]})


def of_another(handler: Handler, engine: PlatformEngine) -> None:
    """Answer with what belongs to another request."""
    headers = _seal_headers(handler, engine) | {"Attempt-Id": "another"}
    handler.reply(200, b"somebody else's", headers)


def cut_short(handler: Handler, engine: PlatformEngine) -> None:
    """Send less than the length that was announced, then close."""
    handler.send_response(200)
    for name, value in _seal_headers(handler, engine).items():
        handler.send_header(name, value)
    handler.send_header("Content-Length", "100")
    handler.end_headers()
    handler.wfile.write(b"only the beginning")
    handler.close_connection = True


def stream_cut_after(events: int, within_event: bool = False) -> Callable[..., None]:
    """Return a behaviour that breaks a stream off after so many events."""

    def behave(handler: Handler, engine: PlatformEngine) -> None:
        stream(handler, engine, events)
        if within_event:
            handler.write_chunk(event(events + 1)[:6])
        reset(handler)

    return behave


def silent(handler: Handler, engine: PlatformEngine) -> None:
    """Say nothing until the caller goes away."""
    handler.connection.settimeout(30)
    try:
        if handler.connection.recv(1) == b"":
            engine.cancelled.set()
    except ConnectionError:
        engine.cancelled.set()
    handler.close_connection = True


def endless_stream(handler: Handler, engine: PlatformEngine) -> None:
    """Send events until the caller goes away."""
    engine.event_pause = 0.02
    stream(handler, engine, 10_000)


def reset(handler: Handler) -> None:
    """Reset the connection."""
    handler.close_connection = True
    handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    handler.connection.close()
