"""The store of a platform that lists backends and configuration as objects.

Adapters register under a name. All calls return values; an adapter raises nothing.
Positions are those of the store as a whole, so a watch of one kind can be continued
from the position at which a list of that kind was taken.
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

#: Milliseconds within which an answer that does not wait for anything is expected. The
#: store answers in 4 ms, and in fifty times that when it is slow.
CALL_TIMEOUT: Final = 2 * SECOND


class EndpointState(enum.Enum):
    """What a backend says of itself in the store."""

    READY = enum.auto()
    LEAVING = enum.auto()


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One run of an engine or of a plain service's server."""

    #: Name of its entry. A restart may have the same.
    id: str
    service: str
    #: ``IP:PORT``; after the end of this run another service's server may get it.
    address: str
    domain: str
    #: Requests that it works on at once.
    slots: int
    state: EndpointState
    #: Position in the store's history at which this came to be.
    position: StorePosition = 0
    #: Its start by its own clock, in milliseconds since 1970-01-01 UTC; 0 if it does not
    #: say. Only whether two are the same counts: clocks go back.
    started: int = 0
    #: Name under which all that is seen of this run is kept. A restart under the same name
    #: knows nothing of before, and nothing that was seen before says anything of it. Worked
    #: out once: each choice among backends asks for it several times a backend.
    run: str = field(init=False, compare=False, default="")

    def __post_init__(self) -> None:
        run = f"{self.id}@{self.started}" if self.started else self.id
        object.__setattr__(self, "run", run)


@dataclass(frozen=True, slots=True)
class EndpointGone:
    """An entry that names no backend: it was removed, or it cannot be read."""

    #: Name of the entry; empty when not even that can be read.
    id: str
    #: Position in the store's history at which this came to be, or a later one before which
    #: nothing else is known of the entry.
    position: StorePosition
    #: Why the entry that stands there cannot be read; empty when it was removed.
    fault: str = ""


@dataclass(frozen=True, slots=True)
class EndpointList:
    """All backends in the store at one revision."""

    endpoints: tuple[Endpoint, ...]
    position: StorePosition
    #: Entries that name no backend, since others wrote them.
    unreadable: tuple[EndpointGone, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointChanges:
    """What happened to backends between two revisions, in order."""

    changes: tuple[Endpoint | EndpointGone, ...]
    position: StorePosition


@dataclass(frozen=True, slots=True)
class TableRead:
    """The configuration at one revision of the store."""

    table: RoutingTable
    position: StorePosition
    #: The document that the table was built from, to pass on to other processes.
    document: bytes


@dataclass(frozen=True, slots=True)
class NoChange:
    """A watch ended without a change."""

    position: StorePosition


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store does not have what came after the position asked for: list again.

    It forgot its history, or it has come back from a copy since.
    """


@dataclass(frozen=True, slots=True)
class Unusable:
    """The store answered with something that cannot be read."""

    detail: str


EndpointWatchResult: TypeAlias = EndpointChanges | NoChange | HistoryGone | Unavailable | Unusable
TableWatchResult: TypeAlias = TableRead | NoChange | HistoryGone | Unavailable | Unusable


@dataclass(frozen=True, slots=True)
class Note:
    """An object of the system's own in the store."""

    name: str
    position: StorePosition
    body: bytes


class FleetStore(ABC):
    """What entries and rank processes ask of the platform's store."""

    @abstractmethod
    def endpoints(self, timeout: int = CALL_TIMEOUT) -> EndpointList | Unavailable | Unusable:
        """Return every backend; wait up to ``timeout`` milliseconds for each answer."""

    @abstractmethod
    def watch_endpoints(self, after: StorePosition, wait: int) -> EndpointWatchResult:
        """Wait up to ``wait`` milliseconds for changes after position ``after``."""

    @abstractmethod
    def table(self, timeout: int = CALL_TIMEOUT) -> TableWatchResult:
        """Return the configuration; ``NoChange`` when the store holds none yet.

        Waits up to ``timeout`` milliseconds for each answer.
        """

    @abstractmethod
    def watch_table(self, after: StorePosition, wait: int) -> TableWatchResult:
        """Wait up to ``wait`` milliseconds for a configuration after position ``after``."""

    @abstractmethod
    def parse_table(self, document: bytes) -> RoutingTable | Unusable:
        """Return the table that a document passed on by another process holds."""

    @abstractmethod
    def notes(self, kind: str, allow_stale: bool = False) -> list[Note] | Unavailable | Unusable:
        """Return the system's own objects of ``kind``.

        A list that may be seconds old is cheaper for the store.
        """

    @abstractmethod
    def note(
        self, kind: str, name: str, allow_stale: bool = False
    ) -> Note | Unavailable | Unusable | None:
        """Return one object of the system's own; ``None`` where there is none.

        An answer that may be seconds old is cheaper for the store.
        """

    @abstractmethod
    def put_note(self, kind: str, name: str, body: bytes) -> Note | Unavailable | Unusable:
        """Create or replace an object; its position is above all earlier ones."""

    @abstractmethod
    def create_note(self, kind: str, name: str, body: bytes) -> Note | Unavailable | Unusable:
        """Create an object, or return the one that is there already."""


#: Makes a store client for ``IP:PORT``.
FleetStoreFactory: TypeAlias = Callable[[str], FleetStore]

#: Store adapters by name.
FLEET_STORES: Registry[FleetStoreFactory] = Registry("fleet store")
