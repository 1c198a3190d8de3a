"""The known backends, merged from the store and from other entries.

Updates come from several sources and out of order; positions in the store's history tell which
are newer. Positions are not sufficient in the seconds after the store was restored from a copy;
``_store_restore`` has the rules for that time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Final

from canvasyoke.direct._store_restore import StoreRestore
from canvasyoke.state import Endpoint, EndpointState, StorePosition, era_of

#: Removed backends that are remembered, so that stale updates of them are recognized.
_MAX_REMOVED: Final = 10_000


@dataclass(frozen=True, slots=True)
class BackendChange:
    """A change of a backend as read from the store."""

    endpoint: Endpoint
    #: Whether its entry was removed.
    gone: bool
    #: Position of the change in the store's history.
    position: StorePosition
    #: Whether the store's watch missed it, so that it was found in a list, or the store was
    #: restored from a copy that lacks it.
    was_lost: bool = False

    @classmethod
    def removal(cls, endpoint_id: str, position: StorePosition) -> BackendChange:
        """Return the removal of a backend of which only the id is known."""
        gone = Endpoint(endpoint_id, "", "", "", 1, EndpointState.LEAVING, position)
        return cls(gone, True, position)


@dataclass(slots=True)
class KnownBackends:
    """The known backends by id. Not thread-safe; guarded by the roster's lock.

    Methods that change backends return the changes.
    """

    store_restore: StoreRestore
    #: Whether a list has been read.
    is_known: bool = False
    #: Position up to which all changes are known; 0 before the first list.
    position: StorePosition = 0
    _endpoints: dict[str, Endpoint] = field(default_factory=dict)
    #: Removed backends, with the position of their removal.
    _removed: dict[str, StorePosition] = field(default_factory=dict)

    def merge(
        self,
        endpoints: Iterable[Endpoint],
        position: StorePosition,
        keep: frozenset[str] = frozenset(),
    ) -> list[BackendChange]:
        """Apply a complete list as of a position.

        Backends that it lacks are removed, except those in ``keep`` and those that are newer.
        """
        self._observe_position(position)
        listed = {endpoint.id: endpoint for endpoint in endpoints}
        changes = [
            BackendChange(endpoint, True, position)
            for endpoint in self._endpoints.values()
            if endpoint.id not in listed
            and endpoint.id not in keep
            and endpoint.position <= position
            and not self._may_be_rewritten(endpoint)
        ]
        for change in changes:
            self._discard(change.endpoint.id, position)
        for endpoint in listed.values():
            is_outdated = position < self.position and self._is_stale(endpoint)
            if not is_outdated:
                changes += self.put(endpoint)
        self.position = max(self.position, position)
        self.is_known = True
        self.store_restore.record_list()
        return changes

    def merge_from_store(
        self,
        endpoints: Iterable[Endpoint],
        position: StorePosition,
        keep: frozenset[str] = frozenset(),
    ) -> list[BackendChange]:
        """Apply a complete list that was just read from the store, as ``merge`` does.

        The store can drop events, so a listed backend may be older than the known position
        although it was never reported. Such a backend gets the list's position, so that all
        entries accept it as new.
        """
        self._observe_position(position)
        listed = list(endpoints)
        missed = {endpoint.id for endpoint in listed if self._was_missed(endpoint)}
        as_of_list = [replace(e, position=position) if e.id in missed else e for e in listed]
        changes = self.merge(as_of_list, position, keep)
        return [
            replace(change, was_lost=change.was_lost or change.endpoint.id in missed)
            for change in changes
        ]

    def put(self, endpoint: Endpoint) -> list[BackendChange]:
        """Add or change one backend."""
        self._observe_position(endpoint.position)
        known = self._endpoints.get(endpoint.id)
        if endpoint.position < self._removed.get(endpoint.id, 0):
            return []
        override = self._override_for(endpoint)
        if override is None and endpoint.state is EndpointState.LEAVING:
            self.store_restore.doubted.discard(endpoint.id)  # the store agrees again
        if override is not None:
            self.store_restore.doubted.add(endpoint.id)
            if override.gone:
                self._discard(endpoint.id, override.position)
                return [override]
            endpoint = override.endpoint
        if known is not None and (endpoint == known or self._is_superseded(endpoint, known)):
            return []
        self._endpoints[endpoint.id] = endpoint
        if override is not None:
            return [override]
        # The remaining cold time is not compared, and may be news as well.
        if known is not None and not endpoint.cold_remaining and _is_only_relisted(endpoint, known):
            return []
        return [BackendChange(endpoint, False, endpoint.position)]

    def remove(self, endpoint_id: str, position: StorePosition) -> list[BackendChange]:
        """Remove one backend, unless it was added again since."""
        known = self._endpoints.get(endpoint_id)
        if known is not None and known.position > position:
            return []
        self.store_restore.doubted.discard(endpoint_id)
        self._discard(endpoint_id, position)
        return [BackendChange(known, True, position)] if known is not None else []

    def apply_peer_change(self, change: BackendChange) -> bool:
        """Apply a change that another entry read from the store; false if stale or doubted.

        A change that the watch missed has the position of the list in which it was found. It
        is accepted even if all changes up to that position are known here.
        """
        self._observe_position(change.position)
        update = self._rebase_late_end(
            replace(change.endpoint, position=change.position), change.gone
        )
        is_missed_change = (
            change.was_lost
            and update.id not in self._endpoints
            and update.position >= self.position
            and update.position > self._removed.get(update.id, 0)
        )
        if self._is_stale(update, change) and not is_missed_change:
            return False
        if change.gone:
            if change.was_lost and self.store_restore.is_settling:
                # The end may have the position at which the copy still lists the backend.
                self.store_restore.doubted.add(update.id)
            self._discard(update.id, update.position)
            return True
        is_doubted = self._override_for(update) is not None
        self.put(update)
        return not is_doubted

    def refute(self, change: BackendChange) -> BackendChange | None:
        """Return the correction to send for a stale change; ``None`` if there is none.

        A list does not name removed backends, so an entry that started from a list cannot
        announce their removal; it can answer when another entry still reports one of them.
        Changes from before the store's restore are not refuted, since the copy may lack
        the backend.

        Also corrects a change that stems from the restored copy if newer state is known.
        """
        may_be_from_copy = not change.gone and change.endpoint.state is EndpointState.READY
        if may_be_from_copy and change.endpoint.id in self.store_restore.doubted:
            return self._correction(change)
        if era_of(change.position) < self.store_restore.era:
            return None
        is_past = self.is_known and change.position <= self.position
        if change.gone or not is_past or change.endpoint.id in self._endpoints:
            return None
        # Just after a restore the position may equal the one at which the copy has it.
        is_after_restore = self.store_restore.is_settling
        return BackendChange(change.endpoint, True, self.position, was_lost=is_after_restore)

    def advance_to(self, position: StorePosition) -> None:
        """Record that all changes up to a position have been received."""
        self._observe_position(position)
        if self.is_known:
            self.position = max(self.position, position)

    def _observe_position(self, position: StorePosition) -> None:
        self.store_restore.observe_position(position, self.is_known)

    def _may_be_rewritten(self, endpoint: Endpoint) -> bool:
        """Return whether a backend that a list lacks may be about to rewrite its entry."""
        is_of_earlier_era = era_of(endpoint.position) < self.store_restore.era
        return is_of_earlier_era and self.store_restore.lacks_backends

    def _override_for(self, update: Endpoint) -> BackendChange | None:
        """Return known state of a backend that the restored copy may lack; ``None`` if none."""
        known = self._endpoints.get(update.id)
        if known is None:
            gone = self._removed.get(update.id, 0)
            if gone and self.store_restore.is_doubtful(update.id, gone, update.position):
                return BackendChange(update, True, update.position, was_lost=True)
            return None
        adds_leaving = known.state is EndpointState.LEAVING and update.state is EndpointState.READY
        is_same_run = (known.run, known.address) == (update.run, update.address)
        if not (adds_leaving and is_same_run):
            return None
        if not self.store_restore.is_doubtful(update.id, known.position, update.position):
            return None
        leaving = replace(update, state=EndpointState.LEAVING)
        return BackendChange(leaving, False, update.position, was_lost=True)

    def _rebase_late_end(self, update: Endpoint, gone: bool) -> Endpoint:
        """Move a late end of a run to the position that the restored copy has for the run.

        The end was written before the store's restore and is missing in the copy.
        """
        known = self._endpoints.get(update.id)
        is_end = gone or update.state is EndpointState.LEAVING
        is_late = known is not None and era_of(update.position) < era_of(known.position)
        if known is None or not (is_end and is_late and self.store_restore.is_settling):
            return update
        if known.run != update.run and not gone:
            return update
        self.store_restore.doubted.add(update.id)
        return replace(update, position=known.position)

    def _correction(self, change: BackendChange) -> BackendChange | None:
        """Return the known state of a backend that overrides the restored copy's."""
        known = self._endpoints.get(change.endpoint.id)
        if known is not None and known.state is EndpointState.READY:
            return None
        if known is None:
            position = max(change.position, self.position)
            return BackendChange(change.endpoint, True, position, was_lost=True)
        position = max(change.position, known.position)
        return BackendChange(replace(known, position=position), False, position, was_lost=True)

    def _is_superseded(self, update: Endpoint, known: Endpoint) -> bool:
        """Return whether the known state of a backend takes precedence over an update.

        Of two states at one position LEAVING wins: the other is from the restored copy.
        """
        if update.position != known.position:
            return update.position < known.position
        is_settled = update.id in self.store_restore.doubted and not self.store_restore.is_settling
        return known.state is EndpointState.LEAVING and not is_settled

    def _was_missed(self, endpoint: Endpoint) -> bool:
        """Return whether the watch should have reported a listed backend before."""
        if endpoint.id in self.store_restore.doubted:
            return not self.store_restore.is_settling
        known = self._endpoints.get(endpoint.id)
        if known is not None and _is_only_relisted(endpoint, known):
            return False
        is_unreported = known is None or known.position < endpoint.position
        return is_unreported and endpoint.position <= self.position

    def _is_stale(self, endpoint: Endpoint, change: BackendChange | None = None) -> bool:
        """Return whether an update from another entry is no newer than what is known."""
        known = self._endpoints.get(endpoint.id)
        newest = known.position if known is not None else self.position
        newest = max(newest, self._removed.get(endpoint.id, 0))
        if known is None or endpoint.position != newest or change is None:
            return endpoint.position <= newest
        # Of two states at one position the one without an end is from the restored copy.
        is_after_restore = change.was_lost or self.store_restore.is_settling
        is_end = change.gone or endpoint.state is EndpointState.LEAVING
        return not (is_after_restore and is_end and known.state is EndpointState.READY)

    def _discard(self, endpoint_id: str, position: StorePosition) -> None:
        self._endpoints.pop(endpoint_id, None)
        self._removed[endpoint_id] = max(position, self._removed.get(endpoint_id, 0))
        while len(self._removed) > _MAX_REMOVED:
            del self._removed[next(iter(self._removed))]


def _is_only_relisted(update: Endpoint, known: Endpoint) -> bool:
    """Return whether only the position has changed because the store was restored.

    This happens to all backends, and need not be sent to the other entries.
    """
    is_of_earlier_era = era_of(known.position) < era_of(update.position)
    return is_of_earlier_era and replace(known, position=update.position) == update
