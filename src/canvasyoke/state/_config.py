"""Fleet configuration built from parsed configuration files."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final, TypeVar

from canvasyoke.state._models import (
    EngineModel,
    FileModel,
    OrganisationModel,
    PlacementModel,
    ServiceModel,
)

_ModelT = TypeVar("_ModelT")
_SAFE_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclass(frozen=True, slots=True)
class Route:
    """Handling of a request to a service."""

    #: Whether the request can safely be executed more than once.
    repeatable: bool
    #: Default deadline in milliseconds, if the caller sets none.
    deadline: int


@dataclass(frozen=True, slots=True)
class Service:
    """A named pool of engines."""

    name: str
    model: ServiceModel

    def route(self, method: str, path: str) -> Route:
        """Return the handling of ``method`` on ``path``, which is relative to the service.

        The first matching route applies. Without one, only safe methods are repeatable.
        """
        for route in self.model.routes:
            if path.startswith(route.path) and (not route.methods or method in route.methods):
                return Route(route.repeatable, route.deadline_ms or self.model.deadline_ms)
        return Route(method in _SAFE_METHODS, self.model.deadline_ms)

    @property
    def accepts_non_repeatable(self) -> bool:
        """Whether some requests to the service must not be executed more than once."""
        return self.model.kind == "plain" or any(not r.repeatable for r in self.model.routes)


@dataclass(frozen=True, slots=True)
class Engine:
    """A target instance."""

    name: str
    model: EngineModel


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer's organisation."""

    name: str
    model: OrganisationModel

    def may_call(self, service: str) -> bool:
        """Return whether the organisation is allowed to call ``service``."""
        return not self.model.services or service in self.model.services


@dataclass(frozen=True, slots=True)
class Group:
    """A rank group."""

    name: str
    model: PlacementModel
    #: Instance names ordered by rank.
    instances: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """One immutable generation of the configuration."""

    #: Generation number; 0 before a configuration has been loaded.
    generation: int = 0
    services: Mapping[str, Service] = field(default_factory=dict)
    engines: Mapping[str, Engine] = field(default_factory=dict)
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    groups: Mapping[str, Group] = field(default_factory=dict)
    #: Organisations by SHA-256 of their token.
    tokens: Mapping[str, Organisation] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReferenceFault:
    """An inconsistency found when all files are checked together."""

    file: str
    #: Section, name and optionally field, such as ``("engines", "ink-1", "service")``.
    path: tuple[str, ...]
    expected: str


def build_config(
    generation: int, files: Mapping[str, FileModel]
) -> FleetConfig | list[ReferenceFault]:
    """Merge ``files`` into a configuration; return all faults if they are inconsistent."""
    checker = _Checker(files)
    checker.check()
    if checker.faults:
        return checker.faults
    organisations = {n: Organisation(n, m) for n, m in checker.organisations.items()}
    return FleetConfig(
        generation=generation,
        services={n: Service(n, m) for n, m in checker.services.items()},
        engines={n: Engine(n, m) for n, m in checker.engines.items()},
        organisations=organisations,
        groups={n: _build_group(n, m, checker.engines) for n, m in checker.placement.items()},
        tokens={o.model.token_sha256: o for o in organisations.values()},
    )


def _build_group(name: str, model: PlacementModel, engines: Mapping[str, EngineModel]) -> Group:
    ranked = sorted((e.rank, n) for n, e in engines.items() if e.group == name)
    return Group(name, model, tuple(instance for _, instance in ranked))


class _Checker:
    """Merges files and collects inconsistencies between them."""

    def __init__(self, files: Mapping[str, FileModel]) -> None:
        self.services: dict[str, ServiceModel] = {}
        self.engines: dict[str, EngineModel] = {}
        self.organisations: dict[str, OrganisationModel] = {}
        self.placement: dict[str, PlacementModel] = {}
        self.faults: list[ReferenceFault] = []
        self._defining_files: dict[tuple[str, str], str] = {}
        for file, model in sorted(files.items()):
            self._merge(file, "services", self.services, model.services)
            self._merge(file, "engines", self.engines, model.engines)
            self._merge(file, "organisations", self.organisations, model.organisations)
            self._merge(file, "placement", self.placement, model.placement)

    def _merge(
        self, file: str, section: str, merged: dict[str, _ModelT], values: Mapping[str, _ModelT]
    ) -> None:
        for name, value in values.items():
            first = self._defining_files.setdefault((section, name), file)
            if first != file:
                expected = f"is already defined in {first}"
                self.faults.append(ReferenceFault(file, (section, name), expected))
            merged[name] = value

    def _add_fault(self, section: str, name: str, field_name: str, expected: str) -> None:
        file = self._defining_files[(section, name)]
        path = (section, name, field_name) if field_name else (section, name)
        self.faults.append(ReferenceFault(file, path, expected))

    def check(self) -> None:
        """Check all references between sections."""
        self._check_engines()
        self._check_organisations()
        self._check_placement()

    def _check_engines(self) -> None:
        for name, engine in self.engines.items():
            if engine.service not in self.services:
                self._add_fault("engines", name, "service", f"no service {engine.service!r}")
            if engine.group and engine.group not in self.placement:
                self._add_fault("engines", name, "group", f"no group {engine.group!r} in placement")

    def _check_organisations(self) -> None:
        first_by_token: dict[str, str] = {}
        for name, organisation in self.organisations.items():
            for service in organisation.services:
                if service not in self.services:
                    self._add_fault("organisations", name, "services", f"no service {service!r}")
            first = first_by_token.setdefault(organisation.token_sha256, name)
            if first != name:
                self._add_fault(
                    "organisations", name, "token_sha256", f"is already used by {first!r}"
                )

    def _check_placement(self) -> None:
        for name, group in self.placement.items():
            if group.service not in self.services:
                self._add_fault("placement", name, "service", f"no service {group.service!r}")
            members = {n: e for n, e in self.engines.items() if e.group == name}
            if sorted(e.rank for e in members.values()) != list(range(group.ranks)):
                expected = f"needs one engine for each rank from 0 to {group.ranks - 1}"
                self._add_fault("placement", name, "ranks", expected)
            if any(e.service != group.service for e in members.values()):
                self._add_fault("placement", name, "service", "has engines of another service")
            if group.ranks * group.capacity < group.experts:
                expected = f"{group.ranks} ranks of {group.capacity} cannot hold all experts"
                self._add_fault("placement", name, "capacity", expected)
