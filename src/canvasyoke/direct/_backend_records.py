"""What an entry keeps of each backend, and how word of them comes and goes.

The list comes from the store and from other entries; requests under way are counted here.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.coordination import RANKERS, Ejection, Ranker
from canvasyoke.direct._backend_health import BackendHealth
from canvasyoke.direct._backend_limits import BackendLimits
from canvasyoke.direct._backend_notices import BackendNotices
from canvasyoke.direct._domains import DomainReach
from canvasyoke.direct._groups import RankGroups
from canvasyoke.direct._home_share import deal_home_share
from canvasyoke.direct._known_backends import BackendChange, KnownBackends
from canvasyoke.direct._member import Member
from canvasyoke.direct._pass_over import Sources
from canvasyoke.direct._peer_loads import PeerLoads, ToldLoad
from canvasyoke.direct._store_return import StoreReturn
from canvasyoke.state import Endpoint, StorePosition

#: Milliseconds over which a report of load fades to nothing: requests of others that it
#: counted have ended by then, and new ones have come that it does not know.
_REPORT_FADES: Final = 2 * SECOND
#: Least milliseconds by which another entry's word of the list must be fresher than what
#: is known here: entries that hear each other's echo would find the list younger by the
#: time on the link with each of them, and never see that nobody has the store.
_CONFIRM_STEP: Final = 200
_RANKER: Final = "sampled_paced"
#: In a fleet too large for all entries to tell each other their loads.
_FLEET_RANKER: Final = "near_paced"


@dataclass(frozen=True, slots=True)
class FleetView:
    """The entries that choose among the same backends, as far as they are known."""

    #: All of them, this one included.
    entries: int = 1
    #: Names of this entry, and of the others in its failure domain.
    own: str = ""
    near: frozenset[str] = frozenset()
    #: Whether each entry hears the load of all others, or only of its own domain's.
    hears_all: bool = True


@dataclass(slots=True)
class BackendRecords:
    """All backends known; thread-safe."""

    domain: str
    clock: Clock
    rng: random.Random
    _fleet: FleetView = FleetView()
    #: Backends that were dealt to this entry.
    _home: frozenset[str] = frozenset()
    _groups: RankGroups = field(init=False)
    _health: BackendHealth = field(init=False)
    _words: BackendNotices = field(init=False)
    #: What speaks for and against a backend.
    _sources: Sources = field(init=False)
    _ranker: Ranker = field(init=False)
    _domains: DomainReach = field(default_factory=DomainReach)
    #: Whether the entry has found itself cut off from all that could serve its callers.
    _is_isolated: bool = False
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _known: KnownBackends = field(init=False)
    #: By run, and the run by the name of the entry.
    _members: dict[str, Member] = field(default_factory=dict)
    _runs: dict[str, str] = field(default_factory=dict)
    _peers: PeerLoads = field(default_factory=PeerLoads)
    #: Time on the clock at which the list was last known to be in step with the store;
    #: before any list the time at which this was made.
    _confirmed_at: int = field(init=False)
    #: Running mean of the milliseconds that a request takes, by service.
    _durations: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._known = KnownBackends(StoreReturn(self.clock))
        self._groups = RankGroups(self.clock)
        self._health = BackendHealth(self.clock)
        self._words = BackendNotices(self.clock, BackendLimits(self.clock, self.rng))
        self._sources = Sources(self.clock, self._words, self._health, self._groups, self._domains)
        self._ranker = RANKERS.get(_RANKER)(self.rng)
        self._confirmed_at = self.clock.now()

    @property
    def is_known(self) -> bool:
        """Tell whether a list has been read."""
        return self._known.is_known

    @property
    def position(self) -> StorePosition:
        """Return the position up to which all is known; 0 before any list."""
        return self._known.position

    @property
    def era(self) -> int:
        """Return how many times the store is known to have come back from a copy."""
        return self._known.store_return.era

    @property
    def wants_list(self) -> bool:
        """Tell whether a list is due that settles what was doubted after a return."""
        with self._lock:
            return self._known.store_return.wants_list

    @property
    def doubted(self) -> int:
        """Return the number of backends of which the store's word is not believed."""
        with self._lock:
            return len(self._known.store_return.doubted)

    def merge(self, endpoints: Iterable[Endpoint], position: StorePosition) -> list[BackendChange]:
        """Take another entry's list of a position, and return what it changes."""
        with self._lock:
            return self._follow(self._known.merge(endpoints, position))

    def merge_from_store(
        self,
        endpoints: Iterable[Endpoint],
        position: StorePosition,
        keep: frozenset[str] = frozenset(),
    ) -> list[BackendChange]:
        """Take the store's list of a position; those in ``keep`` stay although it lacks them."""
        with self._lock:
            return self._follow(self._known.merge_from_store(endpoints, position, keep))

    def put(self, endpoint: Endpoint) -> list[BackendChange]:
        """Add or change one backend, and return what that changes."""
        with self._lock:
            return self._follow(self._known.put(endpoint))

    def remove(self, endpoint_id: str, position: StorePosition) -> list[BackendChange]:
        """Forget one backend; requests under way there go on."""
        with self._lock:
            return self._follow(self._known.remove(endpoint_id, position))

    def hear(self, news: BackendChange) -> bool:
        """Take what another entry learned from the store; false when it is old."""
        with self._lock:
            is_new = self._known.apply_peer_change(news)
            if is_new:
                self._follow([news])
            return is_new

    def refute(self, news: BackendChange) -> BackendChange | None:
        """Return what to answer to old news of a backend that is gone; ``None`` for none."""
        with self._lock:
            return self._known.refute(news)

    def knows_up_to(self, position: StorePosition) -> None:
        """Take note that all changes up to a position have come."""
        with self._lock:
            self._known.advance_to(position)

    def confirmed(self, age: int = 0) -> None:
        """Take note that the list was in step with the store ``age`` milliseconds ago."""
        at = self.clock.now() - age
        with self._lock:
            if age == 0 or at - self._confirmed_at >= _CONFIRM_STEP:
                self._confirmed_at = at

    @property
    def list_age(self) -> int:
        """Return for how many milliseconds nobody has told that the list is in step."""
        with self._lock:
            return self._list_age()

    def _list_age(self) -> int:
        return self.clock.now() - self._confirmed_at

    def _follow(self, changes: list[BackendChange]) -> list[BackendChange]:
        """Begin and end to keep what is seen of backends."""
        for change in changes:
            endpoint = change.endpoint
            if change.gone or not self._is_same_run(endpoint):
                self._forget(endpoint.id)
            if change.gone:
                continue
            now = self.clock.now()
            member = self._members.get(endpoint.run)
            if member is None:
                self._runs[endpoint.id] = endpoint.run
                self._members[endpoint.run] = Member(endpoint, Ejection(self.clock), now)
            else:
                member.endpoint, member.heard_at = endpoint, now
        if changes:
            self._deal()
        return changes

    def _is_same_run(self, endpoint: Endpoint) -> bool:
        """Tell whether what was seen of a backend is of this run of it.

        A run that does not say when it started is another one at another address.
        """
        known = self._members.get(self._runs.get(endpoint.id, ""))
        return known is not None and (known.endpoint.run, known.endpoint.address) == (
            endpoint.run,
            endpoint.address,
        )

    def _forget(self, endpoint_id: str) -> None:
        run = self._runs.pop(endpoint_id, None)
        if run is not None:
            del self._members[run]
            self._groups.forget(run)
            self._health.forget(run)

    def set_fleet(self, fleet: FleetView) -> None:
        """Take note of which entries choose among the same backends."""
        with self._lock:
            if fleet.hears_all != self._fleet.hears_all:
                name = _RANKER if fleet.hears_all else _FLEET_RANKER
                self._ranker = RANKERS.get(name)(self.rng)
            self._fleet = fleet
            self._deal()

    def _deal(self) -> None:
        """Work out which backends are this entry's before all others."""
        if not self._fleet.hears_all:
            endpoints = [member.endpoint for member in self._members.values()]
            self._home = deal_home_share(self._fleet.own, self.domain, self._fleet.near, endpoints)

    def peer_load(self, peer: str, load: ToldLoad) -> None:
        """Take note of another entry's requests under way."""
        with self._lock:
            self._peers.took(peer, load, self.clock.now())

    def unrelayed_loads(self) -> dict[str, ToldLoad]:
        """Return the other entries' loads that came since the last call."""
        with self._lock:
            return self._peers.take_unrelayed()

    def peer_left(self, peer: str) -> None:
        """Forget another entry's load."""
        with self._lock:
            self._peers.left(peer)

    def ids(self) -> frozenset[str]:
        """Return the ids of all backends known."""
        with self._lock:
            return frozenset(self._runs)

    def endpoints(self) -> list[Endpoint]:
        """Return all backends known."""
        with self._lock:
            return [member.endpoint for member in self._members.values()]

    def own_load(self) -> dict[str, int]:
        """Return this entry's requests under way by backend."""
        with self._lock:
            return {i: m.own for i, m in self._members.items() if m.own}

    def _load(self, member: Member) -> int:
        """Return the requests of all entries at a backend."""
        return member.own + self._others(member)

    def _others(self, member: Member) -> int:
        told = self._peers.of(member.endpoint.run)
        if self._fleet.hears_all and self._peers.entries:
            return told
        # Entries of other domains do not tell their load here.
        fade = max(0.0, 1 - (self.clock.now() - member.reported_at) / _REPORT_FADES)
        return max(told, round(member.others * fade))
