"""Quarantine for requests that crash the backends that run them.

Such a request returns as a retry of the entry and, with another request id, as a retry of its
caller at another entry. Entries therefore share what they observe by fingerprint. A request that is
only suspected is still served, since most requests under which a backend ended are harmless.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.crashes._cases import MIN_ENDED_RUNS, CrashCase, find_responsible
from canvasyoke.observe import part_logger

_log = part_logger("quarantine")
#: Milliseconds for which a complete response exonerates a request. Protects frequently repeated
#: requests when several backends end together.
_ANSWER_TTL: Final = 30 * SECOND
#: Maximum number of answered requests that are remembered. An entry answers as many in 30 s at 130
#: requests a second; each takes about 200 bytes.
_ANSWERED_LIMIT: Final = 4_096
#: Milliseconds after which a case without a verdict expires if it is not updated. A request that
#: comes back less often than that can end three more backends each time.
_CASE_TTL: Final = 600 * SECOND
#: Maximum number of cases. Those with the fewest ended runs are evicted first, the oldest before
#: the others, so that a quarantined request cannot be displaced by suspects with fewer.
_CASE_LIMIT: Final = 4_096
_EVICTION_BATCH: Final = 512

#: Publishes an updated case: the fingerprint and everything known about it.
Publish = Callable[[str, CrashCase], None]


class Quarantine:
    """The crash cases known to one entry; thread-safe."""

    def __init__(self, clock: Clock, publish: Publish) -> None:
        self._clock = clock
        self._publish = publish
        self._lock = threading.Lock()
        self._cases: dict[str, CrashCase] = {}
        #: Clock time of the last update of each case.
        self._updated_at: dict[str, int] = {}
        #: All runs that ended under a request, with the clock time at which they ended, or at which
        #: this entry learned of it if the time is not known.
        self._ended_at: dict[str, int] = {}
        #: Those of them that were attributed to a request that has been cleared since.
        self._released_runs: frozenset[str] = frozenset()
        self._quarantined: frozenset[str] = frozenset()
        #: Changed cases that have not been published yet.
        self._changed: set[str] = set()
        #: Recently answered requests with the clock time of the response, oldest first.
        self._answered: OrderedDict[str, int] = OrderedDict()

    @property
    def quarantined(self) -> frozenset[str]:
        """Return the fingerprints of the quarantined requests."""
        return self._quarantined

    @property
    def suspects(self) -> int:
        """Return the number of suspected requests that are not quarantined."""
        with self._lock:
            return sum(1 for c in self._cases.values() if c.runs) - len(self._quarantined)

    def cases(self) -> dict[str, CrashCase]:
        """Return all known cases by fingerprint."""
        with self._lock:
            return dict(self._cases)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is quarantined."""
        return fingerprint in self._quarantined

    def record_end(self, fingerprint: str, run: str, at: int | None = None) -> None:
        """Record that the run of a backend ended while it ran a request.

        ``at`` is the clock time at which it ended, which may be known only later; ``None`` for now.
        """
        with self._lock:
            self._record_end_time(run, self._clock.now() if at is None else at)
            if self._was_answered(fingerprint):
                return
            known = self._cases.get(fingerprint, CrashCase())
            self._merge(fingerprint, known.with_end(run))
            changes = self._take_changes()
        self._publish_all(changes)

    def record_answer(self, fingerprint: str) -> None:
        """Record a complete response to a request, which clears it."""
        with self._lock:
            self._answered[fingerprint] = self._clock.now()
            self._answered.move_to_end(fingerprint)
            if len(self._answered) > _ANSWERED_LIMIT:
                self._answered.popitem(last=False)
            self._clear(fingerprint)
            changes = self._take_changes()
        self._publish_all(changes)

    def release(self, fingerprint: str) -> bool:
        """Release a quarantined request; return false if it is not quarantined.

        The case of a suspect is kept: without it, the ended runs would be attributed to other
        requests that were running at the time.
        """
        with self._lock:
            was_released = fingerprint in self._quarantined and self._clear(fingerprint)
            changes = self._take_changes()
        self._publish_all(changes)
        if was_released:
            _log.info("request released from quarantine", fingerprint=fingerprint)
        return was_released

    def time_since_end(self, runs: Iterable[str]) -> dict[str, int]:
        """Return the milliseconds since each of ``runs`` ended."""
        now = self._clock.now()
        with self._lock:
            return {run: max(0, now - self._ended_at.get(run, now)) for run in runs}

    def merge(
        self, fingerprint: str, case: CrashCase, ages: Mapping[str, int] | None = None
    ) -> None:
        """Merge a case from another entry or from the store, and publish changes.

        ``ages`` maps runs to the milliseconds since they ended, where known. The request is cleared
        if it was answered here recently.
        """
        with self._lock:
            self._merge(fingerprint, case, ages or {})
            if self._was_answered(fingerprint):
                self._clear(fingerprint)
            changes = self._take_changes()
        self._publish_all(changes)

    def refresh(self) -> None:
        """Re-evaluate pending cases and expire old ones; call several times a second."""
        with self._lock:
            if not self._ended_at:
                return
            self._expire()
            if any(len(case.runs) >= MIN_ENDED_RUNS for case in self._cases.values()):
                self._evaluate()
            changes = self._take_changes()
        self._publish_all(changes)

    def _record_end_time(self, run: str, at: int) -> None:
        """Record when a run ended; of several reports the earliest is the closest."""
        self._ended_at[run] = min(at, self._ended_at.get(run, at))

    def _publish_all(self, changes: dict[str, CrashCase]) -> None:
        """Publish changed cases. Called without the lock, since a receiver may call back."""
        for fingerprint, case in changes.items():
            self._publish(fingerprint, case)

    def _take_changes(self) -> dict[str, CrashCase]:
        """Return and reset the cases that have changed."""
        changes = {name: self._cases[name] for name in self._changed if name in self._cases}
        self._changed.clear()
        return changes

    def _was_answered(self, fingerprint: str) -> bool:
        at = self._answered.get(fingerprint)
        return at is not None and self._clock.now() - at < _ANSWER_TTL

    def _clear(self, fingerprint: str) -> bool:
        """Clear a request; return false if no ended runs are recorded for it."""
        known = self._cases.get(fingerprint)
        if known is None or not known.runs:
            return False
        self._merge(fingerprint, known.with_clearance())
        return True

    def _merge(
        self, fingerprint: str, case: CrashCase, ages: Mapping[str, int] = MappingProxyType({})
    ) -> None:
        """Merge ``case`` into the known one and re-evaluate all cases if necessary."""
        known = self._cases.get(fingerprint)
        merged = case if known is None else known.merged(case)
        now = self._clock.now()
        for run in merged.runs:
            self._record_end_time(run, now - ages.get(run, 0))
        if merged == known:
            return
        if known is not None and known.is_blamed and merged.cleared > known.cleared:
            self._released_runs |= known.runs
        self._update(fingerprint, merged)
        # A case below the threshold cannot change a verdict. Skipping it matters when a new link
        # transfers thousands of cases.
        if len(merged.runs) >= MIN_ENDED_RUNS or fingerprint in self._quarantined:
            self._evaluate()
        if len(self._cases) > _CASE_LIMIT:
            self._evict()

    def _evaluate(self) -> None:
        for name in find_responsible(
            self._cases, self._ended_at, self._clock.now(), self._released_runs
        ):
            self._update(name, self._cases[name].with_verdict())
        self._update_quarantined()

    def _update(self, fingerprint: str, case: CrashCase) -> None:
        self._cases[fingerprint] = case
        self._updated_at[fingerprint] = self._clock.now()
        self._changed.add(fingerprint)

    def _update_quarantined(self) -> None:
        before = self._quarantined
        self._quarantined = frozenset(n for n, case in self._cases.items() if case.is_blamed)
        for name in self._quarantined - before:
            _log.warning(
                "request quarantined", fingerprint=name, runs=sorted(self._cases[name].runs)
            )
        for name in before - self._quarantined:
            _log.warning("request no longer quarantined", fingerprint=name)

    def _expire(self) -> None:
        oldest = self._clock.now() - _CASE_TTL
        for name in [n for n, at in self._updated_at.items() if at < oldest]:
            if name not in self._quarantined:
                self._remove(name)
        for run in [run for run, at in self._ended_at.items() if at < oldest]:
            if not any(run in case.runs for case in self._cases.values()):
                del self._ended_at[run]
                self._released_runs -= {run}

    def _evict(self) -> None:
        for name in sorted(self._cases, key=self._eviction_order)[:_EVICTION_BATCH]:
            self._remove(name)

    def _eviction_order(self, name: str) -> tuple[bool, int, int]:
        return name in self._quarantined, len(self._cases[name].runs), self._updated_at[name]

    def _remove(self, name: str) -> None:
        del self._cases[name], self._updated_at[name]
