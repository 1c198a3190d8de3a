"""The active configuration of a process, updated from the platform or from peers.

A process adopts only higher generations, so a stale read or an outdated peer cannot roll the
configuration back.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from canvasyoke._actor import CriticalActor
from canvasyoke.state._config import FleetConfig, build_config
from canvasyoke.state._models import FileModel
from canvasyoke.state._root import Root


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A root object and its referenced contents, serialized for forwarding to peers."""

    root: bytes
    contents: Mapping[str, bytes] = field(default_factory=dict)

    def parse(self) -> FleetConfig:
        """Decode the configuration.

        Raises ``ValueError`` if a content does not match its hash or the files are inconsistent.
        """
        head = msgspec.json.decode(self.root, type=Root)
        models = {}
        for name, digest in head.files.items():
            data = self.contents.get(digest, b"")
            if hashlib.sha256(data).hexdigest() != digest:
                raise ValueError(f"content of {name} is missing or damaged")
            models[name] = msgspec.json.decode(data, type=FileModel)
        built = build_config(head.generation, models)
        if isinstance(built, list):
            raise ValueError(f"configuration files are inconsistent: {built[0].expected}")
        return built


class ConfigView:
    """The active configuration. Any thread may read it; only the keeper writes it."""

    def __init__(self) -> None:
        #: The active configuration.
        self.current = FleetConfig()
        #: Its serialized form; ``None`` before a configuration has been loaded.
        self.snapshot: Snapshot | None = None


class ConfigKeeper(CriticalActor):
    """Actor that updates the :class:`ConfigView` of a process."""

    def __init__(self, view: ConfigView, on_change: Callable[[FleetConfig], None]) -> None:
        super().__init__()
        self._view = view
        self._on_change = on_change

    def adopt(self, snapshot: Snapshot) -> bool:
        """Activate ``snapshot``; return false if it is invalid or not newer."""
        try:
            config = snapshot.parse()
        except (ValueError, msgspec.DecodeError):
            return False
        if config.generation <= self._view.current.generation:
            return False
        self._view.snapshot = snapshot
        self._view.current = config
        self._on_change(config)
        return True
