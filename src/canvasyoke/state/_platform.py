"""Platform interface: a versioned object API and an instance list.

Adapters register under a name, so that other platform clients can be plugged in. They report
errors as return values and do not raise exceptions.
"""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeAlias

from canvasyoke._registry import Registry


@dataclass(frozen=True, slots=True)
class Found:
    """An object and its version, which increases with each write."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Absent:
    """The object does not exist."""

    key: str


@dataclass(frozen=True, slots=True)
class Written:
    """A conditional write succeeded."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A conditional write failed because the object has another version."""

    #: Current version; 0 if the object does not exist.
    version: int


@dataclass(frozen=True, slots=True)
class Unchanged:
    """A watch timed out without a newer version."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The call failed: no response, or one that cannot be used."""

    detail: str
    #: Whether a write may have succeeded despite the error.
    ambiguous: bool = False


class InstanceState(enum.StrEnum):
    """State of an instance according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Instance:
    """An element of the instance list."""

    name: str
    #: ``entry`` or ``target``.
    role: str
    domain: str
    #: Listening address: the link port of a target, the admin port of an entry.
    address: str
    state: InstanceState


ReadResult: TypeAlias = Found | Absent | Unavailable
WriteResult: TypeAlias = Written | Conflict | Unavailable
WatchResult: TypeAlias = Found | Unchanged | Unavailable

#: Expected version that makes a write create a new object.
CREATE: Final = 0


class Platform(ABC):
    """Platform operations. Times are in milliseconds."""

    @abstractmethod
    def read(self, key: str) -> ReadResult:
        """Return the object under ``key``; the result can be stale."""

    @abstractmethod
    def write(self, key: str, value: bytes, expected: int) -> WriteResult:
        """Write if the object's version is ``expected``; use :data:`CREATE` to create it."""

    @abstractmethod
    def delete(self, key: str) -> WriteResult:
        """Delete the object under ``key``; succeeds if it does not exist."""

    @abstractmethod
    def list_keys(self, prefix: str) -> list[str] | Unavailable:
        """Return the sorted keys that start with ``prefix``."""

    @abstractmethod
    def watch(self, key: str, after: int, timeout: int) -> WatchResult:
        """Wait until the object has a version above ``after``, for up to ``timeout``."""

    @abstractmethod
    def instances(self) -> list[Instance] | Unavailable:
        """Return the instance list, which can be stale."""


#: Adapter factories by name, called with the platform's address.
PLATFORMS: Registry[Callable[[str], Platform]] = Registry("platform adapter")
