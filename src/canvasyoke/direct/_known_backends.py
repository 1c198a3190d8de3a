"""Which backends there are, by what the store and other entries say of them.

Word comes from several sides and out of order: revisions of the store tell what is new.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Final

from canvasyoke.state import Endpoint, EndpointState

#: Backends that are remembered after they have gone, so that old news of them is known
#: as such.
_GONE_LIMIT: Final = 10_000


@dataclass(frozen=True, slots=True)
class BackendChange:
    """What the store said of a backend."""

    endpoint: Endpoint
    #: Whether its entry was removed.
    gone: bool
    #: Revision of the store at which this came to be.
    revision: int
    #: Whether the store's watch had left it out, so that it was found in a list.
    was_lost: bool = False

    @classmethod
    def removal(cls, endpoint_id: str, revision: int) -> BackendChange:
        """Return the removal of a backend of which nothing else has to be known."""
        gone = Endpoint(endpoint_id, "", "", "", 1, EndpointState.LEAVING, revision)
        return cls(gone, True, revision)


@dataclass(slots=True)
class KnownBackends:
    """Not thread-safe, the roster guards it. All calls return what they changed."""

    #: Whether a list has been read.
    is_known: bool = False
    #: Revision of the store up to which all changes are known; 0 before any list.
    revision: int = 0
    _endpoints: dict[str, Endpoint] = field(default_factory=dict)
    #: Backends that are gone, with the revision of their removal.
    _gone: dict[str, int] = field(default_factory=dict)

    def merge(
        self, endpoints: Iterable[Endpoint], revision: int, keep: frozenset[str] = frozenset()
    ) -> list[BackendChange]:
        """Take a whole list of a revision.

        Those in ``keep`` stay although it lacks them, and so does what is newer.
        """
        listed = {endpoint.id: endpoint for endpoint in endpoints}
        changes = [
            BackendChange(endpoint, True, revision)
            for endpoint in self._endpoints.values()
            if endpoint.id not in listed
            and endpoint.id not in keep
            and endpoint.revision <= revision
        ]
        for change in changes:
            self._forget(change.endpoint.id, revision)
        for endpoint in listed.values():
            is_outdated = revision < self.revision and self._is_old(endpoint)
            if not is_outdated:
                changes += self.put(endpoint)
        self.revision = max(self.revision, revision)
        self.is_known = True
        return changes

    def merge_from_store(
        self, endpoints: Iterable[Endpoint], revision: int, keep: frozenset[str] = frozenset()
    ) -> list[BackendChange]:
        """As ``merge``, for a list that the store has just given.

        The store can lose events. What it lists is then older than what is known here and
        at other entries, and yet right; it is taken as of the list's own revision, so that
        it counts as new everywhere.
        """
        listed = list(endpoints)
        lost = {endpoint.id for endpoint in listed if self._was_lost(endpoint)}
        as_of_now = [replace(e, revision=revision) if e.id in lost else e for e in listed]
        changes = self.merge(as_of_now, revision, keep)
        return [replace(change, was_lost=change.endpoint.id in lost) for change in changes]

    def put(self, endpoint: Endpoint) -> list[BackendChange]:
        """Add or change one backend."""
        known = self._endpoints.get(endpoint.id)
        if endpoint.revision < self._gone.get(endpoint.id, 0):
            return []
        if known is not None and (endpoint.revision < known.revision or endpoint == known):
            return []
        self._endpoints[endpoint.id] = endpoint
        return [BackendChange(endpoint, False, endpoint.revision)]

    def remove(self, endpoint_id: str, revision: int) -> list[BackendChange]:
        """Forget one backend, unless it is known to have come back since."""
        known = self._endpoints.get(endpoint_id)
        if known is not None and known.revision > revision:
            return []
        self._forget(endpoint_id, revision)
        return [BackendChange(known, True, revision)] if known is not None else []

    def hear(self, news: BackendChange) -> bool:
        """Take what another entry learned from the store; false when it is old.

        An event that the store had lost is told as of the list in which it was found: it
        is no older than what is known here, although all up to there has been heard.
        """
        told = replace(news.endpoint, revision=news.revision)
        is_found = (
            news.was_lost
            and told.id not in self._endpoints
            and told.revision >= self.revision
            and told.revision > self._gone.get(told.id, 0)
        )
        if self._is_old(told) and not is_found:
            return False
        if news.gone:
            self._forget(told.id, told.revision)
        else:
            self.put(told)
        return True

    def refute(self, news: BackendChange) -> BackendChange | None:
        """Return what to answer to old news of a backend that is gone; ``None`` for none.

        A list tells what there is, not what has ended since. Whoever read it cannot tell
        the others of a backend that it never heard of; it can when one of them does.
        """
        is_past = self.is_known and news.revision <= self.revision
        if news.gone or not is_past or news.endpoint.id in self._endpoints:
            return None
        return BackendChange(news.endpoint, True, self.revision)

    def knows_up_to(self, revision: int) -> None:
        """Take note that all changes up to a revision of the store have come."""
        if self.is_known:
            self.revision = max(self.revision, revision)

    def _was_lost(self, endpoint: Endpoint) -> bool:
        """Tell whether a backend in the store's list should have been heard of before."""
        known = self._endpoints.get(endpoint.id)
        is_unheard = known is None or known.revision < endpoint.revision
        return is_unheard and endpoint.revision <= self.revision

    def _is_old(self, endpoint: Endpoint) -> bool:
        """Tell whether what others say of a backend is no news here."""
        known = self._endpoints.get(endpoint.id)
        newest = known.revision if known is not None else self.revision
        return endpoint.revision <= max(newest, self._gone.get(endpoint.id, 0))

    def _forget(self, endpoint_id: str, revision: int) -> None:
        self._endpoints.pop(endpoint_id, None)
        self._gone[endpoint_id] = max(revision, self._gone.get(endpoint_id, 0))
        while len(self._gone) > _GONE_LIMIT:
            del self._gone[next(iter(self._gone))]
