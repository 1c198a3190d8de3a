"""A simulated fleet whose store comes back from older copies of itself."""

from __future__ import annotations

from dataclasses import dataclass, replace

from canvasyoke._clock import SECOND
from canvasyoke.direct.tests.fleet_model import TURN, SimFleet
from canvasyoke.state import Endpoint, EndpointState, revision_of, store_position

#: Milliseconds after a return until engines have written theirs again, and until the platform
#: has taken out entries of those that have ended.
_WRITTEN_AFTER = 1_800
_SILENT_AFTER = 4_000
#: Turns after which all that follows from a return is over: entries of backends that ended
#: are out after 4.0 s, and 4 s later every entry in touch knows the truth.
RETURN_TURNS = (_SILENT_AFTER + 4 * SECOND) // TURN + 1


@dataclass(frozen=True)
class Copy:
    """The store's list of backends at one moment."""

    revision: int
    truth: dict[str, Endpoint]


class ReturningFleet(SimFleet):
    """Backends that live say what they are; the store may have forgotten it.

    All entries of the first domain watch the store; after a return they list it.
    """

    def __init__(self, sizes: tuple[int, ...], seed: int = 1) -> None:
        self.era = 0
        #: What each backend that lives says of itself.
        self.said: dict[str, Endpoint] = {}
        #: Times at which backends write theirs again, and the platform looks for silent ones.
        self._written_at = self._silent_at = 0
        super().__init__(sizes, seed)

    def change(self, backend: str, state: EndpointState | None, starts_again: bool = False) -> None:
        """Have a backend say what it is now; none when it has ended.

        The store may not have what it said before.
        """
        before = self.said.pop(backend, None)
        if before is not None and backend not in self.truth and state is not None:
            self.truth[backend] = before
        super().change(backend, state, starts_again)
        written = self.truth.get(backend)
        if written is not None:
            self.said[backend] = self.truth[backend] = self._in_era(written)
        if self.history and self.history[-1].position == self.revision:
            last = self.history[-1]
            at = store_position(self.era, self.revision)
            self.history[-1] = replace(last, position=at, endpoint=self._in_era(last.endpoint))

    def _in_era(self, endpoint: Endpoint) -> Endpoint:
        revision = revision_of(endpoint.position)
        return replace(endpoint, position=store_position(self.era, revision))

    @property
    def at(self) -> int:
        """Return the store's position now."""
        return store_position(self.era, self.revision)

    def copy(self) -> Copy:
        """Return a copy to come back from."""
        return Copy(self.revision, dict(self.truth))

    def return_from(self, copy: Copy, lists: bool = True) -> None:
        """Come back from a copy; those that watch hear of it with their next call."""
        self.era += 1
        self.revision = copy.revision
        self.truth = {name: self._in_era(e) for name, e in copy.truth.items()}
        self.history.clear()
        for entry in self.entries.values():
            entry.watched = 0
        self._written_at = self.clock.now() + _WRITTEN_AFTER
        self._silent_at = self.clock.now() + _SILENT_AFTER
        if lists:
            self.list_at_watchers()

    def watchers(self) -> list[str]:
        """Return the entries that watch the store."""
        return [name for name in sorted(self.entries) if name.startswith("front-0-")]

    def list_at_watchers(self) -> None:
        """Have all that watch read the store's list."""
        for name in self.watchers():
            self.list_at(name)

    def watch_all(self) -> None:
        """Bring all that watch what the store has told of."""
        for name in self.watchers():
            self.watch_at(name)

    def watch_at(self, name: str) -> None:
        """Bring an entry what the store has told of since it watched or listed last."""
        entry = self.entries[name]
        if not entry.roster.is_known:
            return
        for change in self.history[entry.watched :]:
            if change.gone:
                changes = entry.roster.remove(change.endpoint.id, change.position)
            else:
                changes = entry.roster.put(change.endpoint)
            for told in changes:
                entry.peers.tell_backend(told)
            entry.roster.advance_position(change.position)
        entry.watched = len(self.history)
        entry.roster.advance_position(self.at)

    def pass_turns(self, turns: int) -> None:
        """Let time pass; what is due after a return happens on the way."""
        for _ in range(turns):
            super().pass_turns(1)
            now = self.clock.now()
            if self._written_at and now >= self._written_at:
                self._written_at = 0
                self._write_again()
            if self._silent_at and now >= self._silent_at:
                self._silent_at = 0
                for name in self.truth.keys() - self.said.keys():
                    super().change(name, None)
                    self.history[-1] = replace(self.history[-1], position=self.at)
                self.watch_all()
            for name in self.watchers():
                roster = self.entries[name].roster
                if roster.needs_list and roster.doubted:
                    self.list_at(name)

    def _write_again(self) -> None:
        for name, endpoint in list(self.said.items()):
            listed = self.truth.get(name)
            if listed is None or replace(listed, position=endpoint.position) != endpoint:
                self.change(name, endpoint.state)
        self.watch_all()

    def wrong(self) -> dict[str, dict[str, str]]:
        """Return what entries know that is not so."""
        true = {name: endpoint.state.name for name, endpoint in self.said.items()}
        known = {
            name: {backend: state for backend, (_, state) in entry.knows().items()}
            for name, entry in self.entries.items()
        }
        return {name: each for name, each in known.items() if each != true}
