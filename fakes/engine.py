"""Fake model engine that can also be a rank of a group.

    python -m fakes.engine '{"address": "127.0.0.1:9201", "slots": 8, ...}'

``POST /generate`` streams deterministic tokens as JSON lines and resumes at ``X-Offset``.
``GET /load`` returns a delayed load report, ``GET /running`` the current load.
``GET /cache-events`` omits some events. ``POST /group`` accepts fenced orders.
``GET /ledger`` returns the executed steps and generations.
"""

from __future__ import annotations

import json
import random
import sys
import threading
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from fakes.http_base import Handler, Server
from fakes.rank import Popularity, Rank


@dataclass
class EngineSettings:
    """Settings of one fake engine."""

    address: str
    slots: int = 8
    token_ms: float = 5.0
    report_lag_ms: int = 500
    seed: int = 1
    rank: int = -1
    #: UDP addresses of all ranks, in order; empty without a group.
    ranks: list[str] = field(default_factory=list)
    experts: int = 16
    layers: int = 1
    checks_fences: bool = True


class Engine:
    """Engine state; runs at most ``slots`` streams concurrently."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.slots = threading.Semaphore(settings.slots)
        self.lock = threading.Lock()
        self.running = 0
        self.queued = 0
        self.cancelled: set[str] = set()
        self.generations: dict[str, int] = {}
        self.loads: deque[tuple[float, int, int]] = deque(maxlen=2_000)
        self.cache_events: list[dict[str, Any]] = []
        self.rank: Rank | None = None
        if settings.ranks:
            peers = {i: _udp(address) for i, address in enumerate(settings.ranks)}
            popularity = Popularity(settings.layers, settings.experts, settings.seed)
            self.rank = Rank(settings.rank, peers, popularity, settings.checks_fences)
            self.rank.start()

    def record_load(self) -> None:
        """Record the current load for delayed reports; requires the lock."""
        self.loads.append((time.monotonic(), self.running, self.queued))

    def load(self) -> dict[str, Any]:
        """Return the load as of ``report_lag_ms`` ago."""
        limit = time.monotonic() - self.settings.report_lag_ms / 1_000
        with self.lock:
            past = [entry for entry in self.loads if entry[0] <= limit]
        at, running, queued = past[-1] if past else (0.0, 0, 0)
        return {
            "running": running,
            "queued": queued,
            "slots": self.settings.slots,
            "age_ms": round((time.monotonic() - at) * 1_000) if past else -1,
        }

    def record_prefix(self, prompt: str) -> None:
        """Record that a prefix is cached."""
        with self.lock:
            sequence = len(self.cache_events) + 1
            self.cache_events.append({"sequence": sequence, "prefix": hash_text(prompt[:64])})

    def events_since(self, sequence: int) -> list[dict[str, Any]]:
        """Return the events after ``sequence``, omitting every fifth one."""
        with self.lock:
            return [e for e in self.cache_events[sequence:] if e["sequence"] % 5]

    @property
    def step_seconds(self) -> float:
        """Return the seconds per token."""
        return self.settings.token_ms / 1_000


def hash_text(text: str) -> str:
    """Return a stable 64-bit hash in hexadecimal."""
    value = 1469598103934665603
    for byte in text.encode():
        value = (value ^ byte) * 1099511628211 % (1 << 64)
    return f"{value:016x}"


def make_tokens(prompt: str, seed: int, count: int) -> list[str]:
    """Return the tokens of a generation, deterministic for a prompt and seed."""
    rng = random.Random(f"{prompt}/{seed}")
    return [f"{rng.choice('bcdfgklmnprst')}{rng.choice('aeiou')}{i}" for i in range(count)]


class EngineHandler(Handler):
    """HTTP interface of one engine."""

    engine: Engine

    def handle_request(self, method: str, path: str, query: dict[str, str], body: bytes) -> None:
        """Handle one request."""
        engine = self.engine
        if path == "/generate" and method == "POST":
            self._generate(json.loads(body))
        elif path.startswith("/cancel/"):
            with engine.lock:
                engine.cancelled.add(path.removeprefix("/cancel/"))
            self.reply(200)
        elif path == "/load":
            self.reply_json(engine.load())
        elif path == "/cache-events":
            self.reply_json(engine.events_since(int(query.get("since", "0"))))
        elif path == "/group" and engine.rank is not None:
            self.reply_json(engine.rank.order(json.loads(body)))
        elif path == "/slowness" and engine.rank is not None:
            engine.rank.slowness = float(body)
            self.reply(200)
        elif path == "/running":
            self.reply_json({"running": engine.running})
        elif path == "/ledger":
            steps = engine.rank.ledger if engine.rank else []
            self.reply_json({"steps": steps, "generations": engine.generations})
        elif path == "/healthz":
            self.reply(200, b"ok\n")
        else:
            self.reply_json({"error": "no such path"}, 404)

    def _generate(self, parameters: dict[str, Any]) -> None:
        engine = self.engine
        request_id = self.headers.get("X-Request-Id", "")
        offset = int(self.headers.get("X-Offset") or 0)
        with engine.lock:
            engine.queued += 1
            engine.generations[request_id] = engine.generations.get(request_id, 0) + 1
            engine.record_load()
        engine.slots.acquire()
        try:
            with engine.lock:
                engine.queued -= 1
                engine.running += 1
                engine.record_load()
            self._stream(parameters, self.headers.get("X-Run-Id", ""), offset)
        finally:
            with engine.lock:
                engine.running -= 1
                engine.record_load()
            engine.slots.release()

    def _stream(self, parameters: dict[str, Any], run_id: str, offset: int) -> None:
        engine = self.engine
        prompt, count = str(parameters.get("prompt", "")), int(parameters.get("max_tokens", 16))
        tokens = make_tokens(prompt, int(parameters.get("seed", 0)), count)
        engine.record_prefix(prompt)
        self.begin_chunked("application/x-ndjson")
        due = time.monotonic()
        for index in range(offset, count):
            due += engine.step_seconds
            time.sleep(max(0.0, due - time.monotonic()))
            if run_id in engine.cancelled:
                self.abort_connection()
                return
            line = json.dumps({"offset": index, "token": tokens[index]})
            self.write_chunk(line.encode() + b"\n")
        self.write_chunk(b'{"done": true, "tokens": %d}\n' % count)
        self.write_chunk(b"")


def _udp(address: str) -> tuple[str, int]:
    host, port = address.rsplit(":", 1)
    return host, int(port)


def serve(settings: EngineSettings) -> Server:
    """Create a server for one engine without starting it."""
    handler: Any = type("BoundHandler", (EngineHandler,), {"engine": Engine(settings)})
    return Server(_udp(settings.address), handler)


if __name__ == "__main__":
    serve(EngineSettings(**json.loads(sys.argv[1]))).serve_forever()
