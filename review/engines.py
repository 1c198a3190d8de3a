"""Stand-in for the engines of one rank group.

They follow the users' pages: an idle group begins no pass; a map is prepared, armed and taken as a
pass begins; a hold does not lapse; orders are refused with 409 where they don't fit, and for a low
fence with 412 only where the deployment requires fencing. A share of the orders can be left without
an answer and carried out 2 to 12 s later.
"""

from __future__ import annotations

import json
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from fakes.http_base import Handler, Server
from review.harness import Record

#: Seconds of a pass, tokens of a rank and pass in each set, and passes of a stream.
_PASS_SECONDS = 0.025
_TOKENS = 2_000
_PASSES_OF_STREAM = 12
#: Seconds until an order that got no answer is carried out.
_LATE_SECONDS = (2.0, 12.0)
#: Share of the tokens that go to the experts in demand.
_HOT_EXPERTS = 8
_HOT_WEIGHT = 12


@dataclass
class RankState:
    """State of one engine."""

    fence: int = 0
    highest: int = 0
    #: Version being copied and when the copies are complete.
    copying: tuple[int, float] | None = None
    prepared: int = 0
    armed: tuple[int, int] | None = None
    held: int = 0
    version: int = 0
    sequence: int = 0
    counts: list[int] = field(default_factory=list)


class RankGroupEngines:
    """The engines of one group in its first epoch."""

    def __init__(
        self,
        size: int,
        layers: int,
        experts: int,
        geometry: dict[str, Any],
        record: Record,
        rng: random.Random,
        requires_fencing: bool = False,
    ) -> None:
        self._requires_fencing = requires_fencing
        self.size, self.layers, self.experts = size, layers, experts
        self._copy_seconds = geometry["expert_mb"] * 8 / geometry["LinkMbps"]
        self._spare = geometry["spare"]
        self._record = record
        self._rng = rng
        self._changed = threading.Condition()
        self.step = 0
        self._active = 0
        self.ranks = [RankState(counts=[0] * (layers * experts)) for _ in range(size)]
        dealt = [
            [[e for e in range(experts) if e % size == r] for _ in range(layers)]
            for r in range(size)
        ]
        #: Experts by rank and set of each map.
        self.maps: dict[int, list[list[list[int]]]] = {0: dealt}
        #: Versions by rank of each pass that began with different maps.
        self.mismatches: list[tuple[int, list[int]]] = []
        self.activations = 0
        self.late_orders = 0
        #: Share of the orders that get no answer, and until when.
        self._late_share = 0.0
        self._late_until = 0.0
        self._timers: list[threading.Timer] = []
        #: Called with each order before it is carried out.
        self.on_order: Callable[[dict[str, Any]], object] = lambda _order: None
        #: Cleared while the engine of rank 0 stands still, as one whose machine does.
        self.first_runs = threading.Event()
        self.first_runs.set()
        self._stop = threading.Event()
        self._weights: list[list[int]] = []
        self.move_demand(0)
        self.ids = [f"i-{rank:04x}" for rank in range(size)]
        self._servers = [self._serve(rank) for rank in range(size)]
        self.addresses = [f"127.0.0.1:{each.server_address[1]}" for each in self._servers]
        threading.Thread(target=self._run, daemon=True).start()

    def close(self) -> None:
        """Stop the passes and the servers."""
        self._stop.set()
        for timer in self._timers:
            timer.cancel()
        for server in self._servers:
            server.shutdown()
            server.server_close()

    def move_demand(self, seed: int) -> None:
        """Have requests choose other experts most of the time."""
        rng = random.Random(seed)
        hot = [set(rng.sample(range(self.experts), _HOT_EXPERTS)) for _ in range(self.layers)]
        with self._changed:
            self._weights = [
                [_HOT_WEIGHT if e in layer else 1 for e in range(self.experts)] for layer in hot
            ]

    def leave_orders_unanswered(self, share: float, seconds: float) -> None:
        """Leave a share of the orders without an answer for some seconds."""
        self._late_share, self._late_until = share, time.monotonic() + seconds
        self._record.write(f"{share:g} of the orders get no answer for {seconds:g} s")

    def _is_unanswered(self) -> bool:
        """Return whether the next order gets no answer."""
        return time.monotonic() < self._late_until and self._rng.random() < self._late_share

    def store_entry(self, rank: int) -> dict[str, object]:
        """Return an engine's object in the store."""
        return {
            "Service": "lith-llm",
            "Address": self.addresses[rank],
            "Zone": "hall-delft",
            "Version": "v1",
            "Slots": 6,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
        }

    # Passes.

    def _run(self) -> None:
        while not self._stop.wait(_PASS_SECONDS):
            with self._changed:
                if not self.first_runs.is_set():
                    continue
                if self._active and not any(r.held == self.step + 1 for r in self.ranks):
                    self._begin_pass()

    def _begin_pass(self) -> None:
        self.step += 1
        flat = [_TOKENS * w // sum(layer) for layer in self._weights for w in layer]
        is_taken = False
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == self.step:
                rank.version, rank.armed = rank.armed[0], None
                is_taken = True
            rank.counts = [a + b for a, b in zip(rank.counts, flat, strict=True)]
        versions = [rank.version for rank in self.ranks]
        if is_taken:
            self.activations += 1
            self._record.write(f"pass {self.step} begins with maps {sorted(set(versions))}")
        if len(set(versions)) > 1:
            self.mismatches.append((self.step, versions))
            if len(self.mismatches) == 1:
                self._record.write(f"MAP broken: pass {self.step} begins with {versions}")
        self._changed.notify_all()

    # Requests.

    def _serve(self, number: int) -> Server:
        engines = self

        class _Handler(Handler):
            def handle_request(
                self, method: str, path: str, query: dict[str, str], body: bytes
            ) -> None:
                if number == 0:
                    engines.first_runs.wait()
                if path == "/order":
                    engines._receive_order(self, number, json.loads(body))
                elif path in ("/report", "/picked"):
                    self.reply_json(engines._report(number, path, query))
                else:
                    engines._stream(self, number)

        server = Server(("127.0.0.1", 0), _Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server

    def _stream(self, handler: Handler, number: int) -> None:
        """Answer a request with one event for each pass."""
        if handler.headers.get("Expect-Instance") not in (None, self.ids[number]):
            handler.reply(421)
            return
        handler.send_response(200)
        handler.send_header("Attempt-Id", handler.headers["Attempt-Id"])
        handler.send_header("Response-Seal", f"seal-of-{self.ids[number]}")
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        with self._changed:
            self._active += 1
            step = self.step
        try:
            first = int(handler.headers.get("Last-Event-Id") or 0) + 1
            for event in range(first, _PASSES_OF_STREAM + 1):
                with self._changed:
                    while self.step == step and not self._stop.is_set():
                        self._changed.wait(0.5)
                    step = self.step
                handler.write_chunk(f"id: {event}\ndata: token {event}\n\n".encode())
            handler.write_chunk(b"")
        finally:
            with self._changed:
                self._active -= 1

    def _report(self, number: int, path: str, query: dict[str, str]) -> dict[str, Any]:
        with self._changed:
            rank = self.ranks[number]
            self._finish_copies(rank)
            if path == "/picked" and "lists" in query:
                held = self.maps[rank.version][number]
                return {"map": {"Version": rank.version, "experts": held}}
            if path == "/picked":
                return {"step": self.step, "epoch": 1, "Counts": rank.counts}
            armed = {"Version": rank.armed[0], "step": rank.armed[1]} if rank.armed else None
            return {
                "Stage": "dual",
                "Sequence": rank.sequence,
                "group": {"Name": "g", "epoch": 1, "rank": number, "State": "open"},
                "size": self.size,
                "step": self.step,
                "map": rank.version,
                "prepared": rank.prepared,
                "armed": armed,
                "held": rank.held,
                "pace": 1.0,
            }

    # Orders.

    def _receive_order(self, handler: Handler, number: int, order: dict[str, Any]) -> None:
        self.on_order(order)
        if not self._is_unanswered():
            with self._changed:
                status = self._order(number, order)
            self._record_order(number, order, status, "")
            handler.reply_json({}, status)
            return
        self.late_orders += 1
        timer = threading.Timer(self._rng.uniform(*_LATE_SECONDS), self._carry_out, (number, order))
        timer.daemon = True
        self._timers.append(timer)
        timer.start()
        self._record_order(number, order, 0, " no answer")
        handler.close_connection = True
        handler.connection.settimeout(5)
        try:
            handler.connection.recv(1)
        except OSError:
            return

    def _carry_out(self, number: int, order: dict[str, Any]) -> None:
        with self._changed:
            status = self._order(number, order)
        self._record_order(number, order, status, " late")

    def _record_order(self, number: int, order: dict[str, Any], status: int, note: str) -> None:
        if order["op"] == "prepare" or (order["op"] == "disarm" and order["Version"] == 1):
            return
        fields = {k: v for k, v in order.items() if k in ("op", "fence", "Version", "step")}
        self._record.write(f"rank {number}{note}: {fields} -> {status}")

    def _finish_copies(self, rank: RankState) -> None:
        if rank.copying is not None and time.monotonic() >= rank.copying[1]:
            rank.prepared, rank.copying = rank.copying[0], None

    def _order(self, number: int, order: dict[str, Any]) -> int:
        """Carry out an order and return its status."""
        rank = self.ranks[number]
        self._finish_copies(rank)
        if self._requires_fencing and order.get("fence", 0) < rank.fence:
            return 412
        rank.fence = max(rank.fence, order.get("fence", 0))
        if order.get("epoch", 1) != 1:
            return 409
        if order.get("ExpectedRev", rank.sequence) != rank.sequence:
            return 409
        status = getattr(self, f"_{order['op']}")(number, rank, order)
        if status == 202:
            rank.sequence += 1
        return int(status)

    def _prepare(self, number: int, rank: RankState, order: dict[str, Any]) -> int:
        version = order["Version"]
        if version in (rank.prepared, rank.copying[0] if rank.copying else None):
            return 200
        if version <= rank.highest or rank.armed:
            return 409
        new_map = [list(layers) for layers in zip(*order["map"], strict=True)]
        held = self.maps[rank.version][number]
        new = [len(set(a) - set(b)) for a, b in zip(new_map[number], held, strict=True)]
        if max(new) > self._spare:
            return 409
        self.maps[version] = new_map
        rank.highest, rank.prepared = version, 0
        rank.copying = (version, time.monotonic() + sum(new) * self._copy_seconds)
        return 202

    def _arm(self, _number: int, rank: RankState, order: dict[str, Any]) -> int:
        wanted = (order["Version"], order["step"])
        if rank.armed == wanted:
            return 200
        if rank.prepared != wanted[0] or wanted[1] <= self.step or rank.armed:
            return 409
        rank.armed = wanted
        return 202

    def _disarm(self, _number: int, rank: RankState, order: dict[str, Any]) -> int:
        if order["Version"] == rank.version:
            return 409
        if rank.armed is not None and rank.armed[0] == order["Version"]:
            rank.armed = None
            return 202
        return 200

    def _hold(self, _number: int, rank: RankState, order: dict[str, Any]) -> int:
        if rank.held == order["step"]:
            return 200
        if rank.held or order["step"] <= self.step:
            return 409
        rank.held = order["step"]
        return 202

    def _go(self, _number: int, rank: RankState, order: dict[str, Any]) -> int:
        if rank.held != order["step"]:
            return 409 if rank.held else 200
        rank.held = 0
        return 202
