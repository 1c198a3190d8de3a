"""Dispatches requests to targets, with retries, redirects and resumption of partial responses."""

from __future__ import annotations

import itertools
import queue
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final, TypeAlias

import msgspec

from canvasyoke._clock import SECOND, Clock
from canvasyoke.coordination import (
    REDIRECT_REASONS,
    FailedAttempt,
    RetryBudget,
    RetryDecision,
    RouteRequest,
    decide_retry,
)
from canvasyoke.entry._attempt_group import AttemptGroup
from canvasyoke.entry._target_client import Attempt, AttemptLost, Event, Events, TargetClient
from canvasyoke.entry._target_pool import TargetPool
from canvasyoke.observe import part_logger
from canvasyoke.protocol import (
    Chunk,
    End,
    Head,
    Outcome,
    Queued,
    Ready,
    Reason,
    Refusal,
    Refused,
    Run,
    Started,
)

_log = part_logger("dispatch")
#: Milliseconds after the deadline for a target to confirm the outcome of a cancelled request.
_CONFIRMATION_TIMEOUT: Final = 300
#: Milliseconds for a broken link to reconnect before an attempt is abandoned. An idempotent request
#: can move to another target, so it waits less.
_IDEMPOTENT_RESUME_TIMEOUT: Final = 300
_NON_IDEMPOTENT_RESUME_TIMEOUT: Final = 3 * SECOND
#: Maximum number of targets at which a waiting request is queued at once.
_MAX_QUEUED_ATTEMPTS: Final = 4
#: Milliseconds between checks of the caller's connection and of the link to the target.
_LIVENESS_CHECK_INTERVAL: Final = 200
#: Milliseconds before selection is repeated if no target is available.
_SELECTION_RETRY_INTERVAL: Final = 50
#: Milliseconds that a request waits for an available target.
_SELECTION_TIMEOUT: Final = 3 * SECOND
_RETRY_AFTER: Final = 1 * SECOND
#: Milliseconds of waiting for a target after which the wait is logged.
_WAIT_LOG_THRESHOLD: Final = 500
#: Reasons of refusals that count as failures of the target.
_TARGET_FAILURES: Final = frozenset(
    {Reason.LINK_LOST, Reason.BACKEND_FAILED, Reason.BACKEND_UNREACHABLE}
)


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection."""


#: Part of the response to a caller: a head, then chunks, then an end or a refusal.
AnswerPart: TypeAlias = Head | Chunk | End | Refusal | CallerDisconnected


@dataclass(slots=True)
class Call:
    """An authenticated and validated request, and the state of its dispatch."""

    #: Message to send to a target; the numbers of request and attempt are set for each attempt.
    run: Run
    #: Clock time of the caller's deadline.
    deadline: int
    #: Number of key slots of the service.
    key_slots: int
    #: Whether another target can resume a partial response.
    resumable: bool
    #: Returns whether the caller has disconnected.
    is_disconnected: Callable[[], bool]
    #: Generates a replacement for a key that the entry generated and with which no attempt may
    #: have run; ``None`` otherwise.
    renew_key: Callable[[], str] | None
    #: Events received by all attempts.
    events: Events = field(default_factory=queue.SimpleQueue)
    #: Instances of targets to exclude from selection.
    tried: set[str] = field(default_factory=set)
    #: Number of attempts, excluding redirects.
    attempts: int = 0
    #: Number of attempts sent, including redirects; also the number of the last attempt.
    attempts_sent: int = 0
    #: Clock time of the first redirect; 0 before it.
    first_redirect_at: int = 0
    #: Whether the head, and how many chunks, have been passed to the caller.
    head_sent: bool = False
    chunks_delivered: int = 0
    #: HTTP status of the head passed to the caller.
    status: int = 0


class Dispatcher:
    """Selects targets, sends attempts and combines their parts into one response."""

    def __init__(self, pool: TargetPool, domain: str, clock: Clock) -> None:
        self._pool = pool
        self._domain = domain
        self._clock = clock
        self._request_numbers = itertools.count(1)
        self._retry_budget = RetryBudget()

    def run(self, call: Call) -> Iterator[AnswerPart]:
        """Yield the response; the last part is an end, a refusal or a caller disconnect."""
        request_number = next(self._request_numbers)
        while True:
            target = self._wait_for_target(call)
            if not isinstance(target, TargetClient):
                yield target
                return
            last_part: AnswerPart | None = None
            for part in self._run_attempt(call, target, request_number):
                last_part = part
                if not isinstance(part, Refusal):
                    yield part
            if isinstance(last_part, End):
                self._retry_budget.record_success()
            if not isinstance(last_part, Refusal):
                return
            if not self._prepare_retry(call, last_part):
                yield last_part
                return

    def _prepare_retry(self, call: Call, refusal: Refusal) -> bool:
        """Return whether to make another attempt, after any necessary delay."""
        if refusal.reason is Reason.KEY_BEFORE_HOME and call.renew_key is not None:
            return self._renew_key(call, refusal)
        if refusal.outcome is not Outcome.NOT_RUN:
            call.renew_key = None
        if refusal.reason in REDIRECT_REASONS and not call.head_sent:
            return self._follow_redirect(call)
        failed_attempt = FailedAttempt(
            refusal, call.run.repeatable, call.attempts, call.deadline - self._clock.now()
        )
        if call.head_sent and not (call.run.repeatable and call.resumable):
            return False
        return decide_retry(failed_attempt, self._retry_budget) is RetryDecision.RETRY

    def _renew_key(self, call: Call, refusal: Refusal) -> bool:
        """Replace a refused key after the delay that the target asked for.

        This is safe because the entry generated the old key and no attempt ran with it.
        """
        assert call.renew_key is not None
        if self._clock.now() + refusal.retry_after >= call.deadline:
            return False
        time.sleep(refusal.retry_after / SECOND)
        call.run = msgspec.structs.replace(call.run, key=call.renew_key())
        call.tried.clear()
        return True

    def _follow_redirect(self, call: Call) -> bool:
        """Return whether to select another target; redirects do not count as attempts."""
        now = self._clock.now()
        call.first_redirect_at = call.first_redirect_at or now
        call.attempts -= 1
        if now >= min(call.deadline, call.first_redirect_at + _SELECTION_TIMEOUT):
            return False
        if not call.run.repeatable:
            call.tried.clear()
            time.sleep(_SELECTION_RETRY_INTERVAL / SECOND)
        return True

    def _wait_for_target(self, call: Call) -> TargetClient | Refusal | CallerDisconnected:
        """Return a target, waiting for a limited time until one is available."""
        started_at = self._clock.now()
        wait_deadline = min(call.deadline, started_at + _SELECTION_TIMEOUT)
        last_reason = Reason.NO_TARGET
        while True:
            selected = self._select_target(call)
            if isinstance(selected, TargetClient):
                self._log_wait(call, started_at, last_reason, selected.instance)
                return selected
            last_reason = selected
            if selected is Reason.OVERLOADED or self._clock.now() >= wait_deadline:
                detail = "no target can take the request now"
                self._log_wait(call, started_at, selected, "")
                return Refusal(Outcome.NOT_RUN, selected, detail, _RETRY_AFTER)
            if call.is_disconnected():
                return CallerDisconnected()
            if call.tried:
                # Every target has been tried once; allow a second round.
                call.tried.clear()
            time.sleep(_SELECTION_RETRY_INTERVAL / SECOND)

    def _log_wait(self, call: Call, started_at: int, reason: Reason, target: str) -> None:
        waited = self._clock.now() - started_at
        if waited >= _WAIT_LOG_THRESHOLD:
            _log.info(
                "waited for a target",
                request_id=call.run.request_id,
                service=call.run.service,
                waited=waited,
                missing=reason.value,
                target=target,
            )

    def _select_target(self, call: Call) -> TargetClient | Reason:
        route_request = RouteRequest(call.run.service, self._domain, frozenset(call.tried))
        if call.run.repeatable:
            return self._pool.select(route_request)
        return self._pool.select_key_owner(route_request, call.run.key, call.key_slots)

    def _run_attempt(
        self, call: Call, target: TargetClient, request_number: int
    ) -> Iterator[AnswerPart]:
        """Make one attempt; if it fails, the last part is a refusal."""
        call.attempts += 1
        attempt = self._start_attempt(call, target, request_number, standby=False)
        if attempt is None:
            yield Refusal(Outcome.NOT_RUN, Reason.LINK_LOST, "the link does not stand", 100)
            return
        group = AttemptGroup(attempt, request_number)
        completed = False
        try:
            for part in self._receive_answer(call, group):
                completed = isinstance(part, End)
                yield part
        finally:
            group.finish(completed=completed)

    def _start_attempt(
        self, call: Call, target: TargetClient, request_number: int, standby: bool
    ) -> Attempt | None:
        call.attempts_sent += 1
        call.tried.add(target.instance)
        remaining = max(0, call.deadline - self._clock.now())
        run = msgspec.structs.replace(
            call.run,
            request=request_number,
            attempt=call.attempts_sent,
            remaining=remaining,
            offset=call.chunks_delivered,
            standby=standby,
        )
        return target.start_attempt(run, call.events)

    def _receive_answer(self, call: Call, group: AttemptGroup) -> Iterator[AnswerPart]:
        while True:
            received = self._next_event(call, group)
            if isinstance(received, Refusal | CallerDisconnected):
                yield received
                return
            source, event = received
            if source is not group.primary:
                self._handle_standby_event(group, source, event)
                continue
            target = source.target
            match event:
                case Queued():
                    self._start_standbys(call, group)
                case Started():
                    group.cancel_standbys()
                case Head():
                    group.cancel_standbys()
                    if call.head_sent and event.status != call.status:
                        yield _link_lost_refusal("another target answered otherwise")
                        return
                    if not call.head_sent:
                        call.head_sent, call.status = True, event.status
                        yield event
                case Chunk():
                    call.chunks_delivered += 1
                    yield event
                case End():
                    target.ejection.record_success()
                    yield event
                    return
                case Refused():
                    refusal = self._record_refusal(target, event)
                    if not group.try_fall_back(source, refusal):
                        yield refusal
                        return
                case AttemptLost():
                    target.ejection.record_failure()
                    refusal = _link_lost_refusal("the target's process ended")
                    if not group.try_fall_back(source, refusal):
                        yield refusal
                        return

    def _start_standbys(self, call: Call, group: AttemptGroup) -> None:
        """Queue a waiting request at further targets.

        Two targets may start the request at the same time, so only idempotent requests are
        queued more than once.
        """
        if not call.run.repeatable or call.head_sent:
            return
        for _ in range(_MAX_QUEUED_ATTEMPTS - 1):
            target = self._select_target(call)
            if not isinstance(target, TargetClient):
                return
            attempt = self._start_attempt(call, target, group.request_number, standby=True)
            if attempt is not None:
                group.standbys.append(attempt)

    def _handle_standby_event(self, group: AttemptGroup, source: Attempt, event: Event) -> None:
        """Promote a standby attempt that has a slot; drop one that failed."""
        if source not in group.standbys:
            return
        match event:
            case Ready():
                group.promote(source)
            case Refused() | AttemptLost():
                group.standbys.remove(source)
                source.target.finish(source, completed=False)
            case _:
                pass

    def _record_refusal(self, target: TargetClient, refused: Refused) -> Refusal:
        refusal = Refusal(
            Outcome(refused.outcome), Reason(refused.reason), refused.detail, refused.retry_after
        )
        if refusal.reason in _TARGET_FAILURES:
            target.ejection.record_failure()
        return refusal

    def _next_event(
        self, call: Call, group: AttemptGroup
    ) -> tuple[Attempt, Event] | Refusal | CallerDisconnected:
        """Return the next event and its attempt, or why no more events will follow."""
        disconnected_at = 0
        cancelled = False
        resume_timeout = (
            _IDEMPOTENT_RESUME_TIMEOUT if call.run.repeatable else _NON_IDEMPOTENT_RESUME_TIMEOUT
        )
        while True:
            now = self._clock.now()
            timeout = max(
                1,
                min(
                    _LIVENESS_CHECK_INTERVAL,
                    _LIVENESS_CHECK_INTERVAL if cancelled else call.deadline - now,
                ),
            )
            try:
                return call.events.get(timeout=timeout / SECOND)
            except queue.Empty:
                pass
            primary = group.primary
            if call.is_disconnected():
                return CallerDisconnected()
            now = self._clock.now()
            if now >= call.deadline and not cancelled:
                group.cancel()
                cancelled = True
            if now >= call.deadline + _CONFIRMATION_TIMEOUT:
                detail = "the deadline passed and the target did not say whether it ran"
                return Refusal(Outcome.UNKNOWN, Reason.DEADLINE, detail)
            if primary is None or primary.target.connected:
                disconnected_at = 0
            elif not disconnected_at:
                disconnected_at = now
            elif now - disconnected_at > resume_timeout:
                primary.target.ejection.record_failure()
                return primary, AttemptLost()


def _link_lost_refusal(detail: str) -> Refusal:
    return Refusal(Outcome.UNKNOWN, Reason.LINK_LOST, detail)
