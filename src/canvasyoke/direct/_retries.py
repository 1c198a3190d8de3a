"""Whether a request may be sent once more, and whether that is paid for."""

from __future__ import annotations

from canvasyoke._clock import Clock
from canvasyoke.backend import MayHaveRun, NotRun, NotRunCause
from canvasyoke.direct._budget import FleetRetryBudget
from canvasyoke.direct._call import DirectCall
from canvasyoke.direct._refusals import LEAST_TIME
from canvasyoke.direct._roster import Roster


class Retries:
    """Judges by the route's attempts, the fleet's budget, the time left and who is left."""

    def __init__(self, roster: Roster, budget: FleetRetryBudget, clock: Clock) -> None:
        self._roster = roster
        self._budget = budget
        self._clock = clock

    def why_not(self, call: DirectCall, failure: NotRun | MayHaveRun) -> str:
        """Return why another attempt may not be made; empty if it may, and is paid for."""
        if isinstance(failure, MayHaveRun) and not call.route.repeatable:
            return "it may have run"
        if isinstance(failure, NotRun) and failure.cause is NotRunCause.REJECTED:
            return "the request itself was rejected"
        if len(call.sent_to) >= call.route.max_attempts:
            return "the route's attempts are used up"
        if call.deadline - self._clock.now() < LEAST_TIME:
            return "no time is left"
        if not self._roster.has_alternative(call.service, call.tried_runs):
            return "no other backend takes requests"
        if isinstance(failure, NotRun) and not failure.has_arrived:
            return ""  # nothing arrived anywhere, so nothing is spent
        return "" if self._pay(call) else "the retry budget is used up"

    def is_worth(self, call: DirectCall) -> bool:
        """Tell whether a backend's own failure should rather be tried elsewhere.

        The failure is the backend's answer and is passed on when nothing else may be done.
        """
        return (
            call.deadline - self._clock.now() > call.route.objective // 2
            and self._may_go_elsewhere(call)
            and self._pay(call)
        )

    def should_move(self, call: DirectCall) -> bool:
        """Tell whether a stream goes on elsewhere because its backend holds up the group."""
        return (
            self._roster.should_migrate_streams(call.backend)
            and self._may_go_elsewhere(call)
            and self._pay(call)
        )

    def is_overdue(self, call: DirectCall) -> bool:
        """Tell whether a stream should be tried elsewhere since its backend says nothing.

        Callers give a stream up after two seconds without an event; where others get their
        first one within 0.2, the rest of that time is lost to them.
        """
        return (
            call.route.is_stream
            and not call.has_begun
            and self._may_go_elsewhere(call)
            and self._roster.is_overdue(call.backend, self._clock.now() - call.sent_at)
            and self._pay(call)
        )

    def _may_go_elsewhere(self, call: DirectCall) -> bool:
        """Tell whether another backend may get a request that one has.

        Taken from its backend while no other takes requests, it would have none.
        """
        return (
            call.route.repeatable
            and len(call.sent_to | {call.backend}) < call.route.max_attempts
            and self._roster.has_alternative(call.service, call.tried_runs | {call.backend})
        )

    def _pay(self, call: DirectCall) -> bool:
        """Take one retry from the budget, once for each retry."""
        if not call.retry_paid:
            call.retry_paid = self._budget.spend(call.service)
        return call.retry_paid
