"""Relays a backend's response to the caller."""

from __future__ import annotations

from collections.abc import Generator
from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.backend import BackendAnswer, MayHaveRun
from canvasyoke.direct._call import AnswerHead, AnswerPart, DirectCall, SavedFailure
from canvasyoke.direct._events import EventSplitter, event_id, is_after
from canvasyoke.direct._retries import RetryPolicy
from canvasyoke.direct._roster import Roster
from canvasyoke.transport import ExchangeError

#: Milliseconds past the deadline in which the backend may report its own timeout.
_TIMEOUT_REPORT_GRACE: Final = 40
#: Largest non-streaming response that is buffered, in bytes.
_BUFFER_LIMIT: Final = 8 << 20
_SERVER_ERROR: Final = 500
_STREAM_TYPE: Final = "text/event-stream"


class AnswerRelay:
    """Relays streams event by event and buffers other responses."""

    def __init__(self, roster: Roster, retries: RetryPolicy, clock: Clock) -> None:
        self._roster = roster
        self._retries = retries
        self._clock = clock

    def relay(
        self, call: DirectCall, answer: BackendAnswer
    ) -> Generator[AnswerPart, None, MayHaveRun | None]:
        """Relay a response; return why it is incomplete, or ``None`` if it is complete."""
        is_stream = call.route.is_stream and any(
            name.lower() == "content-type" and _STREAM_TYPE in value
            for name, value in answer.headers
        )
        if is_stream:
            return (yield from self._relay_stream(call, answer))
        if call.delivered:
            return MayHaveRun("the backend did not go on with the stream")
        return (yield from self._relay_buffered(call, answer))

    def _relay_buffered(
        self, call: DirectCall, answer: BackendAnswer
    ) -> Generator[AnswerPart, None, MayHaveRun | None]:
        """Buffer a response, so that the request can be retried if the response is truncated."""
        body = bytearray()
        try:
            for piece in answer.pieces():
                body += piece
                if len(body) > _BUFFER_LIMIT:
                    return MayHaveRun("the answer is too long to collect")
                answer.wait_at_most(self._time_left(call))
        except ExchangeError as exc:
            return MayHaveRun(f"the answer broke off: {exc}", is_connection_lost=not exc.is_timeout)
        head = AnswerHead(answer.status, answer.headers, len(body))
        if answer.status >= _SERVER_ERROR and self._retries.should_retry_failure(call):
            call.saved_failure = SavedFailure(head, bytes(body))
            return MayHaveRun(f"the backend failed with status {answer.status}")
        yield head
        yield bytes(body)
        return None

    def _relay_stream(
        self, call: DirectCall, answer: BackendAnswer
    ) -> Generator[AnswerPart, None, MayHaveRun | None]:
        """Relay complete events as they arrive, skipping those the caller already has."""
        backend = call.backend
        splitter = EventSplitter()
        last_event_at = 0
        try:
            for piece in answer.pieces():
                for event in splitter.feed(piece):
                    now = self._clock.now()
                    if last_event_at:
                        self._roster.record_stream_event(backend, now - last_event_at)
                    else:
                        call.begun_at = now
                        self._roster.record_stream_start(backend, now - call.sent_at)
                    last_event_at = now
                    current_id = event_id(event)
                    if not is_after(current_id, call.last_event):
                        continue
                    if not call.delivered:
                        call.delivered = True
                        yield AnswerHead(answer.status, answer.headers, None)
                    call.last_event = current_id or call.last_event
                    yield event
                if self._retries.should_move(call):
                    call.is_moved = True
                    return MayHaveRun("the backend is too slow for the stream")
                answer.wait_at_most(self._time_left(call))
        except ExchangeError as exc:
            return MayHaveRun(f"the stream broke off: {exc}", is_connection_lost=not exc.is_timeout)
        finally:
            if last_event_at:
                self._roster.record_stream_end(backend)
        if splitter.has_partial_event:
            return MayHaveRun("the stream ended within an event", is_connection_lost=True)
        if not call.delivered:
            yield AnswerHead(answer.status, answer.headers, None)
        return None

    def _time_left(self, call: DirectCall) -> int:
        return call.deadline - self._clock.now() + _TIMEOUT_REPORT_GRACE
