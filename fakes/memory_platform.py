"""In-memory platform with configurable faults."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from canvasyoke.state import (
    Absent,
    Conflict,
    Found,
    Instance,
    Platform,
    Unavailable,
    Unchanged,
    Written,
)

_DOWN = Unavailable("down")
_LOST = Unavailable("answer lost", ambiguous=True)


@dataclass
class MemoryPlatform(Platform):
    """Versioned object store; ``down`` and ``lose_answers`` inject faults."""

    objects: dict[str, Found] = field(default_factory=dict)
    listed: list[Instance] = field(default_factory=list)
    down: bool = False
    #: Number of upcoming writes that take effect but report a lost answer.
    lose_answers: int = 0
    writes: int = 0
    #: Hooks by key, each called once before the next write of the key.
    before_write: dict[str, Callable[[], None]] = field(default_factory=dict)
    _versions: int = 0
    _changed: threading.Condition = field(default_factory=threading.Condition)

    def read(self, key: str) -> Found | Absent | Unavailable:
        """Return the object under ``key``."""
        if self.down:
            return _DOWN
        return self.objects.get(key, Absent(key))

    def write(self, key: str, value: bytes, expected: int) -> Written | Conflict | Unavailable:
        """Write if the current version equals ``expected``."""
        if self.down:
            return _DOWN
        hook = self.before_write.pop(key, None)
        if hook is not None:
            hook()
        with self._changed:
            self.writes += 1
            old = self.objects.get(key)
            current = old.version if old else 0
            if current != expected:
                return Conflict(current)
            self._versions += 1
            self.objects[key] = Found(key, self._versions, value)
            self._changed.notify_all()
            if self.lose_answers:
                self.lose_answers -= 1
                return _LOST
            return Written(self._versions)

    def delete(self, key: str) -> Written | Unavailable:
        """Remove the object under ``key``."""
        if self.down:
            return _DOWN
        self.objects.pop(key, None)
        return Written(0)

    def list_keys(self, prefix: str) -> list[str] | Unavailable:
        """Return the sorted keys that start with ``prefix``."""
        return _DOWN if self.down else sorted(k for k in self.objects if k.startswith(prefix))

    def watch(self, key: str, after: int, timeout: int) -> Found | Unchanged | Unavailable:
        """Return the current state without blocking."""
        if self.down:
            return _DOWN
        found = self.objects.get(key)
        return found if found and found.version > after else Unchanged()

    def instances(self) -> list[Instance] | Unavailable:
        """Return the instance list."""
        return _DOWN if self.down else list(self.listed)
