"""What is known against each request under which backends have ended, and who is to blame.

All that a backend runs breaks with it, so most requests under which one has ended are
sound. What tells the request that ends backends from those beside it:

- it is never answered whole;
- it was there when backends ended, more often than backends ended without it;
- each end has one cause: those under a request that is to blame say nothing against the
  others that were there.

Cases are sets that only grow, counts that only rise and a verdict that stays. So entries
can merge what they know in any order and as often as they like, and all come to the same.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Final

#: Backends that must have ended under a request, with no other request to blame for it. The
#: operator lets a request end three; with two, a request that is taken up again after one
#: end and meets another would be refused.
ENDS_TO_BLAME: Final = 3
#: Milliseconds between two ends that may have one cause from outside: a machine or a failure
#: domain takes all its backends along at once.
_TOGETHER: Final = 100
#: Milliseconds to wait for an answer to another copy of a request under which backends have
#: ended together only once. Of a request of which many copies run at once others are answered
#: meanwhile; three seconds are granted until one must be known for what it is.
_ANSWER_TIME: Final = 2_000
#: Milliseconds around the ends under a request within which ends without it speak for it: its
#: repeats came 4.2 to 4.7 s apart.
_NEAR: Final = 5_000


@dataclass(frozen=True, slots=True)
class CrashCase:
    """What is known against one request."""

    #: How often it was cleared, by a whole answer or by an operator.
    cleared: int = 0
    #: Runs of backends that have ended under it since.
    runs: frozenset[str] = frozenset()
    #: Whether an entry has found that it is to blame.
    is_blamed: bool = False

    def merged(self, other: CrashCase) -> CrashCase:
        """Return what both together know."""
        if self.cleared != other.cleared:
            return max(self, other, key=lambda case: case.cleared)
        return CrashCase(self.cleared, self.runs | other.runs, self.is_blamed or other.is_blamed)

    def with_end(self, run: str) -> CrashCase:
        """Return the case with one more end."""
        return replace(self, runs=self.runs | {run})

    def blamed(self) -> CrashCase:
        """Return the case with its verdict."""
        return replace(self, is_blamed=True)

    def dismissed(self) -> CrashCase:
        """Return the case with nothing held against the request."""
        return CrashCase(self.cleared + 1)


def find_culprits(
    cases: Mapping[str, CrashCase],
    ended_at: Mapping[str, int],
    now: int,
    settled: frozenset[str] = frozenset(),
) -> frozenset[str]:
    """Return the requests that turn out to be to blame, by fingerprint.

    ``ended_at`` has every run that is known to have ended, with the time on the clock
    (``now``) at which that became known here. A request that was cleared says nothing of
    its runs any more, and their ends still count as ends without another one; but those in
    ``settled``, for which a request was to blame until it was released, count for nothing.
    """
    explained = settled | _union(case.runs for case in cases.values() if case.is_blamed)
    suspects = {n: c.runs for n, c in cases.items() if not c.is_blamed}
    culprits: set[str] = set()
    while True:
        suspects = _with_enough({n: runs - explained for n, runs in suspects.items()})
        if not suspects:
            return frozenset(culprits)
        most = max(len(runs) for runs in suspects.values())
        leading = {n: runs for n, runs in suspects.items() if len(runs) == most}
        for name, runs in leading.items():
            # What another suspect may have caused does not speak for this one.
            others = _union(r for n, r in suspects.items() if n != name)
            background = ended_at.keys() - runs - others - explained
            if _stands_out(runs, background, ended_at, now):
                culprits.add(name)
        explained |= _union(leading[name] for name in culprits & leading.keys())
        suspects = {n: runs for n, runs in suspects.items() if n not in leading}


def _with_enough(suspects: Mapping[str, frozenset[str]]) -> dict[str, frozenset[str]]:
    return {name: runs for name, runs in suspects.items() if len(runs) >= ENDS_TO_BLAME}


def _union(sets: Iterable[frozenset[str]]) -> frozenset[str]:
    return frozenset[str]().union(*sets)


def _stands_out(
    runs: frozenset[str], background: Iterable[str], ended_at: Mapping[str, int], now: int
) -> bool:
    """Tell whether backends ended with a request more often than without it.

    Of backends that ended together, those that did not run it show a cause from outside.
    So do ends shortly before or after, each moment counted once: a domain takes many along.
    """
    times = [ended_at[run] for run in runs]
    moments_with, without = 0, 0
    for moment in _moments({*runs, *background}, ended_at):
        beside = [run for run in moment if run not in runs]
        if len(beside) < len(moment):
            moments_with += 1
            without += len(beside)
        elif any(abs(ended_at[moment[0]] - at) <= _NEAR for at in times):
            without += 1
    if moments_with == 1 and (without or now - max(times) < _ANSWER_TIME):
        return False
    return len(runs) > without


def _moments(runs: Iterable[str], ended_at: Mapping[str, int]) -> list[list[str]]:
    """Return runs in groups that ended together."""
    moments: list[list[str]] = []
    last_at = 0
    for run in sorted(runs, key=lambda run: (ended_at[run], run)):
        if not moments or ended_at[run] - last_at > _TOGETHER:
            moments.append([])
        moments[-1].append(run)
        last_at = ended_at[run]
    return moments
