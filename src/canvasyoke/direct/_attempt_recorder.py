"""Records what an attempt shows of its backend: reachability, load, failures and crashes."""

from __future__ import annotations

from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.backend import BackendAnswer, MayHaveRun, NotRun, NotRunCause, SendResult
from canvasyoke.crashes import ExitMonitor, Quarantine
from canvasyoke.direct._call import Attempt, DirectCall
from canvasyoke.direct._choice import Chosen
from canvasyoke.direct._metrics import DirectMetrics
from canvasyoke.direct._roster import Roster
from canvasyoke.state import Endpoint
from canvasyoke.transport import FailureCause

#: Milliseconds for which a backend that refused for lack of capacity is not chosen.
_FULL_BACKOFF: Final = 150
_SUCCESS: Final = range(200, 300)


class AttemptRecorder:
    """Passes the results of attempts on to the roster and to the quarantine."""

    def __init__(
        self,
        roster: Roster,
        exit_monitor: ExitMonitor,
        quarantine: Quarantine,
        metrics: DirectMetrics,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._roster = roster
        self._exit_monitor = exit_monitor
        self._quarantine = quarantine

    def record_connection(self, call: DirectCall, endpoint: Endpoint, sent: SendResult) -> None:
        """Report whether the backend and its failure domain are reachable.

        An exchange that fails without a response is no evidence: its connection was established
        earlier, and the domain may have been cut off since.
        """
        if isinstance(sent, BackendAnswer) and sent.status in _SUCCESS:
            self._exit_monitor.record_answer(endpoint.run, call.sent_at)
        elif isinstance(sent, NotRun) and sent.is_port_closed:
            self._exit_monitor.record_refused_connection(endpoint)
        if isinstance(sent, MayHaveRun):
            return
        if not isinstance(sent, NotRun) or sent.cause is not NotRunCause.UNREACHABLE:
            self._roster.record_connect_success(endpoint.domain)
        elif not call.is_disconnected():
            self._roster.record_connect_failure(endpoint)

    def record_attempt(
        self,
        call: DirectCall,
        chosen: Chosen,
        duration: int,
        sent: SendResult,
        failure: NotRun | MayHaveRun | None,
    ) -> None:
        """Record an attempt that took ``duration`` milliseconds; ``failure`` is why it failed."""
        if isinstance(failure, MayHaveRun):
            self._metrics.record_incomplete_answer(failure.cause)
        self._record_load(call, chosen.endpoint, duration, failure)
        self._record_group(call, chosen.endpoint, failure)
        outcome = "answered" if failure is None else failure.detail
        call.attempts.append(Attempt(chosen, outcome, duration, sent.notice))
        self._update_quarantine(call, chosen.endpoint, sent, failure)

    def _record_load(
        self,
        call: DirectCall,
        endpoint: Endpoint,
        duration: int,
        failure: NotRun | MayHaveRun | None,
    ) -> None:
        backend = endpoint.run
        if isinstance(failure, NotRun) and failure.was_received:
            if failure.cause is NotRunCause.MOVED:
                self._roster.record_address_conflict(backend)
                self._exit_monitor.record_address_conflict(endpoint)
            else:
                self._roster.record_refusal(backend, _FULL_BACKOFF)
        elif failure is not None and _closed_by_entry(call, failure):
            self._roster.record_cancelled(backend)
        else:
            self._roster.record_finished(backend, duration, failed=failure is not None)

    def _record_group(
        self, call: DirectCall, endpoint: Endpoint, failure: NotRun | MayHaveRun | None
    ) -> None:
        if isinstance(failure, NotRun) and failure.faulty_backend not in ("", endpoint.id):
            self._roster.record_group_failure(endpoint.run, is_refused=True)
        if isinstance(failure, MayHaveRun):
            call.may_have_run = True
            if call.route.is_stream and not _closed_by_entry(call, failure):
                self._roster.record_group_failure(endpoint.run)

    def _update_quarantine(
        self,
        call: DirectCall,
        endpoint: Endpoint,
        sent: SendResult,
        failure: NotRun | MayHaveRun | None,
    ) -> None:
        """Record whether the attempt cleared the request or crashed its backend."""
        if failure is None:
            if isinstance(sent, BackendAnswer) and sent.status in _SUCCESS:
                self._record_success(call, sent)
            return
        if (
            not isinstance(failure, MayHaveRun)
            or failure.cause is not FailureCause.CONNECTION_LOST
            or _closed_by_entry(call, failure)
        ):
            return
        self._roster.record_connection_lost(endpoint.run)
        exchange = call.broken_exchange(endpoint, failure.detail, self._clock.now())
        self._exit_monitor.record_failure(exchange)

    def record_established(self, call: DirectCall) -> None:
        """Record that a backend has survived the beginning of its response."""
        self._quarantine.record_shared_answer(call.shared_traits, call.sent_at)

    def _record_success(self, call: DirectCall, answer: BackendAnswer) -> None:
        if not call.is_established:
            self.record_established(call)
        # Nothing proves that an answer without framing was complete, and one clears its request.
        if answer.is_framed:
            for name in call.own_traits:
                self._quarantine.record_answer(name)


def _closed_by_entry(call: DirectCall, failure: NotRun | MayHaveRun) -> bool:
    """Return whether this entry closed the exchange, which is no evidence of a backend failure."""
    if isinstance(failure, NotRun):
        return failure.cause is NotRunCause.WITHDRAWN or call.is_disconnected()
    return failure.cause is FailureCause.CANCELLED or call.is_disconnected()
