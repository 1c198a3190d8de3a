"""Keeps the requests that are to blame in the platform's store.

No machine has a disk, and all entries may end together. What is known against a request
that is to blame then stands in the store; a case that blames nobody yet is forgotten. A
store that is back from an older copy may lack cases, or not know that one was cleared: they
are read and written again.
"""

from __future__ import annotations

from typing import Annotated, Final

import msgspec

from canvasyoke._clock import SECOND, Clock
from canvasyoke.direct._crash_cases import CrashCase
from canvasyoke.direct._quarantine import Quarantine
from canvasyoke.observe import part_logger
from canvasyoke.state import FleetStore, Note, Unusable, read_note

_log = part_logger("quarantine")
_KIND: Final = "quarantine"
#: Milliseconds between looks before the first answer, and after it. The second ones are
#: for entries that links do not reach; a list that may be old costs a tenth of a call.
_LOOK_EVERY: Final = 1 * SECOND
_LOOK_AGAIN_EVERY: Final = 15 * SECOND
#: Milliseconds between tries to write what the store has not taken.
_WRITE_AGAIN: Final = 1 * SECOND


class _CaseNote(msgspec.Struct, frozen=True):
    """What is known against the request that the note is named after."""

    cleared: Annotated[int, msgspec.Meta(ge=0)]
    runs: Annotated[list[str], msgspec.Meta(max_length=1_000)] = []
    is_blamed: bool = False


class QuarantineNotes:
    """One entry's exchange with the store about requests that are to blame."""

    def __init__(self, store: FleetStore, quarantine: Quarantine, clock: Clock) -> None:
        self._store = store
        self._quarantine = quarantine
        self._clock = clock
        self._looked_at = -_LOOK_EVERY
        self._wrote_at = -_WRITE_AGAIN
        self._has_read = False
        #: Era of the store that ``_stored`` is of.
        self._era = 0
        #: What the store is known to hold.
        self._stored: dict[str, CrashCase] = {}
        self._unreadable: set[Note] = set()

    def look(self, era: int = 0) -> None:
        """Read what others have noted and note what is new, when it is due."""
        now = self._clock.now()
        if era > self._era:
            self._era = era
            self._has_read = False
            self._looked_at = now - _LOOK_EVERY
            self._stored.clear()
        if now - self._looked_at >= (_LOOK_AGAIN_EVERY if self._has_read else _LOOK_EVERY):
            self._looked_at = now
            self._read()
        unwritten = self._unwritten()
        if unwritten and now - self._wrote_at >= _WRITE_AGAIN:
            self._wrote_at = now
            self._write(unwritten)

    def _read(self) -> None:
        notes = self._store.notes(_KIND, may_be_old=self._has_read)
        if not isinstance(notes, list):
            _log.warning("quarantine not read", cause=notes.detail)
            return
        self._has_read = True
        for note in notes:
            self._take(note)

    def _take(self, note: Note) -> None:
        told = read_note(note, _CaseNote)
        if isinstance(told, Unusable):
            if note not in self._unreadable:
                self._unreadable.add(note)
                _log.warning("note of the quarantine passed over", cause=told.detail)
            return
        case = CrashCase(told.cleared, frozenset(told.runs), told.is_blamed)
        known = self._stored.get(note.name)
        self._stored[note.name] = case if known is None else known.merged(case)
        self._quarantine.hear(note.name, case)

    def _unwritten(self) -> dict[str, CrashCase]:
        """Return the culprits that the store lacks, and its cases that were cleared since."""
        culprits = self._quarantine.culprits
        found = {}
        for name, case in self._quarantine.cases().items():
            stored = self._stored.get(name)
            is_cleared = stored is not None and case.cleared > stored.cleared
            if is_cleared or (name in culprits and stored is None):
                found[name] = case
        return found

    def _write(self, cases: dict[str, CrashCase]) -> None:
        for name, case in cases.items():
            note = _CaseNote(case.cleared, sorted(case.runs), case.is_blamed)
            made = self._store.put_note(_KIND, name, msgspec.json.encode(note))
            if not isinstance(made, Note):
                _log.warning("quarantine not written", fingerprint=name, cause=made.detail)
                return
            self._stored[name] = case
