"""Status of an entry, as served by its admin address and shown by the command line."""

from __future__ import annotations

import msgspec


class EntryStatus(msgspec.Struct, frozen=True):
    """Status of the entry itself."""

    instance: str
    domain: str
    generation: int
    leaving: bool
    in_flight: int
    #: Whether the last request to the platform succeeded.
    platform: bool


class TargetStatus(msgspec.Struct, frozen=True):
    """Status of a target as known to the entry."""

    instance: str
    domain: str
    service: str
    connected: bool
    fault: str
    leaving: bool
    healthy: bool
    ejected: bool
    generation: int
    running: int
    queued: int
    slots: int
    key_slots: int


class GroupStatus(msgspec.Struct, frozen=True):
    """Status of a rank group."""

    group: str
    owner: str
    epoch: int
    number: int
    #: Number of ranks that use this map, and of all ranks.
    ranks_on_map: int
    ranks: int
    skew: float
    moves: int


class Status(msgspec.Struct, frozen=True):
    """Status of an entry, its targets and its rank groups."""

    entry: EntryStatus
    targets: list[TargetStatus]
    groups: list[GroupStatus]
    #: Problems and suggested actions, most urgent first.
    findings: list[str]


class QuarantinedRequest(msgspec.Struct, frozen=True):
    """A trait of requests during which backends have crashed, as reported by a direct entry."""

    #: Digest of the whole request, or the name of another trait.
    fingerprint: str
    #: Whether it is blocked from backends.
    is_blamed: bool
    #: Backend runs that crashed during it since it was last cleared.
    runs: list[str]
    #: Number of times it was cleared.
    cleared: int
    #: Answers to requests with a shared trait that were sent after the first crash.
    answers: int = 0
