"""What an entry tells operators, as its admin address and the command line exchange it."""

from __future__ import annotations

import msgspec


class EntryStatus(msgspec.Struct, frozen=True):
    """The entry itself."""

    instance: str
    domain: str
    generation: int
    leaving: bool
    in_flight: int
    #: Whether the platform answered last time.
    platform: bool


class TargetStatus(msgspec.Struct, frozen=True):
    """One target as the entry sees it."""

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
    """One rank group."""

    group: str
    owner: str
    epoch: int
    number: int
    #: Ranks that have this map in force, and all ranks.
    ranks_on_map: int
    ranks: int
    skew: float
    moves: int


class Status(msgspec.Struct, frozen=True):
    """All of it."""

    entry: EntryStatus
    targets: list[TargetStatus]
    groups: list[GroupStatus]
    #: What is wrong and what to do, most urgent first.
    findings: list[str]


class QuarantinedRequest(msgspec.Struct, frozen=True):
    """A request under which backends have ended, as a direct entry shows it."""

    fingerprint: str
    #: Whether it is kept from backends.
    is_blamed: bool
    #: Runs of backends that have ended under it since it was last cleared.
    runs: list[str]
    #: How often it was cleared.
    cleared: int
