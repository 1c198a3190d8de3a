"""Quarantine for traits of requests that crash the backends that run them.

A request with such a trait returns as a retry of the entry, as a retry of its caller at another
entry, or as another request that has the trait too. Entries therefore share what they observe by
trait. Requests with a trait that is only suspected are still served, since most of those under
which a backend ended are harmless.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace
from types import MappingProxyType
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.crashes._attribution import (
    MAX_VERDICT_DELAY,
    MIN_ENDED_RUNS,
    Ends,
    find_responsible,
)
from canvasyoke.crashes._cases import CrashCase
from canvasyoke.crashes._prevalence import Prevalence
from canvasyoke.crashes._traits import is_shared
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

#: Least milliseconds between two evaluations that no new end calls for.
_EVALUATION_INTERVAL: Final = 300
#: Answers to requests with a shared trait, for each backend that ended under it, beyond which no
#: more are told to other entries. Bounds the messages for a trait that thousands of requests have.
_ANSWERS_PER_END: Final = 4
_MIN_ANSWERS_TOLD: Final = 20

#: Publishes an updated case: the name of the trait and everything known about it.
Publish = Callable[[str, CrashCase], None]


class Quarantine:
    """The crash cases known to one entry; thread-safe."""

    def __init__(self, clock: Clock, publish: Publish, entry: str = "") -> None:
        self._clock = clock
        self._publish = publish
        #: Name of this entry.
        self._entry = entry
        self._lock = threading.Lock()
        self._cases: dict[str, CrashCase] = {}
        #: Clock time of the last update of each case.
        self._updated_at: dict[str, int] = {}
        self._prevalence = Prevalence(clock)
        #: All runs that ended under a request, with the clock time at which they ended, or at which
        #: this entry learned of it if the time is not known.
        self._ended_at: dict[str, int] = {}
        #: Those of them that were attributed to a request that has been cleared since.
        self._released_runs: frozenset[str] = frozenset()
        self._quarantined: frozenset[str] = frozenset()
        #: Clock times of the last evaluation of all cases, and of the last change of ended runs.
        self._evaluated_at = 0
        self._last_end_at = 0
        #: Whether any case has changed since the last evaluation.
        self._needs_evaluation = False
        #: Changed cases that have not been published yet.
        self._changed: set[str] = set()
        #: Recently answered requests with the clock time of the response, oldest first.
        self._answered: OrderedDict[str, int] = OrderedDict()

    @property
    def quarantined(self) -> frozenset[str]:
        """Return the names of the quarantined traits."""
        return self._quarantined

    @property
    def suspects(self) -> int:
        """Return the number of suspected traits that are not quarantined."""
        with self._lock:
            return sum(1 for c in self._cases.values() if c.runs) - len(self._quarantined)

    def cases(self) -> dict[str, CrashCase]:
        """Return all known cases by trait."""
        with self._lock:
            return dict(self._cases)

    def is_quarantined(self, name: str) -> bool:
        """Return whether a trait is quarantined."""
        return name in self._quarantined

    def find_quarantined(self, traits: Iterable[str]) -> str:
        """Return the first of ``traits`` that is quarantined, or an empty string."""
        quarantined = self._quarantined
        return next((name for name in traits if name in quarantined), "")

    def record_end(self, name: str, run: str, at: int | None = None) -> None:
        """Record that the run of a backend ended while it ran a request with a trait.

        ``at`` is the clock time at which it ended, which may be known only later; ``None`` for now.
        """
        with self._lock:
            self._record_end_time(run, self._clock.now() if at is None else at)
            if not is_shared(name) and self._was_answered(name):
                return
            known = self._cases.get(name, CrashCase())
            self._merge(name, known.with_end(run))
            changes = self._take_changes()
        self._publish_all(changes)

    def record_answer(self, name: str) -> None:
        """Record a complete response to a request, which clears its fingerprint."""
        with self._lock:
            self._answered[name] = self._clock.now()
            self._answered.move_to_end(name)
            if len(self._answered) > _ANSWERED_LIMIT:
                self._answered.popitem(last=False)
            self._clear(name)
            changes = self._take_changes()
        self._publish_all(changes)

    def record_request(self, shared_traits: Collection[str]) -> None:
        """Record a caller's request with its shared traits."""
        if shared_traits:
            with self._lock:
                self._prevalence.record_request(shared_traits)

    def record_shared_answer(self, names: Collection[str], sent_at: int) -> None:
        """Record that a backend goes on with its response to a request with shared traits.

        ``sent_at`` is the clock time at which the request was sent. A single response clears
        nothing: not each request with such a trait has to crash its backend.
        """
        if not names:
            return
        with self._lock:
            self._prevalence.record_answer(names)
            for name in names:
                case = self._cases.get(name)
                if case is not None and case.runs and not case.is_blamed:
                    self._count_answer(name, case, sent_at)

    def _count_answer(self, name: str, case: CrashCase, sent_at: int) -> None:
        enough = max(_MIN_ANSWERS_TOLD, _ANSWERS_PER_END * len(case.runs))
        first_end = min(self._ended_at[run] for run in case.runs)
        if sent_at <= first_end and not case.was_answered:
            self._update(name, case.with_earlier_answers())
        elif sent_at > first_end and case.answer_count < enough:
            self._update(name, case.with_answer(self._entry))

    def release(self, name: str) -> bool:
        """Release a quarantined trait; return false if it is not quarantined.

        The case of a suspect is kept: without it, the ended runs would be attributed to other
        requests that were running at the time.
        """
        with self._lock:
            was_released = name in self._quarantined and self._clear(name)
            changes = self._take_changes()
        self._publish_all(changes)
        if was_released:
            _log.info("released from quarantine", trait=name)
        return was_released

    def time_since_end(self, runs: Iterable[str]) -> dict[str, int]:
        """Return the milliseconds since each of ``runs`` ended."""
        now = self._clock.now()
        with self._lock:
            return {run: max(0, now - self._ended_at.get(run, now)) for run in runs}

    def merge(self, name: str, case: CrashCase, ages: Mapping[str, int] | None = None) -> None:
        """Merge a case from another entry or from the store, and publish changes.

        ``ages`` maps runs to the milliseconds since they ended, where known. A request is cleared
        if it was answered here recently.
        """
        with self._lock:
            self._merge(name, case, ages or {})
            if self._was_answered(name):
                self._clear(name)
            changes = self._take_changes()
        self._publish_all(changes)

    def refresh(self) -> None:
        """Re-evaluate pending cases and expire old ones; call several times a second."""
        with self._lock:
            if not self._ended_at:
                return
            self._expire()
            if self._is_evaluation_due():
                self._evaluate()
            changes = self._take_changes()
        self._publish_all(changes)

    def _is_evaluation_due(self) -> bool:
        """Return whether a verdict may have become possible since the last evaluation.

        Besides changes, time makes one possible: reports and answers are awaited.
        """
        now = self._clock.now()
        if now - self._evaluated_at < _EVALUATION_INTERVAL:
            return False
        is_settled = self._evaluated_at - self._last_end_at > MAX_VERDICT_DELAY
        if is_settled and not self._needs_evaluation:
            return False
        return any(_is_pending(case) for case in self._cases.values())

    def _record_end_time(self, run: str, at: int) -> None:
        """Record when a run ended; of several reports the earliest is the closest."""
        self._ended_at[run] = min(at, self._ended_at.get(run, at))

    def _publish_all(self, changes: dict[str, CrashCase]) -> None:
        """Publish changed cases. Called without the lock, since a receiver may call back."""
        for name, case in changes.items():
            self._publish(name, case)

    def _take_changes(self) -> dict[str, CrashCase]:
        """Return and reset the cases that have changed."""
        changes = {name: self._cases[name] for name in self._changed if name in self._cases}
        self._changed.clear()
        return changes

    def _was_answered(self, name: str) -> bool:
        at = self._answered.get(name)
        return at is not None and self._clock.now() - at < _ANSWER_TTL

    def _clear(self, name: str) -> bool:
        """Clear a trait; return false if no ended runs are recorded for it."""
        known = self._cases.get(name)
        if known is None or not known.runs:
            return False
        self._merge(name, known.with_clearance())
        return True

    def _merge(
        self, name: str, case: CrashCase, ages: Mapping[str, int] = MappingProxyType({})
    ) -> None:
        """Merge ``case`` into the known one and re-evaluate all cases if necessary."""
        known = self._cases.get(name)
        if known is None and is_shared(name) and self._prevalence.was_answered(name):
            case = case.with_earlier_answers()
        merged = case if known is None else known.merged(case)
        now = self._clock.now()
        for run in merged.runs:
            self._record_end_time(run, now - ages.get(run, 0))
        if merged == known:
            return
        if known is not None and known.is_blamed and merged.cleared > known.cleared:
            self._released_runs |= known.runs
        self._update(name, merged)
        # A case below the threshold cannot change a verdict. Skipping it matters when a new link
        # transfers thousands of cases. Answers can wait for the next refresh.
        has_changed = known is None or replace(merged, answers=known.answers) != known
        if has_changed and (len(merged.runs) >= MIN_ENDED_RUNS or name in self._quarantined):
            self._evaluate()
        if len(self._cases) > _CASE_LIMIT:
            self._evict()

    def _evaluate(self) -> None:
        self._evaluated_at = self._clock.now()
        self._needs_evaluation = False
        ends = Ends(self._ended_at, self._clock.now(), self._released_runs)
        for name in find_responsible(self._cases, ends, self._prevalence.is_common):
            self._update(name, self._cases[name].with_verdict())
        self._update_quarantined()

    def _update(self, name: str, case: CrashCase) -> None:
        known = self._cases.get(name)
        if known is None or known.runs != case.runs:
            self._last_end_at = self._clock.now()
        self._needs_evaluation = True
        self._cases[name] = case
        self._updated_at[name] = self._clock.now()
        self._changed.add(name)

    def _update_quarantined(self) -> None:
        before = self._quarantined
        self._quarantined = frozenset(n for n, case in self._cases.items() if case.is_blamed)
        for name in self._quarantined - before:
            case = self._cases[name]
            _log.warning(
                "quarantined",
                trait=name,
                runs=sorted(case.runs),
                was_answered=case.was_answered,
                answers=case.answer_count,
            )
        for name in before - self._quarantined:
            _log.warning("no longer quarantined", trait=name)

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


def _is_pending(case: CrashCase) -> bool:
    return len(case.runs) >= MIN_ENDED_RUNS and not case.is_blamed
