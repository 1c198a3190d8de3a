"""What direct entries tell each other: load, configuration, news of backends.

Each entry learns of the others from the store when it starts and links with them; one
that comes later links with those before it. Over the links go, several times a second,
each entry's requests under way and the version of its configuration, so that all choose
backends by the same picture; and at once what one of them learns of a backend.

A configuration is large, and mostly all entries have it from the store at the same
moment. So only its version is told, and an entry that the store does not serve asks one
of the others for it. All backends are sent on request only, too.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from typing import Final

import msgspec

from canvasyoke._clock import SECOND, Clock
from canvasyoke.direct._budget import FleetRetryBudget
from canvasyoke.direct._follower import TableView
from canvasyoke.direct._roster import Roster
from canvasyoke.direct._telling import TELL_EVERY, Telling
from canvasyoke.observe import part_logger
from canvasyoke.protocol import (
    BackendNews,
    BackendsWanted,
    EntryLoad,
    Message,
    TableDocument,
    TableWanted,
)
from canvasyoke.state import (
    DirectSettings,
    Endpoint,
    EndpointState,
    FleetStore,
    Note,
    Unusable,
    read_link_key,
)
from canvasyoke.transport import LinkClient, LinkServer, Session

_log = part_logger("peers")
#: Milliseconds that an entry waits for the store after another one told of a newer
#: configuration, and until it asks a second one for it.
_STORE_FIRST: Final = 150
_ASK_AGAIN: Final = 500
#: Milliseconds between looks into the store while there is something to find there.
_LOOK_EVERY: Final = 1 * SECOND
#: Milliseconds between looks for entries that have come to be without being told of.
_LOOK_AGAIN_EVERY: Final = 15 * SECOND
#: Milliseconds without a link after which an entry is no longer dialled: it was replaced.
_FORGET_AFTER: Final = 30 * SECOND
_KIND: Final = "entries"
_KEY_NAME: Final = "entries"
_ROLE: Final = "direct"


class _EntryNote(msgspec.Struct, frozen=True):
    """Where an entry listens for the others."""

    peer: str
    #: Failure domain of the entry; empty in notes of older ones.
    domain: str = ""


class EntryPeers:
    """The links of one entry to all others."""

    def __init__(
        self,
        settings: DirectSettings,
        store: FleetStore,
        incarnation: str,
        view: TableView,
        roster: Roster,
        budget: FleetRetryBudget,
        clock: Clock,
        rng: random.Random,
        lacks_backends: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._store = store
        #: Tells whether the store is no help now for the list of backends.
        self._lacks_backends = lacks_backends
        #: The newest configuration that another entry told of, by whom, and when.
        self._newer: tuple[int, Session, int] | None = None
        self._asked_at = -_ASK_AGAIN
        self._incarnation = incarnation
        self._view = view
        self._roster = roster
        self._budget = budget
        self._clock = clock
        self._rng = rng
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._sessions: dict[str, Session] = {}
        self._clients: dict[str, LinkClient] = {}
        self._dialled_at: dict[str, int] = {}
        self._link_key = b""
        self._noted = False
        self._looked_at = -_LOOK_EVERY
        #: Entries whose failure domain is this one's, as the store's notes say.
        self._near: frozenset[str] = frozenset()
        self._tell_near = Telling(clock)
        self._tell_far = Telling(clock)
        self._server: LinkServer | None = None
        self._task = threading.Thread(target=self._run, name="peers", daemon=True)

    def start(self) -> None:
        """Start finding and telling the others."""
        self._task.start()

    @property
    def linked(self) -> int:
        """Return the number of entries linked with."""
        with self._lock:
            return sum(1 for session in self._sessions.values() if not session.closed)

    def tell_table(self) -> None:
        """Tell at once which configuration is in force."""
        self._tell_near.forget()
        self._tell_far.forget()
        self._tell_load()

    def tell_backend(self, endpoint: Endpoint, gone: bool, revision: int) -> None:
        """Pass on what the store said of a backend."""
        self._tell_all(_news(endpoint, gone, revision))

    def _run(self) -> None:
        while not self._stop.wait(TELL_EVERY / SECOND):
            self._look()
            self._tell_load()
            self._ask_for_table()

    def _look(self) -> None:
        """Find the other entries in the store, and see that they can find this one."""
        now = self._clock.now()
        pause = _LOOK_AGAIN_EVERY if self._noted and self.linked else _LOOK_EVERY
        if now - self._looked_at < pause:
            return
        self._looked_at = now
        if not self._link_key:
            self._link_key = read_link_key(self._store, _KEY_NAME)
        if not self._link_key:
            return
        if self._server is None:
            self._listen()
        if not self._noted:
            body = msgspec.json.encode(_EntryNote(self._settings.peer, self._settings.domain))
            note = self._store.put_note(_KIND, self._settings.instance, body)
            self._noted = isinstance(note, Note)
        self._dial_listed()

    def _dial_listed(self) -> None:
        notes = self._store.notes(_KIND)
        if not isinstance(notes, list):
            return
        others = [note for note in notes if note.name != self._settings.instance]
        self._budget.entries = max(1, len(notes))
        places = {n.name: msgspec.json.decode(n.body, type=_EntryNote) for n in others}
        self._near = frozenset(n for n, p in places.items() if p.domain == self._settings.domain)
        for name, place in places.items():
            if not self._is_linked(name):
                self._dial(name, place.peer)
        self._forget_lost()

    def _is_linked(self, instance: str) -> bool:
        with self._lock:
            session = self._sessions.get(instance)
        return session is not None and not session.closed

    def _listen(self) -> None:
        self._server = LinkServer(
            self._settings.peer,
            self._link_key,
            self._settings.instance,
            self._incarnation,
            self._clock,
            self._took,
            self._opened,
            self._closed,
        )
        self._server.start()

    def _dial(self, instance: str, address: str) -> None:
        client = self._clients.get(instance)
        if client is not None:
            if client.address == address:
                return
            client.stop()
        client = LinkClient(
            address,
            self._link_key,
            _ROLE,
            self._settings.instance,
            self._incarnation,
            self._clock,
            self._rng,
            self._took,
            self._opened,
            self._closed,
        )
        self._clients[instance] = client
        self._dialled_at[instance] = self._clock.now()
        client.start()

    def _forget_lost(self) -> None:
        """Stop dialling entries that have been away for long; a new look finds them again."""
        now = self._clock.now()
        for instance in list(self._clients):
            if self._is_linked(instance):
                self._dialled_at[instance] = now
            elif now - self._dialled_at[instance] > _FORGET_AFTER:
                self._clients.pop(instance).stop()

    def _opened(self, session: Session) -> None:
        with self._lock:
            self._sessions[session.peer] = session
        _log.info("linked", peer=session.peer, incarnation=session.incarnation)
        session.send(EntryLoad(self._view.current.version, self._roster.own_load()))
        if self._lacks_backends():
            session.send(BackendsWanted())

    def _closed(self, session: Session) -> None:
        with self._lock:
            if self._sessions.get(session.peer) is session:
                del self._sessions[session.peer]
        self._roster.peer_left(session.peer)
        _log.info("link lost", peer=session.peer)

    def _took(self, session: Session, message: Message) -> None:
        match message:
            case EntryLoad():
                self._roster.peer_load(session.peer, message.under_way)
                self._heard_of(message.config_version, session)
            case TableWanted():
                self._send_table(session, message.version)
            case BackendsWanted():
                for endpoint in self._roster.endpoints():
                    session.send(_news(endpoint, False, endpoint.revision))
            case TableDocument():
                self._take_table(session, message)
            case BackendNews():
                self._take_news(session, message)
            case _:
                _log.warning("unexpected message", peer=session.peer, kind=type(message).__name__)

    def _take_table(self, session: Session, message: TableDocument) -> None:
        if message.version <= self._view.current.version:
            return
        table = self._store.parse_table(message.document)
        if isinstance(table, Unusable):
            _log.warning("configuration not taken", peer=session.peer, cause=table.detail)
            return
        self._view.adopt(table, message.document, f"peer {session.peer}")

    def _take_news(self, session: Session, news: BackendNews) -> None:
        endpoint = Endpoint(
            id=news.id,
            service=news.service,
            address=news.address,
            domain=news.domain,
            slots=news.slots,
            state=EndpointState.LEAVING if news.leaving else EndpointState.READY,
            revision=news.revision,
        )
        if self._roster.hear(endpoint, news.gone):
            _log.info(
                "backend news",
                backend=news.id,
                gone=news.gone,
                leaving=news.leaving,
                revision=news.revision,
                peer=session.peer,
            )

    def _heard_of(self, version: int, session: Session) -> None:
        """Take note of the version that another entry follows."""
        if version <= self._view.current.version:
            return
        newer = self._newer
        if newer is None or newer[0] < version:
            self._newer = (version, session, self._clock.now())
        elif newer[1].closed or self._asked_at >= newer[2]:
            self._newer = (version, session, newer[2])  # ask this one next

    def _ask_for_table(self) -> None:
        """Ask for a newer configuration that the store has not brought."""
        newer, now = self._newer, self._clock.now()
        if newer is None:
            return
        version, session, heard_at = newer
        current = self._view.current.version
        if version <= current:
            self._newer = None
            return
        store_first = _STORE_FIRST if current else 0
        if now - heard_at >= store_first and now - self._asked_at >= _ASK_AGAIN:
            self._asked_at = now
            session.send(TableWanted(current))

    def _send_table(self, session: Session, version: int) -> None:
        table, document = self._view.current, self._view.document
        if document and table.version > version:
            session.send(TableDocument(table.version, document))

    def _tell_load(self) -> None:
        """Tell the load to those for whom it is due, the own domain's entries more often."""
        load = EntryLoad(self._view.current.version, self._roster.own_load())
        with self._lock:
            sessions = list(self._sessions.values())
        near = [session for session in sessions if session.peer in self._near]
        far = [session for session in sessions if session.peer not in self._near]
        for telling, told, entries in (
            (self._tell_near, near, len(near) + 1),
            (self._tell_far, far, len(sessions) + 1),
        ):
            if telling.is_due(load, entries):
                for session in told:
                    session.send(load)

    def _tell_all(self, message: Message) -> None:
        with self._lock:
            sessions = list(self._sessions.values())
        for session in sessions:
            session.send(message)


def _news(endpoint: Endpoint, gone: bool, revision: int) -> BackendNews:
    return BackendNews(
        id=endpoint.id,
        service=endpoint.service,
        address=endpoint.address,
        domain=endpoint.domain,
        slots=endpoint.slots,
        leaving=endpoint.state is EndpointState.LEAVING,
        gone=gone,
        revision=revision,
    )
