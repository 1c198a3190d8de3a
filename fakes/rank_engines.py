"""Fake engines of one rank group that follow the platform's interface for expert maps.

They run in the test process, each at its own address, and execute steps together. A step begins
only while no rank holds it; beginning one with two maps is recorded in ``mismatches``.
"""

from __future__ import annotations

import json
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from fakes.http_base import Handler, Server

#: Seconds of a step, and tokens of a rank and step in each layer.
_STEP_SECONDS = 0.06
_TOKENS = 2_000


@dataclass
class RankState:
    """State of one rank."""

    fence: int = 0
    highest: int = 0
    prepared: int = 0
    armed: tuple[int, int] | None = None
    held: int = 0
    version: int = 0
    counts: list[int] = field(default_factory=list)


class RankEngines:
    """The engines of one group in its first epoch."""

    def __init__(self, size: int, layers: int, experts: int, requires_fencing: bool = True) -> None:
        self.size, self.layers, self.experts = size, layers, experts
        self._requires_fencing = requires_fencing
        #: Whether no step begins, as if the group had no requests.
        self.is_idle = False
        #: Called with each order before it is executed.
        self.on_order: Callable[[dict[str, Any]], object] = lambda _order: None
        self._lock = threading.Lock()
        self.step = 0
        self.ranks = [RankState(counts=[0] * (layers * experts)) for _ in range(size)]
        held = [
            [[e for e in range(experts) if e % size == r] for _ in range(layers)]
            for r in range(size)
        ]
        #: Experts by rank and layer of each map.
        self.maps: dict[int, list[list[list[int]]]] = {0: held}
        self.mismatches: list[list[int]] = []
        self.move_demand(0)
        self._servers = [self._serve(rank) for rank in range(size)]
        self.addresses = [f"127.0.0.1:{each.server_address[1]}" for each in self._servers]
        self._stop = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()

    def close(self) -> None:
        """Stop the steps and the servers."""
        self._stop.set()
        for server in self._servers:
            server.shutdown()
            server.server_close()

    def move_demand(self, seed: int) -> None:
        """Have the ranks choose two other experts of each layer most of the time."""
        rng = random.Random(seed)
        hot = [set(rng.sample(range(self.experts), 2)) for _ in range(self.layers)]
        weights = [[8 if e in layer else 1 for e in range(self.experts)] for layer in hot]
        self.weights = weights

    @property
    def skew(self) -> float:
        """Load of the most loaded rank over the mean with the map in force."""
        with self._lock:
            held = self.maps[self.ranks[1].version]
        load = 0.0
        for layer, weights in enumerate(self.weights):
            copies = [
                sum(e in held[r][layer] for r in range(self.size)) for e in range(len(weights))
            ]
            loads = [sum(weights[e] / copies[e] for e in held[r][layer]) for r in range(self.size)]
            load += max(loads) * self.size / sum(weights)
        return load / self.layers

    def _run(self) -> None:
        while not self._stop.wait(_STEP_SECONDS):
            with self._lock:
                self._begin_step()

    def _begin_step(self) -> None:
        if self.is_idle or any(rank.held == self.step + 1 for rank in self.ranks):
            return
        self.step += 1
        flat = [_TOKENS * w // sum(layer) for layer in self.weights for w in layer]
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == self.step:
                rank.version, rank.armed = rank.armed[0], None
            rank.counts = [a + b for a, b in zip(rank.counts, flat, strict=True)]
        versions = [rank.version for rank in self.ranks]
        if len(set(versions)) > 1:
            self.mismatches.append(versions)

    def _serve(self, number: int) -> Server:
        engines = self

        class _Handler(Handler):
            def handle_request(
                self, method: str, path: str, query: dict[str, str], body: bytes
            ) -> None:
                with engines._lock:
                    status, answer = engines._answer(number, path, query, body)
                self.reply_json(answer, status)

        server = Server(("127.0.0.1", 0), _Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server

    def _answer(
        self, number: int, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        rank = self.ranks[number]
        if path == "/order":
            return self._order(rank, json.loads(body)), {}
        if path == "/picked" and "lists" in query:
            held = self.maps[rank.version][number]
            return 200, {"map": {"Version": rank.version, "experts": held}}
        if path == "/picked":
            return 200, {"Counts": rank.counts}
        armed = {"Version": rank.armed[0], "step": rank.armed[1]} if rank.armed else None
        return 200, {
            "group": {"Name": "g", "epoch": 1, "rank": number, "State": "open"},
            "size": self.size,
            "step": self.step,
            "map": rank.version,
            "prepared": rank.prepared,
            "armed": armed,
            "held": rank.held,
        }

    def _order(self, rank: RankState, order: dict[str, Any]) -> int:
        """Execute an order and return its status."""
        self.on_order(order)
        if self._requires_fencing and order["fence"] < rank.fence:
            return 412
        rank.fence = max(rank.fence, order["fence"])
        version, step = order.get("Version", 0), order.get("step", 0)
        match order["op"]:
            case "prepare":
                if version == rank.prepared:
                    return 200
                if version <= rank.highest or rank.armed:
                    return 409
                rank.highest = rank.prepared = version
                self.maps[version] = [list(layers) for layers in zip(*order["map"], strict=True)]
            case "arm":
                if rank.armed == (version, step):
                    return 200
                if rank.prepared != version or step <= self.step or rank.armed:
                    return 409
                rank.armed = (version, step)
            case "disarm":
                if rank.armed and rank.armed[0] == version:
                    rank.armed = None
            case "hold":
                if rank.held == step:
                    return 200
                if rank.held or step <= self.step:
                    return 409
                rank.held = step
            case "go":
                if rank.held == step:
                    rank.held = 0
        return 200
