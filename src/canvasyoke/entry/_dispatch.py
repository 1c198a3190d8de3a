"""Takes one request to a whole answer or to one final refusal."""

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
from canvasyoke.entry._lines import Lines
from canvasyoke.entry._peer import Attempt, Event, Events, Lost, Peer
from canvasyoke.entry._peers import Peers
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
#: Milliseconds a target gets past the deadline to say what became of a request.
_CONFIRM: Final = 300
#: Milliseconds a broken link gets to come back before an attempt is given up:
#: short when another target can take over, longer when nothing else may.
_RESUME_REPEATABLE: Final = 300
_RESUME_ONCE: Final = 3 * SECOND
#: Lines in which a request that has to wait stands at once.
_LINES: Final = 4
#: Milliseconds between looks at whether the caller and the link are still there.
_LOOK: Final = 200
#: Milliseconds between looks for a target when none can be had at once.
_PAUSE: Final = 50
#: Milliseconds a request waits for a target to appear.
_WAIT_FOR_TARGET: Final = 3 * SECOND
_RETRY_AFTER: Final = 1 * SECOND
#: Milliseconds of waiting for a target from which on it is logged: what a caller notices.
_LONG_WAIT: Final = 500
#: Refusals for which the target is to blame.
_BLAMED: Final = frozenset({Reason.LINK_LOST, Reason.BACKEND_FAILED, Reason.BACKEND_UNREACHABLE})


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection; there is nobody to tell."""


#: What a request comes to, piece by piece: a head, chunks, and an end or a refusal.
Piece: TypeAlias = Head | Chunk | End | Refusal | CallerGone


@dataclass(slots=True)
class Call:
    """A request that has been authenticated and checked."""

    #: The request as it will be sent; request and attempt number are filled in here.
    run: Run
    #: Time on the clock at which the caller gives up.
    deadline: int
    #: Slots of the service's keys.
    key_slots: int
    #: Whether another target can go on where an answer broke off.
    resumable: bool
    #: Tells whether the caller has gone.
    gone: Callable[[], bool]
    #: Makes a new key when the entry made the one in use, and no attempt with it
    #: may have run; ``None`` when the caller knows the key.
    renew_key: Callable[[], str] | None
    #: What the attempts get from their targets.
    events: Events = field(default_factory=queue.SimpleQueue)
    #: Targets that refused or failed.
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    #: Attempts sent, redirects included; numbers each attempt.
    sent: int = 0
    #: Time on the clock of the first redirect.
    redirected: int = 0
    #: Whether the head went to the caller, and the chunks that did.
    head_sent: bool = False
    delivered: int = 0
    #: HTTP status in that head.
    status: int = 0


class Dispatcher:
    """Chooses targets, sends attempts and joins their pieces to one answer."""

    def __init__(self, peers: Peers, domain: str, clock: Clock) -> None:
        self._peers = peers
        self._domain = domain
        self._clock = clock
        self._numbers = itertools.count(1)
        self._budget = RetryBudget()

    def run(self, call: Call) -> Iterator[Piece]:
        """Yield the pieces of the answer; the last is an end, a refusal or caller-gone."""
        number = next(self._numbers)
        while True:
            peer = self._find_peer(call)
            if not isinstance(peer, Peer):
                yield peer
                return
            last: Piece | None = None
            for piece in self._attempt(call, peer, number):
                last = piece
                if not isinstance(piece, Refusal):
                    yield piece
            if isinstance(last, End):
                self._budget.record_success()
            if not isinstance(last, Refusal):
                return
            if not self._try_again(call, last):
                yield last
                return

    def _try_again(self, call: Call, refusal: Refusal) -> bool:
        """Tell whether another attempt follows, after whatever pause it needs."""
        if refusal.reason is Reason.KEY_BEFORE_HOME and call.renew_key is not None:
            return self._renew_key(call, refusal)
        if refusal.outcome is not Outcome.NOT_RUN:
            call.renew_key = None
        if refusal.reason in REDIRECT_REASONS and not call.head_sent:
            return self._follow_redirect(call)
        attempted = FailedAttempt(
            refusal, call.run.repeatable, call.attempts, call.deadline - self._clock.now()
        )
        if call.head_sent and not (call.run.repeatable and call.resumable):
            return False
        return decide_retry(attempted, self._budget) is RetryDecision.RETRY

    def _renew_key(self, call: Call, refusal: Refusal) -> bool:
        """Make a new key once one may run; the old one never ran, nor did a caller know it."""
        assert call.renew_key is not None
        if self._clock.now() + refusal.retry_after >= call.deadline:
            return False
        time.sleep(refusal.retry_after / SECOND)
        call.run = msgspec.structs.replace(call.run, key=call.renew_key())
        call.tried.clear()
        return True

    def _follow_redirect(self, call: Call) -> bool:
        """Look again for where a key runs or who is not leaving; costs time, not attempts."""
        now = self._clock.now()
        call.redirected = call.redirected or now
        call.attempts -= 1
        if now >= min(call.deadline, call.redirected + _WAIT_FOR_TARGET):
            return False
        if not call.run.repeatable:
            call.tried.clear()
            time.sleep(_PAUSE / SECOND)
        return True

    def _find_peer(self, call: Call) -> Peer | Refusal | CallerGone:
        """Return a target, waiting a little for one to appear."""
        began = self._clock.now()
        patience = min(call.deadline, began + _WAIT_FOR_TARGET)
        missing = Reason.NO_TARGET
        while True:
            found = self._choose(call)
            if isinstance(found, Peer):
                self._note_wait(call, began, missing, found.instance)
                return found
            missing = found
            if found is Reason.OVERLOADED or self._clock.now() >= patience:
                detail = "no target can take the request now"
                self._note_wait(call, began, found, "")
                return Refusal(Outcome.NOT_RUN, found, detail, _RETRY_AFTER)
            if call.gone():
                return CallerGone()
            if call.tried:
                # Every target has been tried once: they may be tried again.
                call.tried.clear()
            time.sleep(_PAUSE / SECOND)

    def _note_wait(self, call: Call, began: int, missing: Reason, target: str) -> None:
        waited = self._clock.now() - began
        if waited >= _LONG_WAIT:
            _log.info(
                "waited for a target",
                request_id=call.run.request_id,
                service=call.run.service,
                waited=waited,
                missing=missing.value,
                target=target,
            )

    def _choose(self, call: Call) -> Peer | Reason:
        req = RouteRequest(call.run.service, self._domain, frozenset(call.tried))
        if call.run.repeatable:
            return self._peers.choose(req)
        return self._peers.choose_home(req, call.run.key, call.key_slots)

    def _attempt(self, call: Call, peer: Peer, number: int) -> Iterator[Piece]:
        """Make one attempt; a refusal that ends it is the last piece."""
        call.attempts += 1
        attempt = self._begin(call, peer, number, standby=False)
        if attempt is None:
            yield Refusal(Outcome.NOT_RUN, Reason.LINK_LOST, "the link does not stand", 100)
            return
        lines = Lines(attempt, number)
        whole = False
        try:
            for piece in self._receive(call, lines):
                whole = isinstance(piece, End)
                yield piece
        finally:
            lines.finish(whole=whole)

    def _begin(self, call: Call, peer: Peer, number: int, standby: bool) -> Attempt | None:
        call.sent += 1
        call.tried.add(peer.instance)
        remaining = max(0, call.deadline - self._clock.now())
        run = msgspec.structs.replace(
            call.run,
            request=number,
            attempt=call.sent,
            remaining=remaining,
            offset=call.delivered,
            standby=standby,
        )
        return peer.begin(run, call.events)

    def _receive(self, call: Call, lines: Lines) -> Iterator[Piece]:
        while True:
            heard = self._next_event(call, lines)
            if isinstance(heard, Refusal | CallerGone):
                yield heard
                return
            source, event = heard
            if source is not lines.current:
                self._stand_by(lines, source, event)
                continue
            peer = source.peer
            match event:
                case Queued():
                    self._stand_elsewhere(call, lines)
                case Started():
                    lines.drop_others()
                case Head():
                    lines.drop_others()
                    if call.head_sent and event.status != call.status:
                        yield _lost("another target answered otherwise")
                        return
                    if not call.head_sent:
                        call.head_sent, call.status = True, event.status
                        yield event
                case Chunk():
                    call.delivered += 1
                    yield event
                case End():
                    peer.ejection.record_success()
                    yield event
                    return
                case Refused():
                    refusal = self._judge(peer, event)
                    if not lines.go_on_without(source, refusal):
                        yield refusal
                        return
                case Lost():
                    peer.ejection.record_failure()
                    refusal = _lost("the target's process ended")
                    if not lines.go_on_without(source, refusal):
                        yield refusal
                        return

    def _stand_elsewhere(self, call: Call, lines: Lines) -> None:
        """The request has to wait, so it stands in line at further targets too.

        Only what may run twice without harm does: should two targets start it at
        the same moment, one of them has worked for nothing.
        """
        if not call.run.repeatable or call.head_sent:
            return
        for _ in range(_LINES - 1):
            peer = self._choose(call)
            if not isinstance(peer, Peer):
                return
            attempt = self._begin(call, peer, lines.number, standby=True)
            if attempt is not None:
                lines.others.append(attempt)

    def _stand_by(self, lines: Lines, source: Attempt, event: Event) -> None:
        """Take note of what a target says at which the request stands by."""
        if source not in lines.others:
            return
        match event:
            case Ready():
                lines.move_to(source)
            case Refused() | Lost():
                lines.others.remove(source)
                source.peer.finish(source, whole=False)
            case _:
                pass

    def _judge(self, peer: Peer, refused: Refused) -> Refusal:
        refusal = Refusal(
            Outcome(refused.outcome), Reason(refused.reason), refused.detail, refused.retry_after
        )
        if refusal.reason in _BLAMED:
            peer.ejection.record_failure()
        return refusal

    def _next_event(self, call: Call, lines: Lines) -> tuple[Attempt, Event] | Refusal | CallerGone:
        """Return what comes next and from which attempt, or why nothing more will."""
        down_since = 0
        cancelled = False
        patience = _RESUME_REPEATABLE if call.run.repeatable else _RESUME_ONCE
        while True:
            now = self._clock.now()
            timeout = max(1, min(_LOOK, _LOOK if cancelled else call.deadline - now))
            try:
                return call.events.get(timeout=timeout / SECOND)
            except queue.Empty:
                pass
            current = lines.current
            if call.gone():
                return CallerGone()
            now = self._clock.now()
            if now >= call.deadline and not cancelled:
                lines.cancel()
                cancelled = True
            if now >= call.deadline + _CONFIRM:
                detail = "the deadline passed and the target did not say whether it ran"
                return Refusal(Outcome.UNKNOWN, Reason.DEADLINE, detail)
            if current is None or current.peer.connected:
                down_since = 0
            elif not down_since:
                down_since = now
            elif now - down_since > patience:
                current.peer.ejection.record_failure()
                return current, Lost()


def _lost(detail: str) -> Refusal:
    return Refusal(Outcome.UNKNOWN, Reason.LINK_LOST, detail)
