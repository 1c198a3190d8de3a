"""Simulation of a fleet whose store is restored from older snapshots."""

from __future__ import annotations

from dataclasses import dataclass, replace

from canvasyoke._clock import SECOND
from canvasyoke.direct.tests.fleet_model import STEP_INTERVAL, SimFleet
from canvasyoke.state import Endpoint, EndpointState, revision_of, store_position

#: Milliseconds after a restore until live backends rewrite their entries, and until the
#: platform removes the entries of ended ones.
_REWRITE_DELAY = 1_800
_EXPIRY_DELAY = 4_000
#: Steps until all entries agree after a restore: the expiry, plus 4 s of propagation.
RESTORE_STEPS = (_EXPIRY_DELAY + 4 * SECOND) // STEP_INTERVAL + 1


@dataclass(frozen=True)
class Snapshot:
    """Backends in the store at one point in time."""

    revision: int
    stored: dict[str, Endpoint]


class RestoredFleet(SimFleet):
    """A fleet whose store may have lost what live backends have announced.

    All entries of the first domain watch the store, and list it after a restore.
    """

    def __init__(self, sizes: tuple[int, ...], seed: int = 1) -> None:
        self.era = 0
        #: Latest announcement of each live backend.
        self.announced: dict[str, Endpoint] = {}
        #: Times of the next rewrite by backends and the next expiry; 0 if none.
        self._rewrite_at = self._expire_at = 0
        super().__init__(sizes, seed)

    def change(self, backend: str, state: EndpointState | None, is_restart: bool = False) -> None:
        """Announce the state of a backend, or its end if ``state`` is ``None``.

        The store may have lost the previous announcement.
        """
        before = self.announced.pop(backend, None)
        if before is not None and backend not in self.stored and state is not None:
            self.stored[backend] = before
        super().change(backend, state, is_restart)
        written = self.stored.get(backend)
        if written is not None:
            self.announced[backend] = self.stored[backend] = self._in_era(written)
        if self.history and self.history[-1].position == self.revision:
            last = self.history[-1]
            at = store_position(self.era, self.revision)
            self.history[-1] = replace(last, position=at, endpoint=self._in_era(last.endpoint))

    def _in_era(self, endpoint: Endpoint) -> Endpoint:
        revision = revision_of(endpoint.position)
        return replace(endpoint, position=store_position(self.era, revision))

    @property
    def position(self) -> int:
        """Current position of the store, including its era."""
        return store_position(self.era, self.revision)

    def snapshot(self) -> Snapshot:
        """Return the current state of the store."""
        return Snapshot(self.revision, dict(self.stored))

    def restore(self, snapshot: Snapshot, relist: bool = True) -> None:
        """Restore a snapshot in a new era; watchers list it now if ``relist``."""
        self.era += 1
        self.revision = snapshot.revision
        self.stored = {name: self._in_era(e) for name, e in snapshot.stored.items()}
        self.history.clear()
        for entry in self.entries.values():
            entry.applied_changes = 0
        self._rewrite_at = self.clock.now() + _REWRITE_DELAY
        self._expire_at = self.clock.now() + _EXPIRY_DELAY
        if relist:
            self.list_store_at_watchers()

    def watchers(self) -> list[str]:
        """Return the names of the entries that watch the store."""
        return [name for name in sorted(self.entries) if name.startswith("front-0-")]

    def list_store_at_watchers(self) -> None:
        """Make all watchers list the store."""
        for name in self.watchers():
            self.list_store(name)

    def apply_watch_events_at_watchers(self) -> None:
        """Apply the latest changes to all watchers."""
        for name in self.watchers():
            self.apply_watch_events(name)

    def apply_watch_events(self, name: str) -> None:
        """Apply the changes since the last watch or list to an entry that has a list."""
        entry = self.entries[name]
        if not entry.roster.is_known:
            return
        for change in self.history[entry.applied_changes :]:
            if change.gone:
                changes = entry.roster.remove(change.endpoint.id, change.position)
            else:
                changes = entry.roster.put(change.endpoint)
            for applied in changes:
                entry.peers.announce_backend(applied)
            entry.roster.advance_position(change.position)
        entry.applied_changes = len(self.history)
        entry.roster.advance_position(self.position)

    def run_steps(self, steps: int) -> None:
        """Advance time, with the rewrites and the expiry that follow a restore."""
        for _ in range(steps):
            super().run_steps(1)
            now = self.clock.now()
            if self._rewrite_at and now >= self._rewrite_at:
                self._rewrite_at = 0
                self._rewrite_entries()
            if self._expire_at and now >= self._expire_at:
                self._expire_at = 0
                for name in self.stored.keys() - self.announced.keys():
                    super().change(name, None)
                    self.history[-1] = replace(self.history[-1], position=self.position)
                self.apply_watch_events_at_watchers()
            for name in self.watchers():
                roster = self.entries[name].roster
                if roster.needs_list and roster.doubted:
                    self.list_store(name)

    def _rewrite_entries(self) -> None:
        for name, endpoint in list(self.announced.items()):
            listed = self.stored.get(name)
            if listed is None or replace(listed, position=endpoint.position) != endpoint:
                self.change(name, endpoint.state)
        self.apply_watch_events_at_watchers()

    def wrong_views(self) -> dict[str, dict[str, str]]:
        """Return the views of entries that differ from the true state."""
        true = {name: endpoint.state.name for name, endpoint in self.announced.items()}
        known = {
            name: {backend: state for backend, (_, state) in entry.known_backends().items()}
            for name, entry in self.entries.items()
        }
        return {name: each for name, each in known.items() if each != true}
