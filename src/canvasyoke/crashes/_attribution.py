"""Attribution of ended backends to the traits of requests that caused them.

When a backend ends, all requests that it was running fail, and most of them are harmless. A trait
is held responsible if:

- requests with it have not been answered, or fewer of them than backends ended under it;
- backends ended with it more often than without it;
- the ended runs are not attributed to another trait, as each end has one cause.

A request that crashes its backends has other segments in its prompt, which are under each of these
ends too, and under those that other requests caused. Of traits that explain the same ends, those
are blamed first whose requests were never answered.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Set
from dataclasses import dataclass
from functools import cached_property
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.crashes._cases import CrashCase
from canvasyoke.crashes._traits import is_shared

#: Number of backends that must have ended under a trait without another explanation. Two could be
#: a coincidence: a harmless request that is retried may meet a second failure. The operator
#: tolerates three backends ended by one request.
MIN_ENDED_RUNS: Final = 3
#: The same for a shared trait that is not the only one to explain its ends, or whose requests were
#: answered before. The operator tolerates five backends ended by one segment.
_MIN_RUNS_IN_DOUBT: Final = 5
#: Number of different moments in which backends must have ended under a shared trait whose requests
#: were answered before.
_MIN_MOMENTS_AFTER_ANSWERS: Final = 3
#: How many times as many backends must have ended under such a trait as without it. It is under
#: some ends whatever their cause, and there are many such traits.
_ANSWERED_BACKGROUND_FACTOR: Final = 2
#: Maximum number of shared traits that crash backends at the same time and are told apart.
_MAX_SHARED_CULPRITS: Final = 3
#: Milliseconds for which reports on an ended run are awaited before it counts against a shared
#: trait. Until then, that of a harmless request beside it may be the only one known.
_REPORT_TIME: Final = 300
#: Backends that end within this many milliseconds of one another are assumed to have one external
#: cause, such as the loss of a machine or failure domain.
_SIMULTANEITY_WINDOW: Final = 100
#: Milliseconds to wait for a response to another copy of a request whose backends all ended at the
#: same time. The operator allows 3 s until the cause of the ends must be known.
_ANSWER_WAIT: Final = 2_000
#: Milliseconds after the last end for which time alone can make a verdict possible.
MAX_VERDICT_DELAY: Final = _REPORT_TIME + _ANSWER_WAIT + SECOND
#: Only ends within this many milliseconds of those under a trait count as background. Covers the
#: pause between two repetitions of a request by its caller.
_BACKGROUND_WINDOW: Final = 5_000


@dataclass(frozen=True)
class Ends:
    """When backends ended, and what is already explained."""

    #: Clock time at which each run ended.
    at: Mapping[str, int]
    #: Current clock time.
    now: int
    #: Runs attributed to traits that were released since; they count neither way.
    released: frozenset[str] = frozenset()

    @cached_property
    def in_order(self) -> list[str]:
        """Return all runs in the order in which they ended."""
        return sorted(self.at, key=lambda run: (self.at[run], run))

    def reported(self, runs: frozenset[str]) -> frozenset[str]:
        """Return the runs on whose ends all reports should have arrived."""
        return frozenset(run for run in runs if self.now - self.at[run] >= _REPORT_TIME)


def find_responsible(
    cases: Mapping[str, CrashCase],
    ends: Ends,
    is_common: Callable[[str, bool], bool] = lambda _name, _was_answered: False,
) -> frozenset[str]:
    """Return the names of traits newly found responsible.

    ``is_common`` returns whether a shared trait, answered before or not, is too common to blame.
    Runs of cleared traits count as ends without the trait for every other suspect.
    """
    suspects = {
        n: c
        for n, c in cases.items()
        if len(c.runs) >= MIN_ENDED_RUNS and not c.is_blamed and not _is_exonerated(c)
    }
    if not suspects:
        return frozenset()
    segments = {
        n: c for n, c in suspects.items() if is_shared(n) and not is_common(n, c.was_answered)
    }
    requests = {n: c.runs for n, c in suspects.items() if not is_shared(n)}
    unanswered = {n: ends.reported(c.runs) for n, c in segments.items() if not c.was_answered}
    answered = {n: ends.reported(c.runs) for n, c in segments.items() if c.was_answered}
    blamed = {n: c.runs for n, c in cases.items() if c.is_blamed}
    blamed_requests = [runs for n, runs in blamed.items() if not is_shared(n)]
    explained = ends.released | _union(runs for n, runs in blamed.items() if is_shared(n))
    # A segment is wider than a request that has it. Ends under several such requests speak for the
    # segment, even if one of the requests was blamed first.
    wider = {
        n: runs
        for n, runs in unanswered.items()
        if not any(runs <= of_request for of_request in blamed_requests)
    }
    found = _blame_segments(wider, ends, explained)
    explained |= _union(blamed_requests) | _union(cases[n].runs for n in found)
    found |= _blame_requests(requests, ends, explained)
    explained |= _union(cases[n].runs for n in found)
    return found | _blame_answered(answered, ends, explained)


def _is_exonerated(case: CrashCase) -> bool:
    return case.answer_count >= max(1, len(case.runs))


def _blame_segments(
    suspects: Mapping[str, frozenset[str]], ends: Ends, explained: frozenset[str]
) -> frozenset[str]:
    """Return the segments found responsible among those that were never answered.

    Several may crash backends at once, each beside the ends of the others. So the smallest group of
    those with the most ends is found that together are under more ends than not.
    """
    responsible: frozenset[str] = frozenset()
    while True:
        suspects = _above_threshold({n: runs - explained for n, runs in suspects.items()})
        culprits = _find_culprits(suspects, ends, explained)
        if not culprits:
            return responsible
        responsible |= culprits
        explained |= _union(suspects[name] for name in culprits)


def _find_culprits(
    suspects: Mapping[str, frozenset[str]], ends: Ends, explained: frozenset[str]
) -> frozenset[str]:
    """Return the smallest group of suspects that together are under more ends than not.

    Segments under the same ends cannot be told apart and count as one.
    """
    culprits: set[str] = set()
    covered: frozenset[str] = frozenset()
    count = 0
    while True:
        left = _above_threshold({n: runs - covered for n, runs in suspects.items()})
        if not left:
            return frozenset()
        most = max(len(runs) for runs in left.values())
        leading = {n: runs for n, runs in left.items() if len(runs) == most}
        count += len(set(leading.values()))
        if count > _MAX_SHARED_CULPRITS or _is_in_doubt(leading):
            return frozenset()
        culprits |= leading.keys()
        covered |= _union(leading.values())
        if _outnumbers_others(covered, explained, ends):
            return frozenset(culprits)


def _blame_requests(
    suspects: Mapping[str, frozenset[str]], ends: Ends, explained: frozenset[str]
) -> frozenset[str]:
    """Return the requests found responsible, those with the most unexplained ends first."""
    responsible: set[str] = set()
    while True:
        suspects = _above_threshold({n: runs - explained for n, runs in suspects.items()})
        if not suspects:
            return frozenset(responsible)
        most = max(len(runs) for runs in suspects.values())
        leading = {n: runs for n, runs in suspects.items() if len(runs) == most}
        # Runs that another suspect may have ended do not exonerate a leading one.
        background = ends.at.keys() - _union(suspects.values()) - explained
        for name, runs in leading.items():
            if _exceeds_background(runs, background, ends):
                responsible.add(name)
        explained |= _union(leading[name] for name in responsible & leading.keys())
        suspects = {n: runs for n, runs in suspects.items() if n not in leading}


def _is_in_doubt(leading: Mapping[str, frozenset[str]]) -> bool:
    """Return whether further ends may show which of several segments caused those so far."""
    is_ambiguous = sum(map(len, leading.values())) > len(_union(leading.values()))
    return is_ambiguous and any(len(runs) < _MIN_RUNS_IN_DOUBT for runs in leading.values())


def _blame_answered(
    suspects: Mapping[str, frozenset[str]], ends: Ends, explained: frozenset[str]
) -> frozenset[str]:
    """Return the suspects found responsible although their requests were answered before.

    Where backends end for another reason, popular segments together are under nearly all ends.
    Therefore such suspects do not explain ends for one another.
    """
    responsible = set()
    for name, runs in suspects.items():
        unexplained = runs - explained
        if (
            len(unexplained) >= _MIN_RUNS_IN_DOUBT
            and len(_group_by_time(unexplained, ends)) >= _MIN_MOMENTS_AFTER_ANSWERS
            and _outnumbers_others(unexplained, explained, ends, _ANSWERED_BACKGROUND_FACTOR)
        ):
            responsible.add(name)
    return frozenset(responsible)


def _above_threshold(suspects: Mapping[str, frozenset[str]]) -> dict[str, frozenset[str]]:
    return {name: runs for name, runs in suspects.items() if len(runs) >= MIN_ENDED_RUNS}


def _union(sets: Iterable[frozenset[str]]) -> frozenset[str]:
    return frozenset[str]().union(*sets)


def _exceeds_background(
    runs: frozenset[str], background: Iterable[str], ends: Ends, factor: int = 1
) -> bool:
    """Return whether backends ended with a trait more than ``factor`` times as often as without.

    Backends that ended at the same time without running such a request indicate an external cause.
    So does each other group of ends shortly before or after; it counts once, since the loss of a
    failure domain ends many backends at a time.
    """
    times = [ends.at[run] for run in runs]
    groups_with, groups_without = 0, 0
    for group in _group_by_time({*runs, *background}, ends):
        unrelated = [run for run in group if run not in runs]
        if len(unrelated) < len(group):
            groups_with += 1
            groups_without += len(unrelated)
        elif any(abs(ends.at[group[0]] - at) <= _BACKGROUND_WINDOW for at in times):
            groups_without += 1
    if groups_with == 1 and (groups_without or ends.now - max(times) < _ANSWER_WAIT):
        return False
    return len(runs) > factor * groups_without


def _outnumbers_others(
    runs: frozenset[str], explained: frozenset[str], ends: Ends, factor: int = 1
) -> bool:
    """Return whether more than ``factor`` times as many backends ended with a segment as without.

    All from its first end to its last count, as there are many segments, and some are under several
    of many ends by chance.
    """
    times = [ends.at[run] for run in runs]
    first, last = min(times), max(times)
    others = ends.at.keys() - runs - explained
    between = {run for run in others if first <= ends.at[run] <= last}
    if len(runs) <= factor * len(_group_by_time(between, ends)):
        return False
    return _exceeds_background(runs, others, ends, factor)


def _group_by_time(runs: Set[str], ends: Ends) -> list[list[str]]:
    """Return runs grouped by the time at which they ended."""
    groups: list[list[str]] = []
    last_at = 0
    for run in ends.in_order:
        if run not in runs:
            continue
        if not groups or ends.at[run] - last_at > _SIMULTANEITY_WINDOW:
            groups.append([])
        groups[-1].append(run)
        last_at = ends.at[run]
    return groups
