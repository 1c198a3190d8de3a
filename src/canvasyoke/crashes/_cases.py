"""Crash cases: what is known of a trait of requests under which backends ended.

Cases consist of growing sets, increasing counters and a final verdict. Merging them is therefore
commutative and idempotent, and all entries converge.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace


@dataclass(frozen=True, slots=True)
class CrashCase:
    """Backends that ended while they ran requests with one trait, and the verdict."""

    #: Number of times that it was cleared, by a complete response or by an operator.
    cleared: int = 0
    #: Run ids of backends that ended under it since it was last cleared.
    runs: frozenset[str] = frozenset()
    #: Whether an entry has found it responsible.
    is_blamed: bool = False
    #: Whether requests with a shared trait were answered before any backend ended under it.
    was_answered: bool = False
    #: Number of answers to requests with a shared trait that were sent after the first end, by
    #: entry.
    answers: Mapping[str, int] = field(default_factory=dict)

    @property
    def answer_count(self) -> int:
        """Return the answers of all entries to requests sent after the first end."""
        return sum(self.answers.values())

    def merged(self, other: CrashCase) -> CrashCase:
        """Return the union of both cases; a later clearance replaces earlier evidence."""
        if self.cleared != other.cleared:
            return max(self, other, key=lambda case: case.cleared)
        return CrashCase(
            self.cleared,
            self.runs | other.runs,
            self.is_blamed or other.is_blamed,
            self.was_answered or other.was_answered,
            _largest(self.answers, other.answers),
        )

    def with_end(self, run: str) -> CrashCase:
        """Return the case with another ended run."""
        return replace(self, runs=self.runs | {run})

    def with_earlier_answers(self) -> CrashCase:
        """Return the case of a trait that was answered before."""
        return replace(self, was_answered=True)

    def with_answer(self, entry: str) -> CrashCase:
        """Return the case with another answer at an entry."""
        return replace(self, answers={**self.answers, entry: self.answers.get(entry, 0) + 1})

    def with_verdict(self) -> CrashCase:
        """Return the case with the verdict."""
        return replace(self, is_blamed=True)

    def with_clearance(self) -> CrashCase:
        """Return the case after a clearance, without evidence."""
        return CrashCase(self.cleared + 1)


def _largest(counts: Mapping[str, int], others: Mapping[str, int]) -> dict[str, int]:
    return {
        name: max(counts.get(name, 0), others.get(name, 0))
        for name in sorted(counts.keys() | others.keys())
    }
