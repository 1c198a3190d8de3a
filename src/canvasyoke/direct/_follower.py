"""Keeps an entry's configuration and list of backends up to date from the store.

Two tasks, one for each kind of object: list once, then watch from the revision of the
list while this entry watches for its domain; others hear of changes from it. A watch that
was cut begins with a new list, which is compared and not taken for a loss: the store can
lose events before it cuts its watches and forgets its history, and a watch that goes on
from before hears of that only with the next event.
"""

from __future__ import annotations

import random
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.direct._known_backends import BackendChange
from canvasyoke.direct._roster import Roster
from canvasyoke.direct._store_return import RETURN_TIME
from canvasyoke.observe import part_logger
from canvasyoke.state import (
    CALL_PATIENCE,
    Endpoint,
    EndpointChanges,
    EndpointGone,
    EndpointList,
    EndpointsSeen,
    FleetStore,
    HistoryGone,
    NothingNew,
    RoutingTable,
    StorePosition,
    TableRead,
    TableSeen,
    Unavailable,
    Unusable,
    era_of,
    revision_of,
)

_log = part_logger("store")
#: Milliseconds that a watch waits. Each watch is a call that the store counts; a longer
#: one leaves a connection that has gone silent believed for longer. All entries begin
#: their watches together, since the same news ends them, so none can tell the others: at
#: 5 s, given up after 2 s more, a leaving stayed unknown to all of them for 7 s.
_WATCH: Final = 1_800
#: Milliseconds between looks of an entry that does not watch at whether it is to.
_IDLE: Final = 100
#: Milliseconds between calls that fail, doubled from the first to the second.
_BACKOFF_START: Final = 50
_BACKOFF_LIMIT: Final = 500
#: Milliseconds between two watches without news, should the store end them at once.
_PAUSE: Final = 20
#: Milliseconds between news and the next watch. Each watch that wakes is a call that the
#: platform prices, and news come in series: all backends write their entries when they
#: start. Nothing that follows has to be known sooner.
_PAUSE_AFTER_NEWS: Final = 120
#: Least patience in milliseconds with a call while the store is lost; the most is
#: ``CALL_PATIENCE``. It is drawn for each call: entries that lost the store together would
#: all find it again up to 2 s after its return, since a call that was begun before gets no
#: answer, and hold removals for as long again as they were late. What the first of them
#: learns it tells the others. In simulated outages of seven entries the first was up to
#: 2,145 ms late with 2 s for each call, and up to 1,149 ms with this.
_LEAST_PATIENCE: Final = 400
#: Backends that must be missing from a list at once, and their part of all known, for
#: their entries to have lapsed rather than the backends to have left.
_MANY: Final = 3
_MANY_PART: Final = 0.25
#: Milliseconds that the store must have been away for entries to have lapsed: they do
#: after three heartbeats, of which one may have been missed before.
_LAPSE_TIME: Final = 1 * SECOND


class TableView:
    """The configuration in force; versions only go up, whoever brings them."""

    def __init__(self, on_change: Callable[[RoutingTable], None]) -> None:
        self._lock = threading.Lock()
        self._on_change = on_change
        #: What is in force now; version 0 before any is known.
        self.current = RoutingTable()
        #: The document it was built from, to pass on.
        self.document = b""

    def adopt(self, table: RoutingTable, document: bytes, source: str) -> bool:
        """Put ``table`` in force if it is newer."""
        with self._lock:
            if table.version <= self.current.version:
                return False
            before = self.current.version
            self.current, self.document = table, document
        _log.info("configuration in force", version=table.version, before=before, source=source)
        self._on_change(table)
        return True


class _Contact:
    """Whether the store answers one task, and how long that task backs off."""

    def __init__(
        self, what: str, clock: Clock, rng: random.Random, pause: Callable[[float], None]
    ) -> None:
        self._what = what
        self._clock = clock
        self._rng = rng
        self._pause = pause
        self._backoff = _BACKOFF_START
        self._lost_at = 0
        self._is_resting = False
        #: Time on the clock at which the store answered again after it had been away for
        #: so long that entries may have lapsed; 0 if never.
        self.regained_at = 0

    @property
    def is_lost(self) -> bool:
        """Tell whether the last call failed."""
        return self._lost_at > 0

    @property
    def patience(self) -> int:
        """Return the milliseconds for which to wait for the answer to the next call."""
        if not self._lost_at:
            return CALL_PATIENCE
        return self._rng.randint(_LEAST_PATIENCE, CALL_PATIENCE)

    def failed(self, cause: Unavailable | Unusable) -> None:
        """Note a call without a usable answer, and wait a little."""
        if not self._lost_at:
            self._lost_at = self._clock.now()
            _log.warning("lost the store", what=self._what, cause=cause.detail)
        elif isinstance(cause, Unusable):
            _log.warning("cannot use the store's answer", what=self._what, cause=cause.detail)
        self._pause(self._backoff * self._rng.uniform(0.5, 1.5))
        self._backoff = min(_BACKOFF_LIMIT, self._backoff * 2)

    def left_to_others(self) -> None:
        """Note that this task makes no calls for now."""
        self._lost_at = 0
        self._is_resting = True

    def resumes(self) -> None:
        """Note that this task makes calls.

        After a rest entries may have lapsed: it may begin because nobody had contact.
        """
        if self._is_resting:
            self._is_resting = False
            self._lost_at = self._clock.now() - _LAPSE_TIME

    def answered(self) -> None:
        """Note a usable answer."""
        self._backoff = _BACKOFF_START
        if self._lost_at:
            now = self._clock.now()
            away = now - self._lost_at
            if away >= _LAPSE_TIME:
                self.regained_at = now
            _log.info("regained the store", what=self._what, away=away)
            self._lost_at = 0


class _Follower(ABC):
    """A task that follows one kind of object."""

    def __init__(self, what: str, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._stop = threading.Event()
        self._contact = _Contact(what, clock, rng, self._pause)
        self._task = threading.Thread(target=self._run, name=f"follow-{what}", daemon=True)

    def start(self) -> None:
        """Start following."""
        self._task.start()

    @property
    def is_lost(self) -> bool:
        """Tell whether the store does not answer."""
        return self._contact.is_lost

    def _pause(self, duration: float) -> None:
        self._stop.wait(duration / SECOND)

    @abstractmethod
    def _run(self) -> None:
        """Follow until stopped."""


class TableFollower(_Follower):
    """Follows the configuration."""

    def __init__(
        self,
        store: FleetStore,
        view: TableView,
        is_watching: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__("configuration", clock, rng)
        self._store = store
        self._view = view
        self._is_watching = is_watching

    def _look(self, revision: StorePosition) -> TableSeen:
        if revision:
            return self._store.watch_table(revision, _WATCH)
        return self._store.table(self._contact.patience)

    def _run(self) -> None:
        revision = 0
        while not self._stop.is_set():
            if self._view.current.version and not self._is_watching():
                revision = 0
                self._contact.left_to_others()
                self._pause(_IDLE)
                continue
            self._contact.resumes()
            match self._look(revision):
                case TableRead() as seen:
                    self._contact.answered()
                    revision = seen.revision
                    self._view.adopt(seen.table, seen.document, "store")
                    self._pause(_PAUSE_AFTER_NEWS)
                case NothingNew() as seen:
                    self._contact.answered()
                    revision = revision or seen.revision
                    self._pause(_PAUSE)
                case HistoryGone():
                    _log.info("the store forgot its history", what="configuration", at=revision)
                    revision = 0
                case seen:
                    revision = 0
                    self._contact.failed(seen)


class EndpointFollower(_Follower):
    """Follows the list of backends.

    While the store is away the entries of living backends lapse. A removal seen within
    the time that they have to come back is held, and carried out if they have not.
    """

    def __init__(
        self,
        store: FleetStore,
        roster: Roster,
        on_news: Callable[[BackendChange], None],
        is_watching: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__("backends", clock, rng)
        self._on_news = on_news
        self._is_watching = is_watching
        self._store = store
        self._roster = roster
        #: Backends whose removal is held, with the time at which it is carried out.
        self._held: dict[str, int] = {}
        #: Entries that name no backend, with what is wrong with them.
        self._unreadable: dict[str, str] = {}
        #: Newest position in the store's history seen.
        self._revision: StorePosition = 0

    @property
    def unreadable(self) -> int:
        """Return the number of entries in the store that name no backend."""
        return len(self._unreadable)

    def _look(self, revision: StorePosition) -> EndpointList | EndpointsSeen:
        if revision:
            return self._store.watch_endpoints(revision, self._wait_time())
        return self._store.endpoints(self._contact.patience)

    def _run(self) -> None:
        revision: StorePosition = 0
        while not self._stop.is_set():
            if self._roster.is_known and not self._is_watching():
                revision = 0
                self._held.clear()
                self._unreadable = {}
                self._contact.left_to_others()
                self._pause(_IDLE)
                continue
            self._contact.resumes()
            if self._roster.wants_list and self._roster.doubted:
                revision = 0
            match self._look(revision):
                case EndpointList() as seen:
                    self._heard()
                    self._revision = revision = seen.revision
                    self._take_list(seen)
                case EndpointChanges() as seen:
                    self._heard()
                    self._revision = revision = seen.revision
                    self._take_changes(seen)
                    self._pause(_PAUSE_AFTER_NEWS)
                case NothingNew():
                    self._heard()
                    self._pause(_PAUSE)
                case HistoryGone():
                    _log.info("the store forgot its history", what="backends", at=revision)
                    revision = 0
                case seen:
                    revision = 0
                    self._contact.failed(seen)
            self._carry_out_held()

    def _heard(self) -> None:
        """Take note of a usable answer: the list is in step with the store."""
        self._contact.answered()
        self._roster.confirmed()

    def _wait_time(self) -> int:
        """Return how long the next watch may wait: no longer than the next held removal."""
        if not self._held:
            return _WATCH
        return max(1, min(_WATCH, min(self._held.values()) - self._clock.now()))

    def _settling_until(self) -> int:
        """Return the time on the clock until which a missing entry may come back."""
        regained = self._contact.regained_at
        return regained + RETURN_TIME if regained else 0

    def _take_list(self, seen: EndpointList) -> None:
        listed = frozenset(endpoint.id for endpoint in seen.endpoints)
        unreadable = {entry.id: entry.fault for entry in seen.unreadable}
        missing = self._roster.ids() - listed
        until = self._settling_until()
        if self._roster.is_known and era_of(seen.revision) > self._roster.era:
            # Backends that the copy lacks live as a rule, and write themselves again.
            until = max(until, self._clock.now() + RETURN_TIME)
            _log.warning(
                "the store came back from an older copy",
                era=era_of(seen.revision),
                revision=revision_of(seen.revision),
                lacks=len(missing),
            )
        if len(missing) >= max(_MANY, _MANY_PART * len(self._roster.ids())):
            until = max(until, self._clock.now() + RETURN_TIME)
        keep = missing - unreadable.keys() if self._clock.now() < until else frozenset()
        for endpoint_id in keep:
            self._hold(endpoint_id, until)
        for endpoint_id in listed & self._held.keys():
            del self._held[endpoint_id]
        self._note_unreadable(unreadable)
        is_first = not self._roster.is_known
        for change in self._roster.merge_from_store(seen.endpoints, seen.revision, keep):
            if is_first:
                continue
            self._on_news(change)
            if change.gone:
                _log.info("backend gone", backend=change.endpoint.id, source="list")
            else:
                _log_changed(change.endpoint, source="list")
        _log.info(
            "backends listed",
            count=len(listed),
            held=len(keep),
            doubted=self._roster.doubted,
            revision=seen.revision,
        )

    def _take_changes(self, seen: EndpointChanges) -> None:
        for change in seen.changes:
            match change:
                case Endpoint():
                    self._take_entry(change)
                case EndpointGone(fault=""):
                    self._take_removal(change)
                case EndpointGone():
                    self._note_unreadable({**self._unreadable, change.id: change.fault})
                    self._forget(change)
        self._roster.knows_up_to(seen.revision)

    def _take_entry(self, endpoint: Endpoint) -> None:
        self._held.pop(endpoint.id, None)
        self._unreadable.pop(endpoint.id, None)
        for change in self._roster.put(endpoint):
            self._on_news(change)
            if not change.gone:
                _log_changed(change.endpoint, source="watch")

    def _take_removal(self, gone: EndpointGone) -> None:
        self._unreadable.pop(gone.id, None)
        until = self._settling_until()
        if self._clock.now() < until:
            self._hold(gone.id, until)
        else:
            self._forget(gone)

    def _forget(self, gone: EndpointGone) -> None:
        self._held.pop(gone.id, None)
        self._roster.remove(gone.id, gone.revision)
        self._on_news(BackendChange.removal(gone.id, gone.revision))
        _log.info("backend gone", backend=gone.id, revision=gone.revision)

    def _note_unreadable(self, now: dict[str, str]) -> None:
        """Take note of the entries that cannot be read now; each is logged once."""
        for name, fault in now.items():
            if self._unreadable.get(name) != fault:
                _log.warning("entry names no backend", entry=name, cause=fault)
        self._unreadable = now

    def _hold(self, endpoint_id: str, until: int) -> None:
        if endpoint_id not in self._held:
            self._held[endpoint_id] = until
            _log.info("removal held while entries come back", backend=endpoint_id)

    def _carry_out_held(self) -> None:
        now = self._clock.now()
        if self._contact.is_lost:
            return
        for endpoint_id, until in list(self._held.items()):
            if now >= until:
                del self._held[endpoint_id]
                for change in self._roster.remove(endpoint_id, self._revision):
                    self._on_news(change)
                _log.info("backend gone", backend=endpoint_id, source="did not come back")


def _log_changed(endpoint: Endpoint, source: str) -> None:
    _log.info(
        "backend changed",
        backend=endpoint.run,
        state=endpoint.state.name,
        service=endpoint.service,
        revision=endpoint.revision,
        source=source,
    )
