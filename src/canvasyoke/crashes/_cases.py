"""Crash cases, and attribution of ended backends to the requests that caused them.

When a backend ends, all requests that it was running fail, and most of them are harmless. A request
is held responsible if:

- it has not been answered completely;
- backends ended with it more often than without it;
- the ended runs are not attributed to another request, as each end has one cause.

Cases consist of growing sets, increasing counters and a final verdict. Merging them is therefore
commutative and idempotent, and all entries converge.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Final

#: Number of backends that must have ended under a request without another explanation. Two could be
#: a coincidence: a harmless request that is retried may meet a second failure. The operator
#: tolerates three backends ended by one request.
MIN_ENDED_RUNS: Final = 3
#: Backends that end within this many milliseconds of one another are assumed to have one external
#: cause, such as the loss of a machine or failure domain.
_SIMULTANEITY_WINDOW: Final = 100
#: Milliseconds to wait for a response to another copy of a request whose backends all ended at the
#: same time. The operator allows 3 s until the cause of the ends must be known.
_ANSWER_WAIT: Final = 2_000
#: Only ends within this many milliseconds of those under a request count as background. Repetitions
#: of one request were 4.2 to 4.7 s apart.
_BACKGROUND_WINDOW: Final = 5_000


@dataclass(frozen=True, slots=True)
class CrashCase:
    """Backends that ended while they ran one request, and the verdict."""

    #: Number of times that it was cleared, by a complete response or by an operator.
    cleared: int = 0
    #: Run ids of backends that ended under it since it was last cleared.
    runs: frozenset[str] = frozenset()
    #: Whether an entry has found it responsible.
    is_blamed: bool = False

    def merged(self, other: CrashCase) -> CrashCase:
        """Return the union of both cases; a later clearance replaces earlier evidence."""
        if self.cleared != other.cleared:
            return max(self, other, key=lambda case: case.cleared)
        return CrashCase(self.cleared, self.runs | other.runs, self.is_blamed or other.is_blamed)

    def with_end(self, run: str) -> CrashCase:
        """Return the case with another ended run."""
        return replace(self, runs=self.runs | {run})

    def with_verdict(self) -> CrashCase:
        """Return the case with the verdict."""
        return replace(self, is_blamed=True)

    def with_clearance(self) -> CrashCase:
        """Return the case after a clearance, without evidence."""
        return CrashCase(self.cleared + 1)


def find_responsible(
    cases: Mapping[str, CrashCase],
    ended_at: Mapping[str, int],
    now: int,
    released_runs: frozenset[str] = frozenset(),
) -> frozenset[str]:
    """Return the fingerprints of requests newly found responsible.

    ``ended_at`` maps each ended run to the clock time (as ``now``) at which it ended. Runs of
    cleared requests count as ends without the request for every other suspect, except those in
    ``released_runs``: they were attributed to a request before it was released and are ignored.
    """
    attributed = released_runs | _union(case.runs for case in cases.values() if case.is_blamed)
    suspects = {n: c.runs for n, c in cases.items() if not c.is_blamed}
    responsible: set[str] = set()
    while True:
        suspects = _above_threshold({n: runs - attributed for n, runs in suspects.items()})
        if not suspects:
            return frozenset(responsible)
        most = max(len(runs) for runs in suspects.values())
        leading = {n: runs for n, runs in suspects.items() if len(runs) == most}
        for name, runs in leading.items():
            # Runs that another suspect may have ended do not exonerate this one.
            others = _union(r for n, r in suspects.items() if n != name)
            background = ended_at.keys() - runs - others - attributed
            if _exceeds_background(runs, background, ended_at, now):
                responsible.add(name)
        attributed |= _union(leading[name] for name in responsible & leading.keys())
        suspects = {n: runs for n, runs in suspects.items() if n not in leading}


def _above_threshold(suspects: Mapping[str, frozenset[str]]) -> dict[str, frozenset[str]]:
    return {name: runs for name, runs in suspects.items() if len(runs) >= MIN_ENDED_RUNS}


def _union(sets: Iterable[frozenset[str]]) -> frozenset[str]:
    return frozenset[str]().union(*sets)


def _exceeds_background(
    runs: frozenset[str], background: Iterable[str], ended_at: Mapping[str, int], now: int
) -> bool:
    """Return whether backends ended with a request more often than without it.

    Backends that ended at the same time without running the request indicate an external cause. So
    does each other group of ends shortly before or after; it counts once, since the loss of a
    failure domain ends many backends at a time.
    """
    times = [ended_at[run] for run in runs]
    groups_with, groups_without = 0, 0
    for group in _group_by_time({*runs, *background}, ended_at):
        unrelated = [run for run in group if run not in runs]
        if len(unrelated) < len(group):
            groups_with += 1
            groups_without += len(unrelated)
        elif any(abs(ended_at[group[0]] - at) <= _BACKGROUND_WINDOW for at in times):
            groups_without += 1
    if groups_with == 1 and (groups_without or now - max(times) < _ANSWER_WAIT):
        return False
    return len(runs) > groups_without


def _group_by_time(runs: Iterable[str], ended_at: Mapping[str, int]) -> list[list[str]]:
    """Return runs grouped by the time at which they ended."""
    groups: list[list[str]] = []
    last_at = 0
    for run in sorted(runs, key=lambda run: (ended_at[run], run)):
        if not groups or ended_at[run] - last_at > _SIMULTANEITY_WINDOW:
            groups.append([])
        groups[-1].append(run)
        last_at = ended_at[run]
    return groups
