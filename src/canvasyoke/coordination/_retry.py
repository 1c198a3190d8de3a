"""Whether a failed attempt is followed by another.

Only certainty or repeatability allows a second attempt, and only within a budget
that grows with successes, so that retries cannot multiply an overload.
"""

from __future__ import annotations

import enum
import threading
from dataclasses import dataclass
from typing import Final

from canvasyoke.protocol import Outcome, Reason, Refusal

#: Attempts at one request at the most.
MAX_ATTEMPTS: Final = 5
#: Retries earned by each success.
_EARNED: Final = 0.1
_BUDGET_LIMIT: Final = 50.0
_BUDGET_START: Final = 10.0
#: Refusals that say nothing against trying another target at no cost to it.
REDIRECTS: Final = frozenset({Reason.NOT_HOME, Reason.LEAVING, Reason.NO_CONFIGURATION})
#: Refusals after which another attempt would only meet the same.
_FINAL: Final = frozenset(
    {
        Reason.DEADLINE,
        Reason.OVER_LIMIT,
        Reason.CANCELLED,
        Reason.KEY_BEFORE_HOME,
        Reason.KEY_EXPIRED,
        Reason.KEY_IN_FUTURE,
        Reason.KEY_REUSED,
        Reason.ANSWER_NOT_KEPT,
        Reason.BODY_TOO_LARGE,
        Reason.MALFORMED,
    }
)


class RetryBudget:
    """A share of successes that may be spent on retries; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._tokens = _BUDGET_START

    def earn(self) -> None:
        """Note a success."""
        with self._lock:
            self._tokens = min(_BUDGET_LIMIT, self._tokens + _EARNED)

    def spend(self) -> bool:
        """Take one retry; false when there is none left."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True


class Step(enum.Enum):
    """What follows a failed attempt."""

    RETRY = enum.auto()
    GIVE_UP = enum.auto()


@dataclass(frozen=True, slots=True)
class Attempted:
    """An attempt that failed."""

    refusal: Refusal
    repeatable: bool
    #: Number of attempts made, redirects not counted.
    attempts: int
    #: Milliseconds the caller will still wait.
    remaining: int


def next_step(attempted: Attempted, budget: RetryBudget) -> Step:
    """Return whether another attempt may and should follow."""
    refusal = attempted.refusal
    certain = refusal.outcome is Outcome.NOT_RUN
    if not (certain or attempted.repeatable):
        return Step.GIVE_UP
    if attempted.attempts >= MAX_ATTEMPTS or attempted.remaining <= 0:
        return Step.GIVE_UP
    if refusal.reason in _FINAL:
        return Step.GIVE_UP
    if refusal.reason in REDIRECTS or budget.spend():
        return Step.RETRY
    return Step.GIVE_UP
