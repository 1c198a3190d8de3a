"""Decides whether a request may be retried, and charges the retry budget."""

from __future__ import annotations

from canvasyoke._clock import Clock
from canvasyoke.backend import MayHaveRun, NotRun, NotRunCause
from canvasyoke.direct._budget import FleetRetryBudget
from canvasyoke.direct._call import DirectCall
from canvasyoke.direct._refusals import MIN_ATTEMPT_TIME
from canvasyoke.direct._roster import Roster


class RetryPolicy:
    """Checks the attempts of the route, the retry budget, the deadline and the other backends."""

    def __init__(self, roster: Roster, budget: FleetRetryBudget, clock: Clock) -> None:
        self._roster = roster
        self._budget = budget
        self._clock = clock

    def denial_reason(self, call: DirectCall, failure: NotRun | MayHaveRun) -> str:
        """Return why a retry is not allowed; if it is, charge it and return an empty string."""
        if isinstance(failure, MayHaveRun) and not call.route.repeatable:
            return "it may have run"
        if isinstance(failure, NotRun) and failure.cause is NotRunCause.REJECTED:
            return "the request itself was rejected"
        if len(call.sent_to) >= call.route.max_attempts:
            return "the route's attempts are used up"
        if call.deadline - self._clock.now() < MIN_ATTEMPT_TIME:
            return "no time is left"
        if not self._roster.has_alternative(call.service, call.attempted_runs):
            return "no other backend takes requests"
        if isinstance(failure, NotRun) and not failure.was_received:
            return ""  # the request did not reach a backend, so no retry is charged
        return "" if self._charge_retry(call) else "the retry budget is used up"

    def should_retry_failure(self, call: DirectCall) -> bool:
        """Return whether an error response of a backend should be retried elsewhere.

        Otherwise it is passed on to the caller.
        """
        return (
            call.deadline - self._clock.now() > call.route.objective // 2
            and self._may_go_elsewhere(call)
            and self._charge_retry(call)
        )

    def should_move(self, call: DirectCall) -> bool:
        """Return whether to move a stream from a backend that slows down its group."""
        return (
            self._roster.should_migrate_streams(call.backend)
            and self._may_go_elsewhere(call)
            and self._charge_retry(call)
        )

    def is_overdue(self, call: DirectCall) -> bool:
        """Return whether to retry a stream elsewhere because its backend does not respond.

        Callers abandon a stream after two seconds without an event.
        """
        return (
            call.route.is_stream
            and not call.has_begun
            and self._may_go_elsewhere(call)
            and self._roster.is_overdue(call.backend, self._clock.now() - call.sent_at)
            and self._charge_retry(call)
        )

    def _may_go_elsewhere(self, call: DirectCall) -> bool:
        """Return whether another backend may take over a request that was already sent.

        The exchange is closed only if another backend accepts requests.
        """
        return (
            call.route.repeatable
            and len(call.sent_to | {call.backend}) < call.route.max_attempts
            and self._roster.has_alternative(call.service, call.attempted_runs | {call.backend})
        )

    def _charge_retry(self, call: DirectCall) -> bool:
        """Charge the next retry to the budget, unless it is already charged."""
        if not call.retry_charged:
            call.retry_charged = self._budget.spend(call.service)
        return call.retry_charged
