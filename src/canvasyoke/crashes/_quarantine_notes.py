"""Persists quarantined traits in the platform's store.

Machines have no disk and all entries may stop at once, so quarantined traits are written to the
store; suspects are not. After the store was restored from an older copy, its cases are read again
and missing ones rewritten.
"""

from __future__ import annotations

from typing import Annotated, Final

import msgspec

from canvasyoke._clock import SECOND, Clock
from canvasyoke.crashes._cases import CrashCase
from canvasyoke.crashes._quarantine import Quarantine
from canvasyoke.crashes._traits import is_shared
from canvasyoke.observe import part_logger
from canvasyoke.state import FleetStore, Note, Unusable, read_note

_log = part_logger("quarantine")
_KIND: Final = "quarantine"
#: Milliseconds between reads, before the first successful one and afterwards. Later reads serve
#: entries that cannot be reached over links, and accept stale results, which are cheaper.
_FIRST_READ_INTERVAL: Final = 1 * SECOND
_READ_INTERVAL: Final = 15 * SECOND
#: Milliseconds between attempts to write.
_WRITE_INTERVAL: Final = 1 * SECOND


#: Name of a backend run, no longer than messages between entries allow.
_Run = Annotated[str, msgspec.Meta(max_length=200)]


class _CaseNote(msgspec.Struct, frozen=True):
    """Stored form of a case; the note is named by the trait."""

    cleared: Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
    runs: Annotated[list[_Run], msgspec.Meta(max_length=1_000)] = []
    is_blamed: bool = False
    #: Whether a shared trait was found responsible; see ``CrashUpdate``.
    is_shared_blamed: bool = False


class QuarantineNotes:
    """Synchronises one entry's quarantine with the store."""

    def __init__(self, store: FleetStore, quarantine: Quarantine, clock: Clock) -> None:
        self._store = store
        self._quarantine = quarantine
        self._clock = clock
        self._read_at = -_FIRST_READ_INTERVAL
        self._written_at = -_WRITE_INTERVAL
        #: Whether the cases were read since the start, or since the store was last restored.
        self.has_read = False
        #: Store era that ``_stored`` belongs to.
        self._era = 0
        #: Cases that the store is known to hold.
        self._stored: dict[str, CrashCase] = {}
        self._unreadable: set[Note] = set()

    def sync(self, era: int = 0) -> None:
        """Read cases of other entries and write new ones, if due."""
        now = self._clock.now()
        if era > self._era:
            self._era = era
            self.has_read = False
            self._read_at = now - _FIRST_READ_INTERVAL
            self._stored.clear()
        if now - self._read_at >= (_READ_INTERVAL if self.has_read else _FIRST_READ_INTERVAL):
            self._read_at = now
            self._read()
        unwritten = self._unwritten()
        if unwritten and now - self._written_at >= _WRITE_INTERVAL:
            self._written_at = now
            self._write(unwritten)

    def _read(self) -> None:
        notes = self._store.notes(_KIND, allow_stale=self.has_read)
        if not isinstance(notes, list):
            _log.warning("reading quarantine cases from the store failed", cause=notes.detail)
            return
        self.has_read = True
        for note in notes:
            self._apply(note)

    def _apply(self, note: Note) -> None:
        stored_case = read_note(note, _CaseNote)
        if isinstance(stored_case, Unusable):
            if note not in self._unreadable:
                self._unreadable.add(note)
                _log.warning(
                    "ignored an invalid quarantine case in the store", cause=stored_case.detail
                )
            return
        is_blamed = stored_case.is_shared_blamed if is_shared(note.name) else stored_case.is_blamed
        case = CrashCase(stored_case.cleared, frozenset(stored_case.runs), is_blamed)
        known = self._stored.get(note.name)
        self._stored[note.name] = case if known is None else known.merged(case)
        self._quarantine.merge(note.name, case)

    def _unwritten(self) -> dict[str, CrashCase]:
        """Return quarantined cases that the store lacks, and stored ones cleared since."""
        quarantined = self._quarantine.quarantined
        pending = {}
        for name, case in self._quarantine.cases().items():
            stored = self._stored.get(name)
            is_cleared = stored is not None and case.cleared > stored.cleared
            if is_cleared or (name in quarantined and stored is None):
                pending[name] = case
        return pending

    def _write(self, cases: dict[str, CrashCase]) -> None:
        for name, case in cases.items():
            note = _CaseNote(
                case.cleared,
                sorted(case.runs),
                is_blamed=case.is_blamed and not is_shared(name),
                is_shared_blamed=case.is_blamed and is_shared(name),
            )
            result = self._store.put_note(_KIND, name, msgspec.json.encode(note))
            if not isinstance(result, Note):
                _log.warning(
                    "writing a quarantine case to the store failed",
                    trait=name,
                    cause=result.detail,
                )
                return
            self._stored[name] = case
