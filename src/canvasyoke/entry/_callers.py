"""HTTP interface for callers: authenticates and validates requests, and streams responses."""

from __future__ import annotations

import hashlib
import math
import random
import threading
import uuid
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import unquote

from canvasyoke._clock import SECOND, Clock
from canvasyoke.entry._dispatch import AnswerPart, Call, CallerDisconnected, Dispatcher
from canvasyoke.entry._metrics import EntryMetrics
from canvasyoke.observe import part_logger
from canvasyoke.protocol import (
    Chunk,
    End,
    Head,
    HeaderError,
    Outcome,
    Reason,
    Refusal,
    Run,
    new_key,
    parse_call_options,
    refusal_body,
)
from canvasyoke.state import ConfigView, FleetConfig, Organisation, Service
from canvasyoke.transport import RETRY_AFTER, Overloaded, take_body

_log = part_logger("callers")
#: Maximum body size in bytes that the HTTP server reads. Up to it, a body over the limit of its
#: service is refused with a typed error.
MAX_HTTP_BODY: Final = 16 << 20
_BEARER_PREFIX: Final = "bearer "
#: Headers that are not forwarded to targets.
_ENTRY_HEADERS: Final = frozenset({"authorization", "idempotency-key", "x-request-id"})

StartResponse = Callable[..., Any]


class AnswerTruncated(ConnectionError):
    """A partly delivered response cannot be completed.

    Raised into the HTTP server so that it closes the connection without the terminating chunk,
    and the caller detects the truncation.
    """


class CallerApp:
    """WSGI application for callers."""

    def __init__(
        self,
        view: ConfigView,
        dispatcher: Dispatcher,
        clock: Clock,
        rng: random.Random,
        metrics: EntryMetrics,
        streams: int,
        not_ready_reason: Callable[[], str],
    ) -> None:
        self._view = view
        self._dispatcher = dispatcher
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._max_streams = streams
        self._not_ready_reason = not_ready_reason
        self._lock = threading.Lock()
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._in_flight

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Handle one request."""
        path = environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace")
        if path == "/healthz":
            return _send_text(start_response, HTTPStatus.OK, "ok\n")
        if path == "/readyz":
            fault = self._not_ready_reason()
            status = HTTPStatus.SERVICE_UNAVAILABLE if fault else HTTPStatus.OK
            return _send_text(start_response, status, f"{fault or 'ready'}\n")
        with self._lock:
            self._in_flight += 1
        return _AnswerBody(self, environ, start_response, path)

    def release_request(self) -> None:
        """Decrement the number of requests in flight."""
        with self._lock:
            self._in_flight -= 1

    def handle(
        self, environ: dict[str, Any], start_response: StartResponse, path: str
    ) -> Iterator[bytes]:
        """Yield the body of the response to one request."""
        started_at = self._clock.now()
        call = self._build_call(environ, path)
        if isinstance(call, tuple):
            refusal, request_id = call
            yield self._refuse(start_response, refusal, request_id)
            return
        yield from self._stream_answer(call, start_response, started_at)

    def _stream_answer(
        self, call: Call, start_response: StartResponse, started_at: int
    ) -> Iterator[bytes]:
        run = call.run
        last_chunk_at = 0
        for part in self._dispatcher.run(call):
            match part:
                case Head():
                    _send_head(start_response, part, run.request_id)
                case Chunk():
                    now = self._clock.now()
                    if last_chunk_at:
                        self._metrics.time_between_chunks.record(now - last_chunk_at)
                    else:
                        self._metrics.time_to_first_chunk.record(now - started_at)
                    last_chunk_at = now
                    yield part.data
                case _:
                    yield self._finish_answer(call, part, start_response)

    def _finish_answer(self, call: Call, part: AnswerPart, start_response: StartResponse) -> bytes:
        run = call.run
        if isinstance(part, End):
            self._metrics.outcomes.add(Outcome.ANSWERED)
            return b""
        if isinstance(part, CallerDisconnected):
            self._metrics.outcomes.add("caller_gone")
            _log.debug("caller disconnected", request_id=run.request_id)
            return b""
        assert isinstance(part, Refusal)
        if not call.head_sent:
            return self._refuse(start_response, part, run.request_id)
        self._metrics.outcomes.add(part.outcome)
        self._metrics.refusal_reasons.add(part.reason)
        _log.warning("response truncated", request_id=run.request_id, reason=part.reason)
        raise AnswerTruncated(part.detail)

    def _refuse(self, start_response: StartResponse, refusal: Refusal, request_id: str) -> bytes:
        self._metrics.outcomes.add(refusal.outcome)
        self._metrics.refusal_reasons.add(refusal.reason)
        _log.debug("refused", request_id=request_id, reason=refusal.reason)
        body = refusal_body(refusal, request_id)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("X-Request-Id", request_id),
        ]
        if refusal.retry_after:
            headers.append(("Retry-After", str(math.ceil(refusal.retry_after / SECOND))))
        start_response(_status_line(refusal.status), headers)
        return body

    def _build_call(self, environ: dict[str, Any], path: str) -> Call | tuple[Refusal, str]:
        """Return the validated call, or a refusal and the request id."""
        headers = _request_headers(environ)
        request_id = headers.get("x-request-id", "")
        try:
            options = parse_call_options(headers)
        except HeaderError as exc:
            return _not_run_refusal(Reason.MALFORMED, str(exc)), _new_request_id()
        request_id = options.request_id or _new_request_id()
        config = self._view.current
        authorised = self._authorise(config, headers, path)
        if isinstance(authorised, Refusal):
            return authorised, request_id
        organisation, service = authorised
        body = _read_body(environ, service.model.max_body_bytes)
        if body is None:
            limit = service.model.max_body_bytes
            return _not_run_refusal(Reason.BODY_TOO_LARGE, f"at most {limit} bytes"), request_id
        method = environ["REQUEST_METHOD"]
        path_below = _path_below_service(environ)
        route = service.route(method, unquote(path_below.partition("?")[0]))
        wait = options.wait or route.deadline
        priority = options.priority if options.priority >= 0 else service.model.priority
        run = Run(
            request=0,
            attempt=0,
            request_id=request_id,
            organisation=organisation.name,
            service=service.name,
            method=method,
            path=path_below,
            headers=_forwarded_headers(environ),
            body=body,
            remaining=wait,
            priority=max(priority, organisation.model.priority),
            repeatable=route.repeatable,
            key=options.key or ("" if route.repeatable else self._generate_key()),
        )
        is_disconnected = environ.get("waitress.client_disconnected", lambda: False)
        return Call(
            run=run,
            deadline=self._clock.now() + wait,
            key_slots=service.model.key_slots,
            resumable=service.model.kind == "model",
            is_disconnected=is_disconnected,
            renew_key=None if options.key or route.repeatable else self._generate_key,
        )

    def _generate_key(self) -> str:
        return new_key(self._clock.wall(), self._rng)

    def _authorise(
        self, config: FleetConfig, headers: dict[str, str], path: str
    ) -> tuple[Organisation, Service] | Refusal:
        if not config.generation:
            detail = "no configuration is known yet"
            return Refusal(Outcome.NOT_RUN, Reason.NO_CONFIGURATION, detail, 1 * SECOND)
        credentials = headers.get("authorization", "")
        token = credentials[len(_BEARER_PREFIX) :].strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        organisation = config.tokens.get(digest)
        if not credentials.lower().startswith(_BEARER_PREFIX) or organisation is None:
            return _not_run_refusal(
                Reason.UNAUTHENTICATED, "the bearer token is missing or not known"
            )
        service = config.services.get(path.lstrip("/").split("/", 1)[0])
        if service is None:
            return _not_run_refusal(Reason.UNKNOWN_SERVICE, "there is no such service")
        if not organisation.may_call(service.name):
            return _not_run_refusal(Reason.FORBIDDEN, "the organisation may not call this service")
        if self._in_flight > self._max_streams:
            detail = "the entry holds as many requests as it may"
            return Refusal(Outcome.NOT_RUN, Reason.OVERLOADED, detail, 1 * SECOND)
        return organisation, service


class _AnswerBody:
    """Response body that releases its request when the server closes it."""

    def __init__(
        self,
        application: CallerApp,
        environ: dict[str, Any],
        start_response: StartResponse,
        path: str,
    ) -> None:
        self._application = application
        self._chunks = application.handle(environ, start_response, path)

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Release the request, whether or not the body was read completely."""
        self._chunks.close()  # type: ignore[attr-defined]
        self._application.release_request()


def _not_run_refusal(reason: Reason, detail: str) -> Refusal:
    return Refusal(Outcome.NOT_RUN, reason, detail)


def overload_error() -> Overloaded:
    """Return the refusal of a request for which there is no memory."""
    detail = "the entry has no memory for the request"
    refusal = Refusal(Outcome.NOT_RUN, Reason.OVERLOADED, detail, RETRY_AFTER)
    return Overloaded(refusal_body(refusal, _new_request_id()), "application/json")


def _new_request_id() -> str:
    return uuid.uuid4().hex


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Refused"


def _send_text(start_response: StartResponse, status: HTTPStatus, text: str) -> list[bytes]:
    body = text.encode()
    headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
    start_response(f"{status.value} {status.phrase}", headers)
    return [body]


def _send_head(start_response: StartResponse, head: Head, request_id: str) -> None:
    replaced = {"x-request-id"}
    headers = [(n, v) for n, v in head.headers if n.lower() not in replaced]
    start_response(_status_line(head.status), [*headers, ("X-Request-Id", request_id)])


def _request_headers(environ: dict[str, Any]) -> dict[str, str]:
    """Return the headers of the request by lower-case name."""
    return {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }


def _forwarded_headers(environ: dict[str, Any]) -> list[tuple[str, str]]:
    headers = [
        (name.title(), value)
        for name, value in _request_headers(environ).items()
        if name not in _ENTRY_HEADERS
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    return headers


def _read_body(environ: dict[str, Any], limit: int) -> bytes | None:
    """Return the body of the request; ``None`` if it exceeds ``limit`` bytes."""
    if int(environ.get("CONTENT_LENGTH") or 0) > limit:
        return None
    body = take_body(environ)
    return body if len(body) <= limit else None


def _path_below_service(environ: dict[str, Any]) -> str:
    """Return the path below the service, still percent-encoded, with the query string."""
    target = str(environ["REQUEST_URI"])
    if not target.startswith("/"):  # absolute-form, as sent to proxies
        target = "/" + target.split("://", 1)[-1].partition("/")[2]
    _, slash, rest = target[1:].partition("/")
    return f"/{rest}" if slash else "/"
