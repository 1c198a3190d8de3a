"""Takes one admitted request to a whole answer or to one final refusal.

What may happen next depends on what is certain. A request that certainly did not run
may go to another backend. One that may have run goes on only if it is repeatable. Both
only within the route's attempts, the fleet's retry budget and the time left.
"""

from __future__ import annotations

import random
from collections.abc import Generator, Iterator
from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.backend import (
    BackendAnswer,
    DirectBackendPort,
    MayHaveRun,
    NotRun,
    NotRunCause,
    OutboundRequest,
    Sending,
)
from canvasyoke.direct._admission import NO_LIMIT
from canvasyoke.direct._answer_relay import AnswerRelay
from canvasyoke.direct._break_examiner import BackendFate, BreakExaminer
from canvasyoke.direct._budget import FleetRetryBudget
from canvasyoke.direct._call import (
    AnswerEnd,
    BrokeOff,
    CallerLeft,
    DirectCall,
    GaveUp,
    Piece,
    Tried,
)
from canvasyoke.direct._choice import Chosen, NoneAble, Wanted
from canvasyoke.direct._notice_handler import NoticeHandler
from canvasyoke.direct._quarantine import Quarantine
from canvasyoke.direct._refusals import LEAST_TIME, Refusals
from canvasyoke.direct._retries import Retries
from canvasyoke.direct._roster import Roster
from canvasyoke.protocol import Reason
from canvasyoke.state import Endpoint
from canvasyoke.transport import ExchangeSlot

#: Milliseconds for a connection to a backend. A round trip takes 3 ms and a backend up
#: to 1 ms. Where the first packet is lost the next one follows after a second, and
#: another backend answers sooner.
_CONNECT_TIMEOUT: Final = 100
#: Milliseconds for which a full backend is passed over: about two of its passes.
_FULL_PAUSE: Final = 150
#: Parts of the route's objective for which a request may wait for a slot: where it waits
#: longer its answer comes late. A stream of which a part was delivered goes first, but not
#: by much: at 3.0 such requests filled the queues and every answer was late.
_WAIT_PART: Final = 0.5
_WAIT_PART_BEGUN: Final = 0.75
_SUCCESS: Final = range(200, 300)
_BAD_GATEWAY: Final = 502


class Forwarder:
    """Chooses backends, sends attempts and joins their pieces to one answer."""

    def __init__(
        self,
        port: DirectBackendPort,
        roster: Roster,
        budget: FleetRetryBudget,
        breaks: BreakExaminer,
        quarantine: Quarantine,
        words: NoticeHandler,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._port = port
        self._roster = roster
        self._budget = budget
        self._breaks = breaks
        self._quarantine = quarantine
        self._words = words
        self._clock = clock
        self._refusals = Refusals(roster, clock, rng)
        self._retries = Retries(roster, budget, clock)
        self._relay = AnswerRelay(roster, self._retries, clock)

    def run(self, call: DirectCall) -> Iterator[Piece]:
        """Yield the pieces of the answer; the last one tells how it ended."""
        self._budget.saw_request(call.service)
        while True:
            if self._is_quarantined(call):
                yield from self._end(call, self._refuse_quarantined(call))
                return
            chosen = self._choose(call)
            if isinstance(chosen, NoneAble):
                detail = f"no backend can take it: {chosen}"
                yield from self._end(call, self._refusals.give_up(call, detail, chosen))
                return
            failure = yield from self._attempt(call, chosen)
            if failure is None:
                yield AnswerEnd()
                return
            if call.gone():
                yield CallerLeft()
                return
            why_not = self._retries.why_not(call, failure)
            if why_not:
                detail = f"{failure.detail}; no retry: {why_not}"
                yield from self._end(call, self._refusals.give_up(call, detail, failure))
                return

    def _is_quarantined(self, call: DirectCall) -> bool:
        """Tell whether a request is kept from backends.

        Asked before each attempt, since the word may come between two of them. The
        fingerprint is worked out only while any request is in quarantine.
        """
        return bool(self._quarantine.culprits) and self._quarantine.holds(call.fingerprint)

    def _refuse_quarantined(self, call: DirectCall) -> GaveUp | BrokeOff:
        """Give a request that is to blame its final answer, the same each time.

        It is no refusal that invites the caller back, nor one that blames the caller: it
        may have run before, and what ends backends is a fault of theirs.
        """
        detail = f"backends ended under this request; quarantined as {call.fingerprint}"
        return BrokeOff(detail) if call.delivered else GaveUp(_BAD_GATEWAY, detail)

    def _choose(self, call: DirectCall) -> Chosen | NoneAble:
        if call.deadline - self._clock.now() < LEAST_TIME:
            return NoneAble(Reason.DEADLINE)
        return self._roster.choose(
            Wanted(
                service=call.service,
                tried=call.tried_runs,
                patience=_patience(call),
            )
        )

    def _attempt(
        self, call: DirectCall, chosen: Chosen
    ) -> Generator[Piece, None, NotRun | MayHaveRun | None]:
        """Make one attempt; return why it came to nothing, or ``None`` when all is said."""
        began = self._clock.now()
        endpoint = chosen.endpoint
        # What the backend has said to other requests while the connection to it is made
        # counts for this one.
        call.slot = ExchangeSlot(lambda: self._roster.may_send(endpoint))
        call.retry_paid = False
        call.backend, call.sent_at = endpoint.run, began
        call.has_begun = call.is_unanswered = call.is_moved = False
        if call.gone():
            call.slot.shut()
        sent = self._port.send(endpoint, self._outbound(call), _CONNECT_TIMEOUT, call.slot)
        self._words.handle(endpoint, sent.notice)
        self._note_reach(call, endpoint, sent)
        if isinstance(sent, NotRun) and not sent.has_arrived:
            self._roster.was_not_sent(endpoint.run)
        else:
            call.sent_to.add(endpoint.run)
        failure: NotRun | MayHaveRun | None
        if isinstance(sent, NotRun | MayHaveRun):
            failure = sent
        else:
            call.may_have_run = True
            try:
                failure = yield from self._relay.relay(call, sent)
            finally:
                sent.close()
        self._note(
            call, Tried(chosen, _outcome(failure), self._clock.now() - began, sent.notice), failure
        )
        self._examine(call, endpoint, sent, failure)
        return failure

    def _examine(
        self,
        call: DirectCall,
        endpoint: Endpoint,
        sent: Sending,
        failure: NotRun | MayHaveRun | None,
    ) -> None:
        """Take note of what an attempt says of the request: harmless, or a suspect."""
        if failure is None:
            if isinstance(sent, BackendAnswer) and sent.status in _SUCCESS and sent.is_framed:
                self._quarantine.answered(call.fingerprint)
            return
        if not isinstance(failure, MayHaveRun) or not failure.is_broken or _was_ended(call):
            return
        if self._breaks.examine(call, endpoint, failure.detail) is BackendFate.ENDED:
            self._quarantine.ended(call.fingerprint, endpoint.run)

    def _note_reach(self, call: DirectCall, endpoint: Endpoint, sent: Sending) -> None:
        """Tell the roster whether the backend's domain is in reach now.

        A request without an answer tells nothing: its connection was made a while ago,
        and may have ended because the domain was cut off since.
        """
        if isinstance(sent, MayHaveRun):
            return
        if not isinstance(sent, NotRun) or sent.cause is not NotRunCause.UNREACHABLE:
            self._roster.domain_reached(endpoint.domain)
        elif not call.gone():
            self._roster.domain_missed(endpoint)

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

    def _note(self, call: DirectCall, tried: Tried, failure: NotRun | MayHaveRun | None) -> None:
        """Tell the roster and the log what became of an attempt."""
        backend = tried.run
        if isinstance(failure, NotRun) and failure.has_arrived:
            if failure.cause is NotRunCause.MOVED:
                self._roster.moved(backend)
            else:
                self._roster.refused(backend, _FULL_PAUSE)
        elif (
            _was_withdrawn(failure)
            or call.is_moved
            or call.is_unanswered
            or (failure is not None and call.gone())
        ):
            self._roster.cancelled(backend)
        else:
            self._roster.finished(backend, tried.took, failed=failure is not None)
        if isinstance(failure, NotRun) and failure.at_fault not in ("", tried.chosen.endpoint.id):
            self._roster.group_broke(backend)
        if isinstance(failure, MayHaveRun):
            call.may_have_run = True
            if call.route.is_stream and not _was_ended(call):
                self._roster.group_broke(backend)
        call.tried.append(tried)

    def _end(self, call: DirectCall, last: GaveUp | BrokeOff) -> Iterator[Piece]:
        """Pass on what a backend has answered, if any has, or give up."""
        if call.kept is None or call.delivered:
            yield last
            return
        yield call.kept.head
        yield call.kept.body
        yield AnswerEnd()

    def give_up_silent(self, call: DirectCall) -> bool:
        """End an exchange with a backend that says nothing, so that another one is tried.

        True when it was ended.
        """
        slot = call.slot
        if slot is None or slot.is_shut or not self._retries.is_overdue(call):
            return False
        call.is_unanswered = True
        slot.shut()
        return True


def _outcome(failure: NotRun | MayHaveRun | None) -> str:
    return "answered" if failure is None else failure.detail


def _was_withdrawn(failure: NotRun | MayHaveRun | None) -> bool:
    return isinstance(failure, NotRun) and failure.cause is NotRunCause.WITHDRAWN


def _was_ended(call: DirectCall) -> bool:
    """Tell whether the last exchange was ended from here, which says nothing of the backend."""
    return call.is_moved or call.is_unanswered or call.gone()


def _patience(call: DirectCall) -> int:
    """Return the longest wait for a slot, in milliseconds, that makes sense."""
    if not call.route.objective:
        return NO_LIMIT
    part = _WAIT_PART_BEGUN if call.delivered else _WAIT_PART
    return round(part * call.route.objective)
