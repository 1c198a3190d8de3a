"""Entries that tell each other what they know, over links of a simulated network."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable
from typing import cast

import msgspec

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._known_backends import BackendChange
from canvasyoke.direct._peers import EntryPeers
from canvasyoke.direct._quarantine import Quarantine
from canvasyoke.direct._roster import Roster
from canvasyoke.direct._table_follower import TableView
from canvasyoke.membership import Place, choose_dials, is_mesh
from canvasyoke.protocol import Message, decode_batch, encode_batch
from canvasyoke.state import DirectSettings, Endpoint, EndpointState, FleetStore, Note
from canvasyoke.transport import Session

#: Milliseconds between turns of an entry.
TURN = 150


class SimSession:
    """One end of a link; what is sent waits until the network carries it."""

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.incarnation = "i"
        self.closed = False
        self.queue: deque[bytes] = deque()

    def send(self, message: Message) -> None:
        if not self.closed:
            self.queue.append(encode_batch([message]))


class SimLinks:
    """Stands in for the overlay's links of one entry."""

    def __init__(
        self,
        own: Place,
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
        self.places: list[Place] = []
        self.open: dict[str, SimSession] = {}

    @property
    def is_mesh(self) -> bool:
        return is_mesh(len(self.places) + 1)

    @property
    def linked(self) -> int:
        return len(self.open)

    def sessions(self) -> list[Session]:
        return [cast(Session, session) for session in self.open.values()]

    def listen(self, _key: bytes) -> None:
        pass

    def set_places(self, others: Iterable[Place]) -> None:
        self.places = list(others)

    def look(self) -> None:
        pass  # the network decides on links


class SimStore:
    """The notes of all entries."""

    def __init__(self, places: list[Place]) -> None:
        bodies = {p.name: {"peer": p.address, "domain": p.domain} for p in places}
        self.other_notes: list[Note] = []
        self.notes_now = [Note(n, 1, msgspec.json.encode(b)) for n, b in bodies.items()]

    def notes(self, kind: str, may_be_old: bool = False) -> list[Note]:
        return self.notes_now if kind == "entries" else self.other_notes

    def create_note(self, _kind: str, name: str, _body: bytes) -> Note:
        return Note(name, 1, msgspec.json.encode("ab" * 32))

    put_note = create_note


class SimEntry:
    """One entry: what it knows, and its exchange with the others."""

    def __init__(self, place: Place, store: SimStore, clock: ManualClock) -> None:
        rng = random.Random(place.name)
        self.place = place
        self.roster = Roster(place.domain, clock, rng)
        settings = DirectSettings(
            instance=place.name,
            domain=place.domain,
            http="10.0.0.1:1",
            ready="10.0.0.1:2",
            peer=place.address,
            metrics="10.0.0.1:3",
            store="10.0.0.1:4",
            adapter="objects",
        )
        #: Changes of the store's history that its own watch has brought.
        self.watched = 0
        self.quarantine = Quarantine(clock, lambda name, case: self.peers.tell_case(name, case))
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
        )

    @property
    def links(self) -> SimLinks:
        return cast(SimLinks, self.peers._links)

    def turn(self) -> None:
        self.peers._find()
        self.peers._look()
        self.peers._decide_to_watch()
        self.peers._tell_load()
        self.quarantine.refresh()

    def knows(self) -> dict[str, tuple[int, str]]:
        return {e.id: (e.position, e.state.name) for e in self.roster.endpoints()}


class SimFleet:
    """All entries, the links between them, and the store's true list."""

    def __init__(self, sizes: tuple[int, ...], seed: int = 1) -> None:
        self.clock = ManualClock(start=10_000)
        self.rng = random.Random(seed)
        self.places = [
            Place(f"front-{d}-{n}", f"10.{d}.0.{n}:7340", f"domain-{d}")
            for d, size in enumerate(sizes)
            for n in range(size)
        ]
        self.store = SimStore(self.places)
        self.revision = 1
        self.truth: dict[str, Endpoint] = {}
        #: Every change that the store has told of, in order.
        self.history: list[BackendChange] = []
        self.entries = {p.name: SimEntry(p, self.store, self.clock) for p in self.places}
        #: Domains that are cut from the rest.
        self.cut: set[str] = set()
        #: Messages carried, and those lost with a link.
        self.carried = 0

    @property
    def at(self) -> int:
        """Return the store's position now."""
        return self.revision

    def in_touch(self, one: Place, other: Place) -> bool:
        return one.domain == other.domain or not {one.domain, other.domain} & self.cut

    def wanted(self) -> set[tuple[str, str]]:
        """Return the pairs that are to be linked."""
        pairs = set()
        living = [e.place for e in self.entries.values()]
        for place in living:
            others = [p for p in living if p is not place and self.in_touch(place, p)]
            for name in choose_dials(place, others):
                pairs.add((min(place.name, name), max(place.name, name)))
        return pairs

    def keep_links(self) -> None:
        """Open the links that are missing, and close those that were cut."""
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

    def carry(self) -> bool:
        """Carry what waits on all links one hop; false when nothing did."""
        loads = []
        for name, entry in self.entries.items():
            for peer, session in entry.links.open.items():
                loads.append((name, peer, list(session.queue)))
                session.queue.clear()
        self.rng.shuffle(loads)
        carried = 0
        for name, peer, frames in loads:
            to = self.entries[peer]
            back = to.links.open.get(name)
            for frame in frames if back is not None else ():
                carried += 1
                for message in decode_batch(frame):
                    to.links.on_message(cast(Session, back), message)
        self.carried += carried
        return carried > 0

    def pass_turns(self, turns: int) -> None:
        for _ in range(turns):
            self.clock.advance(TURN)
            self.keep_links()
            for entry in self.entries.values():
                entry.turn()
            self.carry()

    def kill(self, name: str) -> None:
        entry = self.entries.pop(name)
        for peer in list(entry.links.open):
            other = self.entries[peer]
            session = other.links.open.pop(name)
            session.closed = True
            other.links.on_close(cast(Session, session))

    def restart(self, name: str) -> None:
        place = next(p for p in self.places if p.name == name)
        self.entries[name] = SimEntry(place, self.store, self.clock)

    def change(self, backend: str, state: EndpointState | None, starts_again: bool = False) -> None:
        """Change a backend in the store; it may have started again under its name."""
        self.revision += 1
        known = self.truth.get(backend)
        started = known.started if known is not None else 0
        if state is None:
            gone = self.truth.pop(backend, None)
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
            self.revision if starts_again else started,
        )
        self.truth[backend] = endpoint
        self.history.append(BackendChange(endpoint, False, self.revision))

    def watch_at(self, name: str) -> None:
        """Bring an entry what the store has told of since it watched or listed last."""
        entry = self.entries[name]
        if not entry.roster.is_known:
            return
        for change in self.history[entry.watched :]:
            if change.gone:
                entry.roster.remove(change.endpoint.id, change.position)
            else:
                entry.roster.put(change.endpoint)
            entry.peers.tell_backend(change)
            entry.roster.advance_position(change.position)
        entry.watched = len(self.history)

    def list_at(self, name: str) -> None:
        """Have an entry read the whole list, as it does when it starts or watches anew."""
        entry = self.entries[name]
        entry.watched = len(self.history)
        is_first = not entry.roster.is_known
        for change in entry.roster.merge_from_store(list(self.truth.values()), self.at):
            if not is_first:
                entry.peers.tell_backend(change)

    def expected(self) -> dict[str, tuple[int, str]]:
        return {e.id: (e.position, e.state.name) for e in self.truth.values()}


SETTLE_TURNS = 4 * SECOND // TURN
