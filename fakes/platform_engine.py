"""Fake engine or plain service of the platform.

Runs in the test process. Tests queue behaviours for the next requests; without one the engine
answers successfully.
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

from fakes.engine_ledger import SENDER_HEADER, EngineNotice, Exchange
from fakes.http_base import Handler, Server

_TERMINATOR = b"\n\n"


@dataclass(frozen=True)
class Arrival:
    """A request received by the engine."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    #: Entry that sent it, if its caller named it, and its monotonic arrival time in seconds.
    sender: str = ""
    at: float = 0.0
    #: Whether the engine was cold.
    is_cold: bool = False


@dataclass
class PlatformEngine:
    """An engine; ``behaviours`` is the queue of behaviours for the next requests."""

    id: str
    events: int = 5
    #: Rank group; empty for none.
    group: str = ""
    #: Epoch of the group, and whether it reports that a rank is missing.
    epoch: int = 1
    is_broken: bool = False
    #: Number of reports that were requested.
    reports: int = 0
    #: Cleared while the group is stalled: streams send no events.
    running: threading.Event = field(default_factory=threading.Event)
    #: Seconds between two events of a stream.
    event_pause: float = 0.0
    #: Port to listen on; 0 for any free port.
    port: int = 0
    #: Request body that crashes the engine; empty for none.
    crash_body: bytes = b""
    #: Segments of prompts on which the engine crashes as it begins to answer.
    crash_segments: frozenset[str] = frozenset()
    #: Whether responses have neither a length nor chunks, so that they end with the connection.
    is_unframed: bool = False
    #: Whether requests are read to their end before they are answered.
    reads_bodies: bool = True
    #: Arrivals within a second above which the engine crashes while it is cold; 0 for no limit.
    crash_rate: float = 0.0
    #: Monotonic time in seconds until which the engine is cold.
    cold_until: float = 0.0
    #: Start time in the store; 0 for none.
    started: int = 0
    #: Seconds for which the port still accepts connections after a crash.
    port_close_delay: float = 0.0
    #: Set when the connections close after a crash, and when the port has closed.
    crashed: threading.Event = field(default_factory=threading.Event)
    exited: threading.Event = field(default_factory=threading.Event)
    behaviours: deque[Callable[[Handler, PlatformEngine], None]] = field(default_factory=deque)
    #: Notice sent with responses, and whether all requests are refused.
    notice: EngineNotice = field(default_factory=EngineNotice)
    is_shedding: bool = False
    #: Exchanges in the order of the responses.
    ledger: list[Exchange] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    #: Set when the caller is found to have disconnected.
    cancelled: threading.Event = field(default_factory=threading.Event)
    #: Set when a request arrives.
    arrived: threading.Event = field(default_factory=threading.Event)

    def __post_init__(self) -> None:
        engine = self
        self.running.set()

        class _Handler(Handler):
            def setup(self) -> None:
                super().setup()
                engine._connections.add(self.connection)

            def finish(self) -> None:
                engine._connections.discard(self.connection)
                super().finish()

            def read_body(self, length: int) -> bytes:
                return super().read_body(length) if engine.reads_bodies else b""

            def handle_request(
                self, method: str, path: str, query: dict[str, str], body: bytes
            ) -> None:
                if engine.crashed.is_set():
                    self.close_connection = True
                    return
                if path == "/report":
                    engine.report(self)
                    return
                engine.count_arrival(method, self, body)
                engine.arrived.set()
                is_fatal = engine.crash_body and body == engine.crash_body
                if is_fatal or engine.is_overrun():
                    engine.crash()
                    self.close_connection = True
                    return
                segments = shared_segments(self.headers.get("Prompt-Prefix", ""))
                if not engine.crash_segments.isdisjoint(segments):
                    crash_while_answering(self, engine)
                    return
                behaviour = engine.behaviours.popleft() if engine.behaviours else answer
                if engine.is_shedding:
                    behaviour = overloaded
                if engine.is_broken:
                    behaviour = group_broken
                engine.record_arrival(self)
                behaviour(self, engine)

            def send_response(self, code: int, message: str | None = None) -> None:
                """Record the response before sending it."""
                engine.record_answer(self, code)
                super().send_response(code, message)

        self._connections: set[socket.socket] = set()
        self._arrived_at: dict[Handler, float] = {}
        self._server = Server(("127.0.0.1", self.port), _Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop the server; new connections are refused."""
        self._server.shutdown()
        self._server.server_close()

    @property
    def cold_remaining(self) -> float:
        """Milliseconds for which the engine remains cold."""
        return max(0.0, self.cold_until - time.monotonic()) * 1_000

    def turn_cold(self, seconds: float) -> None:
        """Make the engine cold for ``seconds``; its object in the store is not changed."""
        self.cold_until = time.monotonic() + seconds

    def count_arrival(self, method: str, handler: Handler, body: bytes) -> None:
        """Record a request, its sender and its time."""
        headers, now = dict(handler.headers), time.monotonic()
        sender = headers.get(SENDER_HEADER, "")
        is_cold = now < self.cold_until
        self.arrivals.append(Arrival(method, handler.path, headers, body, sender, now, is_cold))

    def peak_while_cold(self) -> int:
        """Return the most requests that arrived within a second while the engine was cold."""
        times = sorted(arrival.at for arrival in list(self.arrivals) if arrival.is_cold)
        return max((sum(at <= t < at + 1 for t in times) for at in times), default=0)

    def is_overrun(self) -> bool:
        """Return whether the engine is cold and gets more requests than it tolerates."""
        return 0 < self.crash_rate < self.peak_while_cold()

    def crash(self) -> None:
        """Close the port and all connections, as the crash of a process does."""
        self.crashed.set()
        if self.port_close_delay:
            threading.Timer(self.port_close_delay, self._exit).start()
        else:
            self.close()
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        if not self.port_close_delay:
            self.exited.set()

    def _exit(self) -> None:
        self.close()
        self.exited.set()

    def record_arrival(self, handler: Handler) -> None:
        """Record the arrival time of a request."""
        self._arrived_at[handler] = time.monotonic()

    def record_answer(self, handler: Handler, status: int) -> None:
        """Record the response if the arrival of its request was recorded."""
        at = self._arrived_at.pop(handler, None)
        if at is not None:
            sender = handler.headers.get(SENDER_HEADER, "")
            self.ledger.append(Exchange(sender, at, time.monotonic(), status, self.notice))

    def report(self, handler: Handler) -> None:
        """Send the engine report with its rank group."""
        self.reports += 1
        report: dict[str, object] = {"Stage": "dual"}
        if self.group:
            state = "broken" if self.is_broken else "open"
            report["group"] = {
                "Name": self.group,
                "epoch": self.epoch,
                "rank": 0,
                "State": state,
            }
            report["size"] = 2
        handler.reply_json(report)

    def store_entry(
        self, service: str, state: str = "ready", zone: str = "nbo-a"
    ) -> dict[str, object]:
        """Return the engine's object in the store."""
        entry: dict[str, object] = {
            "Service": service,
            "Address": self.address,
            "Zone": zone,
            "Version": "v1",
            "Slots": 6,
            "State": state,
            "ColdRemainingMs": self.cold_remaining,
            "Sequence": 1,
        }
        return entry | ({"born": self.started} if self.started else {})


def shared_segments(prompt: str) -> list[str]:
    """Return the ids of all segments of a ``Prompt-Prefix`` but the last."""
    return [item.partition(":")[0] for item in prompt.split(",")[:-1]]


def _seal_headers(handler: Handler, engine: PlatformEngine) -> dict[str, str]:
    return {
        "Attempt-Id": handler.headers["Attempt-Id"],
        "Response-Seal": f"seal-of-{engine.id}",
        "Server-Load": "1,0,6",
        **engine.notice.headers(is_refusal=False),
    }


def answer(handler: Handler, engine: PlatformEngine) -> None:
    """Answer successfully: a stream for stream paths, a short body otherwise."""
    if "/stream" in handler.path:
        stream(handler, engine, engine.events)
        if not engine.is_unframed:
            handler.write_chunk(b"")
        return
    body = f"answer of {engine.id}".encode()
    if engine.is_unframed:
        begin_answer(handler, engine, {})
        handler.wfile.write(body)
        return
    handler.reply(200, body, _seal_headers(handler, engine))


def begin_answer(handler: Handler, engine: PlatformEngine, framing: dict[str, str]) -> None:
    """Send the head of a response; without ``framing``, the response ends with the connection."""
    handler.send_response(200)
    for name, value in {**_seal_headers(handler, engine), **framing}.items():
        handler.send_header(name, value)
    if "/stream" in handler.path:
        handler.send_header("Content-Type", "text/event-stream")
    handler.end_headers()
    handler.close_connection = not framing


def _write_piece(handler: Handler, engine: PlatformEngine, data: bytes) -> None:
    if engine.is_unframed:
        handler.wfile.write(data)
    else:
        handler.write_chunk(data)


def crash_while_answering(handler: Handler, engine: PlatformEngine) -> None:
    """Send the head of a response and its first bytes, then crash."""
    is_stream = "/stream" in handler.path
    framing = {"Transfer-Encoding": "chunked"} if is_stream else {"Content-Length": "100"}
    begin_answer(handler, engine, {} if engine.is_unframed else framing)
    if is_stream:
        _write_piece(handler, engine, event(1)[:6])
    else:
        handler.wfile.write(b"answ")
    engine.crash()
    handler.close_connection = True


def stream(handler: Handler, engine: PlatformEngine, until: int) -> None:
    """Send the events after ``Last-Event-Id`` up to number ``until``."""
    framing = {} if engine.is_unframed else {"Transfer-Encoding": "chunked"}
    begin_answer(handler, engine, framing)
    first = int(handler.headers.get("Last-Event-Id") or 0) + 1
    for number in range(first, until + 1):
        engine.running.wait()
        try:
            _write_piece(handler, engine, event(number))
        except OSError:
            engine.cancelled.set()
            raise
        time.sleep(engine.event_pause)


def event(number: int) -> bytes:
    """Return the encoded stream event with a number."""
    return f"id: {number}\ndata: token {number}".encode() + _TERMINATOR


def overloaded(handler: Handler, engine: PlatformEngine) -> None:
    """Refuse without executing the request."""
    headers = {"Not-Executed": "1", **engine.notice.headers(is_refusal=True)}
    handler.reply(503, b"", headers)


def group_broken(handler: Handler, engine: PlatformEngine) -> None:
    """Refuse without executing, because a rank of the group is lost."""
    handler.reply(503, b"", {"Not-Executed": "1", "At-Server": "i-lost"})


def misdirected(handler: Handler, engine: PlatformEngine) -> None:
    """Reply 421: another engine has the address."""
    handler.reply(421, b"", {"Instance-Id": "i-other"})


def failing(handler: Handler, engine: PlatformEngine) -> None:
    """Execute the request and reply with an error."""
    handler.reply(500, b"failed", _seal_headers(handler, engine))


def answer_lost(handler: Handler, engine: PlatformEngine) -> None:
    """Execute the request and reset the connection instead of replying."""
    reset(handler)


def without_seal(handler: Handler, engine: PlatformEngine) -> None:
    """Reply with a success that lacks the engine's seal."""
    handler.reply(200, b"not mine", {"Attempt-Id": handler.headers["Attempt-Id"]})


def foreign_answer(handler: Handler, engine: PlatformEngine) -> None:
    """Reply with the answer to another request."""
    headers = _seal_headers(handler, engine) | {"Attempt-Id": "another"}
    handler.reply(200, b"somebody else's", headers)


def truncated(handler: Handler, engine: PlatformEngine) -> None:
    """Send a body shorter than its Content-Length, then close."""
    handler.send_response(200)
    for name, value in _seal_headers(handler, engine).items():
        handler.send_header(name, value)
    handler.send_header("Content-Length", "100")
    handler.end_headers()
    handler.wfile.write(b"only the beginning")
    handler.close_connection = True


def stream_cut_after(events: int, within_event: bool = False) -> Callable[..., None]:
    """Return a behaviour that resets a stream after ``events`` events."""

    def behaviour(handler: Handler, engine: PlatformEngine) -> None:
        stream(handler, engine, events)
        if within_event:
            handler.write_chunk(event(events + 1)[:6])
        reset(handler)

    return behaviour


def silent(handler: Handler, engine: PlatformEngine) -> None:
    """Send nothing until the caller disconnects."""
    handler.connection.settimeout(30)
    try:
        if handler.connection.recv(1) == b"":
            engine.cancelled.set()
    except ConnectionError:
        engine.cancelled.set()
    handler.close_connection = True


def endless_stream(handler: Handler, engine: PlatformEngine) -> None:
    """Send events until the caller disconnects."""
    engine.event_pause = 0.02
    stream(handler, engine, 10_000)


def reset(handler: Handler) -> None:
    """Reset the connection."""
    handler.close_connection = True
    handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    handler.connection.close()
