"""Keeps one target's lease in the platform, and tells whose leases stand."""

from __future__ import annotations

from typing import Final

import msgspec

from canvasyoke._clock import Clock
from canvasyoke.coordination import RENEW_INTERVAL, Lease, LeaseMonitor
from canvasyoke.observe import part_logger
from canvasyoke.state import CREATE, Absent, Conflict, Found, Platform, Unavailable, Written

_log = part_logger("lease")
_LEASE_PREFIX: Final = "leases/"


class LeaseRecord(msgspec.Struct, frozen=True):
    """A lease as kept in the platform."""

    incarnation: str
    #: Address that the holder's process listens on.
    address: str
    #: Whether its holder let go of it, or another broke it.
    ended: bool = False


class LeaseKeeper:
    """The lease under which a target holds key slots of its service."""

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        service: str,
        instance: str,
        incarnation: str,
        address: str,
    ) -> None:
        self._lease = Lease(clock)
        self._platform = platform
        self._clock = clock
        self._service = service
        self._instance = instance
        #: Name under which slots are held; a new one after a lease was lost, so that
        #: what the table still says of the old one is never taken for one's own.
        self.incarnation = incarnation
        self._losses = 0
        self._address = address
        self._watch = LeaseMonitor(clock)
        self._version = -1
        self._renewed = -RENEW_INTERVAL

    @property
    def valid(self) -> bool:
        """Tell whether the lease stands now."""
        return self._lease.valid

    def keep(self) -> bool:
        """Renew the lease if it is time; false when another has taken it."""
        if self._clock.now() - self._renewed >= RENEW_INTERVAL:
            return self._renew()
        return True

    def end(self) -> None:
        """Give the lease back, so that others need not wait for it to lapse."""
        self._lease.mark_lost()
        if self._version >= 0:
            self._platform.write(self._key, self._record(ended=True), self._version)

    def _record(self, ended: bool) -> bytes:
        return msgspec.json.encode(LeaseRecord(self.incarnation, self._address, ended))

    @property
    def _key(self) -> str:
        return f"{_LEASE_PREFIX}{self._service}/{self._instance}"

    def _renew(self) -> bool:
        began = self._clock.now()
        if self._version < 0 and not self._join():
            return True
        result = self._platform.write(self._key, self._record(False), self._version)
        if isinstance(result, Written):
            self._version = result.version
            self._renewed = began
            self._lease.record_renewal(began)
            return True
        if isinstance(result, Conflict) or result.ambiguous:
            return self._check_lost()
        return True

    def _join(self) -> bool:
        """Find the version to write against; false while a former run may hold on.

        A former run with the same address is over, since this process listens
        there now. One with another address may be paused or cut off, so its lease
        has to lapse like anybody's.
        """
        found = self._platform.read(self._key)
        if isinstance(found, Unavailable):
            return False
        if isinstance(found, Absent):
            self._version = CREATE
            return True
        record = msgspec.json.decode(found.value, type=LeaseRecord)
        over = record.ended or record.address == self._address
        if not over and not self._watch.has_expired(self._key, found.version):
            return False
        self._version = found.version
        return True

    def _check_lost(self) -> bool:
        """Find out what became of a renewal that was refused or not answered.

        Returns false when the lease is another's.
        """
        found = self._platform.read(self._key)
        if isinstance(found, Unavailable):
            return True
        if isinstance(found, Absent):
            self._version = CREATE
            return True
        record = msgspec.json.decode(found.value, type=LeaseRecord)
        self._version = found.version
        if record.incarnation == self.incarnation and not record.ended:
            return True
        _log.warning("lease was taken by another", service=self._service)
        self._lease.mark_lost()
        self._losses += 1
        self.incarnation = f"{self.incarnation.partition('.')[0]}.{self._losses}"
        return False

    def live_holders(self) -> dict[str, str] | None:
        """Return the incarnation of each instance whose lease stands.

        A lease that has stood still for too long is broken first, by a write on
        it: its holder, should it wake, will find its next renewal refused.
        """
        keys = self._platform.list_keys(f"{_LEASE_PREFIX}{self._service}/")
        if isinstance(keys, Unavailable):
            return None
        live = {self._instance: self.incarnation}
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
        if not self._watch.has_expired(key, found.version):
            return True
        broken = msgspec.json.encode(LeaseRecord(record.incarnation, record.address, True))
        result = self._platform.write(key, broken, found.version)
        if isinstance(result, Written):
            _log.warning("broke a lapsed lease", holder=key.rsplit("/", 1)[1])
            return False
        return True
