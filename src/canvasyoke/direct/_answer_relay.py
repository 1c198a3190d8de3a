"""Relays a backend's response to the caller."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.backend import BackendAnswer, MayHaveRun
from canvasyoke.direct._call import (
    BEGIN_TIME,
    AnswerHead,
    AnswerPart,
    DirectCall,
    SavedFailure,
)
from canvasyoke.direct._events import EventSplitter, event_id, is_after
from canvasyoke.direct._retries import RetryPolicy
from canvasyoke.direct._roster import Roster
from canvasyoke.state import Endpoint
from canvasyoke.transport import ExchangeError, FailureCause

#: Milliseconds past the deadline in which the backend may report its own timeout.
_TIMEOUT_REPORT_GRACE: Final = 40
#: Largest non-streaming response that is buffered, in bytes.
_BUFFER_LIMIT: Final = 8 << 20
_SERVER_ERROR: Final = 500
_STREAM_TYPE: Final = "text/event-stream"


class AnswerRelay:
    """Relays streams event by event and buffers other responses."""

    def __init__(
        self,
        roster: Roster,
        retries: RetryPolicy,
        has_ended: Callable[[Endpoint], bool],
        on_established: Callable[[DirectCall], None],
        clock: Clock,
    ) -> None:
        self._roster = roster
        self._retries = retries
        #: Returns whether the process of a backend has ended, unplanned.
        self._has_ended = has_ended
        #: Called once a backend has survived the beginning of its response.
        self._on_established = on_established
        self._clock = clock

    def relay(
        self, call: DirectCall, endpoint: Endpoint, answer: BackendAnswer
    ) -> Generator[AnswerPart, None, MayHaveRun | None]:
        """Relay a response; return why it is incomplete, or ``None`` if it is complete."""
        is_stream = call.route.is_stream and any(
            name.lower() == "content-type" and _STREAM_TYPE in value
            for name, value in answer.headers
        )
        answer.wait_at_most(call.deadline - self._clock.now() + _TIMEOUT_REPORT_GRACE)
        if is_stream:
            return (yield from self._relay_stream(call, endpoint, answer))
        if call.delivered:
            return MayHaveRun("the backend did not go on with the stream")
        return (yield from self._relay_buffered(call, endpoint, answer))

    def _is_cut_off(self, endpoint: Endpoint, answer: BackendAnswer) -> bool:
        """Return whether the end of a response may be the end of its backend.

        Without framing, the response of a backend that ends looks complete.
        """
        return not answer.is_framed and self._has_ended(endpoint)

    def _relay_buffered(
        self, call: DirectCall, endpoint: Endpoint, answer: BackendAnswer
    ) -> Generator[AnswerPart, None, MayHaveRun | None]:
        """Buffer a response, so that the request can be retried if the response is truncated."""
        body = bytearray()
        try:
            for piece in answer.pieces():
                body += piece
                if len(body) > _BUFFER_LIMIT:
                    return MayHaveRun("the answer is too long to collect", FailureCause.TOO_LARGE)
        except ExchangeError as exc:
            return MayHaveRun(f"the answer broke off: {exc}", exc.cause)
        if self._is_cut_off(endpoint, answer):
            return MayHaveRun("the backend ended with its answer", FailureCause.CONNECTION_LOST)
        head = AnswerHead(answer.status, answer.headers, _body_length(call, answer, len(body)))
        if answer.status >= _SERVER_ERROR and self._retries.should_retry_failure(call):
            call.saved_failure = SavedFailure(head, bytes(body))
            return MayHaveRun(f"the backend failed with status {answer.status}")
        yield head
        yield bytes(body)
        return None

    def _relay_stream(
        self, call: DirectCall, endpoint: Endpoint, answer: BackendAnswer
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
                    if not call.is_established and now - call.begun_at > BEGIN_TIME:
                        call.is_established = True
                        self._on_established(call)
                    current_id = event_id(event)
                    if not is_after(current_id, call.last_event):
                        continue
                    if not call.delivered:
                        call.delivered = True
                        yield AnswerHead(answer.status, answer.headers, None)
                    call.last_event = current_id or call.last_event
                    yield event
                if splitter.is_event_too_large:
                    detail = "an event of the stream is too large to collect"
                    return MayHaveRun(detail, FailureCause.TOO_LARGE)
                if self._retries.should_move(call):
                    detail = "the backend is too slow for the stream"
                    return MayHaveRun(detail, FailureCause.CANCELLED)
        except ExchangeError as exc:
            return MayHaveRun(f"the stream broke off: {exc}", exc.cause)
        finally:
            if last_event_at:
                self._roster.record_stream_end(backend)
        if splitter.has_partial_event:
            return MayHaveRun("the stream ended within an event", FailureCause.CONNECTION_LOST)
        if not (answer.is_framed or last_event_at):
            return MayHaveRun(
                "the stream ended before its first event", FailureCause.CONNECTION_LOST
            )
        if self._is_cut_off(endpoint, answer):
            return MayHaveRun("the backend ended with its stream", FailureCause.CONNECTION_LOST)
        if not call.delivered:
            yield AnswerHead(answer.status, answer.headers, None)
        return None


def _body_length(call: DirectCall, answer: BackendAnswer, received: int) -> int | None:
    """Return the length to state; that of a response to ``HEAD`` is the one for ``GET``."""
    if call.method != "HEAD":
        return received
    stated = (value for name, value in answer.headers if name.lower() == "content-length")
    return next((int(value) for value in stated if value.isdecimal()), None)
