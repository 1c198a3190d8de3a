"""Audit trail of operator and system actions, stored on the platform.

Each entry is a separate object whose key sorts by time, so concurrent writers do not conflict.
Appending also trims the oldest entries.
"""

from __future__ import annotations

from typing import Annotated, Final

import msgspec
from msgspec import Meta

from canvasyoke.state._platform import CREATE, Found, Platform, Unavailable

_PREFIX: Final = "audit/"
#: Maximum number of entries after trimming.
AUDIT_LIMIT: Final = 2_000
#: Appends between two trims, so that not every append has to list all keys.
_TRIM_INTERVAL: Final = 100
_MAX_WRITE_ATTEMPTS: Final = 4


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One recorded action."""

    #: Wall-clock time of the action, in milliseconds since 1970-01-01 UTC.
    wall: int
    #: Unique id: that of the submission or of the order.
    id: str
    #: Operator, or the instance for automatic actions.
    who: str
    #: ``submission``, ``map`` or ``slot``.
    action: str
    #: Affected service or group; empty for the whole fleet.
    subject: str = ""
    #: Configuration generation or map number before and after the action.
    before: int = 0
    after: int = 0
    #: Changed files or experts.
    changed: Annotated[list[str], Meta(max_length=1_000)] = []
    #: ``accepted``, ``refused``, ``done`` or ``failed``.
    outcome: str
    #: Reason, as one sentence.
    why: str = ""


class AuditTrail:
    """Reads and writes the audit trail."""

    def __init__(self, platform: Platform, limit: int = AUDIT_LIMIT) -> None:
        self._platform = platform
        self._limit = limit
        self._appended = 0

    def append(self, entry: AuditEntry) -> bool:
        """Add ``entry``; return false if the platform did not respond.

        The key is unique to the entry, so a conflict means that an earlier attempt succeeded but
        its response was lost.
        """
        key = f"{_PREFIX}{entry.wall:015d}-{entry.id}"
        data = msgspec.json.encode(entry)
        written = any(
            not isinstance(self._platform.write(key, data, CREATE), Unavailable)
            for _ in range(_MAX_WRITE_ATTEMPTS)
        )
        self._appended += 1
        if self._appended % _TRIM_INTERVAL == 1:
            self._trim()
        return written

    def read(self, since: int = 0, subject: str = "") -> list[AuditEntry] | Unavailable:
        """Return entries from ``since`` on, oldest first, optionally only those of ``subject``."""
        keys = self._platform.list_keys(_PREFIX)
        if isinstance(keys, Unavailable):
            return keys
        entries = []
        for key in keys:
            if _wall_time_of_key(key) < since:
                continue
            found = self._platform.read(key)
            if isinstance(found, Unavailable):
                return found
            if isinstance(found, Found):
                entries.append(msgspec.json.decode(found.value, type=AuditEntry))
        return [e for e in entries if not subject or subject in (e.subject, *e.changed)]

    def _trim(self) -> None:
        keys = self._platform.list_keys(_PREFIX)
        if isinstance(keys, Unavailable):
            return
        for key in keys[: max(0, len(keys) - self._limit)]:
            self._platform.delete(key)


def _wall_time_of_key(key: str) -> int:
    digits = key.removeprefix(_PREFIX).split("-", 1)[0]
    return int(digits) if digits.isdigit() else 0
