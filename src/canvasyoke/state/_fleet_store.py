"""Interface to a platform store that holds backends and configuration as objects.

Adapters register under a name. They report errors as return values and do not raise exceptions.
Positions count changes of the whole store, so a watch of one kind of object can start from the
position of a list of that kind.
"""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from canvasyoke._clock import SECOND
from canvasyoke._registry import Registry
from canvasyoke.state._platform import Unavailable
from canvasyoke.state._routing_table import RoutingTable
from canvasyoke.state._store_position import StorePosition

#: Default timeout in milliseconds of calls other than watches.
CALL_TIMEOUT: Final = 2 * SECOND


class EndpointState(enum.Enum):
    """State that a backend publishes in the store."""

    READY = enum.auto()
    LEAVING = enum.auto()


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One run of a backend, which is an engine or a server of a plain service."""

    #: Name of its store entry. It can be reused after a restart.
    id: str
    service: str
    #: ``IP:PORT``. It can be reassigned to a backend of another service after this run.
    address: str
    domain: str
    #: Maximum number of concurrent requests.
    slots: int
    state: EndpointState
    #: Store position of this version of the entry.
    position: StorePosition = 0
    #: Start time by the backend's clock, in milliseconds since 1970-01-01 UTC; 0 if unknown.
    #: It identifies a run and must not be used for ordering, because clocks can be set back.
    started: int = 0
    #: Milliseconds for which it remains cold, as of when this was read. Not compared: a remaining
    #: time that counts down is not a change of the backend.
    cold_remaining: int = field(default=0, compare=False)
    #: Identifier of this run. Observations are stored per run, because those of an earlier run
    #: with the same name do not apply after a restart. Computed once, since backend selection
    #: reads it often.
    run: str = field(init=False, compare=False, default="")

    def __post_init__(self) -> None:
        run = f"{self.id}@{self.started}" if self.started else self.id
        object.__setattr__(self, "run", run)


@dataclass(frozen=True, slots=True)
class EndpointGone:
    """A store entry that describes no backend: it was removed or is invalid."""

    #: Name of the entry; empty if it cannot be decoded.
    id: str
    #: Store position of the removal or invalid version, or a later position if no other change of
    #: the entry is known before that.
    position: StorePosition
    #: Why the entry is invalid; empty if it was removed.
    fault: str = ""


@dataclass(frozen=True, slots=True)
class EndpointList:
    """All backends in the store at one position."""

    endpoints: tuple[Endpoint, ...]
    position: StorePosition
    #: Invalid entries, which other writers to the store can create.
    unreadable: tuple[EndpointGone, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointChanges:
    """Changes of backends between two store positions, in order."""

    changes: tuple[Endpoint | EndpointGone, ...]
    position: StorePosition


@dataclass(frozen=True, slots=True)
class TableRead:
    """The configuration at one store position."""

    table: RoutingTable
    position: StorePosition
    #: Source document of the table, for forwarding to other processes.
    document: bytes


@dataclass(frozen=True, slots=True)
class EvacuationRead:
    """All failure domains that are being evacuated, at one store position."""

    domains: frozenset[str]
    #: Position of the list; its revision is 0 if the store has never had an evacuation.
    position: StorePosition


@dataclass(frozen=True, slots=True)
class EvacuationChanges:
    """Changes of evacuations between two store positions, in order."""

    #: Domain, and whether it is being evacuated after the change.
    changes: tuple[tuple[str, bool], ...]
    position: StorePosition


@dataclass(frozen=True, slots=True)
class NoChange:
    """A watch ended without a change."""

    position: StorePosition


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer has the changes after the requested position; a new list is needed.

    The store has discarded its history or was restored from a backup.
    """


@dataclass(frozen=True, slots=True)
class Unusable:
    """The store returned invalid data."""

    detail: str


EndpointWatchResult: TypeAlias = EndpointChanges | NoChange | HistoryGone | Unavailable | Unusable
TableWatchResult: TypeAlias = TableRead | NoChange | HistoryGone | Unavailable | Unusable
EvacuationWatchResult: TypeAlias = (
    EvacuationChanges | NoChange | HistoryGone | Unavailable | Unusable
)


@dataclass(frozen=True, slots=True)
class Note:
    """An object that canvasyoke itself keeps in the store."""

    name: str
    position: StorePosition
    body: bytes


class FleetStore(ABC):
    """Store operations used by entries and rank processes. Times are in milliseconds."""

    @abstractmethod
    def endpoints(self, timeout: int = CALL_TIMEOUT) -> EndpointList | Unavailable | Unusable:
        """Return all backends; ``timeout`` applies to each request to the store."""

    @abstractmethod
    def watch_endpoints(self, after: StorePosition, wait: int) -> EndpointWatchResult:
        """Wait up to ``wait`` milliseconds for changes of backends after position ``after``."""

    @abstractmethod
    def table(self, timeout: int = CALL_TIMEOUT) -> TableWatchResult:
        """Return the configuration, or ``NoChange`` if the store has none yet.

        ``timeout`` applies to each request to the store.
        """

    @abstractmethod
    def watch_table(self, after: StorePosition, wait: int) -> TableWatchResult:
        """Wait up to ``wait`` milliseconds for a configuration after position ``after``."""

    @abstractmethod
    def parse_table(self, document: bytes) -> RoutingTable | Unusable:
        """Parse a configuration document that another process forwarded."""

    @abstractmethod
    def evacuations(self, timeout: int = CALL_TIMEOUT) -> EvacuationRead | Unavailable | Unusable:
        """Return all evacuations; ``timeout`` applies to each request to the store."""

    @abstractmethod
    def watch_evacuations(self, after: StorePosition, wait: int) -> EvacuationWatchResult:
        """Wait up to ``wait`` milliseconds for changes of evacuations after position ``after``."""

    @abstractmethod
    def notes(self, kind: str, allow_stale: bool = False) -> list[Note] | Unavailable | Unusable:
        """Return all notes of ``kind``.

        With ``allow_stale`` the list can be seconds old, which is cheaper for the store.
        """

    @abstractmethod
    def note(
        self, kind: str, name: str, allow_stale: bool = False
    ) -> Note | Unavailable | Unusable | None:
        """Return one note, or ``None`` if it does not exist.

        With ``allow_stale`` the note can be seconds old, which is cheaper for the store.
        """

    @abstractmethod
    def put_note(self, kind: str, name: str, body: bytes) -> Note | Unavailable | Unusable:
        """Create or replace a note; its new position is higher than all earlier ones."""

    @abstractmethod
    def create_note(self, kind: str, name: str, body: bytes) -> Note | Unavailable | Unusable:
        """Create a note, or return the existing one."""


#: Creates a store client for ``IP:PORT``.
FleetStoreFactory: TypeAlias = Callable[[str], FleetStore]

#: Store adapters by name.
FLEET_STORES: Registry[FleetStoreFactory] = Registry("fleet store")
