"""What direct entries tell each other: load, configuration, news of backends.

Over the links of the overlay go, several times a second, each entry's requests under way,
the version of its configuration, and how much it knows of the backends; and at once what
one of them learns of a backend. Whoever learns something new passes it on, so that it
reaches all that are in touch although each has few links.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Hashable
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.direct._backend_exchange import BackendExchange
from canvasyoke.direct._backend_news import to_crash_news
from canvasyoke.direct._backend_notices import SharedNotice
from canvasyoke.direct._budget import FleetRetryBudget
from canvasyoke.direct._crash_cases import CrashCase
from canvasyoke.direct._demand_shares import DemandShares
from canvasyoke.direct._entry_notes import EntryNotes
from canvasyoke.direct._known_backends import BackendChange
from canvasyoke.direct._notice_exchange import NoticeExchange
from canvasyoke.direct._peer_loads import ToldLoad
from canvasyoke.direct._quarantine import Quarantine
from canvasyoke.direct._quarantine_notes import QuarantineNotes
from canvasyoke.direct._roster import FleetView, Roster
from canvasyoke.direct._table_exchange import TableExchange
from canvasyoke.direct._table_follower import TableView
from canvasyoke.direct._telling import AT_LEAST, TELL_EVERY, Telling
from canvasyoke.membership import OverlayLinks, Place, StoreContact, WatchRota
from canvasyoke.observe import part_logger
from canvasyoke.protocol import (
    BackendList,
    BackendNews,
    BackendsWanted,
    BackendWords,
    CrashList,
    CrashNews,
    EntryLoad,
    GroupNews,
    Message,
    PaceNews,
    RelayedLoad,
    SilenceNews,
    StoreWatcher,
    TableDocument,
    TableWanted,
)
from canvasyoke.state import (
    DirectSettings,
    FleetStore,
)
from canvasyoke.transport import Session

_log = part_logger("peers")
#: Milliseconds between tellings in an overlay even if nothing is new: word of who watches
#: the store goes from neighbour to neighbour with them.
_RELAY_AT_LEAST: Final = 300
_ROLE: Final = "direct"


class EntryPeers:
    """The exchange of one entry with the others."""

    def __init__(
        self,
        settings: DirectSettings,
        store: FleetStore,
        incarnation: str,
        view: TableView,
        roster: Roster,
        budget: FleetRetryBudget,
        quarantine: Quarantine,
        clock: Clock,
        rng: random.Random,
        in_contact: Callable[[], bool],
    ) -> None:
        self._own = Place(settings.instance, settings.peer, settings.domain)
        self._store = store
        self._view = view
        self._roster = roster
        self._budget = budget
        self._quarantine = quarantine
        self._quarantine_notes = QuarantineNotes(store, quarantine, clock)
        self._clock = clock
        self._stop = threading.Event()
        self._notes = EntryNotes(self._own, store, clock, rng)
        #: Entries of the own failure domain, as the store's notes say.
        self._near: frozenset[str] = frozenset()
        self._tell_near = Telling(clock)
        self._tell_far = Telling(clock)
        self._links = OverlayLinks(
            self._own, _ROLE, incarnation, clock, rng, self._took, self._opened, self._closed
        )
        #: Whether this entry watches the store for its domain.
        self.rota = WatchRota(settings.instance, clock, in_contact)
        self._tables = TableExchange(store, view, lambda: self.rota.is_watching, clock)
        self._shares = DemandShares(budget.demand, clock)
        roster.set_share(self._shares.share)
        self._backends = BackendExchange(roster, self._tell_all, self._tell_now, clock)
        self._words = NoticeExchange(roster, self._tell_all)
        #: Where the other entries are, until the task that keeps the links takes it.
        self._found: list[Place] | None = None
        self._finder = threading.Thread(target=self._find_all, name="find-entries", daemon=True)
        self._task = threading.Thread(target=self._run, name="peers", daemon=True)

    def start(self) -> None:
        """Start finding and telling the others."""
        self._finder.start()
        self._task.start()

    @property
    def linked(self) -> int:
        """Return the number of entries linked with."""
        return self._links.linked

    def is_watching(self) -> bool:
        """Tell whether this entry watches the store for its domain."""
        return self.rota.is_watching

    def tell_table(self) -> None:
        """Tell at once which configuration is in force."""
        self._tell_now()

    def tell_backend(self, change: BackendChange) -> None:
        """Pass on what the store said of a backend."""
        self._backends.share(change)

    def tell_group(self, backend: str, group: str) -> None:
        """Pass on which group a backend belongs to."""
        self._tell_all(GroupNews(backend, group))

    def tell_pace(self, backend: str, pace: float) -> None:
        """Pass on how long a backend takes for its work."""
        self._tell_all(PaceNews(backend, pace))

    def tell_silence(self, backend: str) -> None:
        """Pass on that a backend says nothing."""
        self._tell_all(SilenceNews(backend))

    def tell_word(self, told: SharedNotice) -> None:
        """Pass on what a backend has said of itself."""
        self._words.share(told)

    def tell_case(self, fingerprint: str, case: CrashCase) -> None:
        """Pass on what is known against a request under which backends have ended."""
        self._tell_all(to_crash_news(fingerprint, case))

    def _find_all(self) -> None:
        """Look for the other entries, apart from all that must not wait for the store.

        A store that is dark takes two seconds a look; links and word of who watches the
        store would stand still with it.
        """
        while not self._stop.wait(TELL_EVERY / SECOND):
            self._find()

    def _find(self) -> None:
        era = self._roster.era
        places = self._notes.look(self.linked > 0, era)
        if places is not None:
            self._found = places
        self._quarantine_notes.look(era)

    def _run(self) -> None:
        while not self._stop.wait(TELL_EVERY / SECOND):
            self._look()
            self._decide_to_watch()
            self._tell_load()
            self._tables.ask()
            self._quarantine.look()

    def _look(self) -> None:
        """Keep the links that the overlay asks for among the entries that were found."""
        places, self._found = self._found, None
        if self._notes.link_key:
            self._links.listen(self._notes.link_key)
        if places is not None:
            self._links.set_places(places)
            self._near = frozenset(p.name for p in places if p.domain == self._own.domain)
            self._budget.entries = len(places) + 1
            self._shares.set_fleet(len(places) + 1, self._links.is_mesh)
            self._roster.set_fleet(
                FleetView(len(places) + 1, self._own.name, self._near, self._links.is_mesh)
            )
            self.rota.set_domain(self._near)
        self._links.look()

    def _decide_to_watch(self) -> None:
        near = [session for session in self._links.sessions() if session.peer in self._near]
        watched = self.rota.is_watching
        if self.rota.decide(bool(near), self._links.is_mesh) != watched:
            _log.info("watches the store" if not watched else "leaves the store to others")

    def _opened(self, session: Session) -> None:
        _log.info("linked", peer=session.peer, incarnation=session.incarnation)
        session.send(self._load(is_near=session.peer in self._near, relayed=[]))
        self._words.opened(session)
        cases = self._quarantine.cases()
        if cases:
            session.send(CrashList([to_crash_news(name, case) for name, case in cases.items()]))

    def _closed(self, session: Session) -> None:
        self._backends.closed(session)
        if self._links.is_mesh:
            self._roster.peer_left(session.peer)
        _log.info("link lost", peer=session.peer)

    def _took(self, session: Session, message: Message) -> None:
        match message:
            case EntryLoad():
                self._took_load(session, message)
            case TableWanted():
                self._tables.send(session, message.version)
            case BackendsWanted():
                session.send(self._backends.snapshot())
            case TableDocument():
                self._tables.adopt(session, message)
            case BackendNews():
                self._backends.receive_news(session, message)
            case BackendList():
                self._backends.receive_list(session, message)
            case GroupNews():
                if self._roster.learn_group(message.backend, message.group):
                    self._tell_all(message, but=session)
            case PaceNews():
                if self._roster.learn_pace(message.backend, message.pace):
                    self._tell_all(message, but=session)
            case SilenceNews():
                if self._roster.fell_silent(message.backend):
                    self._tell_all(message, but=session)
            case BackendWords():
                self._words.receive(session, message)
            case CrashNews():
                self._take_case(message)
            case CrashList():
                for news in message.cases:
                    self._take_case(news)
            case _:
                _log.warning("unexpected message", peer=session.peer, kind=type(message).__name__)

    def _take_case(self, news: CrashNews) -> None:
        case = CrashCase(news.cleared, frozenset(news.runs), news.is_blamed)
        self._quarantine.hear(news.fingerprint, case)

    def _took_load(self, session: Session, load: EntryLoad) -> None:
        if load.demands:
            self._shares.report_demand(session.peer, load.demands)
        if self._links.is_mesh or session.peer in self._near:
            self._roster.peer_load(session.peer, ToldLoad(load.told_at, load.under_way))
        for relayed in load.relayed:
            if relayed.entry != self._own.name:
                told = ToldLoad(relayed.told_at, relayed.under_way)
                self._roster.peer_load(relayed.entry, told)
        self.rota.hear([StoreContact(w.name, w.age, w.is_lost) for w in load.watchers])
        self._tables.heard_of(load.config_version, session)
        self._backends.peer_knows_up_to(load.backends_revision, load.backends_age, session)

    def _load(self, is_near: bool, relayed: list[RelayedLoad]) -> EntryLoad:
        """Return what to tell an entry of the own domain, or of another one."""
        tells_load = is_near or self._links.is_mesh
        watchers = (
            [StoreWatcher(c.name, c.age, c.is_lost) for c in self.rota.tell()] if is_near else []
        )
        return EntryLoad(
            config_version=self._view.current.version,
            under_way=self._roster.own_load() if tells_load else {},
            told_at=self._clock.now(),
            backends_revision=self._roster.position,
            backends_age=self._roster.list_age,
            watchers=watchers,
            demands=self._demands(),
            relayed=relayed,
        )

    def _demands(self) -> dict[str, float]:
        """Return what callers ask here, while a backend limits what all entries may send."""
        if not (self._links.is_mesh and self._roster.has_limits):
            return {}
        return {service: self._budget.demand(service) for service in self._roster.services()}

    def _tell_now(self) -> None:
        self._tell_near.forget()
        self._tell_far.forget()
        self._tell_load()

    def _tell_load(self) -> None:
        """Tell the load to those for whom it is due, the own domain's entries more often."""
        sessions = self._links.sessions()
        near = [session for session in sessions if session.peer in self._near]
        far = [session for session in sessions if session.peer not in self._near]
        is_mesh = self._links.is_mesh
        at_least = AT_LEAST if is_mesh else _RELAY_AT_LEAST
        if self._tell_near.is_due(self._what_is_new(True), len(near) + 1, at_least):
            relayed = [] if is_mesh else self._unrelayed()
            load = self._load(is_near=True, relayed=relayed)
            for session in near:
                session.send(load)
        if self._tell_far.is_due(self._what_is_new(is_mesh), len(sessions) + 1):
            load = self._load(is_near=False, relayed=[])
            for session in far:
                session.send(load)

    def _what_is_new(self, with_load: bool) -> Hashable:
        under_way = tuple(sorted(self._roster.own_load().items())) if with_load else ()
        has_limits = self._roster.has_limits
        return self._view.current.version, self._roster.position, under_way, has_limits

    def _unrelayed(self) -> list[RelayedLoad]:
        return [
            RelayedLoad(entry, load.told_at, dict(load.under_way))
            for entry, load in self._roster.unrelayed_loads().items()
        ]

    def _tell_all(self, message: Message, but: Session | None = None) -> None:
        for session in self._links.sessions():
            if session is not but:
                session.send(message)
