"""Decide whether to retry a failed attempt.

A request is retried only if it did not run or is idempotent, and only within a budget that grows
with successes, so that retries cannot amplify an overload.
"""

from __future__ import annotations

import enum
import threading
from dataclasses import dataclass
from typing import Final

from canvasyoke.protocol import Outcome, Reason, Refusal

#: Maximum number of attempts for one request.
MAX_ATTEMPTS: Final = 5
#: Retry tokens added by each success.
_TOKENS_PER_SUCCESS: Final = 0.1
_MAX_TOKENS: Final = 50.0
_INITIAL_TOKENS: Final = 10.0
#: Refusals for which trying another target costs no retry token.
REDIRECT_REASONS: Final = frozenset({Reason.NOT_HOME, Reason.LEAVING, Reason.NO_CONFIGURATION})
#: Refusals that another attempt would meet again.
_NON_RETRYABLE_REASONS: Final = frozenset(
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
    """Token bucket that limits retries to a fraction of successes; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._tokens = _INITIAL_TOKENS

    def record_success(self) -> None:
        """Add the tokens for one success."""
        with self._lock:
            self._tokens = min(_MAX_TOKENS, self._tokens + _TOKENS_PER_SUCCESS)

    def try_spend(self) -> bool:
        """Take the token for one retry; return False if none is left."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True


class RetryDecision(enum.Enum):
    """Whether to retry a failed attempt."""

    RETRY = enum.auto()
    GIVE_UP = enum.auto()


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A failed attempt, with what limits another one."""

    refusal: Refusal
    is_idempotent: bool
    #: Number of attempts made, excluding redirects.
    attempts: int
    #: Milliseconds left until the caller's deadline.
    remaining_time: int


def decide_retry(attempt: FailedAttempt, budget: RetryBudget) -> RetryDecision:
    """Return whether to retry, taking a token from ``budget`` if needed."""
    refusal = attempt.refusal
    did_not_run = refusal.outcome is Outcome.NOT_RUN
    if not (did_not_run or attempt.is_idempotent):
        return RetryDecision.GIVE_UP
    if attempt.attempts >= MAX_ATTEMPTS or attempt.remaining_time <= 0:
        return RetryDecision.GIVE_UP
    if refusal.reason in _NON_RETRYABLE_REASONS:
        return RetryDecision.GIVE_UP
    if refusal.reason in REDIRECT_REASONS or budget.try_spend():
        return RetryDecision.RETRY
    return RetryDecision.GIVE_UP
