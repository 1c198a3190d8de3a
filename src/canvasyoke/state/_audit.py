"""The audit trail: one small object in the platform for each thing done or refused.

Entries are separate objects whose keys sort by time, so that writers never
conflict. The trail is bounded: whoever appends also removes what is too old.
"""

from __future__ import annotations

from typing import Annotated, Final

import msgspec
from msgspec import Meta

from canvasyoke.state._platform import CREATE, Found, Platform, Unavailable

_PREFIX: Final = "audit/"
#: Entries kept.
AUDIT_LIMIT: Final = 2_000
#: Entries over the limit before the oldest are removed, so that not every append lists.
_TRIM_INTERVAL: Final = 100
_MAX_WRITE_ATTEMPTS: Final = 4


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the trail."""

    #: Milliseconds since 1970.
    wall: int
    #: Unique name of the entry: the submission's id, or the order's.
    id: str
    #: Operator, or instance for what the system did by itself.
    who: str
    #: ``submission``, ``map`` or ``slot``.
    action: str
    #: Service or group concerned; empty when it is the fleet.
    subject: str = ""
    #: Generation or number before and after.
    before: int = 0
    after: int = 0
    #: Files or experts changed.
    changed: Annotated[list[str], Meta(max_length=1_000)] = []
    #: ``accepted``, ``refused``, ``done`` or ``failed``.
    outcome: str
    #: Why, in a sentence.
    why: str = ""


class AuditTrail:
    """Appends to and reads the trail."""

    def __init__(self, platform: Platform, limit: int = AUDIT_LIMIT) -> None:
        self._platform = platform
        self._limit = limit
        self._appended = 0

    def append(self, entry: AuditEntry) -> bool:
        """Add ``entry``; false when the platform gave no answer.

        The key is the entry's own, so a conflict means that an earlier write took
        effect though its answer was lost.
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
        """Return entries from ``since`` on, oldest first."""
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
