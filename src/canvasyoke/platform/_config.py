"""Decodes the operator's configuration object into a routing table."""

from __future__ import annotations

import functools
from typing import Final

import msgspec

from canvasyoke.platform._bounds import Quantity, WholeNumber
from canvasyoke.platform._json_parts import DECODE_ERRORS
from canvasyoke.state import (
    CallerLimits,
    RankGeometry,
    Repeatability,
    RoutingTable,
    ServiceShare,
    TableOrganisation,
    TableRoute,
    TableService,
    Unusable,
    index_routes,
)

_STREAMING_KIND: Final = "streaming"
_SAFE_KIND: Final = "safe"
_BITS_PER_MEGABYTE: Final = 8.0
_MILLISECONDS_PER_SECOND: Final = 1_000.0
#: Number of converted routes that are cached: most are the same in the next version.
_ROUTE_CACHE_SIZE: Final = 10_000


class _Share(msgspec.Struct, frozen=True, gc=False):
    service: str = msgspec.field(name="Service")
    weight: WholeNumber = msgspec.field(name="Weight")


class _Route(msgspec.Struct, frozen=True, gc=False):
    name: str = msgspec.field(name="Name")
    host: str = msgspec.field(name="Host")
    path_prefix: str = msgspec.field(name="PathPrefix")
    kind: str = msgspec.field(name="Kind")
    timeout: Quantity = msgspec.field(name="TimeoutMs")
    # Latency to the first event of a stream, to the complete response otherwise.
    objective: Quantity = msgspec.field(name="TargetLatencyMs", default=0.0)
    priority: WholeNumber = msgspec.field(name="Priority", default=5)
    service: str = msgspec.field(name="Service", default="")
    shares: tuple[_Share, ...] = msgspec.field(name="TrafficSplit", default=())
    # Limits the different backends of one request, not the number of times it is sent.
    max_attempts: WholeNumber = msgspec.field(name="MaxAttempts", default=1)
    is_anonymous: bool = msgspec.field(name="AllowAnonymous", default=False)
    resumable: bool = msgspec.field(name="StreamResume", default=False)
    longest_pause: Quantity = msgspec.field(name="gap_aim_ms", default=0.0)


class _Engine(msgspec.Struct, frozen=True):
    link_mbps: Quantity = msgspec.field(name="LinkMbps", default=0.0)
    # A set is a layer whose experts are placed independently of other layers.
    sets: WholeNumber = 0
    experts: WholeNumber = 0
    places: WholeNumber = 0
    spare: WholeNumber = 0
    expert_mb: Quantity = 0.0
    form_time: Quantity = msgspec.field(name="form_ms", default=0.0)


class _Service(msgspec.Struct, frozen=True):
    name: str = msgspec.field(name="Name")
    max_connections: WholeNumber = msgspec.field(name="MaxConnections", default=0)
    engine: _Engine | None = msgspec.field(name="Engine", default=None)
    cold_seconds: Quantity = msgspec.field(name="ColdStartS", default=0.0)
    cold_rate: Quantity = msgspec.field(name="ColdPerS", default=0.0)


class _Limits(msgspec.Struct, frozen=True):
    header_bytes: WholeNumber = msgspec.field(name="MaxHeaderBytes")
    body_bytes: WholeNumber = msgspec.field(name="MaxBodyBytes")
    header_time: Quantity = msgspec.field(name="HeaderTimeoutMs")
    idle_time: Quantity = msgspec.field(name="IdleTimeoutMs")


class _Organisation(msgspec.Struct, frozen=True):
    name: str = msgspec.field(name="Name")
    keys: list[str] = msgspec.field(name="ApiKeys", default=[])
    priority: WholeNumber | None = msgspec.field(name="Priority", default=None)


class _Config(msgspec.Struct, frozen=True):
    version: WholeNumber = msgspec.field(name="Version")
    routes: list[_Route] = msgspec.field(name="Routes")
    services: list[_Service] = msgspec.field(name="Services", default=[])
    limits: _Limits | None = msgspec.field(name="Limits", default=None)
    organisations: list[_Organisation] | None = msgspec.field(name="Tenants", default=None)


_DECODER: Final = msgspec.json.Decoder(_Config)


def decode_table(document: bytes) -> RoutingTable | Unusable:
    """Decode a configuration document."""
    try:
        config = _DECODER.decode(document)
    except DECODE_ERRORS as exc:
        return Unusable(f"the configuration cannot be read: {exc}")
    routes = tuple(_convert_route(route) for route in config.routes)
    extra = {} if config.limits is None else {"limits": _convert_limits(config.limits)}
    return RoutingTable(
        version=config.version,
        routes=routes,
        services={s.name: _convert_service(s) for s in config.services},
        organisations={
            key: TableOrganisation(o.name, o.priority)
            for o in config.organisations or ()
            for key in o.keys
        },
        has_organisations=config.organisations is not None,
        _by_host=index_routes(routes),
        **extra,
    )


@functools.lru_cache(_ROUTE_CACHE_SIZE)
def _convert_route(route: _Route) -> TableRoute:
    shares = tuple(ServiceShare(s.service, s.weight) for s in route.shares)
    is_safe = route.kind == _SAFE_KIND
    return TableRoute(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        shares=shares or (ServiceShare(route.service, 1),),
        repeatability=Repeatability.SAFE if is_safe else Repeatability.ONCE,
        is_stream=route.kind == _STREAMING_KIND,
        resumable=route.resumable,
        timeout=round(route.timeout),
        objective=round(route.objective),
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        is_anonymous=route.is_anonymous,
        longest_pause=round(route.longest_pause),
    )


def _convert_service(service: _Service) -> TableService:
    return TableService(
        service.name,
        service.max_connections,
        _rank_geometry(service.engine),
        form_time=round(service.engine.form_time) if service.engine is not None else 0,
        cold_rate=service.cold_rate,
        cold_time=round(service.cold_seconds * _MILLISECONDS_PER_SECOND),
    )


def _rank_geometry(engine: _Engine | None) -> RankGeometry | None:
    if engine is None or not engine.sets:
        return None
    megabits = engine.expert_mb * _BITS_PER_MEGABYTE
    return RankGeometry(
        layers=engine.sets,
        experts=engine.experts,
        capacity=engine.places,
        max_new_experts=engine.spare,
        copy_time=megabits / engine.link_mbps * _MILLISECONDS_PER_SECOND
        if engine.link_mbps
        else 0.0,
    )


def _convert_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        limits.header_bytes, limits.body_bytes, round(limits.header_time), round(limits.idle_time)
    )
