"""Renewal of a target's lease, and detection of other targets' expired leases."""

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
    """A lease as stored in the platform."""

    incarnation: str
    #: Listening address of the holder.
    address: str
    #: Whether the holder released the lease or another target revoked it.
    ended: bool = False


class LeaseManager:
    """Manages the lease under which a target holds key slots of its service."""

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
        #: Identifies this holder in the slot table. Changes when the lease is lost, so that
        #: slots still listed under the previous value are not treated as held.
        self.incarnation = incarnation
        self._loss_count = 0
        self._address = address
        self._monitor = LeaseMonitor(clock)
        self._version = -1
        self._renewed_at = -RENEW_INTERVAL

    @property
    def valid(self) -> bool:
        """Return whether the lease is valid now."""
        return self._lease.valid

    def renew_if_due(self) -> bool:
        """Renew the lease if it is due; return false if another process has taken it."""
        if self._clock.now() - self._renewed_at >= RENEW_INTERVAL:
            return self._renew()
        return True

    def release(self) -> None:
        """Release the lease, so that others need not wait for it to expire."""
        self._lease.mark_lost()
        if self._version >= 0:
            self._platform.write(self._key, self._record(ended=True), self._version)

    def _record(self, ended: bool) -> bytes:
        return msgspec.json.encode(LeaseRecord(self.incarnation, self._address, ended))

    @property
    def _key(self) -> str:
        return f"{_LEASE_PREFIX}{self._service}/{self._instance}"

    def _renew(self) -> bool:
        started_at = self._clock.now()
        if self._version < 0 and not self._find_version():
            return True
        result = self._platform.write(self._key, self._record(False), self._version)
        if isinstance(result, Written):
            self._version = result.version
            self._renewed_at = started_at
            self._lease.record_renewal(started_at)
            return True
        if isinstance(result, Conflict) or result.ambiguous:
            return self._verify_ownership()
        return True

    def _find_version(self) -> bool:
        """Find the version to write against; false while a previous process may hold the lease.

        A previous process with the same address has ended, since this process now listens on
        that address. One with another address may be paused or partitioned, so its lease has
        to expire first.
        """
        found = self._platform.read(self._key)
        if isinstance(found, Unavailable):
            return False
        if isinstance(found, Absent):
            self._version = CREATE
            return True
        record = msgspec.json.decode(found.value, type=LeaseRecord)
        has_ended = record.ended or record.address == self._address
        if not has_ended and not self._monitor.has_expired(self._key, found.version):
            return False
        self._version = found.version
        return True

    def _verify_ownership(self) -> bool:
        """Check the outcome of a renewal that conflicted or got no answer.

        Returns false if another process holds the lease.
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
        _log.warning("lost the lease to another process", service=self._service)
        self._lease.mark_lost()
        self._loss_count += 1
        self.incarnation = f"{self.incarnation.partition('.')[0]}.{self._loss_count}"
        return False

    def live_holders(self) -> dict[str, str] | None:
        """Return the incarnation of each instance with a valid lease.

        An expired lease is revoked by a conditional write first, so that the next renewal of
        a holder that was only paused fails.
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
            if isinstance(found, Found) and self._is_live(key, found):
                live[name] = msgspec.json.decode(found.value, type=LeaseRecord).incarnation
        return live

    def _is_live(self, key: str, found: Found) -> bool:
        record = msgspec.json.decode(found.value, type=LeaseRecord)
        if record.ended:
            return False
        if not self._monitor.has_expired(key, found.version):
            return True
        ended_record = msgspec.json.encode(LeaseRecord(record.incarnation, record.address, True))
        result = self._platform.write(key, ended_record, found.version)
        if isinstance(result, Written):
            _log.warning("revoked an expired lease", holder=key.rsplit("/", 1)[1])
            return False
        return True
