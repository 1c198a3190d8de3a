"""Which backends there are, by what the store and other entries say of them.

Word comes from several sides and out of order: positions in the store's history tell what
is new. In the seconds after the store is back from a copy they do not tell all; what then
counts is in ``_store_restore``.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Final

from canvasyoke.direct._store_restore import StoreRestore
from canvasyoke.state import Endpoint, EndpointState, StorePosition, era_of

#: Backends that are remembered after they have gone, so that old news of them is known
#: as such.
_GONE_LIMIT: Final = 10_000


@dataclass(frozen=True, slots=True)
class BackendChange:
    """What the store said of a backend."""

    endpoint: Endpoint
    #: Whether its entry was removed.
    gone: bool
    #: Position in the store's history at which this came to be.
    position: StorePosition
    #: Whether the store's watch had left it out, so that it was found in a list, or the store
    #: is back from a copy that lacks it.
    was_lost: bool = False

    @classmethod
    def removal(cls, endpoint_id: str, position: StorePosition) -> BackendChange:
        """Return the removal of a backend of which nothing else has to be known."""
        gone = Endpoint(endpoint_id, "", "", "", 1, EndpointState.LEAVING, position)
        return cls(gone, True, position)


@dataclass(slots=True)
class KnownBackends:
    """Not thread-safe, the roster guards it. All calls return what they changed."""

    store_return: StoreRestore
    #: Whether a list has been read.
    is_known: bool = False
    #: Position up to which all changes are known; 0 before any list.
    position: StorePosition = 0
    _endpoints: dict[str, Endpoint] = field(default_factory=dict)
    #: Backends that are gone, with the position of their removal.
    _gone: dict[str, StorePosition] = field(default_factory=dict)

    def merge(
        self,
        endpoints: Iterable[Endpoint],
        position: StorePosition,
        keep: frozenset[str] = frozenset(),
    ) -> list[BackendChange]:
        """Take a whole list of a position.

        Those in ``keep`` stay although it lacks them, and so does what is newer.
        """
        self._heard_of(position)
        listed = {endpoint.id: endpoint for endpoint in endpoints}
        changes = [
            BackendChange(endpoint, True, position)
            for endpoint in self._endpoints.values()
            if endpoint.id not in listed
            and endpoint.id not in keep
            and endpoint.position <= position
            and not self._may_be_unwritten(endpoint)
        ]
        for change in changes:
            self._forget(change.endpoint.id, position)
        for endpoint in listed.values():
            is_outdated = position < self.position and self._is_old(endpoint)
            if not is_outdated:
                changes += self.put(endpoint)
        self.position = max(self.position, position)
        self.is_known = True
        self.store_return.listed()
        return changes

    def merge_from_store(
        self,
        endpoints: Iterable[Endpoint],
        position: StorePosition,
        keep: frozenset[str] = frozenset(),
    ) -> list[BackendChange]:
        """As ``merge``, for a list that the store has just given.

        The store can lose events. What it lists is then older than what is known here and
        at other entries, and yet right; it is taken as of the list's own position, so that
        it counts as new everywhere.
        """
        self._heard_of(position)
        listed = list(endpoints)
        lost = {endpoint.id for endpoint in listed if self._was_lost(endpoint)}
        as_of_now = [replace(e, position=position) if e.id in lost else e for e in listed]
        changes = self.merge(as_of_now, position, keep)
        return [
            replace(change, was_lost=change.was_lost or change.endpoint.id in lost)
            for change in changes
        ]

    def put(self, endpoint: Endpoint) -> list[BackendChange]:
        """Add or change one backend."""
        self._heard_of(endpoint.position)
        known = self._endpoints.get(endpoint.id)
        if endpoint.position < self._gone.get(endpoint.id, 0):
            return []
        better = self._known_better(endpoint)
        if better is None and endpoint.state is EndpointState.LEAVING:
            self.store_return.doubted.discard(endpoint.id)  # the store knows it again
        if better is not None:
            self.store_return.doubted.add(endpoint.id)
            if better.gone:
                self._forget(endpoint.id, better.position)
                return [better]
            endpoint = better.endpoint
        if known is not None and (endpoint == known or self._loses(endpoint, known)):
            return []
        self._endpoints[endpoint.id] = endpoint
        if better is not None:
            return [better]
        if known is not None and _is_as_before(endpoint, known):
            return []
        return [BackendChange(endpoint, False, endpoint.position)]

    def remove(self, endpoint_id: str, position: StorePosition) -> list[BackendChange]:
        """Forget one backend, unless it is known to have come back since."""
        known = self._endpoints.get(endpoint_id)
        if known is not None and known.position > position:
            return []
        self.store_return.doubted.discard(endpoint_id)
        self._forget(endpoint_id, position)
        return [BackendChange(known, True, position)] if known is not None else []

    def hear(self, news: BackendChange) -> bool:
        """Take what another entry learned from the store; false when it is old or doubted.

        An event that the store had lost is told as of the list in which it was found: it
        is no older than what is known here, although all up to there has been heard.
        """
        self._heard_of(news.position)
        told = self._as_of_return(replace(news.endpoint, position=news.position), news.gone)
        is_found = (
            news.was_lost
            and told.id not in self._endpoints
            and told.position >= self.position
            and told.position > self._gone.get(told.id, 0)
        )
        if self._is_old(told, news) and not is_found:
            return False
        if news.gone:
            self._forget(told.id, told.position)
            return True
        is_doubted = self._known_better(told) is not None
        self.put(told)
        return not is_doubted

    def refute(self, news: BackendChange) -> BackendChange | None:
        """Return what to answer to old news of a backend that is gone; ``None`` for none.

        A list tells what there is, not what has ended since. Whoever read it cannot tell
        the others of a backend that it never heard of; it can when one of them does. Of
        what is older than the store's return it cannot: the copy may lack the backend.

        Also answers word of a backend that the store's copy has and that is known better.
        """
        is_of_copy = not news.gone and news.endpoint.state is EndpointState.READY
        if is_of_copy and news.endpoint.id in self.store_return.doubted:
            return self._correction(news)
        if era_of(news.position) < self.store_return.era:
            return None
        is_past = self.is_known and news.position <= self.position
        if news.gone or not is_past or news.endpoint.id in self._endpoints:
            return None
        # Just after a return the position may be the very one at which the copy has it.
        is_of_return = self.store_return.is_settling
        return BackendChange(news.endpoint, True, self.position, was_lost=is_of_return)

    def knows_up_to(self, position: StorePosition) -> None:
        """Take note that all changes up to a position have come."""
        self._heard_of(position)
        if self.is_known:
            self.position = max(self.position, position)

    def _heard_of(self, position: StorePosition) -> None:
        self.store_return.observe_position(position, self.is_known)

    def _may_be_unwritten(self, endpoint: Endpoint) -> bool:
        """Tell whether a backend that a list lacks may live and write its entry again."""
        is_of_before = era_of(endpoint.position) < self.store_return.era
        return is_of_before and self.store_return.lacks_backends

    def _known_better(self, told: Endpoint) -> BackendChange | None:
        """Return what is known of a backend that the store's copy may not know."""
        known = self._endpoints.get(told.id)
        if known is None:
            gone = self._gone.get(told.id, 0)
            if gone and self.store_return.is_doubtful(told.id, gone, told.position):
                return BackendChange(told, True, told.position, was_lost=True)
            return None
        says_more = known.state is EndpointState.LEAVING and told.state is EndpointState.READY
        is_same_run = (known.run, known.address) == (told.run, told.address)
        if not (says_more and is_same_run):
            return None
        if not self.store_return.is_doubtful(told.id, known.position, told.position):
            return None
        leaving = replace(told, state=EndpointState.LEAVING)
        return BackendChange(leaving, False, told.position, was_lost=True)

    def _as_of_return(self, told: Endpoint, gone: bool) -> Endpoint:
        """Return late word of an end as of what the copy says of the same run.

        It came to be before the store's return, and the copy does not know it.
        """
        known = self._endpoints.get(told.id)
        is_end = gone or told.state is EndpointState.LEAVING
        is_late = known is not None and era_of(told.position) < era_of(known.position)
        if known is None or not (is_end and is_late and self.store_return.is_settling):
            return told
        if known.run != told.run and not gone:
            return told
        self.store_return.doubted.add(told.id)
        return replace(told, position=known.position)

    def _correction(self, news: BackendChange) -> BackendChange | None:
        """Return what is known of a backend in place of what the store's copy says."""
        known = self._endpoints.get(news.endpoint.id)
        if known is not None and known.state is EndpointState.READY:
            return None
        if known is None:
            position = max(news.position, self.position)
            return BackendChange(news.endpoint, True, position, was_lost=True)
        position = max(news.position, known.position)
        return BackendChange(replace(known, position=position), False, position, was_lost=True)

    def _loses(self, told: Endpoint, known: Endpoint) -> bool:
        """Tell whether word of a backend does not change what is known.

        Of two words of one position the one that it leaves counts: the other is the copy's.
        """
        if told.position != known.position:
            return told.position < known.position
        is_settled = told.id in self.store_return.doubted and not self.store_return.is_settling
        return known.state is EndpointState.LEAVING and not is_settled

    def _was_lost(self, endpoint: Endpoint) -> bool:
        """Tell whether a backend in the store's list should have been heard of before."""
        if endpoint.id in self.store_return.doubted:
            return not self.store_return.is_settling
        known = self._endpoints.get(endpoint.id)
        if known is not None and _is_as_before(endpoint, known):
            return False
        is_unheard = known is None or known.position < endpoint.position
        return is_unheard and endpoint.position <= self.position

    def _is_old(self, endpoint: Endpoint, news: BackendChange | None = None) -> bool:
        """Tell whether what others say of a backend is no news here."""
        known = self._endpoints.get(endpoint.id)
        newest = known.position if known is not None else self.position
        newest = max(newest, self._gone.get(endpoint.id, 0))
        if known is None or endpoint.position != newest or news is None:
            return endpoint.position <= newest
        # Of two words of one position the copy's is the one that knows of no end.
        is_of_return = news.was_lost or self.store_return.is_settling
        is_end = news.gone or endpoint.state is EndpointState.LEAVING
        return not (is_of_return and is_end and known.state is EndpointState.READY)

    def _forget(self, endpoint_id: str, position: StorePosition) -> None:
        self._endpoints.pop(endpoint_id, None)
        self._gone[endpoint_id] = max(position, self._gone.get(endpoint_id, 0))
        while len(self._gone) > _GONE_LIMIT:
            del self._gone[next(iter(self._gone))]


def _is_as_before(told: Endpoint, known: Endpoint) -> bool:
    """Tell whether a backend is listed anew by a store that is back, and nothing else.

    All are, and need not be told of to everybody.
    """
    is_of_before = era_of(known.position) < era_of(told.position)
    return is_of_before and replace(known, position=told.position) == told
