"""Keeps the configuration in force in one process, whoever it hears of it from.

A process adopts only a higher generation, so that neither a stale read nor a peer
that was cut off for an hour can take it back.
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
    """A root object and the contents it names, as bytes that can be passed on."""

    root: bytes
    contents: Mapping[str, bytes] = field(default_factory=dict)

    def parse(self) -> FleetConfig:
        """Return the configuration; raises ``ValueError`` if a content is not its hash's."""
        head = msgspec.json.decode(self.root, type=Root)
        models = {}
        for name, digest in head.files.items():
            data = self.contents.get(digest, b"")
            if hashlib.sha256(data).hexdigest() != digest:
                raise ValueError(f"content of {name} is missing or damaged")
            models[name] = msgspec.json.decode(data, type=FileModel)
        built = build_config(head.generation, models)
        if isinstance(built, list):
            raise ValueError(f"files do not fit together: {built[0].expected}")
        return built


class ConfigView:
    """What is in force now; read by any task, written by the keeper alone."""

    def __init__(self) -> None:
        #: The configuration in force.
        self.current = FleetConfig()
        #: The same as bytes, to pass on; without content before any is known.
        self.snapshot: Snapshot | None = None


class ConfigKeeper(CriticalActor):
    """The one task that changes a process's :class:`ConfigView`."""

    def __init__(self, view: ConfigView, on_change: Callable[[FleetConfig], None]) -> None:
        super().__init__()
        self._view = view
        self._on_change = on_change

    def adopt(self, snapshot: Snapshot) -> bool:
        """Put ``snapshot`` in force if it is newer; false if it is not or is damaged."""
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
