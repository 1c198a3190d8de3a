"""Fake rank of a group that executes steps in lockstep with its peers.

Ranks announce their step and map version to each other over UDP. A step runs only after all
ranks of the map have announced the same step and version, so that a missing rank or one on
another map blocks the group, as a collective operation would. To tolerate lost datagrams a
waiting rank repeats its announcement, and ranks that are ahead answer for earlier steps. The
ledger records the map version of each step.
"""

from __future__ import annotations

import json
import random
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

Version = tuple[int, int]
NO_MAP: Version = (0, 0)
#: Announced steps kept per rank.
_MAX_ANNOUNCED_STEPS = 64


@dataclass
class Map:
    """An expert map as installed at a rank."""

    version: Version
    ranks: list[int]
    #: ``holders[layer][expert]`` lists the ranks with a replica.
    holders: list[list[list[int]]]


@dataclass
class Activation:
    """Activation of a prepared map at a step."""

    version: Version
    step: int
    jump: bool


@dataclass
class Popularity:
    """Deterministic token counts per expert and step, with drift and noise."""

    layers: int
    experts: int
    seed: int

    def counts(self, layer: int, step: int) -> list[int]:
        """Return the token count of each expert in a step, identical on every rank."""
        rng = random.Random(f"{self.seed}/{layer}/{step // 400}")
        hot = rng.sample(range(self.experts), max(1, self.experts // 8))
        weights = [12 if expert in hot else 3 for expert in range(self.experts)]
        return [weight + (step * 7 + expert) % 3 for expert, weight in enumerate(weights)]


@dataclass
class Rank:
    """State of a rank, guarded by ``changed``."""

    number: int
    peers: dict[int, tuple[str, int]]
    popularity: Popularity
    checks_fences: bool
    base_us: int = 3_000
    token_us: int = 8
    #: Factor on the duration of each step.
    slowness: float = 1.0
    changed: threading.Condition = field(default_factory=threading.Condition)
    step: int = 0
    active: Map | None = None
    prepared: dict[Version, Map] = field(default_factory=dict)
    activation: Activation | None = None
    #: Announced map version by rank and recent step, including this rank's own.
    announced: dict[int, dict[int, Version]] = field(default_factory=dict)
    #: Version that must be active before the rank starts another step.
    halted: Version | None = None
    ledger: list[list[int]] = field(default_factory=list)
    counts: list[list[int]] = field(default_factory=list)
    times: list[int] = field(default_factory=list)
    step_ms: float = 5.0
    stopped: bool = False

    def __post_init__(self) -> None:
        """Open the socket for announcements."""
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(self.peers[self.number])
        self._clear_counts()

    def start(self) -> None:
        """Start the receiver and the step loop."""
        threading.Thread(target=self._listen, daemon=True).start()
        threading.Thread(target=self._run, daemon=True).start()

    # Orders.

    def order(self, order: dict[str, Any]) -> dict[str, Any]:
        """Execute an order from the owner of the map."""
        version = (int(order["epoch"]), int(order["number"]))
        actions: dict[str, Callable[[Version, dict[str, Any]], str]] = {
            "highest": lambda v, o: "",
            "counts": lambda v, o: "",
            "prepare": self._prepare,
            "activate": self._activate,
            "release": self._release,
        }
        with self.changed:
            action = order["action"]
            writes = action in ("prepare", "activate", "release")
            if writes and self.checks_fences and version < self._highest():
                return self._answer(False, "fenced")
            detail = actions[action](version, order)
            answer = self._answer(not detail, detail)
            if action == "highest" and self.active is not None:
                answer["ranks"] = self.active.ranks
                answer["replicas"] = _replicas(self.active)
            if action == "counts":
                answer["counts"] = self.counts
                answer["step_time"] = sum(self.times) // len(self.times) if self.times else 0
                self._clear_counts()
            self.changed.notify_all()
            return answer

    def _highest(self) -> Version:
        known = [*self.prepared, self.active.version if self.active else NO_MAP]
        return max(known)

    def _answer(self, ok: bool, detail: str) -> dict[str, Any]:
        epoch, number = self.active.version if self.active else NO_MAP
        return {"ok": ok, "detail": detail, "epoch": epoch, "number": number, "step": self.step}

    def _prepare(self, version: Version, order: dict[str, Any]) -> str:
        layers, experts = self.popularity.layers, self.popularity.experts
        holders: list[list[list[int]]] = [[[] for _ in range(experts)] for _ in range(layers)]
        for replica in order["replicas"]:
            holders[replica["layer"]][replica["expert"]].append(replica["rank"])
        self.prepared[version] = Map(version, list(order["ranks"]), holders)
        if order["jump"]:
            self.halted = version
        return ""

    def _activate(self, version: Version, order: dict[str, Any]) -> str:
        if self.active is not None and self.active.version == version:
            return ""
        if version not in self.prepared:
            return "not prepared"
        self.activation = Activation(version, int(order["step"]), bool(order["jump"]))
        return ""

    def _release(self, version: Version, order: dict[str, Any]) -> str:
        self.prepared = {v: m for v, m in self.prepared.items() if v >= version}
        return ""

    def _clear_counts(self) -> None:
        self.counts = [[0] * self.popularity.experts for _ in range(self.popularity.layers)]
        self.times = []

    # Step execution.

    def _listen(self) -> None:
        while not self.stopped:
            rank, step, epoch, number = json.loads(self.socket.recv(512))
            with self.changed:
                self._record_announcement(rank, step, (epoch, number))
                own = self.announced.get(self.number, {}).get(step)
                if step < self.step and own is not None:
                    self._announce(rank, step, own)
                self.changed.notify_all()

    def _record_announcement(self, rank: int, step: int, version: Version) -> None:
        steps = self.announced.setdefault(rank, {})
        steps[step] = version
        while len(steps) > _MAX_ANNOUNCED_STEPS:
            del steps[min(steps)]

    def _announce(self, rank: int, step: int, version: Version) -> None:
        message = json.dumps([self.number, step, *version]).encode()
        self.socket.sendto(message, self.peers[rank])

    def _run(self) -> None:
        while not self.stopped:
            with self.changed:
                self._apply_activation()
                if self.active is None or self.halted is not None:
                    self.changed.wait(0.1)
                    continue
                mapping, step = self.active, self.step
            if not self._wait_for_all(mapping, step):
                continue
            began = time.monotonic()
            duration_us = self._simulate_step(mapping, step)
            time.sleep(max(0.0, duration_us / 1e6 - (time.monotonic() - began)))
            self._finish(mapping, step, duration_us)

    def _apply_activation(self) -> None:
        """Activate a prepared map when its step is reached, or at once for a jump."""
        activation = self.activation
        if activation is None:
            return
        if self.halted is not None and activation.version < self.halted:
            return
        if self.step < activation.step and not activation.jump and self.active is not None:
            return
        self.halted = None
        self.active = self.prepared[activation.version]
        self.step = max(self.step, activation.step)
        self.activation = None

    def _wait_for_all(self, mapping: Map, step: int) -> bool:
        """Wait briefly for all ranks of the map; return whether the step may run."""
        others = [r for r in mapping.ranks if r != self.number]
        with self.changed:
            self._record_announcement(self.number, step, mapping.version)
        for rank in others:
            self._announce(rank, step, mapping.version)
        with self.changed:
            if not self._all_announced(others, mapping, step):
                self.changed.wait(0.02)
            return self._all_announced(others, mapping, step) and self.active is mapping

    def _all_announced(self, others: list[int], mapping: Map, step: int) -> bool:
        """Return whether all other ranks have announced this step and map version."""
        return all(self.announced.get(rank, {}).get(step) == mapping.version for rank in others)

    def _simulate_step(self, mapping: Map, step: int) -> int:
        """Count the tokens of a step; return its duration in microseconds."""
        tokens = 0.0
        with self.changed:
            for layer, holders in enumerate(mapping.holders):
                counts = self.popularity.counts(layer, step)
                for expert, ranks in enumerate(holders):
                    if self.number in ranks:
                        part = counts[expert] / len(ranks)
                        tokens += part
                        self.counts[layer][expert] += round(part)
        return round((self.base_us + self.token_us * tokens) * self.slowness)

    def _finish(self, mapping: Map, step: int, duration_us: int) -> None:
        with self.changed:
            self.times = [*self.times[-199:], duration_us]
            self.step_ms += 0.1 * (duration_us / 1_000 - self.step_ms)
            self._record_step(step, mapping.version)
            if self.step == step:
                self.step = step + 1
            self.changed.notify_all()

    def _record_step(self, step: int, version: Version) -> None:
        """Add a step to the ledger, merging consecutive steps on one map."""
        last = self.ledger[-1] if self.ledger else None
        if last is not None and last[1] == step - 1 and (last[2], last[3]) == version:
            last[1] = step
        else:
            self.ledger.append([step, step, *version])


def _replicas(mapping: Map) -> list[dict[str, int]]:
    return [
        {"layer": layer, "expert": expert, "rank": rank}
        for layer, experts in enumerate(mapping.holders)
        for expert, ranks in enumerate(experts)
        for rank in ranks
    ]


def steps_on_two_maps(ledgers: list[list[list[int]]]) -> list[int]:
    """Return the first step of each overlap between runs on different maps."""
    runs = sorted((first, last, (e, n)) for ledger in ledgers for first, last, e, n in ledger)
    split = []
    for index, (first, last, version) in enumerate(runs):
        for other_first, _, other in runs[index + 1 :]:
            if other_first > last:
                break
            if other != version:
                split.append(max(first, other_first))
    return split
