"""Exchange of load, configuration and backend state between direct entries.

Entries periodically send each other their requests in progress, the version of their
configuration and the position of their list of backends. Changes of a backend are sent
immediately. Every entry relays what is new to it, so that changes reach all connected
entries although each one has few links.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Hashable
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.crashes import CrashCase, CrashExchange, Quarantine, QuarantineNotes
from canvasyoke.direct._backend_exchange import BackendExchange
from canvasyoke.direct._backend_notices import SharedNotice
from canvasyoke.direct._budget import FleetRetryBudget
from canvasyoke.direct._demand_shares import DemandShares
from canvasyoke.direct._entry_notes import EntryNotes
from canvasyoke.direct._evacuation_exchange import EvacuationExchange
from canvasyoke.direct._group_exchange import GroupExchange
from canvasyoke.direct._known_backends import BackendChange
from canvasyoke.direct._load_news import to_hashable, to_peer_load, to_relayed
from canvasyoke.direct._load_schedule import LOAD_INTERVAL, MAX_INTERVAL, LoadSchedule
from canvasyoke.direct._notice_exchange import NoticeExchange
from canvasyoke.direct._roster import FleetView, Roster
from canvasyoke.direct._table_exchange import TableExchange
from canvasyoke.direct._table_follower import TableView
from canvasyoke.direct._waiting import WaitingRequests
from canvasyoke.membership import Node, OverlayLinks, WatcherElection, WatcherStatus
from canvasyoke.observe import part_logger
from canvasyoke.protocol import (
    BackendList,
    BackendListRequest,
    BackendUnresponsive,
    BackendUpdate,
    CrashList,
    CrashUpdate,
    EntryLoad,
    EvacuationList,
    GroupStateUpdate,
    GroupUpdate,
    Message,
    PaceUpdate,
    RelayedLoad,
    RelayedNotices,
    StoreWatcher,
    TableDocument,
    TableRequest,
)
from canvasyoke.state import (
    DirectSettings,
    FleetStore,
)
from canvasyoke.transport import Session

_log = part_logger("peers")
#: Milliseconds between load updates in a sparse overlay if nothing has changed; they also
#: relay the reports of the watcher election.
_MAX_RELAY_INTERVAL: Final = 300
#: Milliseconds after the start for which an entry waits until it knows what is quarantined.
_MAX_QUARANTINE_WAIT: Final = 3 * SECOND
_ROLE: Final = "direct"


class EntryPeers:
    """Exchanges state between this entry and its peers."""

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
        is_store_reachable: Callable[[], bool],
        waiting: WaitingRequests,
    ) -> None:
        self._own = Node(settings.instance, settings.peer, settings.domain)
        self._store = store
        self._view = view
        self._roster = roster
        self._budget = budget
        self._quarantine = quarantine
        self._quarantine_notes = QuarantineNotes(store, quarantine, clock)
        self._clock = clock
        self._started_at = clock.now()
        self._waiting = waiting
        self._stop = threading.Event()
        self._notes = EntryNotes(self._own, store, clock, rng)
        #: Other entries of the same failure domain, from the notes in the store.
        self._domain_peers: frozenset[str] = frozenset()
        self._domain_schedule = LoadSchedule(clock)
        self._remote_schedule = LoadSchedule(clock)
        self._links = OverlayLinks(
            self._own,
            _ROLE,
            incarnation,
            clock,
            rng,
            self._handle_message,
            self._handle_open,
            self._handle_close,
        )
        #: Decides whether this entry watches the store for its domain.
        self.election = WatcherElection(settings.instance, clock, is_store_reachable)
        self._tables = TableExchange(store, view, lambda: self.election.is_watching, clock)
        self._shares = DemandShares(budget.request_rate, clock)
        roster.set_share(self._shares.share)
        self._backends = BackendExchange(roster, self._broadcast, self._send_load_now, clock)
        #: Evacuated domains, and their exchange with the other entries.
        self.evacuations = EvacuationExchange(roster, self._broadcast, clock)
        #: States of rank groups.
        self.groups = GroupExchange(
            roster.group_states, lambda: self._links.is_mesh, self._broadcast
        )
        self._notice_exchange = NoticeExchange(roster, self._broadcast)
        self._crash_exchange = CrashExchange(quarantine, self._broadcast)
        #: Last result of the discovery, until the exchange thread takes it.
        self._discovered: list[Node] | None = None
        self._discovery_thread = threading.Thread(
            target=self._run_discovery, name="find-entries", daemon=True
        )
        self._thread = threading.Thread(target=self._run, name="peers", daemon=True)

    def start(self) -> None:
        """Start the discovery and the exchange."""
        self._discovery_thread.start()
        self._thread.start()

    @property
    def link_count(self) -> int:
        """Number of linked entries."""
        return self._links.link_count

    def is_watching(self) -> bool:
        """Return whether this entry watches the store for its domain."""
        return self.election.is_watching

    def knows_quarantine(self) -> bool:
        """Return whether this entry knows which requests are quarantined, as far as it can.

        They are in the store and at the other entries. Without an answer of either, an entry does
        not wait for long: most requests are not quarantined.
        """
        return (
            self._quarantine_notes.has_read
            or self.evacuations.has_heard_peer
            or self._clock.now() - self._started_at >= _MAX_QUARANTINE_WAIT
        )

    def announce_table(self) -> None:
        """Announce the version of the configuration in force."""
        self._send_load_now()

    def announce_backend(self, change: BackendChange) -> None:
        """Announce a change of a backend in the store."""
        self._backends.share(change)

    def announce_group(self, backend: str, group: str) -> None:
        """Announce the group of a backend."""
        self._broadcast(GroupUpdate(backend, group))

    def announce_pace(self, backend: str, pace: float) -> None:
        """Announce the pace of a backend."""
        self._broadcast(PaceUpdate(backend, pace))

    def announce_unresponsive(self, backend: str) -> None:
        """Announce that a backend does not respond."""
        self._broadcast(BackendUnresponsive(backend))

    def announce_notice(self, notice: SharedNotice) -> None:
        """Announce what a backend has reported about itself."""
        self._notice_exchange.share(notice)

    def announce_case(self, trait: str, case: CrashCase) -> None:
        """Announce a trait of requests during which backends have crashed."""
        self._crash_exchange.share(trait, case)

    def _run_discovery(self) -> None:
        """Poll the store for the other entries until stopped.

        Runs in its own thread, because a store that does not answer blocks each poll for
        seconds, and must not delay links and reports.
        """
        while not self._stop.wait(LOAD_INTERVAL / SECOND):
            self._discover()

    def _discover(self) -> None:
        era = self._roster.era
        nodes = self._notes.poll(self.link_count > 0, era)
        if nodes is not None:
            self._discovered = nodes
        self._quarantine_notes.sync(era)

    def _run(self) -> None:
        while not self._stop.wait(LOAD_INTERVAL / SECOND):
            self._update_links()
            self._update_watching()
            self._send_load()
            self._tables.request_newer()
            self._quarantine.refresh()

    def _update_links(self) -> None:
        """Apply the last result of the discovery and reconcile the links."""
        nodes, self._discovered = self._discovered, None
        if self._notes.link_key:
            self._links.listen(self._notes.link_key)
        if nodes is not None:
            self._links.set_nodes(nodes)
            self._domain_peers = frozenset(p.name for p in nodes if p.domain == self._own.domain)
            self._budget.entries = len(nodes) + 1
            self._shares.set_fleet(len(nodes) + 1, self._links.is_mesh)
            domains = {node.name: node.domain for node in [self._own, *nodes]}
            self._roster.set_fleet(
                FleetView(
                    len(nodes) + 1,
                    self._own.name,
                    self._domain_peers,
                    self._links.is_mesh,
                    domains,
                )
            )
            self.election.set_domain(self._domain_peers)
        self._links.reconcile()

    def _update_watching(self) -> None:
        local = [
            session for session in self._links.sessions() if session.peer in self._domain_peers
        ]
        was_watching = self.election.is_watching
        if self.election.decide(bool(local), self._links.is_mesh) != was_watching:
            _log.info("watches the store" if not was_watching else "leaves the store to others")

    def _handle_open(self, session: Session) -> None:
        _log.info("linked", peer=session.peer, incarnation=session.incarnation)
        # Both before the first report, after which a peer admits requests.
        self.evacuations.handle_open(session)
        self._crash_exchange.handle_open(session)
        session.send(self._build_load(is_local=session.peer in self._domain_peers, relayed=[]))
        self._notice_exchange.handle_open(session)

    def _handle_close(self, session: Session) -> None:
        self._backends.handle_close(session)
        if self._links.is_mesh:
            self._roster.remove_peer(session.peer)
        _log.info("link lost", peer=session.peer)

    def _handle_message(self, session: Session, message: Message) -> None:
        match message:
            case EntryLoad():
                self._handle_load(session, message)
            case TableRequest():
                self._tables.send(session, message.version)
            case BackendListRequest():
                session.send(self._backends.snapshot())
            case TableDocument():
                self._tables.adopt(session, message)
            case BackendUpdate():
                self._backends.receive_news(session, message)
            case BackendList():
                self._backends.receive_list(session, message)
            case GroupUpdate():
                if self._roster.learn_group(message.backend, message.group):
                    self._broadcast(message, exclude=session)
            case GroupStateUpdate():
                self.groups.receive(session, message)
            case PaceUpdate():
                if self._roster.learn_pace(message.backend, message.pace):
                    self._broadcast(message, exclude=session)
            case BackendUnresponsive():
                if self._roster.mark_unresponsive(message.backend):
                    self._broadcast(message, exclude=session)
            case RelayedNotices():
                self._notice_exchange.receive(session, message)
            case EvacuationList():
                self.evacuations.receive(session, message)
            case CrashUpdate() | CrashList():
                self._crash_exchange.receive(message)
            case _:
                _log.warning("unexpected message", peer=session.peer, kind=type(message).__name__)

    def _handle_load(self, session: Session, load: EntryLoad) -> None:
        self.evacuations.record_report()
        if load.demands:
            self._shares.report_demand(session.peer, load.demands)
        if self._links.is_mesh or session.peer in self._domain_peers:
            self._roster.update_peer_load(session.peer, to_peer_load(load))
        for relayed in load.relayed:
            if relayed.entry != self._own.name:
                self._roster.update_peer_load(relayed.entry, to_peer_load(relayed))
        self._waiting.on_change()
        self.election.receive([WatcherStatus(w.name, w.age, w.is_lost) for w in load.watchers])
        self._tables.observe_version(load.config_version, session)
        self._backends.receive_position(load.backends_revision, load.backends_age, session)

    def _build_load(self, is_local: bool, relayed: list[RelayedLoad]) -> EntryLoad:
        """Return the update for entries of this domain, or of others if not ``is_local``."""
        includes_load = is_local or self._links.is_mesh
        watchers = (
            [StoreWatcher(c.name, c.age, c.is_lost) for c in self.election.statuses()]
            if is_local
            else []
        )
        return EntryLoad(
            config_version=self._view.current.version,
            under_way=self._roster.own_load() if includes_load else {},
            told_at=self._clock.now(),
            backends_revision=self._roster.position,
            backends_age=self._roster.list_age,
            watchers=watchers,
            demands=self._demands(),
            relayed=relayed,
            waiting=self._waiting.waiting() if includes_load else {},
        )

    def _demands(self) -> dict[str, float]:
        """Return the demand by service while a backend has a rate limit."""
        if not (self._links.is_mesh and self._roster.has_limits):
            return {}
        return {service: self._budget.request_rate(service) for service in self._roster.services()}

    def _send_load_now(self) -> None:
        self._domain_schedule.reset()
        self._remote_schedule.reset()
        self._send_load()

    def _send_load(self) -> None:
        """Send the load where it is due; more often within the domain than to others."""
        sessions = self._links.sessions()
        local = [session for session in sessions if session.peer in self._domain_peers]
        remote = [session for session in sessions if session.peer not in self._domain_peers]
        is_mesh = self._links.is_mesh
        max_interval = MAX_INTERVAL if is_mesh else _MAX_RELAY_INTERVAL
        if self._domain_schedule.is_due(self._load_state(True), len(local) + 1, max_interval):
            relayed = [] if is_mesh else self._unrelayed()
            load = self._build_load(is_local=True, relayed=relayed)
            for session in local:
                session.send(load)
        if self._remote_schedule.is_due(self._load_state(is_mesh), len(sessions) + 1):
            load = self._build_load(is_local=False, relayed=[])
            for session in remote:
                session.send(load)

    def _load_state(self, includes_load: bool) -> Hashable:
        load: Hashable = ()
        if includes_load:
            load = to_hashable(self._roster.own_load(), self._waiting.waiting())
        has_limits = self._roster.has_limits
        return self._view.current.version, self._roster.position, load, has_limits

    def _unrelayed(self) -> list[RelayedLoad]:
        return to_relayed(self._roster.unrelayed_loads())

    def _broadcast(self, message: Message, exclude: Session | None = None) -> None:
        for session in self._links.sessions():
            if session is not exclude:
                session.send(message)
