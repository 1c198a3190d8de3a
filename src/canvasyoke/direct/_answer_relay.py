"""Passes a backend's answer on to the caller, piece by piece."""

from __future__ import annotations

from collections.abc import Generator
from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.backend import BackendAnswer, MayHaveRun
from canvasyoke.direct._call import AnswerHead, DirectCall, KeptAnswer, Piece
from canvasyoke.direct._events import EventCutter, event_id, is_after
from canvasyoke.direct._retries import Retries
from canvasyoke.direct._roster import Roster
from canvasyoke.transport import ExchangeError

#: Milliseconds past the deadline for the backend's own word that time ran out.
_BACKEND_GRACE: Final = 40
#: Largest answer, other than a stream, that is collected before it is passed on.
_WHOLE_LIMIT: Final = 8 << 20
_SERVER_ERROR: Final = 500
_STREAM_TYPE: Final = "text/event-stream"


class AnswerRelay:
    """Streams go on event by event; what is short is collected first."""

    def __init__(self, roster: Roster, retries: Retries, clock: Clock) -> None:
        self._roster = roster
        self._retries = retries
        self._clock = clock

    def relay(
        self, call: DirectCall, answer: BackendAnswer
    ) -> Generator[Piece, None, MayHaveRun | None]:
        """Pass an answer on; return why it is not whole, or ``None`` when it is."""
        is_stream = call.route.is_stream and any(
            name.lower() == "content-type" and _STREAM_TYPE in value
            for name, value in answer.headers
        )
        if is_stream:
            return (yield from self._relay_stream(call, answer))
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
        if answer.status >= _SERVER_ERROR and self._retries.is_worth(call):
            call.kept = KeptAnswer(head, bytes(body))
            return MayHaveRun(f"the backend failed with status {answer.status}")
        yield head
        yield bytes(body)
        return None

    def _relay_stream(
        self, call: DirectCall, answer: BackendAnswer
    ) -> Generator[Piece, None, MayHaveRun | None]:
        """Pass on whole events as they come."""
        backend = call.backend
        cutter = EventCutter()
        heard_at = 0
        try:
            for piece in answer.pieces():
                for event in cutter.feed(piece):
                    now = self._clock.now()
                    if heard_at:
                        self._roster.record_stream_event(backend, now - heard_at)
                    else:
                        call.has_begun = True
                        self._roster.record_stream_start(backend, now - call.sent_at)
                    heard_at = now
                    number = event_id(event)
                    if not is_after(number, call.last_event):
                        continue
                    if not call.delivered:
                        call.delivered = True
                        yield AnswerHead(answer.status, answer.headers, None)
                    call.last_event = number or call.last_event
                    yield event
                if self._retries.should_move(call):
                    call.is_moved = True
                    return MayHaveRun("the backend is too slow for the stream")
                answer.wait_at_most(self._time_left(call))
        except ExchangeError as exc:
            return MayHaveRun(f"the stream broke off: {exc}", is_broken=not exc.is_late)
        finally:
            if heard_at:
                self._roster.record_stream_end(backend)
        if cutter.has_rest:
            return MayHaveRun("the stream ended within an event", is_broken=True)
        if not call.delivered:
            yield AnswerHead(answer.status, answer.headers, None)
        return None

    def _time_left(self, call: DirectCall) -> int:
        return call.deadline - self._clock.now() + _BACKEND_GRACE
