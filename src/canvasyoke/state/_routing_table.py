"""What the operator has put in force, as an entry that calls backends itself uses it.

A table is built whole from one version of the configuration and never changed, so a
request that picked its route from one table is served by that table to its end.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


class Repeatability(enum.Enum):
    """How often a request of a route may run."""

    #: It may run any number of times.
    SAFE = enum.auto()
    #: It may run once at the most.
    ONCE = enum.auto()


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that takes a part of a route's requests."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class TableRoute:
    """Where requests with one host and path prefix go, and under which limits."""

    name: str
    host: str
    #: Begins and ends with a slash.
    path_prefix: str
    #: Services that take the requests, by weight; one or more.
    shares: tuple[ServiceShare, ...]
    repeatability: Repeatability
    #: Whether the answer is a stream of numbered events.
    is_stream: bool
    #: Whether another backend can go on where a stream broke off.
    resumable: bool
    #: Milliseconds that a request may be held.
    timeout: int
    #: Milliseconds within which an answer is on time.
    objective: int
    #: 0 is the most urgent.
    priority: int
    #: Backends that one request may be sent to.
    max_attempts: int
    #: Whether a request needs no API key.
    is_anonymous: bool
    #: Longest time between two events of a stream, in milliseconds, with which its answer
    #: is still on time; 0 when the route states none.
    longest_pause: int = 0

    @property
    def repeatable(self) -> bool:
        """Tell whether a request that may have run can be sent again."""
        if self.is_stream:
            return self.resumable
        return self.repeatability is Repeatability.SAFE


@dataclass(frozen=True, slots=True)
class RankGeometry:
    """The shape of a service's rank groups, for those that plan expert maps."""

    #: Layers that are placed independently of each other.
    layers: int
    experts: int
    #: Experts that a rank holds in a layer at the most.
    capacity: int
    #: Experts new to a rank in a layer that one change may bring.
    max_new_experts: int
    #: Milliseconds that a rank needs to copy one expert.
    copy_time: float


@dataclass(frozen=True, slots=True)
class TableService:
    """A service that routes name."""

    name: str
    #: Connections that one backend takes from all callers together; 0 when unknown.
    max_connections: int
    #: Shape of its rank groups; ``None`` for a plain service.
    geometry: RankGeometry | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may take. Times in milliseconds."""

    header_bytes: int
    body_bytes: int
    header_time: int
    idle_time: int


#: What holds before any configuration is known: generous, for nothing is served then.
DEFAULT_LIMITS = CallerLimits(
    header_bytes=64 << 10, body_bytes=16 << 20, header_time=10_000, idle_time=60_000
)


@dataclass(frozen=True, slots=True)
class TableOrganisation:
    """An organisation, found by one of its API keys."""

    name: str
    #: Goes before the route's priority; ``None`` when it has none of its own.
    priority: int | None


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the configuration."""

    #: 0 before any is known.
    version: int = 0
    routes: tuple[TableRoute, ...] = ()
    services: Mapping[str, TableService] = field(default_factory=dict)
    organisations: Mapping[str, TableOrganisation] = field(default_factory=dict)
    #: Whether the configuration knows organisations at all; without, no key is asked for.
    has_organisations: bool = False
    limits: CallerLimits = DEFAULT_LIMITS
    _by_host: Mapping[str, tuple[TableRoute, ...]] = field(default_factory=dict, repr=False)

    def route_for(self, host: str, path: str) -> TableRoute | None:
        """Return the route of ``host`` with the longest prefix of ``path``."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def index_routes(routes: tuple[TableRoute, ...]) -> Mapping[str, tuple[TableRoute, ...]]:
    """Return the routes of each host, longest prefix first."""
    by_host: dict[str, list[TableRoute]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(of_host, key=lambda r: -len(r.path_prefix)))
        for host, of_host in by_host.items()
    }
