"""The task that keeps a target's lease and its share of a service's key slots.

Only targets of services with non-repeatable requests run it. All it knows comes
from the platform; with the platform out, the lease runs down and the slots stand
still, since nobody else can take them either.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec

from canvasyoke._clock import SECOND, Clock
from canvasyoke.coordination import (
    CLOCK_MARGIN,
    RENEW_EVERY,
    Lease,
    LeaseWatch,
    Slot,
    SlotTable,
)
from canvasyoke.observe import part_logger
from canvasyoke.state import Absent, Conflict, Found, Platform, Unavailable, Written

_log = part_logger("homes")
_LEASE_PREFIX: Final = "leases/"
_TABLE_PREFIX: Final = "homes/"
_LOOK_EVERY: Final = 1 * SECOND


class LeaseRecord(msgspec.Struct, frozen=True):
    """A lease as kept in the platform."""

    incarnation: str
    #: Address that the holder's process listens on.
    address: str
    #: Whether its holder let go of it, or another broke it.
    ended: bool = False


@dataclass(frozen=True, slots=True)
class Holding:
    """What one target holds; replaced as a whole when it changes."""

    epoch: int
    slots: dict[int, Slot]
    #: Slots in the service's table; 0 before it is known.
    count: int


#: Nothing is held.
NOTHING: Final = Holding(0, {}, 0)


class HomeKeeper:
    """Renews the lease, takes free slots and gives back what is too many."""

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        service: str,
        instance: str,
        incarnation: str,
        address: str,
        slots: Callable[[], int],
        on_change: Callable[[Holding], None],
    ) -> None:
        #: Whether the lease stands; asked before each request with a key.
        self.lease = Lease(clock)
        self._platform = platform
        self._clock = clock
        self._service = service
        self._instance = instance
        self._incarnation = incarnation
        self._address = address
        self._slots = slots
        self._on_change = on_change
        self._watch = LeaseWatch(clock)
        self._version = -1
        self._renewed = -RENEW_EVERY
        self._holding = NOTHING
        self._stop = threading.Event()
        self._task = threading.Thread(target=self._run, name="homes", daemon=True)

    def start(self) -> None:
        """Start the task."""
        self._task.start()

    def release(self) -> None:
        """End the task and give the lease back, so that others take over at once."""
        self._stop.set()
        self.lease.lost()
        self._task.join()
        if self._version >= 0:
            self._platform.write(self._lease_key, self._record(ended=True), self._version)

    def _record(self, ended: bool) -> bytes:
        return msgspec.json.encode(LeaseRecord(self._incarnation, self._address, ended))

    @property
    def _lease_key(self) -> str:
        return f"{_LEASE_PREFIX}{self._service}/{self._instance}"

    @property
    def _table_key(self) -> str:
        return f"{_TABLE_PREFIX}{self._service}"

    def _run(self) -> None:
        while not self._stop.is_set():
            count = self._slots()
            if count:
                self.step(count)
            self._stop.wait(_LOOK_EVERY / SECOND)

    def step(self, count: int) -> None:
        """Renew the lease if it is time, then look at the slots once."""
        if self._clock.now() - self._renewed >= RENEW_EVERY:
            self._renew()
        if self.lease.valid:
            self._look(count)

    def _renew(self) -> None:
        began = self._clock.now()
        if self._version < 0 and not self._join():
            return
        result = self._platform.write(self._lease_key, self._record(False), self._version)
        if isinstance(result, Written):
            self._version = result.version
            self._renewed = began
            self.lease.renewed(began)
        elif isinstance(result, Conflict) or result.ambiguous:
            self._check_lost()

    def _join(self) -> bool:
        """Find the version to write against; false while a former run may hold on.

        A former run with the same address is over, since this process listens
        there now. One with another address may be paused or cut off, so its lease
        has to lapse like anybody's.
        """
        found = self._platform.read(self._lease_key)
        if isinstance(found, Unavailable):
            return False
        if isinstance(found, Absent):
            self._version = 0
            return True
        record = msgspec.json.decode(found.value, type=LeaseRecord)
        over = record.ended or record.address == self._address
        if not over and not self._watch.lapsed(self._lease_key, found.version):
            return False
        self._version = found.version
        return True

    def _check_lost(self) -> None:
        """Find out what became of a renewal that was refused or not answered."""
        found = self._platform.read(self._lease_key)
        if isinstance(found, Unavailable):
            return
        if isinstance(found, Absent):
            self._version = 0
            return
        record = msgspec.json.decode(found.value, type=LeaseRecord)
        self._version = found.version
        if record.incarnation == self._incarnation and not record.ended:
            return
        _log.warning("lease was taken by another", service=self._service)
        self.lease.lost()
        self._publish(NOTHING)

    def _look(self, count: int) -> None:
        """Read who is there, free what lapsed, take or give back slots."""
        live = self._live_holders()
        if live is None:
            return
        found = self._platform.read(self._table_key)
        if isinstance(found, Unavailable):
            return
        version = found.version if isinstance(found, Found) else 0
        table = (
            msgspec.json.decode(found.value, type=SlotTable)
            if isinstance(found, Found)
            else SlotTable(0, [Slot()] * count)
        )
        wanted = self._arrange(table, live)
        if wanted == table.slots and version:
            self._publish_table(table)
            return
        self._write_table(SlotTable(table.epoch + 1, wanted), version)

    def _write_table(self, table: SlotTable, version: int) -> None:
        # Slots given back must not be used from before the write on, whatever
        # comes of it; slots taken may be used only after it took effect.
        mine = table.held_by(self._instance, self._incarnation)
        kept = {i: s for i, s in self._holding.slots.items() if mine.get(i) == s}
        if kept != self._holding.slots:
            self._publish(Holding(self._holding.epoch, kept, len(table.slots)))
        result = self._platform.write(self._table_key, msgspec.json.encode(table), version)
        if isinstance(result, Written):
            self._publish_table(table)

    def _publish_table(self, table: SlotTable) -> None:
        mine = table.held_by(self._instance, self._incarnation)
        self._publish(Holding(table.epoch, mine, len(table.slots)))

    def _publish(self, holding: Holding) -> None:
        if holding == self._holding:
            return
        if set(holding.slots) != set(self._holding.slots):
            _log.info("slots changed", service=self._service, held=len(holding.slots))
        self._holding = holding
        self._on_change(holding)

    def _live_holders(self) -> dict[str, str] | None:
        """Return the incarnation of each instance whose lease stands.

        A lease that has stood still for too long is broken first, by a write on
        it: its holder, should it wake, will find its next renewal refused.
        """
        keys = self._platform.list_keys(f"{_LEASE_PREFIX}{self._service}/")
        if isinstance(keys, Unavailable):
            return None
        live = {self._instance: self._incarnation}
        for key in keys:
            name = key.rsplit("/", 1)[1]
            if name == self._instance:
                continue
            found = self._platform.read(key)
            if isinstance(found, Unavailable):
                return None
            if isinstance(found, Found) and self._stands(key, found):
                live[name] = msgspec.json.decode(found.value, type=LeaseRecord).incarnation
        return live

    def _stands(self, key: str, found: Found) -> bool:
        record = msgspec.json.decode(found.value, type=LeaseRecord)
        if record.ended:
            return False
        if not self._watch.lapsed(key, found.version):
            return True
        broken = msgspec.json.encode(LeaseRecord(record.incarnation, record.address, True))
        result = self._platform.write(key, broken, found.version)
        if isinstance(result, Written):
            _log.warning("broke a lapsed lease", holder=key.rsplit("/", 1)[1])
            return False
        return True

    def _arrange(self, table: SlotTable, live: dict[str, str]) -> list[Slot]:
        """Return the slots as they should be: lapsed ones freed, this target's fair part."""
        slots = [s if live.get(s.holder) == s.incarnation else Slot() for s in table.slots]
        fair = math.ceil(len(slots) / len(live))
        mine = [i for i, s in enumerate(slots) if s.holder == self._instance]
        for index in mine[fair:]:
            slots[index] = Slot()
        since = self._clock.wall() + CLOCK_MARGIN if table.epoch else 0
        free = [i for i, s in enumerate(slots) if not s.holder]
        for index in free[: max(0, fair - len(mine))] if len(mine) < fair else []:
            if index not in mine:
                slots[index] = Slot(self._instance, self._incarnation, since)
        return slots
