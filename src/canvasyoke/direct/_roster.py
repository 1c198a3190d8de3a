"""The backends that an entry knows, and what it has seen of each.

The list comes from the store; load and failures come from this entry's own traffic.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.backend import ReportedLoad
from canvasyoke.coordination import (
    RANKERS,
    Candidate,
    Ejection,
    Ranker,
    RouteRequest,
    filter_candidates,
)
from canvasyoke.direct._admission import ADMISSIONS
from canvasyoke.direct._backend_health import BackendHealth
from canvasyoke.direct._choice import Chosen, NoneAble, Wanted
from canvasyoke.direct._domains import DomainReach
from canvasyoke.direct._groups import RankGroups
from canvasyoke.direct._home_share import deal_home_share
from canvasyoke.direct._known_backends import BackendChange, KnownBackends
from canvasyoke.direct._peer_loads import PeerLoads, ToldLoad
from canvasyoke.direct._store_return import StoreReturn
from canvasyoke.observe import part_logger
from canvasyoke.protocol import Reason
from canvasyoke.state import Endpoint, EndpointState, StorePosition

#: Milliseconds over which a report of load fades to nothing: requests of others that it
#: counted have ended by then, and new ones have come that it does not know.
_REPORT_FADES: Final = 2 * SECOND
#: Milliseconds for which a backend is passed over whose address another run has: the list
#: will have caught up by then.
_MOVED_PAUSE: Final = 5 * SECOND
#: Milliseconds that a request is taken to need before any of its service has ended: a
#: stream takes somewhat more, a short answer much less.
_ASSUMED_DURATION: Final = 1_000.0
#: Part of a new duration in the running mean.
_DURATION_WEIGHT: Final = 0.2
#: Least milliseconds by which another entry's word of the list must be fresher than what
#: is known here: entries that hear each other's echo would find the list younger by the
#: time on the link with each of them, and never see that nobody has the store.
_CONFIRM_STEP: Final = 200
_RANKER: Final = "sampled_paced"
#: In a fleet too large for all entries to tell each other their loads.
_FLEET_RANKER: Final = "near_paced"
_ADMISSION: Final = "short_queue"
_log = part_logger("roster")


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
class _Member:
    endpoint: Endpoint
    ejection: Ejection
    #: Time on the clock at which the newest word of it came.
    heard_at: int
    #: Requests of this entry under way there.
    own: int = 0
    #: Requests of other entries, by the last report, and when that came.
    others: int = 0
    reported_at: int = 0
    duration: float = 0.0
    #: Time on the clock until which it is passed over.
    paused_until: int = 0


@dataclass(slots=True)
class Roster:
    """All backends known; thread-safe."""

    domain: str
    clock: Clock
    rng: random.Random
    _fleet: FleetView = FleetView()
    #: Backends that were dealt to this entry.
    _home: frozenset[str] = frozenset()
    _groups: RankGroups = field(init=False)
    _health: BackendHealth = field(init=False)
    _ranker: Ranker = field(init=False)
    _domains: DomainReach = field(default_factory=DomainReach)
    #: Whether the entry has found itself cut off from all that could serve its callers.
    _is_isolated: bool = False
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _known: KnownBackends = field(init=False)
    #: By run, and the run by the name of the entry.
    _members: dict[str, _Member] = field(default_factory=dict)
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
        self._ranker = RANKERS.get(_RANKER)(self.rng)
        self._confirmed_at = self.clock.now()

    @property
    def is_known(self) -> bool:
        """Tell whether a list has been read."""
        return self._known.is_known

    @property
    def revision(self) -> StorePosition:
        """Return the position up to which all is known; 0 before any list."""
        return self._known.revision

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

    def merge(self, endpoints: Iterable[Endpoint], revision: StorePosition) -> list[BackendChange]:
        """Take another entry's list of a position, and return what it changes."""
        with self._lock:
            return self._follow(self._known.merge(endpoints, revision))

    def merge_from_store(
        self,
        endpoints: Iterable[Endpoint],
        revision: StorePosition,
        keep: frozenset[str] = frozenset(),
    ) -> list[BackendChange]:
        """Take the store's list of a position; those in ``keep`` stay although it lacks them."""
        with self._lock:
            return self._follow(self._known.merge_from_store(endpoints, revision, keep))

    def put(self, endpoint: Endpoint) -> list[BackendChange]:
        """Add or change one backend, and return what that changes."""
        with self._lock:
            return self._follow(self._known.put(endpoint))

    def remove(self, endpoint_id: str, revision: StorePosition) -> list[BackendChange]:
        """Forget one backend; requests under way there go on."""
        with self._lock:
            return self._follow(self._known.remove(endpoint_id, revision))

    def hear(self, news: BackendChange) -> bool:
        """Take what another entry learned from the store; false when it is old."""
        with self._lock:
            is_new = self._known.hear(news)
            if is_new:
                self._follow([news])
            return is_new

    def refute(self, news: BackendChange) -> BackendChange | None:
        """Return what to answer to old news of a backend that is gone; ``None`` for none."""
        with self._lock:
            return self._known.refute(news)

    def knows_up_to(self, revision: StorePosition) -> None:
        """Take note that all changes up to a position have come."""
        with self._lock:
            self._known.knows_up_to(revision)

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
                self._members[endpoint.run] = _Member(endpoint, Ejection(self.clock), now)
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

    def is_ready(self, run: str) -> bool:
        """Tell whether a run is listed and has not said that it leaves."""
        with self._lock:
            member = self._members.get(run)
            return member is not None and member.endpoint.state is EndpointState.READY

    def endpoints(self) -> list[Endpoint]:
        """Return all backends known."""
        with self._lock:
            return [member.endpoint for member in self._members.values()]

    def own_load(self) -> dict[str, int]:
        """Return this entry's requests under way by backend."""
        with self._lock:
            return {i: m.own for i, m in self._members.items() if m.own}

    def choose(self, wanted: Wanted) -> Chosen | NoneAble:
        """Return the backend for a request and count the request there."""
        with self._lock:
            self._peers.forget_stale(self.clock.now())
            req = RouteRequest(
                wanted.service,
                self.domain,
                wanted.tried,
                self._peers.entries + 1 if self._fleet.hears_all else self._fleet.entries,
                len(self._fleet.near) + 1,
            )
            fastest = self._groups.fastest_pause()
            found = filter_candidates(
                [
                    self._candidate(m, fastest)
                    for m in self._members.values()
                    if m.endpoint.service == wanted.service
                ],
                req,
            )
            if not found.candidates:
                return NoneAble(found.reason)
            best = self._ranker.choose(found.candidates, req)
            member = self._members[best.instance]
            duration = self._durations.get(wanted.service, _ASSUMED_DURATION)
            if not ADMISSIONS.get(_ADMISSION)(best, duration, wanted.patience):
                return NoneAble(Reason.OVERLOADED)
            member.own += 1
            member.ejection.sent()
            heard_ago = self.clock.now() - member.heard_at
            return Chosen(member.endpoint, best.load, heard_ago, self._list_age())

    def _load(self, member: _Member) -> int:
        """Return the requests of all entries at a backend."""
        return member.own + self._others(member)

    def _others(self, member: _Member) -> int:
        told = self._peers.of(member.endpoint.run)
        if self._fleet.hears_all and self._peers.entries:
            return told
        # Entries of other domains do not tell their load here.
        fade = max(0.0, 1 - (self.clock.now() - member.reported_at) / _REPORT_FADES)
        return max(told, round(member.others * fade))

    def _candidate(self, member: _Member, fastest: float) -> Candidate:
        now = self.clock.now()
        endpoint = member.endpoint
        return Candidate(
            instance=endpoint.run,
            domain=endpoint.domain,
            service=endpoint.service,
            connected=True,
            leaving=endpoint.state is EndpointState.LEAVING,
            healthy=True,
            ejected=(
                member.ejection.ejected
                or now < member.paused_until
                or self._health.is_silent(endpoint.run)
                or self._groups.stands_still(endpoint.run)
                or self._domains.is_cut(endpoint.domain)
            ),
            slots=endpoint.slots,
            queue=0,
            reported=self._load(member),
            waiting=0,
            report_age=0,
            own_reported=member.own,
            own=member.own,
            duration=round(member.duration),
            pace=self._groups.pace(endpoint.run, fastest) * self._health.pace(endpoint.run),
            is_home=endpoint.run in self._home,
        )

    def is_away(self, service: str) -> bool:
        """Tell whether every group of a service stands still."""
        with self._lock:
            ready = [m for m in self._members.values() if m.endpoint.service == service]
            return bool(ready) and all(self._groups.stands_still(m.endpoint.run) for m in ready)

    def domain_missed(self, endpoint: Endpoint) -> None:
        """Take note that no connection was made to a backend."""
        with self._lock:
            if self._domains.missed(endpoint.domain, endpoint.run):
                _log.warning("domain out of reach", domain=endpoint.domain, own=self.domain)

    def domain_reached(self, domain: str) -> None:
        """Take note that a connection was made to a backend of a domain."""
        with self._lock:
            if self._domains.reached(domain):
                _log.info("domain in reach", domain=domain, own=self.domain)

    def cut_addresses(self) -> dict[str, str]:
        """Return the address of one backend in each domain that is out of reach."""
        with self._lock:
            cut = self._domains.cut()
            found = [m.endpoint for m in self._members.values() if m.endpoint.domain in cut]
            self.rng.shuffle(found)
            return {endpoint.domain: endpoint.address for endpoint in found}

    def is_isolated(self) -> bool:
        """Tell whether callers had better go to entries of other domains.

        So it is while all other domains are out of reach from here and a service has no
        backend left that answers; the others may still reach some. It stays so until a
        domain is in reach again, since without callers nothing tells of the backends.
        """
        with self._lock:
            endpoints = [m.endpoint for m in self._members.values()]
            others = {e.domain for e in endpoints} - {self.domain}
            if not others or not others <= self._domains.cut():
                self._is_isolated = False
            elif not self._is_isolated:
                services = {e.service for e in endpoints}
                served = {e.service for e in endpoints if self._answers(e)}
                self._is_isolated = served != services
            return self._is_isolated

    def _answers(self, endpoint: Endpoint) -> bool:
        is_cut = self._domains.is_cut(endpoint.domain)
        return not is_cut and not self._groups.stands_still(endpoint.run)

    def has_other(self, service: str, tried: frozenset[str]) -> bool:
        """Tell whether a service has a backend besides those tried."""
        with self._lock:
            return any(
                m.endpoint.service == service
                and m.endpoint.run not in tried
                and m.endpoint.state is EndpointState.READY
                for m in self._members.values()
            )

    def without_group(self, services: frozenset[str]) -> list[Endpoint]:
        """Return the backends of ``services`` whose group is not known yet."""
        with self._lock:
            return [
                m.endpoint
                for m in self._members.values()
                if m.endpoint.service in services and not self._groups.is_learned(m.endpoint.run)
            ]

    def learn_group(self, run: str, group: str) -> bool:
        """Take note of a backend's group, empty when it is in none; false if known."""
        with self._lock:
            if run not in self._members or self._groups.is_learned(run):
                return False
            self._groups.learn(run, group)
            return True

    def groups(self) -> dict[str, str]:
        """Return the groups learned so far by backend."""
        with self._lock:
            return self._groups.learned()

    def group_broke(self, run: str) -> None:
        """Take note that the group of a backend has lost a rank."""
        with self._lock:
            self._groups.broke(run)

    def learn_pace(self, run: str, pace: float) -> bool:
        """Take note of how long a backend takes for its work; false if that is no news."""
        with self._lock:
            return run in self._members and self._health.learn_pace(run, pace)

    def is_slow(self, run: str) -> bool:
        """Tell whether a backend is known to take longer than it should."""
        with self._lock:
            return self._health.pace(run) > 1.0

    def crawls(self, run: str) -> bool:
        """Tell whether a backend is so slow that its streams had better go on elsewhere."""
        with self._lock:
            return self._health.crawls(run)

    def in_slow_groups(self, service: str, longest_pause: int) -> list[Endpoint]:
        """Return the backends of this domain whose groups pause for longer than they may.

        Those that are known to be slow are among them: they may have recovered.
        """
        with self._lock:
            near = [
                m.endpoint
                for m in self._members.values()
                if m.endpoint.service == service and m.endpoint.domain == self.domain
            ]
            return [
                e
                for e in near
                if self._groups.pause(e.run) > longest_pause or self._health.pace(e.run) > 1.0
            ]

    def fell_silent(self, run: str) -> bool:
        """Take note that a backend says nothing; false if that is known."""
        with self._lock:
            return run in self._members and self._health.fell_silent(run)

    def is_overdue(self, run: str, waited: int) -> bool:
        """Tell whether a stream has waited for its first event for too long.

        That says nothing while the group stands still: then no backend of it answers. Nor
        does it where the stream may wait for a slot: taken for silent, backends of a crowded
        group were passed over, and the rest crowded more.
        """
        with self._lock:
            member = self._members.get(run)
            if member is None or not self._groups.makes_steps(run):
                return False
            if self._load(member) > member.endpoint.slots:
                return False
            return self._health.is_overdue(run, member.endpoint.service, waited)

    def stream_began(self, run: str, waited: int) -> None:
        """Take note of the first event of a stream, after a wait for it."""
        with self._lock:
            self._groups.stream_began(run)
            member = self._members.get(run)
            if member is not None:
                self._health.began(run, member.endpoint.service, waited)

    def stream_heard(self, run: str, pause: int) -> None:
        """Take note of a further event, ``pause`` milliseconds after the one before."""
        with self._lock:
            self._groups.heard(run, pause)
            if run in self._members:
                self._health.heard(run)

    def stream_ended(self, run: str) -> None:
        """Take note that a stream has ended or broken off."""
        with self._lock:
            self._groups.stream_ended(run)

    def load_seen(self, run: str, load: ReportedLoad) -> None:
        """Take note of the load that a backend told on an answer."""
        with self._lock:
            member = self._members.get(run)
            if member is None:
                return
            # The request that the answer belongs to may or may not be counted in it.
            member.others = max(0, load.running + load.waiting - member.own)
            member.reported_at = self.clock.now()

    def finished(self, run: str, duration: int, failed: bool) -> None:
        """Take note that a request is no longer under way there."""
        with self._lock:
            member = self._members.get(run)
            if member is None:
                return
            member.own = max(0, member.own - 1)
            if failed:
                member.ejection.failed()
                return
            member.ejection.succeeded()
            member.duration += _DURATION_WEIGHT * (duration - member.duration)
            service = member.endpoint.service
            mean = self._durations.get(service, float(duration))
            self._durations[service] = mean + _DURATION_WEIGHT * (duration - mean)

    def cancelled(self, run: str) -> None:
        """Take note that the caller of a request there has left.

        That says nothing of the backend, and how long the request took nothing of others.
        """
        with self._lock:
            member = self._members.get(run)
            if member is not None:
                member.own = max(0, member.own - 1)

    def moved(self, run: str) -> None:
        """Take note that another run has the address of this one."""
        with self._lock:
            member = self._members.get(run)
            if member is not None:
                member.own = max(0, member.own - 1)
                member.paused_until = self.clock.now() + _MOVED_PAUSE

    def refused(self, run: str, pause: int) -> None:
        """Take note that a backend turned a request away unrun; pass it over for a while."""
        with self._lock:
            member = self._members.get(run)
            if member is not None:
                member.own = max(0, member.own - 1)
                member.paused_until = self.clock.now() + pause
