"""The platform as the system needs it: an object API and an instance list.

Adapters register under a name, so that a user's own client plugs in without a
change to any decision. All calls return values; an adapter raises nothing.
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
    """An object and its version; versions of one object only grow."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Absent:
    """There is no such object."""

    key: str


@dataclass(frozen=True, slots=True)
class Written:
    """A conditional write took effect."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A conditional write met another version; it did not take effect."""

    #: Version there is now; 0 when the object does not exist.
    version: int


@dataclass(frozen=True, slots=True)
class Unchanged:
    """A watch ended without a newer version."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform gave no answer."""

    detail: str
    #: For a write: whether it may have taken effect all the same.
    ambiguous: bool = False


class InstanceState(enum.StrEnum):
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Instance:
    """A line of the instance list."""

    name: str
    #: ``entry`` or ``target``.
    role: str
    domain: str
    #: Where the process there listens: links for a target, admin for an entry.
    address: str
    state: InstanceState


ReadResult: TypeAlias = Found | Absent | Unavailable
WriteResult: TypeAlias = Written | Conflict | Unavailable
WatchResult: TypeAlias = Found | Unchanged | Unavailable

#: Expected version of an object that must not exist yet.
CREATE: Final = 0


class Platform(ABC):
    """What the system asks of the platform. Times are in milliseconds."""

    @abstractmethod
    def read(self, key: str) -> ReadResult:
        """Return the object under ``key``; it may lag behind the newest write."""

    @abstractmethod
    def write(self, key: str, value: bytes, expected: int) -> WriteResult:
        """Write if the object's version is ``expected``; :data:`CREATE` to create."""

    @abstractmethod
    def delete(self, key: str) -> WriteResult:
        """Remove the object under ``key``; removing an absent one succeeds."""

    @abstractmethod
    def list_keys(self, prefix: str) -> list[str] | Unavailable:
        """Return the keys that begin with ``prefix``, in order."""

    @abstractmethod
    def watch(self, key: str, after: int, timeout: int) -> WatchResult:
        """Return the object once its version is above ``after``, or time is up."""

    @abstractmethod
    def instances(self) -> list[Instance] | Unavailable:
        """Return the instance list; it lags."""


#: Adapters by name; each is called with the platform's address.
PLATFORMS: Registry[Callable[[str], Platform]] = Registry("platform adapter")
