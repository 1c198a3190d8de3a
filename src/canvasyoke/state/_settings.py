"""Settings of a process: identity, addresses and logging."""

from __future__ import annotations

import os
from typing import Annotated, Final, Literal, TypeAlias, TypeVar

import msgspec
from msgspec import Meta

from canvasyoke.state._document import Fault, parse_document
from canvasyoke.state._validate import validate

Address: TypeAlias = Annotated[
    str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$", description="IP:PORT")
]
Name: TypeAlias = Annotated[str, Meta(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
LinkKey: TypeAlias = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]

_BYTES_PER_MEGABYTE: Final = 1 << 20


class _Model(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of settings models."""


class LogSettings(_Model, frozen=True, kw_only=True):
    """Logging of a process."""

    level: Annotated[
        Literal["debug", "info", "warning", "error"],
        Meta(description="Minimum level of log records."),
    ] = "info"
    format: Annotated[Literal["text", "json"], Meta(description="Output format.")] = "text"


class MachineSettings(_Model, frozen=True, kw_only=True):
    """What the machine has for a process; the limits for callers are fractions of it."""

    memory_mb: Annotated[
        float, Meta(gt=0, description="Memory in megabytes that the process may use.")
    ] = 300.0
    descriptors: Annotated[
        int, Meta(ge=64, description="Descriptors that the process may have open.")
    ] = 4_100

    @property
    def memory_bytes(self) -> int:
        """Return the memory in bytes."""
        return round(self.memory_mb * _BYTES_PER_MEGABYTE)


class PlatformSettings(_Model, frozen=True, kw_only=True):
    """Access to the platform's object API and instance list."""

    address: Annotated[Address, Meta(description="Address of the platform.")]
    adapter: Annotated[str, Meta(description="Name of a registered adapter.")] = "http-json"


class BackendSettings(_Model, frozen=True, kw_only=True):
    """The engine or plain service beside a target process."""

    address: Annotated[Address, Meta(description="Address of the engine or plain service.")]
    adapter: Annotated[str, Meta(description="Name of a registered adapter.")]


class EntrySettings(_Model, frozen=True, kw_only=True):
    """Settings of an entry process."""

    instance: Annotated[Name, Meta(description="Name of the instance in the instance list.")]
    domain: Annotated[Name, Meta(description="Failure domain of the instance.")]
    http: Annotated[Address, Meta(description="Listening address for callers.")]
    admin: Annotated[
        Address, Meta(description="Listening address of status and metrics, for operators only.")
    ]
    link_key: Annotated[LinkKey, Meta(description="The fleet's link key: 32 bytes in hex.")]
    platform: PlatformSettings
    log: LogSettings = LogSettings()
    machine: MachineSettings = MachineSettings()
    streams: Annotated[
        int, Meta(ge=1, le=2_000, description="Maximum number of requests in progress.")
    ] = 320
    seed: Annotated[
        int, Meta(ge=0, description="Seed of the random number generator; 0 for a random seed.")
    ] = 0


class TargetSettings(_Model, frozen=True, kw_only=True):
    """Settings of a target process."""

    instance: Annotated[Name, Meta(description="Name of the instance in the instance list.")]
    domain: Annotated[Name, Meta(description="Failure domain of the instance.")]
    service: Annotated[Name, Meta(description="Service that the backend belongs to.")]
    listen: Annotated[Address, Meta(description="Listening address for entries and other targets.")]
    backend: BackendSettings
    link_key: Annotated[LinkKey, Meta(description="The fleet's link key: 32 bytes in hex.")]
    platform: PlatformSettings
    log: LogSettings = LogSettings()
    machine: MachineSettings = MachineSettings()
    seed: Annotated[
        int, Meta(ge=0, description="Seed of the random number generator; 0 for a random seed.")
    ] = 0


class DirectSettings(_Model, frozen=True, kw_only=True):
    """Settings of an entry that calls backends directly."""

    instance: Annotated[Name, Meta(description="Name of the instance.")]
    domain: Annotated[Name, Meta(description="Failure domain of the instance.")]
    http: Annotated[Address, Meta(description="Listening address for callers.")]
    ready: Annotated[
        Address, Meta(description="Listening address for readiness checks of the load balancer.")
    ]
    peer: Annotated[Address, Meta(description="Listening address for other entries.")]
    metrics: Annotated[Address, Meta(description="Listening address of status and metrics.")]
    store: Annotated[Address, Meta(description="Address of the platform's store.")]
    adapter: Annotated[str, Meta(description="Name of the registered adapters.")]
    retry_ratio: Annotated[
        float, Meta(ge=0, description="Retries allowed per request to a service.")
    ] = 0.1
    retry_window_s: Annotated[
        float,
        Meta(gt=0, description="Length in seconds of the window in which retries are counted."),
    ] = 10.0
    retry_slack: Annotated[
        # Deployments scale this value with their size, so it can be fractional.
        float,
        Meta(ge=0, description="Fleet-wide retries allowed per window in addition to the ratio."),
    ] = 20
    cold_overage: Annotated[
        float,
        Meta(
            ge=0,
            description="Multiple of its stated rate that a cold backend tolerates within one "
            "second; 0 turns the limits of cold backends off.",
        ),
    ] = 0.0
    cold_slack: Annotated[
        float,
        Meta(
            ge=0,
            description="Requests that a cold backend tolerates within one second in addition "
            "to the multiple of its rate.",
        ),
    ] = 0.0
    evacuate_ms: Annotated[
        int,
        Meta(
            ge=0,
            description="Milliseconds within which requests to an evacuated failure domain must "
            "stop; 0 if the store has no evacuations.",
        ),
    ] = 0
    log: LogSettings = LogSettings(format="json")
    machine: MachineSettings = MachineSettings()


class RanksSettings(_Model, frozen=True, kw_only=True):
    """Settings of a rank process, which manages its group's expert map beside an engine."""

    instance: Annotated[Name, Meta(description="Name of the instance.")]
    domain: Annotated[
        str,
        Meta(description="Failure domain of the instance; if empty, it links directly to owners."),
    ] = ""
    engine: Annotated[Address, Meta(description="Address of the local engine.")]
    peer: Annotated[
        Address, Meta(description="Listening address for other processes of its group.")
    ]
    metrics: Annotated[Address, Meta(description="Listening address of metrics.")]
    store: Annotated[Address, Meta(description="Address of the platform's store.")]
    adapter: Annotated[str, Meta(description="Name of the registered adapters.")]
    log: LogSettings = LogSettings(format="json")
    machine: MachineSettings = MachineSettings()


class WatchedFile:
    """Detects changes of a file between calls."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._last_signature = self._read_signature()

    def has_changed(self) -> bool:
        """Return whether the file has changed since the previous call."""
        signature = self._read_signature()
        changed = signature is not None and signature != self._last_signature
        self._last_signature = signature or self._last_signature
        return changed

    def _read_signature(self) -> tuple[int, int, int] | None:
        """Return modification time, size and inode, or ``None`` if the file is missing."""
        try:
            stat = os.stat(self._path)
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size, stat.st_ino


SettingsT = TypeVar("SettingsT", EntrySettings, TargetSettings, DirectSettings, RanksSettings)


def load_settings(path: str, model: type[SettingsT]) -> SettingsT | list[Fault]:
    """Load and validate the settings file at ``path``; return all faults if it is invalid."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        return [Fault(path, 1, "", f"cannot be read: {exc}")]
    document = parse_document(text, path)
    if isinstance(document, list):
        return document
    return validate(document, model)
