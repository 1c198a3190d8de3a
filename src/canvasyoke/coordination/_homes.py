"""At most once: where a key may run, and what is remembered of it.

The keys of a service are spread over slots. A slot has one holder at a time, a
target's process under a lease; only the holder runs requests with keys of the
slot, and it remembers them. Keys carry the time at which they were made. A new
holder refuses, as unknown, every key from before it took the slot: whatever its
predecessor ran or still has in hand was made before that. So no record of past
keys has to survive a process, and a predecessor that was paused is harmless.
docs/design/at-most-once.md has the argument and what each failure refuses.
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

#: How far a key may be ahead of a target's wall clock, in milliseconds.
FUTURE_LIMIT: Final = 1 * SECOND
#: Added to the wall time of taking a slot: the limit above and the clocks' disagreement.
CLOCK_MARGIN: Final = 2 * SECOND
#: Keys remembered by one target at the most.
_MEMORY_LIMIT: Final = 200_000
#: Bytes of answers kept by one target at the most.
_ANSWER_LIMIT: Final = 8 << 20


class Slot(msgspec.Struct, frozen=True):
    """Who holds one slot of a service's keys."""

    #: Instance that holds it; empty when it is free.
    holder: str = ""
    #: Run of the holder's process.
    incarnation: str = ""
    #: Wall time in milliseconds; keys made before it are not run.
    since: int = 0
    #: Whether anybody has ever held it; if not, there is nobody's past to fear.
    used: bool = False
    #: For a slot that was given back: object with the keys its last holder ran.
    handover: str = ""


class KeyNote(msgspec.Struct, frozen=True):
    """A key that ran or runs, as one holder tells it to the next."""

    name: str
    #: Wall time in the key, in milliseconds.
    made: int
    digest: bytes


class Handover(msgspec.Struct, frozen=True):
    """All keys of one slot that its last holder remembered."""

    keys: list[KeyNote]


class SlotTable(msgspec.Struct, frozen=True):
    """All slots of a service, as kept in the platform."""

    epoch: int = 0
    slots: list[Slot] = []

    def held_by(self, instance: str, incarnation: str) -> dict[int, Slot]:
        """Return the slots that one run of a process holds."""
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
    """How far a remembered request has come."""

    RUNNING = enum.auto()
    DONE = enum.auto()


@dataclass(slots=True)
class KeyRecord:
    """What is remembered of one key."""

    #: Digest of organisation, method, path and body: the same key must mean the same.
    digest: bytes
    #: Wall time in the key, in milliseconds.
    made: int
    state: KeyState
    #: The running or finished work; ``None`` once its answer is not kept.
    work: object
    #: Bytes of the kept answer; 0 when none is kept.
    size: int = 0


class KeyMemory:
    """The keys that one process has run or is running; used by one task."""

    def __init__(self, limit: int = _MEMORY_LIMIT, answer_limit: int = _ANSWER_LIMIT) -> None:
        self._records: OrderedDict[str, KeyRecord] = OrderedDict()
        self._limit = limit
        self._answer_limit = answer_limit
        self._answer_bytes = 0
        #: Wall time after the newest key dropped; older ones are refused.
        self.dropped_before = 0

    def __len__(self) -> int:
        return len(self._records)

    def find(self, key: str) -> KeyRecord | None:
        """Return the record of ``key``, if there is one."""
        return self._records.get(key)

    def begin(self, key: str, made: int, digest: bytes, work: object) -> None:
        """Remember that ``key``, made at wall time ``made``, is to run."""
        self._records[key] = KeyRecord(digest, made, KeyState.RUNNING, work)

    def forget(self, key: str) -> None:
        """Drop ``key``: it did not run and never will on this account."""
        self._records.pop(key, None)

    def inherit(self, notes: Iterable[KeyNote]) -> None:
        """Remember keys that a former holder ran; it has their answers, not we."""
        for note in notes:
            if note.name not in self._records:
                record = KeyRecord(note.digest, note.made, KeyState.DONE, None)
                self._records[note.name] = record

    def notes(self, slot: int, slots: int) -> list[KeyNote]:
        """Return the keys of one slot, to be handed over."""
        return [
            KeyNote(name, record.made, record.digest)
            for name, record in self._records.items()
            if slot_of(name.split("/", 1)[1], slots) == slot
        ]

    def finish(self, key: str, size: int) -> None:
        """Remember that ``key`` ran and that its answer has ``size`` bytes."""
        record = self._records.get(key)
        if record is None:
            return
        record.state = KeyState.DONE
        record.size = size
        self._answer_bytes += size
        if self._answer_bytes > self._answer_limit:
            self._drop_answers()

    def trim(self, horizon: int) -> None:
        """Drop finished keys made before ``horizon``, and the oldest over the limit.

        ``dropped_before`` moves past every key dropped, so that none of them can
        run a second time.
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

    def _drop_answers(self) -> None:
        """Let go of the oldest answers; that their keys ran stays known."""
        for record in self._records.values():
            if self._answer_bytes <= self._answer_limit // 2:
                return
            if record.state is KeyState.DONE and record.size:
                self._answer_bytes -= record.size
                record.size = 0
                record.work = None


@dataclass(frozen=True, slots=True)
class HomeVerdict:
    """Whether a key may run here."""

    #: Why not; ``None`` when it may run or has run.
    refusal: Refusal | None
    #: What is remembered of it; ``None`` when it is new.
    record: KeyRecord | None = None


@dataclass(frozen=True, slots=True)
class HomeView:
    """What a holder knows at the moment of deciding."""

    #: Slots held, by index.
    held: dict[int, Slot]
    #: Slots in the service's table.
    slots: int
    #: Whether the holder's lease stands.
    lease_valid: bool
    #: Wall time in milliseconds.
    wall: int
    #: Milliseconds for which keys are remembered.
    keep: int
    #: Milliseconds after which a refused caller should ask again.
    retry_after: int = 1 * SECOND


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """The part of a request that decides whether it may run."""

    #: The key as its caller gave it; its slot follows from it.
    key: str
    #: Organisation that gave it: two of them may use the same key.
    organisation: str
    #: Wall time in the key, in milliseconds.
    made: int
    #: Digest of what is asked: the same key must mean the same.
    digest: bytes

    @property
    def name(self) -> str:
        """Return the name under which the key is remembered."""
        return f"{self.organisation}/{self.key.lower()}"


def check_key(req: KeyedRequest, view: HomeView, memory: KeyMemory) -> HomeVerdict:
    """Return whether a request with a key may run at this holder.

    The order matters: what is remembered is certain, so it goes before any rule
    that only bounds what is not.
    """
    slot = view.held.get(slot_of(req.key, view.slots)) if view.slots else None
    if slot is None or not view.lease_valid:
        detail = "the key's slot is not held here" if slot is None else "the lease has lapsed"
        return _refuse(Outcome.NOT_RUN, Reason.NOT_HOME, detail, view.retry_after)
    record = memory.find(req.name)
    if record is not None:
        return _check_record(record, req.digest)
    if req.made > view.wall + FUTURE_LIMIT:
        detail = "the key's time is in the future"
        return _refuse(Outcome.NOT_RUN, Reason.KEY_IN_FUTURE, detail, 0)
    if req.made < slot.since:
        detail = "the key was made before this holder took over; another may have run it"
        wait = slot.since - view.wall + 1
        return _refuse(Outcome.UNKNOWN, Reason.KEY_BEFORE_HOME, detail, max(0, wait))
    if req.made < max(view.wall - view.keep, memory.dropped_before):
        detail = "the key is older than what is remembered"
        return _refuse(Outcome.UNKNOWN, Reason.KEY_EXPIRED, detail, 0)
    return HomeVerdict(None)


def _check_record(record: KeyRecord, digest: bytes) -> HomeVerdict:
    if record.digest != digest:
        detail = "the key was used for another request"
        return _refuse(Outcome.NOT_RUN, Reason.KEY_REUSED, detail, 0)
    if record.work is None:
        detail = "the request ran; its answer is no longer kept"
        return _refuse(Outcome.UNKNOWN, Reason.ANSWER_NOT_KEPT, detail, 0)
    return HomeVerdict(None, record)


def _refuse(outcome: Outcome, reason: Reason, detail: str, retry_after: int) -> HomeVerdict:
    return HomeVerdict(Refusal(outcome, reason, detail, retry_after))
