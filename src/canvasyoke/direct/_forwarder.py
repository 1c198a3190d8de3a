"""Forwards an admitted request, with retries, until it is answered or refused.

A request that certainly did not run may be sent to another backend. One that may have run is
retried only if it is repeatable. Retries are limited by the attempts of the route, the retry budget
of the fleet and the deadline.
"""

from __future__ import annotations

import random
from collections.abc import Generator, Iterator
from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.backend import DirectBackendPort, MayHaveRun, NotRun, OutboundRequest, SendResult
from canvasyoke.crashes import ExitMonitor, Quarantine
from canvasyoke.direct._admission import NO_LIMIT
from canvasyoke.direct._answer_relay import AnswerRelay
from canvasyoke.direct._attempt_recorder import AttemptRecorder
from canvasyoke.direct._budget import FleetRetryBudget
from canvasyoke.direct._call import (
    AnswerEnd,
    AnswerPart,
    CallerDisconnected,
    DirectCall,
    ErrorAnswer,
    IncompleteAnswer,
)
from canvasyoke.direct._choice import BackendQuery, Chosen, NoneAvailable
from canvasyoke.direct._metrics import DirectMetrics
from canvasyoke.direct._notice_handler import NoticeHandler
from canvasyoke.direct._refusals import MIN_ATTEMPT_TIME, RefusalPolicy
from canvasyoke.direct._retries import RetryPolicy
from canvasyoke.direct._return_times import ReturnTimes
from canvasyoke.direct._roster import Roster
from canvasyoke.direct._waiting import WaitingRequests
from canvasyoke.protocol import Reason
from canvasyoke.state import Endpoint
from canvasyoke.transport import ExchangeHandle

#: Connect timeout in milliseconds. Shorter than the retransmission timeout of a lost SYN packet,
#: since trying another backend is faster. A round trip takes 3 ms, and a backend accepts a
#: connection within 1 ms.
_CONNECT_TIMEOUT: Final = 100
#: Longest wait for a slot, as a fraction of the route's objective: for a new request, and for a
#: stream that resumes on another backend. A request that waits longer is answered late. With 3.0
#: for resumed streams, these filled the queues and every answer was late.
_WAIT_FRACTION: Final = 0.5
_RESUMED_WAIT_FRACTION: Final = 0.75
_BAD_GATEWAY: Final = 502


class Forwarder:
    """Chooses backends, sends attempts and joins their responses into one."""

    def __init__(
        self,
        port: DirectBackendPort,
        roster: Roster,
        budget: FleetRetryBudget,
        exit_monitor: ExitMonitor,
        quarantine: Quarantine,
        notice_handler: NoticeHandler,
        waiting: WaitingRequests,
        return_times: ReturnTimes,
        metrics: DirectMetrics,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._port = port
        self._roster = roster
        self._budget = budget
        self._quarantine = quarantine
        self._recorder = AttemptRecorder(roster, exit_monitor, quarantine, metrics, clock)
        self._notice_handler = notice_handler
        self._waiting = waiting
        waiting.refuse_when(lambda call: bool(self._quarantined_trait(call)))
        self._clock = clock
        self._refusals = RefusalPolicy(roster, return_times, clock, rng)
        self._retries = RetryPolicy(roster, budget, clock)
        self._relay = AnswerRelay(
            roster, self._retries, exit_monitor.has_ended, self._recorder.record_established, clock
        )

    def run(self, call: DirectCall) -> Iterator[AnswerPart]:
        """Yield the parts of the response; the last one tells how it ended."""
        self._budget.record_request(call.service)
        self._quarantine.record_request(call.shared_traits)
        while True:
            trait = self._quarantined_trait(call)
            if trait:
                yield from self._finish(call, self._refuse_quarantined(call, trait))
                return
            chosen = self._choose(call)
            if isinstance(chosen, NoneAvailable):
                if self._quarantined_trait(call):
                    continue
                if chosen.reason is Reason.CANCELLED:
                    yield CallerDisconnected()
                    return
                detail = f"no backend can take it: {chosen}"
                yield from self._finish(call, self._refusals.final_answer(call, detail, chosen))
                return
            failure = yield from self._attempt(call, chosen)
            if failure is None:
                yield AnswerEnd()
                return
            if call.is_disconnected():
                yield CallerDisconnected()
                return
            if self._quarantined_trait(call):
                continue
            denial_reason = self._retries.denial_reason(call, failure)
            if denial_reason:
                detail = f"{failure.detail}; no retry: {denial_reason}"
                yield from self._finish(call, self._refusals.final_answer(call, detail, failure))
                return

    def _quarantined_trait(self, call: DirectCall) -> str:
        """Return the trait for which a request is quarantined, or an empty string.

        Checked before each attempt and again before each write, since other entries may report it
        meanwhile. The traits are computed only while any is quarantined.
        """
        if not self._quarantine.quarantined:
            return ""
        return self._quarantine.find_quarantined(call.traits)

    def _refuse_quarantined(self, call: DirectCall, trait: str) -> ErrorAnswer | IncompleteAnswer:
        """Return the final response to a quarantined request.

        It is a 502: a 503 would invite a retry and a 4xx would blame the caller, while the request
        may have run and the crash is a fault of the backend.
        """
        detail = f"backends ended under this request; quarantined as {trait}"
        return IncompleteAnswer(detail) if call.delivered else ErrorAnswer(_BAD_GATEWAY, detail)

    def _choose(self, call: DirectCall) -> Chosen | NoneAvailable:
        if call.deadline - self._clock.now() < MIN_ATTEMPT_TIME:
            return NoneAvailable(Reason.DEADLINE)
        query = BackendQuery(
            service=call.service,
            tried=call.attempted_runs,
            max_wait=_max_wait(call),
        )
        if self._waiting.applies_to(call):
            return self._waiting.choose(call, query)
        return self._roster.choose(query)

    def _attempt(
        self, call: DirectCall, chosen: Chosen
    ) -> Generator[AnswerPart, None, NotRun | MayHaveRun | None]:
        """Make one attempt; return the failure, or ``None`` if the response is complete."""
        began = self._clock.now()
        endpoint = chosen.endpoint
        call.slot = ExchangeHandle(lambda: self._may_send(call, endpoint))
        call.retry_charged = False
        call.backend, call.sent_at = endpoint.run, began
        call.has_head = call.is_established = False
        call.begun_at = 0
        if call.is_disconnected():
            call.slot.cancel()
        try:
            sent, failure = yield from self._exchange(call, endpoint, call.slot)
        except BaseException:
            # Includes GeneratorExit: the server closes the response if it cannot write to the
            # caller. Without this, the backend would count the request as in progress for good.
            self._roster.record_cancelled(endpoint.run)
            self._waiting.on_change()
            raise
        duration = self._clock.now() - began
        self._recorder.record_attempt(call, chosen, duration, sent, failure)
        if failure is None:
            self._waiting.record_duration(call, duration)
        self._waiting.on_change()
        return failure

    def _may_send(self, call: DirectCall, endpoint: Endpoint) -> bool:
        """Return whether a request may be written to a backend once it is connected.

        Meanwhile the backend may have asked for a backoff, or the request may be quarantined.
        """
        return self._roster.may_send(endpoint) and not self._quarantined_trait(call)

    def _exchange(
        self, call: DirectCall, endpoint: Endpoint, handle: ExchangeHandle
    ) -> Generator[AnswerPart, None, tuple[SendResult, NotRun | MayHaveRun | None]]:
        """Send a request and relay the response; return the result and the failure, if any."""
        sent = self._port.send(endpoint, self._outbound(call), _CONNECT_TIMEOUT, handle)
        self._notice_handler.handle(endpoint, sent.notice)
        self._recorder.record_connection(call, endpoint, sent)
        if isinstance(sent, NotRun) and not sent.was_received:
            self._roster.record_not_sent(endpoint.run)
        else:
            call.sent_to.add(endpoint.run)
        if isinstance(sent, NotRun | MayHaveRun):
            return sent, sent
        call.may_have_run = call.has_head = True
        try:
            return sent, (yield from self._relay.relay(call, endpoint, sent))
        finally:
            sent.close()

    def _outbound(self, call: DirectCall) -> OutboundRequest:
        return OutboundRequest(
            method=call.method,
            target=call.target,
            headers=call.headers,
            body=call.body,
            request_id=call.request_id,
            time_left=max(1, call.deadline - self._clock.now()),
            organisation=call.organisation,
            priority=call.priority,
            resume_after=call.last_event,
        )

    def _finish(
        self, call: DirectCall, last: ErrorAnswer | IncompleteAnswer
    ) -> Iterator[AnswerPart]:
        """Yield the saved error response of a backend, if there is one, or ``last``."""
        if call.saved_failure is None or call.delivered:
            yield last
            return
        yield call.saved_failure.head
        yield call.saved_failure.body
        yield AnswerEnd()

    def close_if_quarantined(self, call: DirectCall) -> bool:
        """Close an exchange whose request was quarantined before its response has begun.

        It may still be in the queue of its backend. Returns true if the exchange was closed.
        """
        slot = call.slot
        if slot is None or slot.is_cancelled or call.has_begun or not self._quarantined_trait(call):
            return False
        slot.cancel()
        return True

    def close_if_unresponsive(self, call: DirectCall) -> bool:
        """Close an exchange whose backend does not respond, so that another one is tried.

        Returns true if the exchange was closed.
        """
        slot = call.slot
        if slot is None or slot.is_cancelled or not self._retries.is_overdue(call):
            return False
        slot.cancel()
        return True


def _max_wait(call: DirectCall) -> int:
    """Return the longest useful wait for a slot, in milliseconds."""
    if not call.route.objective:
        return NO_LIMIT
    fraction = _RESUMED_WAIT_FRACTION if call.delivered else _WAIT_FRACTION
    return round(fraction * call.route.objective)
