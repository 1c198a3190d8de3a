"""Maintains a target's lease and its share of a service's key slots.

Only targets of services with non-repeatable requests need it. All state is in the platform's
store: during an outage of the store the lease expires, and slots are not reassigned.

A slot moves to another holder in one of two ways. Either its holder releases it with a list of
the keys that it ran, and the next holder treats them as its own. Or its holder's lease expires,
and the next holder refuses every key created before it took the slot.
"""

from __future__ import annotations

import math
import threading
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

import msgspec

from canvasyoke._clock import SECOND, Clock
from canvasyoke.coordination import CLOCK_MARGIN, HandoverEntry, Slot, SlotTable
from canvasyoke.observe import part_logger
from canvasyoke.state import CREATE, Absent, Platform, Unavailable, Written
from canvasyoke.target._handover_store import HandoverStore
from canvasyoke.target._lease_manager import LeaseManager

_log = part_logger("homes")
_TABLE_PREFIX: Final = "homes/"
#: Milliseconds between reads of the slot table.
POLL_INTERVAL: Final = 1 * SECOND
#: The same while slots are expected from other holders. Requests for a released slot wait until its
#: next holder reads the table. With reads a second apart that took up to 1.1 s.
_FAST_POLL_INTERVAL: Final = 200
#: Milliseconds between reads of all leases while the slot assignment is unchanged.
_LEASE_SCAN_INTERVAL: Final = 3 * SECOND
_RELEASE_ATTEMPTS: Final = 5


@dataclass(frozen=True, slots=True)
class Holding:
    """Slots held by one target; immutable."""

    epoch: int
    slots: dict[int, Slot]
    #: Number of slots in the service's table; 0 before the table is read.
    count: int


#: A free slot whose last holder left no handover.
_EXPIRED_SLOT: Final = Slot(used=True)

NO_SLOTS: Final = Holding(0, {}, 0)


@dataclass(frozen=True, slots=True)
class ReleasedKeys:
    """Keys of released slots, for their next holders."""

    #: Keys that have run or are running, by slot.
    keys: dict[int, list[HandoverEntry]]
    #: Keys made before this wall time may have been dropped from ``keys``.
    dropped_before: int


class SlotConsumer(ABC):
    """Executes the requests whose keys fall into held slots.

    Both methods must return only after taking effect, because the slot table is written next.
    """

    @abstractmethod
    def apply_holding(self, holding: Holding, inherited_keys: Sequence[HandoverEntry]) -> None:
        """Use the slots of ``holding``; treat ``inherited_keys`` as already run."""

    @abstractmethod
    def release_slots(self, holding: Holding, slots: Iterable[int]) -> ReleasedKeys:
        """Restrict use to ``holding``; return the known keys of ``slots``."""


class SlotManager:
    """Renews the lease, takes free slots and releases slots beyond the fair share."""

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        service: str,
        instance: str,
        slot_count: Callable[[], int],
        consumer: SlotConsumer,
        lease: LeaseManager,
    ) -> None:
        self._lease = lease
        self._platform = platform
        self._clock = clock
        self._service = service
        self._instance = instance
        self._slot_count = slot_count
        self._consumer = consumer
        self._handover_store = HandoverStore(platform, service)
        self._live_holders: dict[str, str] = {}
        self._live_holders_read_at = -_LEASE_SCAN_INTERVAL
        self._holding = NO_SLOTS
        #: Milliseconds to wait before the next step.
        self.poll_delay = POLL_INTERVAL
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="homes", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    @property
    def holding(self) -> Holding:
        """Return the slots held now."""
        return self._holding

    def release(self) -> None:
        """Stop the thread, release all slots with handovers, and release the lease."""
        self._stop.set()
        if self._thread.is_alive():
            self._thread.join()
        for _ in range(_RELEASE_ATTEMPTS):
            if not self._holding.slots or self._release_all():
                break
        self._lease.release()

    def _release_all(self) -> bool:
        table, version = self._read_table(self._holding.count)
        if table is None:
            return False
        assigned = list(table.slots)
        for index in table.held_by(self._instance, self._lease.incarnation):
            assigned[index] = _EXPIRED_SLOT
        return self._update_table(table, assigned, version)

    @property
    def _table_key(self) -> str:
        return f"{_TABLE_PREFIX}{self._service}"

    def _run(self) -> None:
        while not self._stop.is_set():
            count = self._slot_count()
            if count:
                self.step(count)
            self._stop.wait(self.poll_delay / SECOND)

    def step(self, count: int) -> None:
        """Renew the lease if it is due, then rebalance the slots once."""
        self.poll_delay = POLL_INTERVAL
        if not self._lease.renew_if_due():
            self._apply_holding(NO_SLOTS)
        if self._lease.valid:
            self._rebalance(count)

    def _rebalance(self, count: int) -> None:
        """Read the table; free expired slots, and take or release slots as needed."""
        table, version = self._read_table(count)
        if table is None:
            return
        if (
            self._clock.now() - self._live_holders_read_at >= _LEASE_SCAN_INTERVAL
            and not self._refresh_live_holders()
        ):
            return
        if self._assign_slots(table) == table.slots and version:
            self._apply_table(table)
            if self._expects_slots(table):
                self.poll_delay = _FAST_POLL_INTERVAL
            return
        # Leases must be read after the table: compared with older leases, a slot that was just
        # taken by a new incarnation would appear expired.
        if self._refresh_live_holders():
            self._update_table(table, self._assign_slots(table), version)

    def _refresh_live_holders(self) -> bool:
        live = self._lease.live_holders()
        if live is None:
            return False
        self._live_holders, self._live_holders_read_at = live, self._clock.now()
        return True

    def _read_table(self, count: int) -> tuple[SlotTable | None, int]:
        found = self._platform.read(self._table_key)
        if isinstance(found, Unavailable):
            return None, 0
        if isinstance(found, Absent):
            return SlotTable(0, [Slot()] * count), CREATE
        return msgspec.json.decode(found.value, type=SlotTable), found.version

    def _expects_slots(self, table: SlotTable) -> bool:
        """Return whether another holder is expected to release slots to this target."""
        fair_share = self._fair_share(table)
        held = Counter(slot.holder for slot in table.slots)
        return held[self._instance] < fair_share < max(held.values())

    def _fair_share(self, table: SlotTable) -> int:
        return math.ceil(len(table.slots) / len(self._live_holders))

    def _assign_slots(self, table: SlotTable) -> list[Slot]:
        """Return the table's slots with expired ones freed and this target at its fair share."""
        live = self._live_holders
        slots = [
            s if not s.holder or live.get(s.holder) == s.incarnation else _EXPIRED_SLOT
            for s in table.slots
        ]
        fair_share = self._fair_share(table)
        own = [i for i, s in enumerate(slots) if s.holder == self._instance]
        for index in own[fair_share:]:
            slots[index] = _EXPIRED_SLOT
        free = [i for i, s in enumerate(slots) if not s.holder and i not in own]
        min_key_time = self._clock.wall() + CLOCK_MARGIN
        for index in free[: max(0, fair_share - len(own))]:
            previous = slots[index]
            since = previous.since if previous.handover or not previous.used else min_key_time
            slots[index] = Slot(
                self._instance, self._lease.incarnation, since, True, previous.handover
            )
        return slots

    def _update_table(self, table: SlotTable, assigned: list[Slot], version: int) -> bool:
        """Write the table; return false unless the write succeeded.

        Released slots are not used from before the write, whatever its result. Keys of taken
        slots are imported before the write, in case it succeeds but its answer is lost; the
        slots are used only after the table confirms them.
        """
        own = table.held_by(self._instance, self._lease.incarnation)
        released_slots = {i: s for i, s in own.items() if assigned[i].holder != self._instance}
        if released_slots:
            assigned = self._write_handovers(assigned, released_slots, table.epoch + 1)
        assigned, used_handovers = self._read_handovers(assigned)
        new_table = SlotTable(table.epoch + 1, assigned)
        result = self._platform.write(self._table_key, msgspec.json.encode(new_table), version)
        if not isinstance(result, Written):
            return False
        self._apply_table(new_table)
        self._handover_store.delete(used_handovers - {slot.handover for slot in assigned})
        return True

    def _write_handovers(
        self, assigned: list[Slot], released_slots: dict[int, Slot], epoch: int
    ) -> list[Slot]:
        """Stop using ``released_slots``; write their keys for the next holders."""
        held = self._holding
        kept = {i: s for i, s in held.slots.items() if i not in released_slots}
        self._holding = Holding(held.epoch, kept, held.count)
        released = self._consumer.release_slots(self._holding, released_slots)
        # Requests for these slots wait until the next holder logs "slots changed".
        _log.info("slots given back", service=self._service, slots=len(released_slots), epoch=epoch)
        keys = {i: released.keys.get(i, []) for i in released_slots if not assigned[i].holder}
        object_names = self._handover_store.write(keys, f"{epoch}-{self._lease.incarnation}")
        result = list(assigned)
        for index, object_name in object_names.items():
            since = max(released_slots[index].since, released.dropped_before)
            result[index] = Slot("", "", since, True, object_name)
        return result

    def _read_handovers(self, assigned: list[Slot]) -> tuple[list[Slot], set[str]]:
        """Import the keys of slots being taken; a slot without them refuses older keys.

        Returns the slots to write and the names of the handovers read.
        """
        taken = {
            index: slot.handover
            for index, slot in enumerate(assigned)
            if slot.handover and slot.holder == self._instance
        }
        entries = self._handover_store.read(taken, len(assigned)) if taken else {}
        result = list(assigned)
        for index in taken:
            slot = assigned[index]
            since = slot.since if index in entries else self._clock.wall() + CLOCK_MARGIN
            result[index] = Slot(slot.holder, slot.incarnation, since, True)
        if entries:
            self._consumer.apply_holding(
                self._holding,
                [entry for slot_entries in entries.values() for entry in slot_entries],
            )
        return result, {taken[index] for index in entries}

    def _apply_table(self, table: SlotTable) -> None:
        own = table.held_by(self._instance, self._lease.incarnation)
        self._apply_holding(Holding(table.epoch, own, len(table.slots)))

    def _apply_holding(self, holding: Holding) -> None:
        if holding == self._holding:
            return
        if set(holding.slots) != set(self._holding.slots):
            _log.info(
                "slots changed",
                service=self._service,
                held=len(holding.slots),
                epoch=holding.epoch,
            )
        self._holding = holding
        self._consumer.apply_holding(holding, ())
