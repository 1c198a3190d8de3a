"""Whole rank processes of one group in one thread: links, engines and the store are models.

Orders and messages take no time and planning takes none on the model's clock; copies, report lags,
ticks and silences take what they take. A stalled process runs nothing: what is sent to it waits.
"""

from __future__ import annotations

import random
import types
from collections.abc import Callable
from typing import Any

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.coordination import ExpertMap, initial_map, map_skew
from canvasyoke.experts import (
    RANK_PORTS,
    MapOrder,
    MapOrderKind,
    OrderOutcome,
    RankMap,
    RankPort,
    RankReport,
    RankUnreachable,
    _acting_owner,
    _change,
    _owner_link,
    _relay,
    _standby_link,
)
from canvasyoke.experts import _process as process_module
from canvasyoke.experts._owner import _holders
from canvasyoke.experts._process import RanksProcess
from canvasyoke.experts.tests.group_model import GroupModel, Rank
from canvasyoke.protocol import Message, RankReading, RelayedReadings
from canvasyoke.state import (
    FLEET_STORES,
    Note,
    RankGeometry,
    RanksSettings,
    RoutingTable,
    TableRead,
    TableService,
    Unavailable,
)

#: Milliseconds of one step of the model, by which engines' reports to other hosts lag, and between
#: steps of the group.
TICK, REMOTE_LAG, STEP_TIME = 20, 200, 60
LAYERS, EXPERTS_PER_RANK, COPY_TIME = 2, 2, 14.0
#: Tokens that the ranks choose experts for in a step of the model, in each layer.
_TOKENS = 100


class _ModelPort(RankPort):
    """One engine, as its own host or another one sees it."""

    def __init__(self, deployment: Deployment, rank: int, lag: int) -> None:
        self._deployment, self._rank, self._lag = deployment, rank, lag

    def _is_cut(self) -> bool:
        return bool(self._lag) and self._rank in self._deployment.unreachable_engines

    def report(self) -> RankReport | RankUnreachable:
        if self._is_cut():
            return RankUnreachable("cut")
        reports = self._deployment.reports[self._rank]
        latest = self._deployment.clock.now() - self._lag
        return next((each for at, each in reversed(reports) if at <= latest), reports[0][1])

    def counts(self) -> tuple[int, ...]:
        return tuple(self._deployment.counts[self._rank])

    def current_map(self) -> RankMap:
        return self._deployment.layers(self._rank)

    def order(self, order: MapOrder) -> OrderOutcome:
        if self._is_cut():
            return OrderOutcome.UNKNOWN
        return self._deployment.apply(self._rank, order)


class _Store:
    """The store's notes and configuration."""

    def __init__(self, experts: int) -> None:
        self._experts = experts
        self.objects: dict[tuple[str, str], Note] = {}
        self.is_down = False
        self._writes = 0

    def put_note(self, kind: str, name: str, body: bytes) -> Note | Unavailable:
        if self.is_down:
            return Unavailable("down")
        self._writes += 1
        note = Note(name, self._writes, body)
        self.objects[kind, name] = note
        return note

    def create_note(self, kind: str, name: str, body: bytes) -> Note | Unavailable:
        found = self.objects.get((kind, name))
        return found or self.put_note(kind, name, body)

    def notes(self, kind: str, allow_stale: bool = False) -> list[Note]:
        return [note for (each, _), note in self.objects.items() if each == kind]

    def table(self) -> TableRead:
        geometry = RankGeometry(LAYERS, self._experts, 5, 5, COPY_TIME)
        table = RoutingTable(1, services={"s": TableService("s", 1, geometry)})
        return TableRead(table, 1, b"")


class _Session:
    """One end of a link."""

    def __init__(self, deployment: Deployment, owner: int, handle: Callable[..., None]) -> None:
        self._deployment = deployment
        #: Rank of this end's process, and what handles messages that arrive here.
        self.owner, self.handle = owner, handle
        self.peer = f"side-{owner}"
        self.remote: _Session = self
        self.closed = False
        #: Called at the dialling end when the session ends.
        self.on_close: Callable[[], None] | None = None
        self.received_at = deployment.clock.now()
        self.waiting: list[Message] = []

    @property
    def time_since_received(self) -> int:
        return self._deployment.clock.now() - self.received_at

    def send(self, message: Message) -> None:
        self._deployment.record(self, message)
        self.remote.waiting.append(message)
        self.remote.deliver()

    def deliver(self) -> None:
        """Handle what has arrived unless the process is stalled, and acknowledge it."""
        if (self.remote.owner, self.owner) in self._deployment.cut_links:
            return
        while self.waiting and self.owner not in self._deployment.stalled:
            message = self.waiting.pop(0)
            self.received_at = self._deployment.clock.now()
            if (self.owner, self.remote.owner) not in self._deployment.cut_links:
                self.remote.received_at = self.received_at
            self.handle(self, message)


class Deployment:
    """All processes of one group, with a demand that tests move."""

    def __init__(self, patch: pytest.MonkeyPatch, size: int, domains: int) -> None:
        self.clock = ManualClock(start=100_000)
        self.size = size
        self.model = GroupModel(size, random.Random(1), self.clock)
        self.experts = EXPERTS_PER_RANK * size
        self.store = _Store(self.experts)
        self.stalled: set[int] = set()
        self.unreachable_engines: set[int] = set()
        #: Pairs of ranks: nothing of the first one's process arrives at the second one's.
        self.cut_links: set[tuple[int, int]] = set()
        self.servers: dict[str, Any] = {}
        self.sessions: list[_Session] = []
        #: Readings with counts that were sent to each rank's process.
        self.sent_readings: list[tuple[int, int]] = []
        self.counts = [[0] * (LAYERS * self.experts) for _ in range(size)]
        self.copied_at: dict[int, int] = {}
        self.reports: list[list[tuple[int, RankReport]]] = [[] for _ in range(size)]
        initial = initial_map(range(size), self.experts, LAYERS).layers
        self.maps = {0: [_held_by(initial, rank) for rank in range(size)]}
        self._busy: set[int] = set()
        self._dials: list[tuple[str, Callable[[], None]]] = []
        self._next_tick = [self.clock.now()] * size
        self.demand = random.Random(0)
        self.move_demand(0)
        self._record_reports()
        self._patch(patch)
        self.processes = [self._start(rank, domains) for rank in range(size)]

    def _patch(self, patch: pytest.MonkeyPatch) -> None:
        event = types.SimpleNamespace(Event=lambda: types.SimpleNamespace(wait=self._wait))
        for module in (_change, _acting_owner):
            patch.setattr(module, "threading", event)
        for module in (_owner_link, _standby_link):
            patch.setattr(module, "LinkClient", self._link_client)
        for module in (_relay, process_module):
            patch.setattr(module, "LinkServer", self._link_server)
        patch.setitem(FLEET_STORES._values, "model", lambda _address: self.store)
        patch.setitem(
            RANK_PORTS._values,
            "model",
            lambda address, timeout: _ModelPort(
                self, int(address.rpartition(":")[2]), REMOTE_LAG if timeout > 30 else 0
            ),
        )

    def _start(self, rank: int, domains: int) -> RanksProcess:
        settings = RanksSettings(
            instance=f"side-{rank}",
            domain=f"domain-{rank % domains}",
            engine=f"127.0.0.1:{rank}",
            peer=f"127.0.0.2:{rank}",
            metrics="127.0.0.1:1",
            store="127.0.0.1:2",
            adapter="model",
        )
        return RanksProcess(settings, "", self.clock)

    # Links.

    def _link_server(self, address: str, *args: Any, **_: Any) -> Any:
        server = types.SimpleNamespace(
            rank=int(address.rpartition(":")[2]), handle=args[4], on_close=args[6]
        )
        server.start = lambda: self.servers.__setitem__(address, server)
        server.stop = lambda: self.servers.pop(address, None)
        server.use_key = lambda _key: None
        return server

    def _link_client(self, address: str, *args: Any) -> Any:
        handle, on_open, on_close = args[6:9]
        rank = int(args[2].rpartition("-")[2])
        client = types.SimpleNamespace(address=address, use_key=lambda _key: None)

        def connect() -> None:
            server = self.servers[address]
            here, there = _Session(self, rank, handle), _Session(self, server.rank, server.handle)
            here.remote, there.remote = there, here
            self.sessions += [here, there]
            on_open(here)

            def lost() -> None:
                on_close(here)
                client.start()

            here.on_close = lost

        client.start = lambda: self._dials.append((address, connect))
        client.stop = lambda: None
        return client

    def _connect(self) -> None:
        """Establish the links whose other end listens."""
        dials, self._dials = self._dials, []
        for address, connect in dials:
            server = self.servers.get(address)
            if server is None or server.rank in self.stalled:
                self._dials.append((address, connect))
            else:
                connect()

    def _keep_sessions(self) -> None:
        """Send heartbeats, and end the sessions that have been silent for too long."""
        for session in self.sessions:
            is_cut = (session.remote.owner, session.owner) in self.cut_links
            if not is_cut and not self.stalled & {session.owner, session.remote.owner}:
                session.received_at = max(session.received_at, self.clock.now() // 1_000 * 1_000)
        for session in [each for each in self.sessions if each.time_since_received > 3_000]:
            session.closed = session.remote.closed = True
            if session.on_close is not None:
                session.on_close()
        self.sessions = [each for each in self.sessions if not each.closed]

    def record(self, session: _Session, message: Message) -> None:
        if isinstance(message, RankReading | RelayedReadings) and message.counts:
            self.sent_readings.append((self.clock.now(), session.remote.owner))

    # Engines.

    def move_demand(self, seed: int) -> None:
        """Move demand to other experts: a tenth of them is chosen most."""
        rng = random.Random(seed)
        self.weights = [
            [9.0 if rng.random() < 0.1 else 0.5 for _ in range(self.experts)] for _ in range(LAYERS)
        ]

    def layers(self, rank: int) -> RankMap:
        version = self.model.ranks[rank].map_version
        return RankMap(version, self.maps[version][rank])

    @property
    def skew(self) -> float:
        """Skew of the map in force under the demand at present."""
        held = {rank: self.layers(rank).layers for rank in range(self.size)}
        return map_skew(ExpertMap(_holders(held, self.experts)), self.weights, range(self.size))

    def apply(self, rank: int, order: MapOrder) -> OrderOutcome:
        outcome = self.model.ranks[rank].apply(order, self.model.step)
        if order.kind is MapOrderKind.PREPARE and outcome is OrderOutcome.DONE:
            self.maps[order.version] = list(order.layers_by_rank)
            self.copied_at.setdefault(order.version, self.clock.now() + round(COPY_TIME))
        self._record_report(self.model.ranks[rank])
        return outcome

    def _record_report(self, rank: Rank) -> None:
        report = self.model.report(rank)
        self.reports[rank.number].append((self.clock.now(), report))
        del self.reports[rank.number][:-40]

    def _record_reports(self) -> None:
        for rank in self.model.ranks:
            self._record_report(rank)

    # Time.

    def _wait(self, seconds: float) -> None:
        self.run(max(TICK, round(seconds * 1_000)))

    def run(self, duration: int) -> None:
        """Let time pass; processes in the middle of a tick do not begin another."""
        deadline = self.clock.now() + duration
        while self.clock.now() < deadline:
            self.clock.advance(TICK)
            self._run_engines()
            self._keep_sessions()
            self._connect()
            for rank in range(self.size):
                self._run_process(rank)

    def run_until(self, condition: Callable[[], bool], limit: int) -> int:
        """Let time pass until ``condition`` holds; return the milliseconds."""
        started_at = self.clock.now()
        while not condition():
            assert self.clock.now() - started_at < limit, "the condition did not become true"
            self.run(TICK)
        return self.clock.now() - started_at

    def _run_engines(self) -> None:
        if self.clock.now() % STEP_TIME == 0:
            self.model.begin_step()
        share = [[_TOKENS * w / sum(layer) for w in layer] for layer in self.weights]
        chosen = [int(each + self.demand.random()) for layer in share for each in layer]
        for rank, counts in enumerate(self.counts):
            self.counts[rank] = [a + b for a, b in zip(counts, chosen, strict=True)]
        self._record_reports()

    def _run_process(self, rank: int) -> None:
        if rank in self.stalled or rank in self._busy:
            return
        for session in self.sessions:
            if session.owner == rank:
                session.deliver()
        if self.clock.now() < self._next_tick[rank]:
            return
        process = self.processes[rank]
        self._busy.add(rank)
        try:
            report = process._rank_client.report()
            assert report is not None
            process._serve(report)
        finally:
            self._busy.discard(rank)
        self._next_tick[rank] = self.clock.now() + process._time_until_tick()


def _held_by(layers: Any, rank: int) -> tuple[tuple[int, ...], ...]:
    return tuple(
        tuple(expert for expert, holders in enumerate(layer) if rank in holders) for layer in layers
    )
