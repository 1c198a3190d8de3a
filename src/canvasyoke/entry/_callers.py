"""The callers' side of an entry: authenticates, checks, and streams answers."""

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
from canvasyoke.entry._dispatch import Call, CallerGone, Dispatcher, Piece
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

_log = part_logger("callers")
#: Bodies up to this size are read before they are refused with a typed answer.
HTTP_BODY_LIMIT: Final = 16 << 20
_BEARER: Final = "bearer "
#: Headers that are for the entry alone.
_OWN_HEADERS: Final = frozenset({"authorization", "idempotency-key", "x-request-id"})

StartResponse = Callable[..., Any]


class AnswerBroken(ConnectionError):
    """Ends the connection to a caller whose answer cannot be completed.

    Raised into the HTTP server so that it does not write the terminator: the
    caller's library then sees a truncated answer, never a short whole one.
    """


class CallerApplication:
    """The WSGI application for callers."""

    def __init__(
        self,
        view: ConfigView,
        dispatcher: Dispatcher,
        clock: Clock,
        rng: random.Random,
        metrics: EntryMetrics,
        streams: int,
        ready: Callable[[], str],
    ) -> None:
        self._view = view
        self._dispatcher = dispatcher
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._streams = streams
        self._ready = ready
        self._lock = threading.Lock()
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Return the requests held now."""
        return self._in_flight

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace")
        if path == "/healthz":
            return _plain(start, HTTPStatus.OK, "ok\n")
        if path == "/readyz":
            fault = self._ready()
            status = HTTPStatus.SERVICE_UNAVAILABLE if fault else HTTPStatus.OK
            return _plain(start, status, f"{fault or 'ready'}\n")
        with self._lock:
            self._in_flight += 1
        return _Answer(self, environ, start, path)

    def leave(self) -> None:
        """Note that one request is done with."""
        with self._lock:
            self._in_flight -= 1

    def answer(self, environ: dict[str, Any], start: StartResponse, path: str) -> Iterator[bytes]:
        """Yield the body of one answer."""
        began = self._clock.now()
        call = self._check(environ, path)
        if isinstance(call, tuple):
            refusal, request_id = call
            yield self._refuse(start, refusal, request_id)
            return
        yield from self._relay(call, start, began)

    def _relay(self, call: Call, start: StartResponse, began: int) -> Iterator[bytes]:
        run = call.run
        last = 0
        for piece in self._dispatcher.run(call):
            match piece:
                case Head():
                    _start_answer(start, piece, run.request_id)
                case Chunk():
                    now = self._clock.now()
                    if last:
                        self._metrics.between.record(now - last)
                    else:
                        self._metrics.first.record(now - began)
                    last = now
                    yield piece.data
                case _:
                    yield self._close(call, piece, start)

    def _close(self, call: Call, piece: Piece, start: StartResponse) -> bytes:
        run = call.run
        if isinstance(piece, End):
            self._metrics.outcomes.add(Outcome.ANSWERED)
            return b""
        if isinstance(piece, CallerGone):
            self._metrics.outcomes.add("caller_gone")
            _log.debug("caller has gone", request_id=run.request_id)
            return b""
        assert isinstance(piece, Refusal)
        if not call.head_sent:
            return self._refuse(start, piece, run.request_id)
        self._metrics.outcomes.add(piece.outcome)
        self._metrics.reasons.add(piece.reason)
        _log.warning("answer broke off", request_id=run.request_id, reason=piece.reason)
        raise AnswerBroken(piece.detail)

    def _refuse(self, start: StartResponse, refusal: Refusal, request_id: str) -> bytes:
        self._metrics.outcomes.add(refusal.outcome)
        self._metrics.reasons.add(refusal.reason)
        _log.debug("refused", request_id=request_id, reason=refusal.reason)
        body = refusal_body(refusal, request_id)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("X-Request-Id", request_id),
        ]
        if refusal.retry_after:
            headers.append(("Retry-After", str(math.ceil(refusal.retry_after / SECOND))))
        start(_status_line(refusal.status), headers)
        return body

    def _check(self, environ: dict[str, Any], path: str) -> Call | tuple[Refusal, str]:
        """Return the call that a request asks for, or why it is refused."""
        headers = _headers(environ)
        request_id = headers.get("x-request-id", "")
        try:
            options = parse_call_options(headers)
        except HeaderError as exc:
            return _not_run(Reason.MALFORMED, str(exc)), _new_request_id()
        request_id = options.request_id or _new_request_id()
        config = self._view.current
        found = self._authorise(config, headers, path)
        if isinstance(found, Refusal):
            return found, request_id
        organisation, service = found
        body = _read_body(environ, service.model.max_body_bytes)
        if body is None:
            limit = service.model.max_body_bytes
            return _not_run(Reason.BODY_TOO_LARGE, f"at most {limit} bytes"), request_id
        method = environ["REQUEST_METHOD"]
        below = _below(environ)
        route = service.route(method, unquote(below.partition("?")[0]))
        wait = options.wait or route.deadline
        asked = options.priority if options.priority >= 0 else service.model.priority
        run = Run(
            request=0,
            attempt=0,
            request_id=request_id,
            organisation=organisation.name,
            service=service.name,
            method=method,
            path=below,
            headers=_passed_headers(environ),
            body=body,
            remaining=wait,
            priority=max(asked, organisation.model.priority),
            repeatable=route.repeatable,
            key=options.key or ("" if route.repeatable else self._mint_key()),
        )
        gone = environ.get("waitress.client_disconnected", lambda: False)
        return Call(
            run=run,
            deadline=self._clock.now() + wait,
            key_slots=service.model.key_slots,
            resumable=service.model.kind == "model",
            gone=gone,
            renew_key=None if options.key or route.repeatable else self._mint_key,
        )

    def _mint_key(self) -> str:
        return new_key(self._clock.wall(), self._rng)

    def _authorise(
        self, config: FleetConfig, headers: dict[str, str], path: str
    ) -> tuple[Organisation, Service] | Refusal:
        if not config.generation:
            detail = "no configuration is known yet"
            return Refusal(Outcome.NOT_RUN, Reason.NO_CONFIGURATION, detail, 1 * SECOND)
        credentials = headers.get("authorization", "")
        token = credentials[len(_BEARER) :].strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        organisation = config.tokens.get(digest)
        if not credentials.lower().startswith(_BEARER) or organisation is None:
            return _not_run(Reason.UNAUTHENTICATED, "the bearer token is missing or not known")
        service = config.services.get(path.lstrip("/").split("/", 1)[0])
        if service is None:
            return _not_run(Reason.UNKNOWN_SERVICE, "there is no such service")
        if not organisation.may_call(service.name):
            return _not_run(Reason.FORBIDDEN, "the organisation may not call this service")
        if self._in_flight > self._streams:
            detail = "the entry holds as many requests as it may"
            return Refusal(Outcome.NOT_RUN, Reason.OVERLOADED, detail, 1 * SECOND)
        return organisation, service


class _Answer:
    """The body of one answer; tells the application when it is done with."""

    def __init__(
        self,
        application: CallerApplication,
        environ: dict[str, Any],
        start: StartResponse,
        path: str,
    ) -> None:
        self._application = application
        self._pieces = application.answer(environ, start, path)

    def __iter__(self) -> Iterator[bytes]:
        return self._pieces

    def close(self) -> None:
        """End the request, whether or not it was read to its end."""
        self._pieces.close()  # type: ignore[attr-defined]
        self._application.leave()


def _not_run(reason: Reason, detail: str) -> Refusal:
    return Refusal(Outcome.NOT_RUN, reason, detail)


def _new_request_id() -> str:
    return uuid.uuid4().hex


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Refused"


def _plain(start: StartResponse, status: HTTPStatus, text: str) -> list[bytes]:
    body = text.encode()
    headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
    start(f"{status.value} {status.phrase}", headers)
    return [body]


def _start_answer(start: StartResponse, head: Head, request_id: str) -> None:
    own = {"x-request-id"}
    headers = [(n, v) for n, v in head.headers if n.lower() not in own]
    start(_status_line(head.status), [*headers, ("X-Request-Id", request_id)])


def _headers(environ: dict[str, Any]) -> dict[str, str]:
    """Return the request's headers by lower-case name."""
    return {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }


def _passed_headers(environ: dict[str, Any]) -> list[tuple[str, str]]:
    headers = [
        (name.title(), value)
        for name, value in _headers(environ).items()
        if name not in _OWN_HEADERS
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    return headers


def _read_body(environ: dict[str, Any], limit: int) -> bytes | None:
    """Return the request's body; ``None`` when it is over ``limit`` bytes."""
    if int(environ.get("CONTENT_LENGTH") or 0) > limit:
        return None
    body: bytes = environ["wsgi.input"].read(limit + 1)
    return body if len(body) <= limit else None


def _below(environ: dict[str, Any]) -> str:
    """Return the path below the service as the caller wrote it, with the query string."""
    target = str(environ["REQUEST_URI"])
    if not target.startswith("/"):  # the absolute form that proxies are sent
        target = "/" + target.split("://", 1)[-1].partition("/")[2]
    _, slash, rest = target[1:].partition("/")
    return f"/{rest}" if slash else "/"
