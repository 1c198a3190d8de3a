"""Routing table of entries that call backends directly.

A table is immutable and built from one version of the configuration. A request uses the table from
which its route was selected until it completes.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


class Repeatability(enum.Enum):
    """How often a request may be executed."""

    #: Any number of times.
    SAFE = enum.auto()
    #: At most once.
    ONCE = enum.auto()


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Weighted share of a route's requests that a service receives."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class TableRoute:
    """Services and limits for requests with one host and path prefix."""

    name: str
    host: str
    #: Starts and ends with a slash.
    path_prefix: str
    #: Weighted services that receive the requests; at least one.
    shares: tuple[ServiceShare, ...]
    repeatability: Repeatability
    #: Whether the response is a stream of numbered events.
    is_stream: bool
    #: Whether another backend can resume an interrupted stream.
    resumable: bool
    #: Request timeout in milliseconds.
    timeout: int
    #: Latency objective in milliseconds.
    objective: int
    #: 0 is the most urgent.
    priority: int
    #: Maximum number of backends to which one request is sent.
    max_attempts: int
    #: Whether requests are accepted without an API key.
    is_anonymous: bool
    #: Objective in milliseconds for the longest interval between two events of a stream; 0 for
    #: none.
    longest_pause: int = 0

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have been executed can be retried."""
        if self.is_stream:
            return self.resumable
        return self.repeatability is Repeatability.SAFE


@dataclass(frozen=True, slots=True)
class RankGeometry:
    """Dimensions of a service's rank groups, used to plan expert maps."""

    #: Number of layers, whose experts are placed independently.
    layers: int
    experts: int
    #: Maximum number of experts per rank and layer.
    capacity: int
    #: Maximum number of experts that one change adds per rank and layer.
    max_new_experts: int
    #: Time in milliseconds in which a rank copies one expert.
    copy_time: float


@dataclass(frozen=True, slots=True)
class TableService:
    """A service that routes refer to."""

    name: str
    #: Maximum number of connections per backend, over all clients; 0 if unknown.
    max_connections: int
    #: Dimensions of its rank groups; ``None`` for a plain service.
    geometry: RankGeometry | None = None
    #: Milliseconds from the return of a group's last missing rank until the group opens.
    form_time: int = 0
    #: Requests a second that a cold backend accepts from all entries together; 0 for no limit.
    cold_rate: float = 0.0
    #: Milliseconds for which a backend stays cold after its start.
    cold_time: int = 0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits for receiving a request. Times are in milliseconds."""

    header_bytes: int
    body_bytes: int
    header_time: int
    idle_time: int


#: Limits before a configuration has been loaded. No requests are served in that state.
DEFAULT_LIMITS = CallerLimits(
    header_bytes=64 << 10, body_bytes=16 << 20, header_time=10_000, idle_time=60_000
)


@dataclass(frozen=True, slots=True)
class TableOrganisation:
    """An organisation, which callers identify by one of its API keys."""

    name: str
    #: Overrides the route's priority; ``None`` if not set.
    priority: int | None


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """Routes, services, organisations and limits of one configuration version."""

    #: 0 before a configuration has been loaded.
    version: int = 0
    routes: tuple[TableRoute, ...] = ()
    services: Mapping[str, TableService] = field(default_factory=dict)
    organisations: Mapping[str, TableOrganisation] = field(default_factory=dict)
    #: Whether the configuration defines organisations. If not, no API key is required.
    has_organisations: bool = False
    limits: CallerLimits = DEFAULT_LIMITS
    _by_host: Mapping[str, tuple[TableRoute, ...]] = field(default_factory=dict, repr=False)

    def route_for(self, host: str, path: str) -> TableRoute | None:
        """Return the route of ``host`` with the longest matching prefix of ``path``."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def index_routes(routes: tuple[TableRoute, ...]) -> Mapping[str, tuple[TableRoute, ...]]:
    """Group routes by host, longest prefix first."""
    by_host: dict[str, list[TableRoute]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(of_host, key=lambda r: -len(r.path_prefix)))
        for host, of_host in by_host.items()
    }
