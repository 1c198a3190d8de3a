"""Keeps an entry's list of backends up to date from the store."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.direct._known_backends import BackendChange
from canvasyoke.direct._roster import Roster
from canvasyoke.direct._store_follower import (
    IDLE_INTERVAL,
    PAUSE_AFTER_CHANGES,
    PAUSE_AFTER_TIMEOUT,
    WATCH_TIMEOUT,
    StoreFollower,
)
from canvasyoke.direct._store_restore import REREGISTRATION_TIME
from canvasyoke.observe import part_logger
from canvasyoke.state import (
    Endpoint,
    EndpointChanges,
    EndpointGone,
    EndpointList,
    EndpointsSeen,
    FleetStore,
    HistoryGone,
    NothingNew,
    StorePosition,
    era_of,
    format_position,
)

_log = part_logger("store")
#: Backends that must be missing from a list at once, and their part of all known, for
#: their entries to have lapsed rather than the backends to have left.
_MANY: Final = 3
_MANY_PART: Final = 0.25


class EndpointFollower(StoreFollower):
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
        self._position: StorePosition = 0

    @property
    def unreadable(self) -> int:
        """Return the number of entries in the store that name no backend."""
        return len(self._unreadable)

    def _look(self, position: StorePosition) -> EndpointList | EndpointsSeen:
        if position:
            return self._store.watch_endpoints(position, self._wait_time())
        return self._store.endpoints(self._availability.timeout)

    def _run(self) -> None:
        position: StorePosition = 0
        while not self._stop.is_set():
            if self._roster.is_known and not self._is_watching():
                position = 0
                self._held.clear()
                self._unreadable = {}
                self._availability.suspend()
                self._pause(IDLE_INTERVAL)
                continue
            self._availability.resume()
            if self._roster.wants_list and self._roster.doubted:
                position = 0
            match self._look(position):
                case EndpointList() as seen:
                    self._heard()
                    self._position = position = seen.position
                    self._take_list(seen)
                case EndpointChanges() as seen:
                    self._heard()
                    self._position = position = seen.position
                    self._take_changes(seen)
                    self._pause(PAUSE_AFTER_CHANGES)
                case NothingNew():
                    self._heard()
                    self._pause(PAUSE_AFTER_TIMEOUT)
                case HistoryGone():
                    _log.info(
                        "the store forgot its history",
                        what="backends",
                        at=format_position(position),
                    )
                    position = 0
                case seen:
                    position = 0
                    self._availability.failed(seen)
            self._carry_out_held()

    def _heard(self) -> None:
        """Take note of a usable answer: the list is in step with the store."""
        self._availability.succeeded()
        self._roster.confirmed()

    def _wait_time(self) -> int:
        """Return how long the next watch may wait: no longer than the next held removal."""
        if not self._held:
            return WATCH_TIMEOUT
        return max(1, min(WATCH_TIMEOUT, min(self._held.values()) - self._clock.now()))

    def _settling_until(self) -> int:
        """Return the time on the clock until which a missing entry may come back."""
        regained = self._availability.reconnected_at
        return regained + REREGISTRATION_TIME if regained else 0

    def _take_list(self, seen: EndpointList) -> None:
        listed = frozenset(endpoint.id for endpoint in seen.endpoints)
        unreadable = {entry.id: entry.fault for entry in seen.unreadable}
        missing = self._roster.ids() - listed
        until = self._settling_until()
        if self._roster.is_known and era_of(seen.position) > self._roster.era:
            # Backends that the copy lacks live as a rule, and write themselves again.
            until = max(until, self._clock.now() + REREGISTRATION_TIME)
        if len(missing) >= max(_MANY, _MANY_PART * len(self._roster.ids())):
            until = max(until, self._clock.now() + REREGISTRATION_TIME)
        keep = missing - unreadable.keys() if self._clock.now() < until else frozenset()
        for endpoint_id in keep:
            self._hold(endpoint_id, until)
        for endpoint_id in listed & self._held.keys():
            del self._held[endpoint_id]
        self._note_unreadable(unreadable)
        is_first = not self._roster.is_known
        for change in self._roster.merge_from_store(seen.endpoints, seen.position, keep):
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
            revision=format_position(seen.position),
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
        self._roster.knows_up_to(seen.position)

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
        self._roster.remove(gone.id, gone.position)
        self._on_news(BackendChange.removal(gone.id, gone.position))
        _log.info("backend gone", backend=gone.id, revision=format_position(gone.position))

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
        if self._availability.is_lost:
            return
        for endpoint_id, until in list(self._held.items()):
            if now >= until:
                del self._held[endpoint_id]
                for change in self._roster.remove(endpoint_id, self._position):
                    self._on_news(change)
                _log.info("backend gone", backend=endpoint_id, source="did not come back")


def _log_changed(endpoint: Endpoint, source: str) -> None:
    _log.info(
        "backend changed",
        backend=endpoint.run,
        state=endpoint.state.name,
        service=endpoint.service,
        revision=format_position(endpoint.position),
        source=source,
    )
