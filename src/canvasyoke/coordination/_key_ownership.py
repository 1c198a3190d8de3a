"""At-most-once execution: which process may run a key, and what it remembers.

The idempotency keys of a service are partitioned into slots. A slot has one holder at a time, a
target's process with a lease; only the holder runs and remembers the slot's keys. Keys carry
their creation time. A new holder refuses, as unknown, every key made before it took the slot,
since its predecessor may have run it. So no record of past keys has to outlive a process, and a
paused predecessor does no harm. docs/design/at-most-once.md has the argument and what each
failure refuses.
"""

from __future__ import annotations

import enum
import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import msgspec

from canvasyoke._clock import SECOND
from canvasyoke.protocol import Outcome, Reason, Refusal

#: Milliseconds by which a key's time may be ahead of the target's wall clock.
MAX_KEY_LEAD: Final = 1 * SECOND
#: Milliseconds added to the wall time of taking a slot: the limit above plus clock skew between
#: processes.
CLOCK_MARGIN: Final = 2 * SECOND
#: Maximum number of keys that one target remembers.
_MAX_KEYS: Final = 200_000
#: Maximum total size in bytes of the answers that one target keeps.
_MAX_ANSWER_BYTES: Final = 8 << 20


class Slot(msgspec.Struct, frozen=True):
    """Ownership of one slot of a service's keys."""

    #: Instance that holds the slot; empty if it is free.
    holder: str = ""
    #: Incarnation of the holder's process.
    incarnation: str = ""
    #: Wall time in milliseconds; older keys are not run.
    since: int = 0
    #: Whether the slot was ever held; if not, no key in it can have run.
    used: bool = False
    #: For a released slot: name of the object with the keys of its last holder.
    handover: str = ""


class HandoverEntry(msgspec.Struct, frozen=True):
    """A key that has run or is running, as passed to the slot's next holder."""

    name: str
    #: Wall time in the key, in milliseconds.
    made: int
    digest: bytes


class Handover(msgspec.Struct, frozen=True):
    """All keys of one slot that its previous holder remembered."""

    keys: list[HandoverEntry]


class SlotTable(msgspec.Struct, frozen=True):
    """All slots of a service, as stored in the platform."""

    epoch: int = 0
    slots: list[Slot] = []

    def held_by(self, instance: str, incarnation: str) -> dict[int, Slot]:
        """Return the slots held by one incarnation of an instance."""
        return {
            index: slot
            for index, slot in enumerate(self.slots)
            if slot.holder == instance and slot.incarnation == incarnation
        }


def slot_of(key: str, slots: int) -> int:
    """Return the slot of ``key`` among ``slots``."""
    digest = hashlib.blake2b(key.lower().encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % slots


class KeyState(enum.Enum):
    """Progress of a remembered request."""

    RUNNING = enum.auto()
    DONE = enum.auto()


@dataclass(slots=True)
class KeyRecord:
    """State of one key."""

    #: Digest of organisation, method, path and body, to detect reuse for another request.
    digest: bytes
    #: Wall time in the key, in milliseconds.
    made: int
    state: KeyState
    #: The running or finished work; ``None`` if its answer is not kept.
    work: object
    #: Size of the kept answer in bytes; 0 if none is kept.
    size: int = 0


class IdempotencyCache:
    """Keys that one process has run or is running; not thread-safe."""

    def __init__(self, limit: int = _MAX_KEYS, answer_limit: int = _MAX_ANSWER_BYTES) -> None:
        self._records: OrderedDict[str, KeyRecord] = OrderedDict()
        self._limit = limit
        self._answer_limit = answer_limit
        self._answer_bytes = 0
        #: Keys made before this wall time may have been dropped and are refused.
        self.dropped_before = 0

    def __len__(self) -> int:
        return len(self._records)

    def find(self, key: str) -> KeyRecord | None:
        """Return the record of ``key``, or None."""
        return self._records.get(key)

    def begin(self, key: str, made: int, digest: bytes, work: object) -> None:
        """Record that ``key``, made at wall time ``made``, starts to run."""
        self._records[key] = KeyRecord(digest, made, KeyState.RUNNING, work)

    def discard(self, key: str) -> None:
        """Remove ``key``, which did not run and will not run."""
        self._records.pop(key, None)

    def import_entries(self, entries: Iterable[HandoverEntry]) -> None:
        """Add keys run by a previous holder, whose answers are not available here."""
        for entry in entries:
            if entry.name not in self._records:
                record = KeyRecord(entry.digest, entry.made, KeyState.DONE, None)
                self._records[entry.name] = record

    def export_entries(self, slot: int, slots: int) -> list[HandoverEntry]:
        """Return the keys of one slot for a handover."""
        return [
            HandoverEntry(name, record.made, record.digest)
            for name, record in self._records.items()
            if slot_of(name.split("/", 1)[1], slots) == slot
        ]

    def finish(self, key: str, size: int) -> None:
        """Record that ``key`` has run and that its answer has ``size`` bytes."""
        record = self._records.get(key)
        if record is None:
            return
        record.state = KeyState.DONE
        record.size = size
        self._answer_bytes += size
        if self._answer_bytes > self._answer_limit:
            self._evict_answers()

    def evict(self, horizon: int) -> None:
        """Drop finished keys older than ``horizon``, and the oldest above the limit.

        ``dropped_before`` advances past every dropped key, so that none can run twice.
        """
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.made >= horizon and len(self._records) <= self._limit:
                return
            if record.state is KeyState.RUNNING:
                return
            del self._records[key]
            self._answer_bytes -= record.size
            self.dropped_before = max(self.dropped_before, record.made + 1)

    def _evict_answers(self) -> None:
        """Drop the oldest answers but keep their keys."""
        for record in self._records.values():
            if self._answer_bytes <= self._answer_limit // 2:
                return
            if record.state is KeyState.DONE and record.size:
                self._answer_bytes -= record.size
                record.size = 0
                record.work = None


@dataclass(frozen=True, slots=True)
class KeyDecision:
    """Whether a key may run at this holder."""

    #: Reason for refusing; ``None`` if the key may run or has run.
    refusal: Refusal | None
    #: State of the key; ``None`` if it is new.
    record: KeyRecord | None = None


@dataclass(frozen=True, slots=True)
class HolderState:
    """A holder's state at the time of a decision."""

    #: Held slots by index.
    held_slots: dict[int, Slot]
    #: Number of slots of the service.
    slot_count: int
    #: Whether the holder's lease is valid.
    lease_valid: bool
    #: Wall time in milliseconds.
    wall_time: int
    #: Milliseconds for which keys are remembered.
    retention: int
    #: Milliseconds after which a refused caller should retry.
    retry_after: int = 1 * SECOND


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """The properties of a request that decide whether it may run."""

    #: The key as given by the caller; it determines the slot.
    key: str
    #: Organisation of the caller; keys are scoped to it.
    organisation: str
    #: Wall time in the key, in milliseconds.
    made: int
    #: Digest of the request, to detect reuse of the key for another one.
    digest: bytes

    @property
    def name(self) -> str:
        """Return the key qualified with its organisation."""
        return f"{self.organisation}/{self.key.lower()}"


def check_key(req: KeyedRequest, holder: HolderState, cache: IdempotencyCache) -> KeyDecision:
    """Return whether a request with a key may run at this holder.

    Remembered keys are looked up first: their state is exact, while the other rules only bound
    what may have run.
    """
    slot = holder.held_slots.get(slot_of(req.key, holder.slot_count)) if holder.slot_count else None
    if slot is None or not holder.lease_valid:
        detail = "the key's slot is not held here" if slot is None else "the lease has lapsed"
        return _refuse(Outcome.NOT_RUN, Reason.NOT_HOME, detail, holder.retry_after)
    record = cache.find(req.name)
    if record is not None:
        return _check_record(record, req.digest)
    if req.made > holder.wall_time + MAX_KEY_LEAD:
        detail = "the key's time is in the future"
        return _refuse(Outcome.NOT_RUN, Reason.KEY_IN_FUTURE, detail, 0)
    if req.made < slot.since:
        detail = "the key was made before this holder took over; another may have run it"
        wait = slot.since - holder.wall_time + 1
        return _refuse(Outcome.UNKNOWN, Reason.KEY_BEFORE_HOME, detail, max(0, wait))
    if req.made < max(holder.wall_time - holder.retention, cache.dropped_before):
        detail = "the key is older than what is remembered"
        return _refuse(Outcome.UNKNOWN, Reason.KEY_EXPIRED, detail, 0)
    return KeyDecision(None)


def _check_record(record: KeyRecord, digest: bytes) -> KeyDecision:
    if record.digest != digest:
        detail = "the key was used for another request"
        return _refuse(Outcome.NOT_RUN, Reason.KEY_REUSED, detail, 0)
    if record.work is None:
        detail = "the request ran; its answer is no longer kept"
        return _refuse(Outcome.UNKNOWN, Reason.ANSWER_NOT_KEPT, detail, 0)
    return KeyDecision(None, record)


def _refuse(outcome: Outcome, reason: Reason, detail: str, retry_after: int) -> KeyDecision:
    return KeyDecision(Refusal(outcome, reason, detail, retry_after))
