"""A plain service over HTTP: the request is passed on as it came."""

from __future__ import annotations

import uuid
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.backend._port import (
    BACKENDS,
    AnswerSink,
    Backend,
    CallEnd,
    Done,
    Failed,
    Health,
)
from canvasyoke.protocol import KEY_HEADER, REQUEST_ID_HEADER, Outcome, Reason, Refusal, Run
from canvasyoke.transport import BackendPool, CallFailed, HttpFailure, HttpReply

#: Headers that concern one connection and are not passed on (RFC 9110, 7.6.1).
HOP_HEADERS: Final = frozenset(
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
_CONNECTIONS: Final = 64
_SERVER_ERROR: Final = 500


def pass_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers that travel from end to end."""
    return [(name, value) for name, value in headers if name.lower() not in HOP_HEADERS]


@BACKENDS.register("plain-http")
class PlainBackend(Backend):
    """Passes any method and path on and streams the answer back."""

    def __init__(self, address: str) -> None:
        self._pool = BackendPool(address, _CONNECTIONS)

    def call(self, run: Run, sink: AnswerSink) -> CallEnd:
        """Run one request."""
        run_id = uuid.uuid4().hex
        reply = self._pool.call(
            run.method,
            run.path,
            headers=self._request_headers(run, run_id),
            body=run.body,
            read_timeout=max(1, run.remaining),
        )
        if isinstance(reply, CallFailed):
            return _failed_call(reply)
        try:
            sink.head(reply.status, pass_headers(reply.headers))
            return self._pass_body(reply, sink, run, run_id)
        except OSError as exc:
            refusal = Refusal(Outcome.UNKNOWN, Reason.BACKEND_FAILED, str(exc))
            return Failed(refusal)

    def probe(self) -> Health:
        """Ask for ``/healthz``; any answer below 500 will do."""
        reply = self._pool.call("GET", "/healthz", read_timeout=_PROBE_TIMEOUT)
        if isinstance(reply, CallFailed):
            return Health(False, reply.detail)
        reply.close()
        return Health(reply.status < _SERVER_ERROR, f"status {reply.status}")

    def _request_headers(self, run: Run, run_id: str) -> dict[str, str]:
        headers = dict(pass_headers(run.headers))
        headers[REQUEST_ID_HEADER] = run.request_id
        headers["X-Organisation"] = run.organisation
        if run.key:
            headers[KEY_HEADER] = run.key
        return headers

    def _pass_body(self, reply: HttpReply, sink: AnswerSink, run: Run, run_id: str) -> CallEnd:
        for chunk in reply.chunks():
            if sink.cancelled:
                reply.close()
                return cancelled()
            if chunk:
                sink.chunk(chunk)
        reply.release()
        return Done()


def cancelled() -> Failed:
    """Return the end of a call that nobody waits for any more."""
    return Failed(Refusal(Outcome.UNKNOWN, Reason.CANCELLED, "cancelled while it ran"))


def _failed_call(failed: CallFailed) -> Failed:
    if failed.failure is HttpFailure.NOT_SENT:
        detail = "the backend takes no connection"
        return Failed(Refusal(Outcome.NOT_RUN, Reason.BACKEND_UNREACHABLE, detail, 1 * SECOND))
    detail = "the backend gave no answer"
    return Failed(Refusal(Outcome.UNKNOWN, Reason.BACKEND_FAILED, detail))
