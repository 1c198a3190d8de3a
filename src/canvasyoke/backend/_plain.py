"""HTTP adapter for plain services, which forwards requests unchanged."""

from __future__ import annotations

import uuid
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.backend._port import (
    BACKENDS,
    AnswerSink,
    Backend,
    CallResult,
    Done,
    Failed,
    Health,
)
from canvasyoke.protocol import KEY_HEADER, REQUEST_ID_HEADER, Outcome, Reason, Refusal, Run
from canvasyoke.transport import BackendPool, CallFailed, HttpFailure, HttpReply

#: Hop-by-hop headers (RFC 9110, 7.6.1) and others that are not forwarded.
_NOT_FORWARDED: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "authorization",
        "expect",
        "date",
        "server",
    }
)
_PROBE_TIMEOUT: Final = 500
_POOL_SIZE: Final = 64
_SERVER_ERROR: Final = 500


def _forwarded_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers that are forwarded."""
    return [(name, value) for name, value in headers if name.lower() not in _NOT_FORWARDED]


@BACKENDS.register("plain-http")
class PlainBackend(Backend):
    """Forwards any method and path and streams the response back."""

    def __init__(self, address: str) -> None:
        self._pool = BackendPool(address, _POOL_SIZE)

    def call(self, run: Run, sink: AnswerSink) -> CallResult:
        """Forward one request and pass its response to ``sink``."""
        run_id = uuid.uuid4().hex
        reply = self._pool.call(
            run.method,
            run.path,
            headers=self._request_headers(run, run_id),
            body=run.body,
            read_timeout=max(1, run.remaining),
        )
        if isinstance(reply, CallFailed):
            return _to_failure(reply)
        try:
            sink.head(reply.status, _forwarded_headers(reply.headers))
            return self._forward_body(reply, sink, run, run_id)
        except OSError as exc:
            refusal = Refusal(Outcome.UNKNOWN, Reason.BACKEND_FAILED, str(exc))
            return Failed(refusal)

    def probe(self) -> Health:
        """Request ``/healthz``; any status below 500 counts as healthy."""
        reply = self._pool.call("GET", "/healthz", read_timeout=_PROBE_TIMEOUT)
        if isinstance(reply, CallFailed):
            return Health(False, reply.detail)
        reply.close()
        return Health(reply.status < _SERVER_ERROR, f"status {reply.status}")

    def _request_headers(self, run: Run, run_id: str) -> dict[str, str]:
        headers = dict(_forwarded_headers(run.headers))
        headers[REQUEST_ID_HEADER] = run.request_id
        headers["X-Organisation"] = run.organisation
        if run.key:
            headers[KEY_HEADER] = run.key
        return headers

    def _forward_body(
        self, reply: HttpReply, sink: AnswerSink, run: Run, run_id: str
    ) -> CallResult:
        for chunk in reply.chunks():
            if sink.cancelled:
                reply.close()
                return cancelled_call()
            if chunk:
                sink.chunk(chunk)
        reply.release()
        return Done()


def cancelled_call() -> Failed:
    """Return the result of a call that was cancelled while it ran."""
    return Failed(Refusal(Outcome.UNKNOWN, Reason.CANCELLED, "cancelled while it ran"))


def _to_failure(failed: CallFailed) -> Failed:
    if failed.failure is HttpFailure.NOT_SENT:
        detail = "the backend takes no connection"
        return Failed(Refusal(Outcome.NOT_RUN, Reason.BACKEND_UNREACHABLE, detail, 1 * SECOND))
    detail = "the backend gave no answer"
    return Failed(Refusal(Outcome.UNKNOWN, Reason.BACKEND_FAILED, detail))
