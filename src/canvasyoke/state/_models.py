"""Models of configuration files.

The type of each field includes its bounds and description, which validation and the generated
reference page use.
"""

from __future__ import annotations

import re
from typing import Annotated, Final, Literal, TypeAlias

import msgspec
from msgspec import Meta

NAME_PATTERN: Final = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"
_NAME = re.compile(NAME_PATTERN)

Milliseconds: TypeAlias = Annotated[int, Meta(ge=1, le=3_600_000)]
Urgency: TypeAlias = Annotated[int, Meta(ge=0, le=7)]
Sha256: TypeAlias = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]


class _Model(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of configuration file models."""


class RouteModel(_Model, frozen=True, kw_only=True):
    """Handling of requests under one path of a service."""

    path: Annotated[str, Meta(pattern=r"^/", description="Prefix of the path below the service.")]
    methods: Annotated[
        list[Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]],
        Meta(description="HTTP methods to match; empty for all."),
    ] = []
    repeatable: Annotated[
        bool,
        Meta(description="Whether requests can safely be executed more than once."),
    ]
    deadline_ms: Annotated[
        Milliseconds | None, Meta(description="Overrides the service's deadline.")
    ] = None


class ServiceModel(_Model, frozen=True, kw_only=True):
    """A pool of engines that callers access under ``/NAME/``."""

    kind: Annotated[
        Literal["model", "plain"],
        Meta(description="`model` for engines that generate, `plain` for other services."),
    ]
    deadline_ms: Annotated[
        Milliseconds, Meta(description="Default deadline if the caller sets none.")
    ] = 10_000
    priority: Annotated[Urgency, Meta(description="Default priority; 0 is the most urgent.")] = 3
    max_body_bytes: Annotated[
        int, Meta(ge=0, le=8 << 20, description="Maximum size of a request body.")
    ] = 1 << 20
    routes: Annotated[
        list[RouteModel],
        Meta(
            description="The first match applies; without one, GET, HEAD and OPTIONS are "
            "repeatable and other methods are not."
        ),
    ] = []
    key_slots: Annotated[
        int,
        Meta(
            ge=1,
            le=1_024,
            description="Slots over which keys of non-repeatable requests are hashed.",
        ),
    ] = 16
    answer_keep_ms: Annotated[
        Milliseconds,
        Meta(description="How long responses to non-repeatable requests are kept."),
    ] = 600_000


class EngineModel(_Model, frozen=True, kw_only=True):
    """A target instance: a model engine or one instance of a plain service."""

    service: Annotated[str, Meta(description="Service it belongs to.")]
    slots: Annotated[
        int, Meta(ge=1, le=4_096, description="Maximum number of concurrent requests.")
    ] = 8
    queue: Annotated[
        int, Meta(ge=0, le=65_536, description="Maximum number of queued requests at the target.")
    ] = 64
    group: Annotated[str, Meta(description="Rank group that it belongs to; empty for none.")] = ""
    rank: Annotated[int, Meta(ge=0, le=1_023, description="Its rank in the group.")] = 0
    checks_fences: Annotated[
        bool, Meta(description="Whether it validates the fences of orders itself.")
    ] = True


class OrganisationModel(_Model, frozen=True, kw_only=True):
    """A customer's organisation with its permissions and limits."""

    token_sha256: Annotated[
        Sha256, Meta(description="SHA-256 of its bearer token, in lower-case hex.")
    ]
    services: Annotated[list[str], Meta(description="Services it may call; empty for all.")] = []
    share: Annotated[
        int, Meta(ge=1, le=1_000, description="Weight of its share of a contended target.")
    ] = 1
    ceiling: Annotated[
        int,
        Meta(
            ge=0,
            le=1_000_000,
            description="Maximum number of concurrent requests per target; 0 for no limit.",
        ),
    ] = 0
    priority: Annotated[Urgency, Meta(description="Most urgent priority that it may request.")] = 0


class PlacementModel(_Model, frozen=True, kw_only=True):
    """A rank group and the placement of its experts."""

    service: Annotated[str, Meta(description="Service whose engines form the group.")]
    ranks: Annotated[int, Meta(ge=1, le=1_024, description="Ranks in the group.")]
    experts: Annotated[int, Meta(ge=1, le=4_096, description="Experts per layer.")]
    layers: Annotated[int, Meta(ge=1, le=256, description="Layers with experts.")] = 1
    capacity: Annotated[
        int, Meta(ge=1, le=4_096, description="Maximum number of expert copies per rank and layer.")
    ]
    expert_bytes: Annotated[
        int, Meta(ge=1, description="Size of the weights of one expert in one layer, in bytes.")
    ] = 1 << 20
    policy: Annotated[
        Literal["skew-first", "cost-first"],
        Meta(description="Objective: short steps (`skew-first`) or few moves (`cost-first`)."),
    ] = "skew-first"
    replan_ms: Annotated[
        Milliseconds, Meta(description="Interval at which the load of the experts is evaluated.")
    ] = 2_000


class FileModel(_Model, frozen=True, kw_only=True):
    """One configuration file; all sections are optional."""

    services: Annotated[dict[str, ServiceModel], Meta(description="Services by name.")] = (
        msgspec.field(default_factory=dict)
    )
    engines: Annotated[
        dict[str, EngineModel], Meta(description="Target instances by instance name.")
    ] = msgspec.field(default_factory=dict)
    organisations: Annotated[
        dict[str, OrganisationModel], Meta(description="Organisations by name.")
    ] = msgspec.field(default_factory=dict)
    placement: Annotated[dict[str, PlacementModel], Meta(description="Rank groups by name.")] = (
        msgspec.field(default_factory=dict)
    )

    def __post_init__(self) -> None:
        """Reject names that are not valid in URL paths and metric labels."""
        for part in (self.services, self.engines, self.organisations, self.placement):
            for name in part:
                if _NAME.fullmatch(name) is None:
                    raise ValueError(f"{name!r} is not a valid name: use a-z, 0-9 and -")
