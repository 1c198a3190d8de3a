"""Keeps an entry's list of backends in sync with the store."""

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
    EndpointWatchResult,
    FleetStore,
    HistoryGone,
    NoChange,
    StorePosition,
    era_of,
    format_position,
)

_log = part_logger("store")
#: Backends missing from one list, as a number and as a fraction of all known, from which on
#: their store entries are assumed to have expired rather than the backends to have left.
_MASS_EXPIRY_COUNT: Final = 3
_MASS_EXPIRY_FRACTION: Final = 0.25


class EndpointFollower(StoreFollower):
    """Follows the list of backends.

    During an outage of the store the entries of running backends expire. A removal seen shortly
    after an outage is deferred, and applied unless the entry is written again in time.
    """

    def __init__(
        self,
        store: FleetStore,
        roster: Roster,
        on_change: Callable[[BackendChange], None],
        is_watching: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__("backends", clock, rng)
        self._on_change = on_change
        self._is_watching = is_watching
        self._store = store
        self._roster = roster
        #: Deferred removals by backend, with the time on the clock at which to apply them.
        self._deferred: dict[str, int] = {}
        #: Store entries that cannot be read as a backend, with the cause.
        self._unreadable: dict[str, str] = {}
        #: Newest position in the store's history seen.
        self._position: StorePosition = 0

    @property
    def unreadable(self) -> int:
        """Return the number of store entries that cannot be read as a backend."""
        return len(self._unreadable)

    def _fetch(self, position: StorePosition) -> EndpointList | EndpointWatchResult:
        if position:
            return self._store.watch_endpoints(position, self._watch_timeout())
        return self._store.endpoints(self._availability.timeout)

    def _run(self) -> None:
        position: StorePosition = 0
        while not self._stop.is_set():
            if self._roster.is_known and not self._is_watching():
                position = 0
                self._deferred.clear()
                self._unreadable = {}
                self._availability.suspend()
                self._pause(IDLE_INTERVAL)
                continue
            self._availability.resume()
            if self._roster.needs_list and self._roster.doubted:
                position = 0
            match self._fetch(position):
                case EndpointList() as seen:
                    self._mark_in_sync()
                    self._position = position = seen.position
                    self._apply_list(seen)
                case EndpointChanges() as seen:
                    self._mark_in_sync()
                    self._position = position = seen.position
                    self._apply_changes(seen)
                    self._pause(PAUSE_AFTER_CHANGES)
                case NoChange():
                    self._mark_in_sync()
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
                    self._availability.record_failure(seen)
            self._apply_deferred()

    def _mark_in_sync(self) -> None:
        """Record a usable answer: the list is in sync with the store."""
        self._availability.record_success()
        self._roster.confirm_list()

    def _watch_timeout(self) -> int:
        """Return the timeout of the next watch, which ends when the next removal is due."""
        if not self._deferred:
            return WATCH_TIMEOUT
        return max(1, min(WATCH_TIMEOUT, min(self._deferred.values()) - self._clock.now()))

    def _grace_period_end(self) -> int:
        """Return the time on the clock until which an expired entry may be written again."""
        regained = self._availability.reconnected_at
        return regained + REREGISTRATION_TIME if regained else 0

    def _apply_list(self, seen: EndpointList) -> None:
        listed = frozenset(endpoint.id for endpoint in seen.endpoints)
        unreadable = {entry.id: entry.fault for entry in seen.unreadable}
        missing = self._roster.ids() - listed
        until = self._grace_period_end()
        if self._roster.is_known and era_of(seen.position) > self._roster.era:
            # Backends that the restored copy lacks are usually running, and will register again.
            until = max(until, self._clock.now() + REREGISTRATION_TIME)
        if len(missing) >= max(_MASS_EXPIRY_COUNT, _MASS_EXPIRY_FRACTION * len(self._roster.ids())):
            until = max(until, self._clock.now() + REREGISTRATION_TIME)
        keep = missing - unreadable.keys() if self._clock.now() < until else frozenset()
        for endpoint_id in keep:
            self._defer_removal(endpoint_id, until)
        for endpoint_id in listed & self._deferred.keys():
            del self._deferred[endpoint_id]
        self._update_unreadable(unreadable)
        is_first = not self._roster.is_known
        for change in self._roster.merge_from_store(seen.endpoints, seen.position, keep):
            if is_first:
                continue
            self._on_change(change)
            if change.gone:
                _log.info("backend gone", backend=change.endpoint.id, source="list")
            else:
                _log_change(change.endpoint, source="list")
        _log.info(
            "backends listed",
            count=len(listed),
            held=len(keep),
            doubted=self._roster.doubted,
            revision=format_position(seen.position),
        )

    def _apply_changes(self, seen: EndpointChanges) -> None:
        for change in seen.changes:
            match change:
                case Endpoint():
                    self._apply_endpoint(change)
                case EndpointGone(fault=""):
                    self._apply_removal(change)
                case EndpointGone():
                    self._update_unreadable({**self._unreadable, change.id: change.fault})
                    self._remove(change)
        self._roster.advance_position(seen.position)

    def _apply_endpoint(self, endpoint: Endpoint) -> None:
        self._deferred.pop(endpoint.id, None)
        self._unreadable.pop(endpoint.id, None)
        for change in self._roster.put(endpoint):
            self._on_change(change)
            if not change.gone:
                _log_change(change.endpoint, source="watch")

    def _apply_removal(self, gone: EndpointGone) -> None:
        self._unreadable.pop(gone.id, None)
        until = self._grace_period_end()
        if self._clock.now() < until:
            self._defer_removal(gone.id, until)
        else:
            self._remove(gone)

    def _remove(self, gone: EndpointGone) -> None:
        self._deferred.pop(gone.id, None)
        self._roster.remove(gone.id, gone.position)
        self._on_change(BackendChange.removal(gone.id, gone.position))
        _log.info("backend gone", backend=gone.id, revision=format_position(gone.position))

    def _update_unreadable(self, faults: dict[str, str]) -> None:
        """Replace the set of unreadable entries, and log those that are new."""
        for name, fault in faults.items():
            if self._unreadable.get(name) != fault:
                _log.warning("entry names no backend", entry=name, cause=fault)
        self._unreadable = faults

    def _defer_removal(self, endpoint_id: str, until: int) -> None:
        if endpoint_id not in self._deferred:
            self._deferred[endpoint_id] = until
            _log.info("removal held while entries come back", backend=endpoint_id)

    def _apply_deferred(self) -> None:
        now = self._clock.now()
        if self._availability.is_lost:
            return
        for endpoint_id, until in list(self._deferred.items()):
            if now >= until:
                del self._deferred[endpoint_id]
                for change in self._roster.remove(endpoint_id, self._position):
                    self._on_change(change)
                _log.info("backend gone", backend=endpoint_id, source="did not come back")


def _log_change(endpoint: Endpoint, source: str) -> None:
    _log.info(
        "backend changed",
        backend=endpoint.run,
        state=endpoint.state.name,
        service=endpoint.service,
        revision=format_position(endpoint.position),
        source=source,
    )
