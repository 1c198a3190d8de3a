"""Simulation of a fleet of direct entries that exchange state over a network."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable
from typing import cast

import msgspec

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.crashes import Quarantine
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._known_backends import BackendChange
from canvasyoke.direct._metrics import DirectMetrics
from canvasyoke.direct._peers import EntryPeers
from canvasyoke.direct._return_times import ReturnTimes
from canvasyoke.direct._roster import Roster
from canvasyoke.direct._table_follower import TableView
from canvasyoke.direct._waiting_gauges import build_waiting
from canvasyoke.membership import Node, choose_peers, is_mesh
from canvasyoke.protocol import Message, decode_batch, encode_batch
from canvasyoke.state import DirectSettings, Endpoint, EndpointState, FleetStore, Note
from canvasyoke.transport import Session

#: Milliseconds of simulated time between steps of an entry.
STEP_INTERVAL = 150


class SimSession:
    """One end of a link; messages are queued until the simulated network delivers them."""

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.incarnation = "i"
        self.closed = False
        self.queue: deque[bytes] = deque()

    def send(self, message: Message) -> None:
        if not self.closed:
            self.queue.append(encode_batch([message]))


class SimLinks:
    """Replaces ``OverlayLinks`` of one entry."""

    def __init__(
        self,
        own: Node,
        _role: str,
        _incarnation: str,
        _clock: ManualClock,
        _rng: random.Random,
        on_message: Callable[[Session, Message], None],
        on_open: Callable[[Session], None],
        on_close: Callable[[Session], None],
    ) -> None:
        self.own = own
        self.on_message = on_message
        self.on_open = on_open
        self.on_close = on_close
        self.nodes: list[Node] = []
        self.open: dict[str, SimSession] = {}

    @property
    def is_mesh(self) -> bool:
        return is_mesh(len(self.nodes) + 1)

    @property
    def link_count(self) -> int:
        return len(self.open)

    def sessions(self) -> list[Session]:
        return [cast(Session, session) for session in self.open.values()]

    def listen(self, _key: bytes) -> None:
        pass

    def set_nodes(self, others: Iterable[Node]) -> None:
        self.nodes = list(others)

    def reconcile(self) -> None:
        pass  # SimFleet opens and closes links


class SimStore:
    """Fake store that holds the notes of all entries."""

    def __init__(self, nodes: list[Node]) -> None:
        bodies = {p.name: {"peer": p.address, "domain": p.domain} for p in nodes}
        self.other_notes: list[Note] = []
        self.entry_notes = [Note(n, 1, msgspec.json.encode(b)) for n, b in bodies.items()]

    def notes(self, kind: str, allow_stale: bool = False) -> list[Note]:
        return self.entry_notes if kind == "entries" else self.other_notes

    def create_note(self, _kind: str, name: str, _body: bytes) -> Note:
        return Note(name, 1, msgspec.json.encode("ab" * 32))

    put_note = create_note


class SimEntry:
    """One entry with its roster and its exchange with the peers."""

    def __init__(self, node: Node, store: SimStore, clock: ManualClock) -> None:
        rng = random.Random(node.name)
        self.node = node
        self.roster = Roster(node.domain, clock, rng)
        settings = DirectSettings(
            instance=node.name,
            domain=node.domain,
            http="10.0.0.1:1",
            ready="10.0.0.1:2",
            peer=node.address,
            metrics="10.0.0.1:3",
            store="10.0.0.1:4",
            adapter="objects",
        )
        #: Number of changes in the history of the store that were applied to this entry.
        self.applied_changes = 0
        self.quarantine = Quarantine(clock, lambda name, case: self.peers.announce_case(name, case))
        self.peers = EntryPeers(
            settings,
            cast(FleetStore, store),
            "i",
            TableView(lambda _: None),
            self.roster,
            FleetRetryBudget(RetryAllowance(0.1, 10, 1000), clock),
            self.quarantine,
            clock,
            rng,
            lambda: True,
            build_waiting(self.roster, ReturnTimes(self.roster, clock), clock, DirectMetrics()),
        )

    @property
    def links(self) -> SimLinks:
        return cast(SimLinks, self.peers._links)

    def step(self) -> None:
        self.peers._discover()
        self.peers._update_links()
        self.peers._update_watching()
        self.peers._send_load()
        self.quarantine.refresh()

    def known_backends(self) -> dict[str, tuple[int, str]]:
        return {e.id: (e.position, e.state.name) for e in self.roster.endpoints()}


class SimFleet:
    """All entries, the links between them, and the backends in the store."""

    def __init__(self, sizes: tuple[int, ...], seed: int = 1) -> None:
        self.clock = ManualClock(start=10_000)
        self.rng = random.Random(seed)
        self.nodes = [
            Node(f"front-{d}-{n}", f"10.{d}.0.{n}:7340", f"domain-{d}")
            for d, size in enumerate(sizes)
            for n in range(size)
        ]
        self.store = SimStore(self.nodes)
        self.revision = 1
        self.stored: dict[str, Endpoint] = {}
        #: All changes in the store, in order.
        self.history: list[BackendChange] = []
        self.entries = {p.name: SimEntry(p, self.store, self.clock) for p in self.nodes}
        #: Domains that are partitioned from the others.
        self.partitioned: set[str] = set()
        #: Number of messages delivered.
        self.delivered = 0

    @property
    def position(self) -> int:
        """Current position of the store."""
        return self.revision

    def can_reach(self, one: Node, other: Node) -> bool:
        return one.domain == other.domain or not {one.domain, other.domain} & self.partitioned

    def wanted(self) -> set[tuple[str, str]]:
        """Return the pairs of entries that the overlay links."""
        pairs = set()
        alive = [e.node for e in self.entries.values()]
        for node in alive:
            others = [p for p in alive if p is not node and self.can_reach(node, p)]
            for name in choose_peers(node, others):
                pairs.add((min(node.name, name), max(node.name, name)))
        return pairs

    def reconcile_links(self) -> None:
        """Open missing links, and close those that are no longer wanted."""
        wanted = self.wanted()
        for name, entry in self.entries.items():
            for peer, session in list(entry.links.open.items()):
                if (min(name, peer), max(name, peer)) not in wanted:
                    del entry.links.open[peer]
                    session.closed = True
                    entry.links.on_close(cast(Session, session))
        for one, other in sorted(wanted):
            if other not in self.entries[one].links.open:
                self.open(one, other)
                self.open(other, one)

    def open(self, name: str, peer: str) -> None:
        entry, session = self.entries[name], SimSession(peer)
        entry.links.open[peer] = session
        entry.links.on_open(cast(Session, session))

    def deliver_hop(self) -> bool:
        """Deliver all queued messages; return whether there were any."""
        batches = []
        for name, entry in self.entries.items():
            for peer, session in entry.links.open.items():
                batches.append((name, peer, list(session.queue)))
                session.queue.clear()
        self.rng.shuffle(batches)
        delivered = 0
        for name, peer, frames in batches:
            receiver = self.entries[peer]
            reverse = receiver.links.open.get(name)
            for frame in frames if reverse is not None else ():
                delivered += 1
                for message in decode_batch(frame):
                    receiver.links.on_message(cast(Session, reverse), message)
        self.delivered += delivered
        return delivered > 0

    def run_steps(self, steps: int) -> None:
        for _ in range(steps):
            self.clock.advance(STEP_INTERVAL)
            self.reconcile_links()
            for entry in self.entries.values():
                entry.step()
            self.deliver_hop()

    def kill(self, name: str) -> None:
        entry = self.entries.pop(name)
        for peer in list(entry.links.open):
            other = self.entries[peer]
            session = other.links.open.pop(name)
            session.closed = True
            other.links.on_close(cast(Session, session))

    def restart(self, name: str) -> None:
        node = next(p for p in self.nodes if p.name == name)
        self.entries[name] = SimEntry(node, self.store, self.clock)

    def change(self, backend: str, state: EndpointState | None, is_restart: bool = False) -> None:
        """Change or remove a backend in the store."""
        self.revision += 1
        known = self.stored.get(backend)
        started = known.started if known is not None else 0
        if state is None:
            gone = self.stored.pop(backend, None)
            if gone is not None:
                self.history.append(BackendChange(gone, True, self.revision))
            return
        endpoint = Endpoint(
            backend,
            "ink",
            f"10.9.0.1:{backend}",
            "domain-0",
            3,
            state,
            self.revision,
            self.revision if is_restart else started,
        )
        self.stored[backend] = endpoint
        self.history.append(BackendChange(endpoint, False, self.revision))

    def apply_watch_events(self, name: str) -> None:
        """Apply the changes since the last watch or list to an entry that has a list."""
        entry = self.entries[name]
        if not entry.roster.is_known:
            return
        for change in self.history[entry.applied_changes :]:
            if change.gone:
                entry.roster.remove(change.endpoint.id, change.position)
            else:
                entry.roster.put(change.endpoint)
            entry.peers.announce_backend(change)
            entry.roster.advance_position(change.position)
        entry.applied_changes = len(self.history)

    def list_store(self, name: str) -> None:
        """Make an entry read the whole list, as at its start and after a failed watch."""
        entry = self.entries[name]
        entry.applied_changes = len(self.history)
        is_first = not entry.roster.is_known
        for change in entry.roster.merge_from_store(list(self.stored.values()), self.position):
            if not is_first:
                entry.peers.announce_backend(change)

    def expected(self) -> dict[str, tuple[int, str]]:
        return {e.id: (e.position, e.state.name) for e in self.stored.values()}


SETTLE_STEPS = 4 * SECOND // STEP_INTERVAL
