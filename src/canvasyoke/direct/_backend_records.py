"""An entry's records of backends and the changes that update them.

The list of backends comes from the store and from other entries; in-flight requests are
counted locally.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.coordination import RANKERS, Ejection, Ranker
from canvasyoke.crashes import OnRunChange, RunChange
from canvasyoke.direct._backend_checks import BackendEvidence
from canvasyoke.direct._backend_health import BackendHealth
from canvasyoke.direct._backend_limits import BackendLimits
from canvasyoke.direct._backend_notices import BackendNotices
from canvasyoke.direct._domains import DomainReachability, EvacuatedDomains
from canvasyoke.direct._group_states import GroupStates, OwnObservation
from canvasyoke.direct._groups import RankGroups
from canvasyoke.direct._home_share import assign_home_share
from canvasyoke.direct._known_backends import BackendChange, KnownBackends
from canvasyoke.direct._member import Member
from canvasyoke.direct._peer_loads import PeerLoad, PeerLoads
from canvasyoke.direct._store_restore import StoreRestore
from canvasyoke.state import Endpoint, EndpointState, StorePosition

#: Milliseconds over which the weight of a load report decays linearly to zero. The requests that a
#: report counted have ended by then, and others have started since.
_REPORT_DECAY: Final = 2 * SECOND
#: Milliseconds by which another entry's confirmation of the list must be newer than the last
#: one. Without this threshold entries would keep confirming each other's list, and none
#: would notice that the store is unavailable to all.
_MIN_CONFIRMATION_STEP: Final = 200
_RANKER: Final = "sampled_paced"
#: Used where the fleet is too large for all entries to exchange their loads.
_LARGE_FLEET_RANKER: Final = "near_paced"


@dataclass(frozen=True, slots=True)
class FleetView:
    """The known entries that share the same backends."""

    #: Number of entries, including this one.
    entries: int = 1
    #: Names of this entry and of the other entries in its failure domain.
    name: str = ""
    domain_peers: frozenset[str] = frozenset()
    #: Whether entries exchange loads with all others or only within their domain.
    is_full_mesh: bool = True
    #: Failure domains of all entries by name, including this one; empty if not known.
    domains: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class BackendRecords:
    """Records of all known backends; thread-safe."""

    domain: str
    clock: Clock
    rng: random.Random
    _fleet: FleetView = FleetView()
    #: Runs of the backends assigned to this entry as its home share.
    _home_share: frozenset[str] = frozenset()
    #: Whether the groups of the backends execute steps; has a lock of its own.
    group_states: GroupStates = field(init=False)
    _groups: RankGroups = field(init=False)
    _health: BackendHealth = field(init=False)
    _notices: BackendNotices = field(init=False)
    #: Input of the availability checks.
    _evidence: BackendEvidence = field(init=False)
    _ranker: Ranker = field(init=False)
    _domains: DomainReachability = field(default_factory=DomainReachability)
    _evacuated: EvacuatedDomains = field(default_factory=EvacuatedDomains)
    #: Whether no backend that this entry can reach serves its callers.
    _is_isolated: bool = False
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _known: KnownBackends = field(init=False)
    #: Members by run, and runs by endpoint id.
    _members: dict[str, Member] = field(default_factory=dict)
    _runs: dict[str, str] = field(default_factory=dict)
    _peers: PeerLoads = field(default_factory=PeerLoads)
    #: Time at which the list was last confirmed to match the store; initially the time of
    #: creation.
    _confirmed_at: int = field(init=False)
    #: Observer of runs that are added, leave or are removed.
    _on_run_change: OnRunChange = lambda _endpoint, _change: None
    #: Moving average of request durations in milliseconds, by service.
    _durations: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._known = KnownBackends(StoreRestore(self.clock))
        self.group_states = GroupStates(
            self.clock, self.own_observations, self.all_own_observations
        )
        self._groups = RankGroups(self.clock, self.group_states)
        self._health = BackendHealth(self.clock)
        self._notices = BackendNotices(self.clock, BackendLimits(self.clock, self.rng))
        self._evidence = BackendEvidence(
            self.clock, self._notices, self._health, self._groups, self._domains, self._evacuated
        )
        self._ranker = RANKERS.get(_RANKER)(self.rng)
        self._confirmed_at = self.clock.now()

    @property
    def is_known(self) -> bool:
        """Return whether a list has been received."""
        return self._known.is_known

    @property
    def position(self) -> StorePosition:
        """Return the position up to which all changes are known; 0 before the first list."""
        return self._known.position

    @property
    def era(self) -> int:
        """Return how many times the store is known to have been restored from a copy."""
        return self._known.store_restore.era

    @property
    def needs_list(self) -> bool:
        """Return whether a list is needed to resolve doubted backends after a restore."""
        with self._lock:
            return self._known.store_restore.needs_list

    @property
    def doubted(self) -> int:
        """Return the number of backends whose state in the store is not trusted."""
        with self._lock:
            return len(self._known.store_restore.doubted)

    def merge(self, endpoints: Iterable[Endpoint], position: StorePosition) -> list[BackendChange]:
        """Merge another entry's list as of a position and return the changes."""
        with self._lock:
            is_first = not self._known.is_known
            return self._apply_changes(self._known.merge(endpoints, position), is_first)

    def merge_from_store(
        self,
        endpoints: Iterable[Endpoint],
        position: StorePosition,
        keep: frozenset[str] = frozenset(),
    ) -> list[BackendChange]:
        """Merge the store's list as of a position; keep those in ``keep`` even if missing."""
        with self._lock:
            is_first = not self._known.is_known
            changes = self._known.merge_from_store(endpoints, position, keep)
            return self._apply_changes(changes, is_first)

    def put(self, endpoint: Endpoint) -> list[BackendChange]:
        """Add or update one backend and return the changes."""
        with self._lock:
            return self._apply_changes(self._known.put(endpoint))

    def remove(self, endpoint_id: str, position: StorePosition) -> list[BackendChange]:
        """Remove one backend; its in-flight requests continue."""
        with self._lock:
            return self._apply_changes(self._known.remove(endpoint_id, position))

    def apply_change(self, change: BackendChange) -> bool:
        """Apply a change relayed by another entry; return false if it is outdated."""
        with self._lock:
            is_new = self._known.apply_peer_change(change)
            if is_new:
                self._apply_changes([change])
            return is_new

    def refute(self, change: BackendChange) -> BackendChange | None:
        """Return the reply to an outdated change of a removed backend; ``None`` for none."""
        with self._lock:
            return self._known.refute(change)

    def advance_position(self, position: StorePosition) -> None:
        """Record that all changes up to a position were received."""
        with self._lock:
            self._known.advance_to(position)

    def confirm_list(self, age: int = 0) -> None:
        """Record that the list matched the store ``age`` milliseconds ago."""
        at = self.clock.now() - age
        with self._lock:
            if age == 0 or at - self._confirmed_at >= _MIN_CONFIRMATION_STEP:
                self._confirmed_at = at

    @property
    def list_age(self) -> int:
        """Return the milliseconds since the list was last confirmed to match the store."""
        with self._lock:
            return self._list_age()

    def _list_age(self) -> int:
        return self.clock.now() - self._confirmed_at

    def _apply_changes(
        self, changes: list[BackendChange], is_first_list: bool = False
    ) -> list[BackendChange]:
        """Create, update and remove members for changes of the list."""
        limits = self._notices.limits
        for change in changes:
            endpoint = change.endpoint
            if change.gone or not self._is_same_run(endpoint):
                self._forget(endpoint.id)
            if change.gone:
                continue
            now = self.clock.now()
            member = self._members.get(endpoint.run)
            limits.cold.record_listed(endpoint, member is None, is_first_list)
            if member is None:
                self._runs[endpoint.id] = endpoint.run
                self._members[endpoint.run] = Member(endpoint, Ejection(self.clock), now)
                self._on_run_change(endpoint, RunChange.ADDED)
            else:
                member.endpoint, member.updated_at = endpoint, now
            if endpoint.state is EndpointState.LEAVING:
                self._on_run_change(endpoint, RunChange.LEAVING)
        if changes:
            self._assign_home_share()
            limits.parts.set_backends(member.endpoint for member in self._members.values())
        return changes

    def _is_same_run(self, endpoint: Endpoint) -> bool:
        """Return whether the existing record of a backend belongs to the same run.

        A run without a start time is identified by its address.
        """
        known = self._members.get(self._runs.get(endpoint.id, ""))
        return known is not None and (known.endpoint.run, known.endpoint.address) == (
            endpoint.run,
            endpoint.address,
        )

    def _forget(self, endpoint_id: str) -> None:
        run = self._runs.pop(endpoint_id, None)
        if run is not None:
            endpoint = self._members.pop(run).endpoint
            self._on_run_change(endpoint, RunChange.REMOVED)
            self._notices.limits.cold.record_removed(endpoint)
            self._groups.forget(run)
            self._health.forget(run)

    def watch_runs(self, on_change: OnRunChange) -> None:
        """Set what is called on each change of a run, with the lock held."""
        self._on_run_change = on_change

    def set_fleet(self, fleet: FleetView) -> None:
        """Set the entries that share the same backends."""
        with self._lock:
            if fleet.is_full_mesh != self._fleet.is_full_mesh:
                name = _RANKER if fleet.is_full_mesh else _LARGE_FLEET_RANKER
                self._ranker = RANKERS.get(name)(self.rng)
            self._fleet = fleet
            if fleet.domains:
                self._notices.limits.parts.set_entries(
                    fleet.name, fleet.domains, fleet.is_full_mesh
                )
            self._assign_home_share()

    def _assign_home_share(self) -> None:
        """Recompute this entry's home share."""
        if not self._fleet.is_full_mesh:
            endpoints = [
                member.endpoint
                for member in self._members.values()
                if not self._is_evacuated(member.endpoint)
            ]
            # Assigned by id, so that a restarted backend stays in the share of the same entry.
            ids = assign_home_share(
                self._fleet.name, self.domain, self._fleet.domain_peers, endpoints
            )
            self._home_share = frozenset(self._runs[endpoint_id] for endpoint_id in ids)

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the failure domains whose backends get no requests."""
        with self._lock:
            return self._evacuated.names

    def set_evacuated(self, domains: frozenset[str]) -> None:
        """Set the failure domains whose backends get no requests; running ones continue."""
        with self._lock:
            self._evacuated.names = domains
            self._assign_home_share()

    def _is_evacuated(self, endpoint: Endpoint) -> bool:
        return endpoint.domain in self._evacuated.names

    def update_peer_load(self, peer: str, load: PeerLoad) -> None:
        """Store another entry's in-flight requests."""
        with self._lock:
            self._peers.update(peer, load, self.clock.now())

    def unrelayed_loads(self) -> dict[str, PeerLoad]:
        """Return the loads received from other entries since the last call."""
        with self._lock:
            return self._peers.take_unrelayed()

    def remove_peer(self, peer: str) -> None:
        """Remove another entry's load."""
        with self._lock:
            self._peers.remove(peer)

    def ids(self) -> frozenset[str]:
        """Return the ids of all known backends."""
        with self._lock:
            return frozenset(self._runs)

    def endpoints(self) -> list[Endpoint]:
        """Return all known backends."""
        with self._lock:
            return [member.endpoint for member in self._members.values()]

    def own_load(self) -> dict[str, int]:
        """Return this entry's in-flight requests by backend."""
        with self._lock:
            return {i: m.own_requests for i, m in self._members.items() if m.own_requests}

    def own_observations(self, service: str) -> dict[str, OwnObservation]:
        """Return what this entry's traffic shows of a service's groups, by group.

        The empty name stands for backends without a group. Backends of an unknown group are left
        out: they have just started.
        """
        with self._lock:
            names = {
                self._groups.group_of(member.endpoint.run)
                for member in self._members.values()
                if member.endpoint.service == service
                and member.endpoint.state is not EndpointState.LEAVING
                and self._groups.is_learned(member.endpoint.run)
            }
            return {name: self._groups.observation(name) for name in names}

    def all_own_observations(self) -> dict[str, OwnObservation]:
        """Return what this entry's traffic shows, by group."""
        with self._lock:
            return self._groups.observations()

    def _load(self, member: Member) -> int:
        """Return the in-flight requests of all entries at a backend."""
        return member.own_requests + self._peer_requests(member)

    def _peer_requests(self, member: Member) -> int:
        known = self._peers.requests_at(member.endpoint.run)
        if self._fleet.is_full_mesh and self._peers.entries:
            return known
        # Entries of other domains do not send their load to this entry.
        weight = max(0.0, 1 - (self.clock.now() - member.reported_at) / _REPORT_DECAY)
        return max(known, round(member.peer_requests * weight))
