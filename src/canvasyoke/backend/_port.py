"""What a target process asks of the engine or plain service beside it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from canvasyoke._registry import Registry
from canvasyoke.protocol import ExpertReplica, Refusal, Run


class AnswerSink(ABC):
    """Takes an answer as the backend gives it."""

    @abstractmethod
    def head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Take the status and headers; called once, before any chunk."""

    @abstractmethod
    def chunk(self, data: bytes) -> None:
        """Take the next piece of the body."""

    @property
    @abstractmethod
    def cancelled(self) -> bool:
        """Tell whether nobody wants the rest."""


@dataclass(frozen=True, slots=True)
class Done:
    """The whole answer was given."""


@dataclass(frozen=True, slots=True)
class Failed:
    """There is no answer, or no more of it."""

    refusal: Refusal


CallEnd: TypeAlias = Done | Failed


@dataclass(frozen=True, slots=True)
class Health:
    """What a probe of the backend found."""

    ok: bool
    detail: str = ""


class RankOrder(msgspec.Struct, frozen=True):
    """A fenced order to a rank about its group's expert map."""

    #: ``highest``, ``prepare``, ``activate``, ``release`` or ``counts``.
    action: str
    epoch: int
    number: int
    step: int = 0
    #: With ``prepare``, halt; with ``activate``, give up a step that cannot end.
    jump: bool = False
    #: Ranks of the map and every copy in it, for ``prepare``.
    ranks: list[int] = []
    replicas: list[ExpertReplica] = []


class RankAnswer(msgspec.Struct, frozen=True):
    """What a rank answered."""

    ok: bool
    detail: str = ""
    #: Highest map in force or prepared.
    epoch: int = 0
    number: int = 0
    #: Step the rank is in.
    step: int = 0
    #: Tokens per expert since the last ``counts``, layer by layer.
    counts: list[list[int]] = []
    #: Mean time of the rank's own part of recent steps, in microseconds.
    step_time: int = 0
    #: The map in force, for ``highest``.
    ranks: list[int] = []
    replicas: list[ExpertReplica] = []


class RankPort(ABC):
    """The part of an engine that is a rank of a group."""

    @abstractmethod
    def order(self, order: RankOrder) -> RankAnswer:
        """Carry out ``order``; an unreachable rank answers ``ok=False``."""


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load as an engine reports it, some time after the fact."""

    running: int
    queued: int
    slots: int
    #: Milliseconds since the load was so; -1 when the engine does not say.
    age: int


class CacheEvent(msgspec.Struct, frozen=True):
    """An engine has cached a prompt prefix."""

    #: Number of the event; a number left out is an event that was lost.
    sequence: int
    #: Hash of the prefix.
    prefix: str


class EnginePort(ABC):
    """The part of a backend that is a model engine."""

    @abstractmethod
    def load(self) -> EngineLoad | None:
        """Return the load reported; ``None`` when the engine does not answer."""

    @abstractmethod
    def cache_events(self, after: int) -> list[CacheEvent] | None:
        """Return the events after number ``after``; ``None`` without an answer."""

    @abstractmethod
    def cancel(self, run_id: str) -> bool:
        """Stop a generation; true when the engine took the order."""


class Backend(ABC):
    """An engine or plain service."""

    @abstractmethod
    def call(self, run: Run, sink: AnswerSink) -> CallEnd:
        """Run one request and give its answer to ``sink``; blocks until it ended."""

    @abstractmethod
    def probe(self) -> Health:
        """Return whether the backend answers."""

    @property
    def rank_port(self) -> RankPort | None:
        """Return the rank, where the backend is one."""
        return None

    @property
    def engine_port(self) -> EnginePort | None:
        """Return the engine, where the backend is one."""
        return None


#: Adapters by name; each is called with the backend's address.
BACKENDS: Registry[Callable[[str], Backend]] = Registry("backend adapter")
