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
from canvasyoke.direct._break_examiner import BackendFate, BreakExaminer
from canvasyoke.direct._budget import FleetRetryBudget
from canvasyoke.direct._call import (
    AnswerEnd,
    AnswerHead,
    BrokeOff,
    CallerLeft,
    DirectCall,
    GaveUp,
    KeptAnswer,
    Piece,
    Tried,
)
from canvasyoke.direct._choice import Chosen, NoneAble, Wanted
from canvasyoke.direct._events import EventCutter, event_id, is_after
from canvasyoke.direct._quarantine import Quarantine
from canvasyoke.direct._refusals import LEAST_TIME, Refusals
from canvasyoke.direct._roster import Roster
from canvasyoke.direct._word_keeper import WordKeeper
from canvasyoke.protocol import Reason
from canvasyoke.state import Endpoint
from canvasyoke.transport import ExchangeError, ExchangeSlot

#: Milliseconds for a connection to a backend. A round trip takes 3 ms and a backend up
#: to 1 ms. Where the first packet is lost the next one follows after a second, and
#: another backend answers sooner.
_CONNECT_TIMEOUT: Final = 100
#: Milliseconds past the deadline for the backend's own word that time ran out.
_BACKEND_GRACE: Final = 40
#: Milliseconds for which a full backend is passed over: about two of its passes.
_FULL_PAUSE: Final = 150
#: Parts of the route's objective for which a request may wait for a slot: where it waits
#: longer its answer comes late. A stream of which a part was delivered goes first, but not
#: by much: at 3.0 such requests filled the queues and every answer was late.
_WAIT_PART: Final = 0.5
_WAIT_PART_BEGUN: Final = 0.75
#: Largest answer, other than a stream, that is collected before it is passed on.
_WHOLE_LIMIT: Final = 8 << 20
#: Causes with which nothing has arrived at a backend.
_NOT_SENT: Final = frozenset({NotRunCause.UNREACHABLE, NotRunCause.WITHDRAWN})
_SUCCESS: Final = range(200, 300)
_SERVER_ERROR: Final = 500
_BAD_GATEWAY: Final = 502
_STREAM_TYPE: Final = "text/event-stream"


class Forwarder:
    """Chooses backends, sends attempts and joins their pieces to one answer."""

    def __init__(
        self,
        port: DirectBackendPort,
        roster: Roster,
        budget: FleetRetryBudget,
        breaks: BreakExaminer,
        quarantine: Quarantine,
        words: WordKeeper,
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
            why_not = self._why_no_retry(call, failure)
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
                tried=_tried(call),
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
        self._words.took(endpoint, sent.notice)
        self._note_reach(call, endpoint, sent)
        if isinstance(sent, NotRun) and sent.cause in _NOT_SENT:
            self._roster.was_not_sent(endpoint.run)
        else:
            call.sent_to.add(endpoint.run)
        failure: NotRun | MayHaveRun | None
        if isinstance(sent, NotRun | MayHaveRun):
            failure = sent
        else:
            call.may_have_run = True
            try:
                failure = yield from self._relay(call, sent, endpoint.run)
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
        if isinstance(failure, NotRun) and failure.cause not in _NOT_SENT:
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

    def _why_no_retry(self, call: DirectCall, failure: NotRun | MayHaveRun) -> str:
        """Return why another attempt may not be made; empty if it may, and is paid for."""
        if isinstance(failure, MayHaveRun) and not call.route.repeatable:
            return "it may have run"
        if isinstance(failure, NotRun) and failure.cause is NotRunCause.REJECTED:
            return "the request itself was rejected"
        if len(call.sent_to) >= call.route.max_attempts:
            return "the route's attempts are used up"
        if call.deadline - self._clock.now() < LEAST_TIME:
            return "no time is left"
        if not self._roster.has_other(call.service, _tried(call)):
            return "no other backend takes requests"
        if isinstance(failure, NotRun) and failure.cause in _NOT_SENT:
            return ""  # nothing arrived anywhere, so nothing is spent
        return "" if self._pay(call) else "the retry budget is used up"

    def _end(self, call: DirectCall, last: GaveUp | BrokeOff) -> Iterator[Piece]:
        """Pass on what a backend has answered, if any has, or give up."""
        if call.kept is None or call.delivered:
            yield last
            return
        yield call.kept.head
        yield call.kept.body
        yield AnswerEnd()

    def _relay(
        self, call: DirectCall, answer: BackendAnswer, backend: str
    ) -> Generator[Piece, None, MayHaveRun | None]:
        """Pass an answer on; return why it is not whole, or ``None`` when it is."""
        is_stream = call.route.is_stream and any(
            name.lower() == "content-type" and _STREAM_TYPE in value
            for name, value in answer.headers
        )
        if is_stream:
            return (yield from self._relay_stream(call, answer, backend))
        if call.delivered:
            return MayHaveRun("the backend did not go on with the stream")
        return (yield from self._relay_whole(call, answer))

    def _relay_whole(
        self, call: DirectCall, answer: BackendAnswer
    ) -> Generator[Piece, None, MayHaveRun | None]:
        """Collect a short answer, so that one that breaks off can be tried again."""
        body = bytearray()
        try:
            for piece in answer.pieces():
                body += piece
                if len(body) > _WHOLE_LIMIT:
                    return MayHaveRun("the answer is too long to collect")
                answer.wait_at_most(self._time_left(call))
        except ExchangeError as exc:
            return MayHaveRun(f"the answer broke off: {exc}", is_broken=not exc.is_late)
        head = AnswerHead(answer.status, answer.headers, len(body))
        if answer.status >= _SERVER_ERROR and self._worth_repeating(call):
            call.kept = KeptAnswer(head, bytes(body))
            return MayHaveRun(f"the backend failed with status {answer.status}")
        yield head
        yield bytes(body)
        return None

    def _worth_repeating(self, call: DirectCall) -> bool:
        """Tell whether a backend's own failure should rather be tried elsewhere.

        The failure is the backend's answer and is passed on when nothing else may be done.
        """
        return (
            call.route.repeatable
            and len(call.sent_to) < call.route.max_attempts
            and call.deadline - self._clock.now() > call.route.objective // 2
            and self._roster.has_other(call.service, frozenset(call.sent_to))
            and self._pay(call)
        )

    def _pay(self, call: DirectCall) -> bool:
        """Take one retry from the budget, once for each retry."""
        if not call.retry_paid:
            call.retry_paid = self._budget.spend(call.service)
        return call.retry_paid

    def _relay_stream(
        self, call: DirectCall, answer: BackendAnswer, backend: str
    ) -> Generator[Piece, None, MayHaveRun | None]:
        """Pass on whole events as they come."""
        cutter = EventCutter()
        heard_at = 0
        try:
            for piece in answer.pieces():
                for event in cutter.feed(piece):
                    now = self._clock.now()
                    if heard_at:
                        self._roster.stream_heard(backend, now - heard_at)
                    else:
                        call.has_begun = True
                        self._roster.stream_began(backend, now - call.sent_at)
                    heard_at = now
                    number = event_id(event)
                    if not is_after(number, call.last_event):
                        continue
                    if not call.delivered:
                        call.delivered = True
                        yield AnswerHead(answer.status, answer.headers, None)
                    call.last_event = number or call.last_event
                    yield event
                if self._should_move(call, backend):
                    call.is_moved = True
                    return MayHaveRun("the backend is too slow for the stream")
                answer.wait_at_most(self._time_left(call))
        except ExchangeError as exc:
            return MayHaveRun(f"the stream broke off: {exc}", is_broken=not exc.is_late)
        finally:
            if heard_at:
                self._roster.stream_ended(backend)
        if cutter.has_rest:
            return MayHaveRun("the stream ended within an event", is_broken=True)
        if not call.delivered:
            yield AnswerHead(answer.status, answer.headers, None)
        return None

    def _should_move(self, call: DirectCall, backend: str) -> bool:
        """Tell whether a stream goes on elsewhere because its backend holds up the group."""
        return (
            self._roster.crawls(backend)
            and call.route.repeatable
            and len(call.sent_to) < call.route.max_attempts
            and self._pay(call)
        )

    def give_up_silent(self, call: DirectCall) -> bool:
        """End an exchange with a backend that says nothing, so that another one is tried.

        True when it was ended. Callers give a stream up after two seconds without an event;
        where others get their first one within 0.2, the rest of that time is lost to them.
        """
        slot = call.slot
        may_go_on = call.route.is_stream and call.route.repeatable and not call.has_begun
        if slot is None or slot.is_shut or not may_go_on:
            return False
        if len(call.sent_to) + 1 > call.route.max_attempts:
            return False
        if not self._roster.is_overdue(call.backend, self._clock.now() - call.sent_at):
            return False
        call.is_unanswered = True
        slot.shut()
        return True

    def _time_left(self, call: DirectCall) -> int:
        return call.deadline - self._clock.now() + _BACKEND_GRACE


def _tried(call: DirectCall) -> frozenset[str]:
    return frozenset(tried.run for tried in call.tried)


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
