"""Division of a backend's rate among a few entries, which hold parts of it.

In a large fleet an equal share of a rate is one request in many seconds, and most of it stays
unused. Instead each backend's rate is divided among as many entries as it allows requests
within its window. Every entry computes the same division from the names of the entries and
backends, so no process decides and none has to be asked.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.membership import hash_order
from canvasyoke.state import Endpoint

#: Names whose place in the common order is kept; a fleet's entries and backends fit.
_MAX_CACHED: Final = 20_000
_cached_order: Final = lru_cache(_MAX_CACHED)(hash_order)
#: Milliseconds for which an entry or backend that is no longer listed still counts. A division
#: that follows each loss would give parts to both sides of a network partition.
_RETENTION_TIME: Final = 60 * SECOND
#: Milliseconds until an entry uses a part that it has gained by a change of the division. The
#: entry that has lost the part has heard of the change by then.
_SETTLE_TIME: Final = 2 * SECOND
#: Earlier divisions that are kept per backend; more changes within ``_SETTLE_TIME`` are rare.
_MAX_EARLIER: Final = 8


@dataclass(frozen=True, slots=True)
class _Place:
    """Place of this entry in the order in which entries get parts of a backend."""

    #: 0 for the entry that gets a part first.
    index: int
    #: Number of entries in the order.
    entries: int
    #: Fewest parts with which every entry holds a part of some backend.
    min_parts: int

    def part(self, requests: int, max_requests: int) -> int:
        """Return this entry's part of so many requests; the first ones get the remainder."""
        divided = requests
        if self.min_parts > requests:
            divided = min(max_requests, self.min_parts)
        each, rest = divmod(divided, self.entries)
        return each + (self.index < rest)


@dataclass(slots=True)
class _Assignment:
    place: _Place
    #: Earlier places, with the clock time until which the smaller part applies.
    earlier: list[tuple[_Place, int]] = field(default_factory=list)


@dataclass(slots=True)
class BackendParts:
    """This entry's parts of the backends. Not thread-safe; guarded by the roster's lock."""

    clock: Clock
    #: Whether the names of the entries are known.
    is_known: bool = False
    #: Whether loads and demands are exchanged among all entries.
    is_full_mesh: bool = True
    _own: str = ""
    #: Failure domain of each entry, in the common order of entries.
    _entries: dict[str, str] = field(default_factory=dict)
    #: Clock time until which an entry counts.
    _entries_until: dict[str, int] = field(default_factory=dict)
    #: Listed and recently listed backends by id, and the clock time until which they count.
    _backends: dict[str, Endpoint] = field(default_factory=dict)
    _backends_until: dict[str, int] = field(default_factory=dict)
    #: Ids of the backends that are listed at present.
    _listed: frozenset[str] = frozenset()
    #: Ids of the backends by run.
    _ids: dict[str, str] = field(default_factory=dict)
    _assignments: dict[str, _Assignment] = field(default_factory=dict)

    def part(self, run: str, requests: int, max_requests: int = 0) -> int:
        """Return this entry's part of the requests that a backend may get within its window.

        ``requests`` are divided. In a fleet so large that some entries would hold no part of any
        backend, up to ``max_requests`` are divided instead. Returns 0 before the entries are known.
        """
        assignment = self._assignments.get(self._ids.get(run, ""))
        if not self.is_known or assignment is None:
            return 0
        most = max(requests, max_requests)
        part = assignment.place.part(requests, most)
        if assignment.earlier:
            now = self.clock.now()
            assignment.earlier = [each for each in assignment.earlier if now < each[1]]
            for place, _ in assignment.earlier:
                part = min(part, place.part(requests, most))
        return part

    def set_entries(self, own: str, entries: Mapping[str, str], is_full_mesh: bool) -> None:
        """Set the failure domains of all entries by name, including this entry's own."""
        now = self.clock.now()
        self.is_full_mesh = is_full_mesh
        for name in entries:
            self._entries_until[name] = now + _RETENTION_TIME
        self._entries_until = {n: until for n, until in self._entries_until.items() if now < until}
        known = {**self._entries, **entries}
        ordered = sorted(self._entries_until, key=_cached_order)
        found = {name: known[name] for name in ordered}
        has_changed = self._drop_removed_backends(now)
        if found != self._entries or own != self._own:
            self._own, self._entries = own, found
            self.is_known = own in found
            has_changed = True
        if has_changed:
            self._assign()

    def set_backends(self, endpoints: Iterable[Endpoint]) -> None:
        """Set the listed backends."""
        now = self.clock.now()
        before = {e.id: (e.service, e.domain) for e in self._backends.values()}
        self._drop_removed_backends(now)
        listed = {endpoint.id: endpoint for endpoint in endpoints}
        self._listed = frozenset(listed)
        self._backends |= listed
        self._backends_until |= dict.fromkeys(listed, now + _RETENTION_TIME)
        self._ids = {endpoint.run: i for i, endpoint in self._backends.items()}
        if {e.id: (e.service, e.domain) for e in self._backends.values()} != before:
            self._assign()

    def _drop_removed_backends(self, now: int) -> bool:
        """Drop backends that were removed a retention time ago; return whether there were any.

        The list is only set when it changes, so this is also done with each set of entries.
        """
        self._backends_until |= dict.fromkeys(self._listed, now + _RETENTION_TIME)
        dropped = [i for i, until in self._backends_until.items() if now >= until]
        for backend in dropped:
            del self._backends_until[backend], self._backends[backend]
        return bool(dropped)

    def _assign(self) -> None:
        """Compute the places of this entry, and keep the earlier ones until they have settled."""
        if not self.is_known:
            return
        until = self.clock.now() + _SETTLE_TIME
        places: dict[str, _Place] = {}
        for service in {endpoint.service for endpoint in self._backends.values()}:
            listed = [e for e in self._backends.values() if e.service == service]
            places |= _compute_places(self._own, self._entries, listed)
        assignments = {}
        for backend, place in places.items():
            known = self._assignments.get(backend)
            if known is None:
                known = _Assignment(place)
            elif known.place != place:
                earlier = [*known.earlier, (known.place, until)][-_MAX_EARLIER:]
                known = _Assignment(place, earlier)
            assignments[backend] = known
        self._assignments = assignments


def _compute_places(
    own: str, entries: Mapping[str, str], backends: Iterable[Endpoint]
) -> dict[str, _Place]:
    """Return the places of entry ``own`` at a service's backends, by backend id.

    ``entries`` are in the common order. The entries of a backend's domain come first, beginning
    with the one whose home share it is, then those of other domains. Entries of a domain without
    backends of the service are added to the other domains in turn.
    """
    by_domain: dict[str, list[str]] = {}
    for endpoint in backends:
        by_domain.setdefault(endpoint.domain, []).append(endpoint.id)
    domains = sorted(by_domain)
    pools: dict[str, list[str]] = {domain: [] for domain in domains}
    pool_of: dict[str, str] = {}
    strays = 0
    for name, domain in entries.items():
        if domain not in pools:
            domain = domains[strays % len(domains)]
            strays += 1
        pools[domain].append(name)
        pool_of[name] = domain
    min_parts = max(-(-len(pools[d]) // len(by_domain[d])) for d in domains)
    places: dict[str, _Place] = {}
    for domain, ids in by_domain.items():
        near = pools[domain]
        is_near = own in near
        members = near if is_near else [name for name in entries if pool_of[name] != domain]
        first = 0 if is_near else len(near)
        position = members.index(own)
        for number, backend in enumerate(sorted(ids, key=_cached_order)):
            begin = number * len(members) // len(ids)
            index = first + (position - begin) % len(members)
            places[backend] = _Place(index, len(entries), min_parts)
    return places
