"""The task that keeps a target's lease and its share of a service's key slots.

Only targets of services with non-repeatable requests run it. All it knows comes
from the platform; with the platform out, the lease runs down and the slots stand
still, since nobody else can take them either.

A slot changes hands in one of two ways. Its holder gives it back, with a list of
the keys it ran, and the next holder goes on as if it had run them itself. Or its
holder's lease lapses, and the next holder refuses every key made before it came.
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
from canvasyoke.target._handovers import Handovers
from canvasyoke.target._lease_keeper import LeaseKeeper

_log = part_logger("homes")
_TABLE_PREFIX: Final = "homes/"
#: Milliseconds between readings of the slot table.
LOOK_EVERY: Final = 1 * SECOND
#: The same while slots are on their way here. Keys of a slot that was given back wait for
#: its next holder: with a store that answers at once up to 1.1 s by readings a second apart.
_LOOK_AGAIN: Final = 200
#: Milliseconds between readings of all leases while no slot is free.
_LEASES_EVERY: Final = 3 * SECOND
_RELEASE_TRIES: Final = 5


@dataclass(frozen=True, slots=True)
class Holding:
    """What one target holds; replaced as a whole when it changes."""

    epoch: int
    slots: dict[int, Slot]
    #: Slots in the service's table; 0 before it is known.
    count: int


#: A slot whose holder is gone without a word.
_LAPSED: Final = Slot(used=True)

#: Nothing is held.
NOTHING: Final = Holding(0, {}, 0)


@dataclass(frozen=True, slots=True)
class Surrendered:
    """What the desk knew of the slots it let go."""

    #: Keys that ran or run, by slot.
    keys: dict[int, list[HandoverEntry]]
    #: Wall time before which keys may have been forgotten.
    forgotten_before: int


class SlotUser(ABC):
    """Runs requests with keys of the slots held: the desk.

    Both methods return only when their effect is complete, since the platform is
    told of it next.
    """

    @abstractmethod
    def hold(self, holding: Holding, inherited: Sequence[HandoverEntry]) -> None:
        """Use these slots from now on; the inherited keys have run."""

    @abstractmethod
    def surrender(self, holding: Holding, slots: Iterable[int]) -> Surrendered:
        """Use no more than ``holding``; return what is known of ``slots``."""


class HomeKeeper:
    """Renews the lease, takes free slots and gives back what is too many."""

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        service: str,
        instance: str,
        slots: Callable[[], int],
        user: SlotUser,
        lease: LeaseKeeper,
    ) -> None:
        self._lease = lease
        self._platform = platform
        self._clock = clock
        self._service = service
        self._instance = instance
        self._slots = slots
        self._user = user
        self._handovers = Handovers(platform, service)
        self._live: dict[str, str] = {}
        self._live_read = -_LEASES_EVERY
        self._holding = NOTHING
        #: Milliseconds until the next step.
        self.pause = LOOK_EVERY
        self._stop = threading.Event()
        self._task = threading.Thread(target=self._run, name="homes", daemon=True)

    def start(self) -> None:
        """Start the task."""
        self._task.start()

    @property
    def holding(self) -> Holding:
        """Return what is held now."""
        return self._holding

    def release(self) -> None:
        """End the task, hand all slots over and give the lease back."""
        self._stop.set()
        if self._task.is_alive():
            self._task.join()
        for _ in range(_RELEASE_TRIES):
            if not self._holding.slots or self._give_all_back():
                break
        self._lease.end()

    def _give_all_back(self) -> bool:
        table, version = self._read_table(self._holding.count)
        if table is None:
            return False
        wanted = list(table.slots)
        for index in table.held_by(self._instance, self._lease.incarnation):
            wanted[index] = _LAPSED
        return self._change_table(table, wanted, version)

    @property
    def _table_key(self) -> str:
        return f"{_TABLE_PREFIX}{self._service}"

    def _run(self) -> None:
        while not self._stop.is_set():
            count = self._slots()
            if count:
                self.step(count)
            self._stop.wait(self.pause / SECOND)

    def step(self, count: int) -> None:
        """Renew the lease if it is time, then look at the slots once."""
        self.pause = LOOK_EVERY
        if not self._lease.keep():
            self._publish(NOTHING)
        if self._lease.valid:
            self._look(count)

    def _look(self, count: int) -> None:
        """Read the table; free what lapsed, take or give back slots."""
        table, version = self._read_table(count)
        if table is None:
            return
        if self._clock.now() - self._live_read >= _LEASES_EVERY and not self._read_live():
            return
        if self._arrange(table) == table.slots and version:
            self._publish_table(table)
            if self._is_owed(table):
                self.pause = _LOOK_AGAIN
            return
        # Something is to change. The leases must have been read after the table: by
        # older ones, a slot just taken by a new run would look lapsed.
        if self._read_live():
            self._change_table(table, self._arrange(table), version)

    def _read_live(self) -> bool:
        live = self._lease.live_holders()
        if live is None:
            return False
        self._live, self._live_read = live, self._clock.now()
        return True

    def _read_table(self, count: int) -> tuple[SlotTable | None, int]:
        found = self._platform.read(self._table_key)
        if isinstance(found, Unavailable):
            return None, 0
        if isinstance(found, Absent):
            return SlotTable(0, [Slot()] * count), CREATE
        return msgspec.json.decode(found.value, type=SlotTable), found.version

    def _is_owed(self, table: SlotTable) -> bool:
        """Tell whether another holder has slots to give that may come here."""
        fair = self._fair(table)
        held = Counter(slot.holder for slot in table.slots)
        return held[self._instance] < fair < max(held.values())

    def _fair(self, table: SlotTable) -> int:
        return math.ceil(len(table.slots) / len(self._live))

    def _arrange(self, table: SlotTable) -> list[Slot]:
        """Return the slots as they should be: lapsed ones freed, this target's fair part."""
        live = self._live
        slots = [
            s if not s.holder or live.get(s.holder) == s.incarnation else _LAPSED
            for s in table.slots
        ]
        fair = self._fair(table)
        mine = [i for i, s in enumerate(slots) if s.holder == self._instance]
        for index in mine[fair:]:
            slots[index] = _LAPSED
        free = [i for i, s in enumerate(slots) if not s.holder and i not in mine]
        fresh = self._clock.wall() + CLOCK_MARGIN
        for index in free[: max(0, fair - len(mine))]:
            old = slots[index]
            since = old.since if old.handover or not old.used else fresh
            slots[index] = Slot(self._instance, self._lease.incarnation, since, True, old.handover)
        return slots

    def _change_table(self, table: SlotTable, wanted: list[Slot], version: int) -> bool:
        """Write the table; false when another change came first.

        Slots given back are not used from before the write on, whatever comes of
        it. Keys of slots taken are remembered before the write, in case it takes
        effect and its answer is lost; the slots are used only once it is known.
        """
        mine = table.held_by(self._instance, self._lease.incarnation)
        lost = {i: s for i, s in mine.items() if wanted[i].holder != self._instance}
        if lost:
            wanted = self._hand_over(wanted, lost, table.epoch + 1)
        wanted, used = self._take_over(wanted)
        changed = SlotTable(table.epoch + 1, wanted)
        result = self._platform.write(self._table_key, msgspec.json.encode(changed), version)
        if not isinstance(result, Written):
            return False
        self._publish_table(changed)
        self._handovers.drop(used - {slot.handover for slot in wanted})
        return True

    def _hand_over(self, wanted: list[Slot], lost: dict[int, Slot], epoch: int) -> list[Slot]:
        """Stop using the slots in ``lost``; write down what ran, for the next holder."""
        held = self._holding
        kept = {i: s for i, s in held.slots.items() if i not in lost}
        self._holding = Holding(held.epoch, kept, held.count)
        surrendered = self._user.surrender(self._holding, lost)
        # From here to the next holder's line "slots changed", keys of these slots wait.
        _log.info("slots given back", service=self._service, slots=len(lost), epoch=epoch)
        keys = {i: surrendered.keys.get(i, []) for i in lost if not wanted[i].holder}
        names = self._handovers.write(keys, f"{epoch}-{self._lease.incarnation}")
        result = list(wanted)
        for index, name in names.items():
            since = max(lost[index].since, surrendered.forgotten_before)
            result[index] = Slot("", "", since, True, name)
        return result

    def _take_over(self, wanted: list[Slot]) -> tuple[list[Slot], set[str]]:
        """Remember the keys of slots being taken; without them, a slot starts afresh.

        Returns the slots as they are to be written and the handovers used.
        """
        taken = {
            index: slot.handover
            for index, slot in enumerate(wanted)
            if slot.handover and slot.holder == self._instance
        }
        notes = self._handovers.read(taken, len(wanted)) if taken else {}
        result = list(wanted)
        for index in taken:
            slot = wanted[index]
            since = slot.since if index in notes else self._clock.wall() + CLOCK_MARGIN
            result[index] = Slot(slot.holder, slot.incarnation, since, True)
        if notes:
            self._user.hold(self._holding, [note for each in notes.values() for note in each])
        return result, {taken[index] for index in notes}

    def _publish_table(self, table: SlotTable) -> None:
        mine = table.held_by(self._instance, self._lease.incarnation)
        self._publish(Holding(table.epoch, mine, len(table.slots)))

    def _publish(self, holding: Holding) -> None:
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
        self._user.hold(holding, ())
