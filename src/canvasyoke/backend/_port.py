"""Ports through which a target process uses its local engine or plain service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from canvasyoke._registry import Registry
from canvasyoke.protocol import ExpertReplica, Refusal, Run


class AnswerSink(ABC):
    """Receives an answer while the backend produces it."""

    @abstractmethod
    def head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Receive the status and headers; called once, before any chunk."""

    @abstractmethod
    def chunk(self, data: bytes) -> None:
        """Receive the next part of the body."""

    @property
    @abstractmethod
    def cancelled(self) -> bool:
        """Whether the rest of the answer is no longer needed."""


@dataclass(frozen=True, slots=True)
class Done:
    """The complete answer was passed on."""


@dataclass(frozen=True, slots=True)
class Failed:
    """There is no answer, or it is incomplete."""

    refusal: Refusal


CallResult: TypeAlias = Done | Failed


@dataclass(frozen=True, slots=True)
class Health:
    """Result of a health probe."""

    ok: bool
    detail: str = ""


class RankOrder(msgspec.Struct, frozen=True):
    """A fenced order to a rank about its group's expert map."""

    #: ``highest``, ``prepare``, ``activate``, ``release`` or ``counts``.
    action: str
    epoch: int
    number: int
    step: int = 0
    #: With ``prepare``, halt; with ``activate``, abandon a step that cannot complete.
    jump: bool = False
    #: Ranks and expert replicas of the map, for ``prepare``.
    ranks: list[int] = []
    replicas: list[ExpertReplica] = []


class RankAnswer(msgspec.Struct, frozen=True):
    """A rank's answer to an order."""

    ok: bool
    detail: str = ""
    #: Epoch and number of the highest map that is in force or prepared.
    epoch: int = 0
    number: int = 0
    #: Current step of the rank.
    step: int = 0
    #: Tokens by layer and expert since the last ``counts``.
    counts: list[list[int]] = []
    #: Mean time of the rank's own work in recent steps, in microseconds.
    step_time: int = 0
    #: The map in force, for ``highest``.
    ranks: list[int] = []
    replicas: list[ExpertReplica] = []


class RankPort(ABC):
    """Controls an engine as a rank of its group."""

    @abstractmethod
    def order(self, order: RankOrder) -> RankAnswer:
        """Send ``order``; returns ``ok=False`` if the rank is unreachable."""


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load reported by an engine, with a delay."""

    running: int
    queued: int
    slots: int
    #: Age of the values in milliseconds; -1 if unknown.
    age: int


class CacheEvent(msgspec.Struct, frozen=True):
    """Event of an engine that cached a prompt prefix."""

    #: Consecutive number; a gap means that events were lost.
    sequence: int
    #: Hash of the prefix.
    prefix: str


class EnginePort(ABC):
    """Load, cache events and cancellation of a model engine."""

    @abstractmethod
    def load(self) -> EngineLoad | None:
        """Return the reported load; ``None`` if the engine does not answer."""

    @abstractmethod
    def cache_events(self, after: int) -> list[CacheEvent] | None:
        """Return the events with a number above ``after``; ``None`` if there is no answer."""

    @abstractmethod
    def cancel(self, run_id: str) -> bool:
        """Cancel a generation; true if the engine accepted it."""


class Backend(ABC):
    """An engine or plain service."""

    @abstractmethod
    def call(self, run: Run, sink: AnswerSink) -> CallResult:
        """Run one request and pass its answer to ``sink``; blocks until it has ended."""

    @abstractmethod
    def probe(self) -> Health:
        """Check whether the backend is healthy."""

    @property
    def rank_port(self) -> RankPort | None:
        """Port of the rank; ``None`` if the backend is not one."""
        return None

    @property
    def engine_port(self) -> EnginePort | None:
        """Port of the engine; ``None`` if the backend is not one."""
        return None


#: Adapters by name; each is constructed with the backend's address.
BACKENDS: Registry[Callable[[str], Backend]] = Registry("backend adapter")
