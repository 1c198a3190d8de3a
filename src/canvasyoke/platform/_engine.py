"""HTTP requests to engines and plain services with the platform's headers."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from canvasyoke.backend import (
    DIRECT_BACKENDS,
    BackendAnswer,
    BackendNotice,
    DirectBackendPort,
    GroupReport,
    MayHaveRun,
    NotRun,
    NotRunCause,
    OutboundRequest,
    SendResult,
)
from canvasyoke.experts import RankReport, RankUnreachable
from canvasyoke.platform._notices import LEAVING_HEADER, LIMIT_HEADER, LOAD_HEADER, read_notice
from canvasyoke.platform._ranks import ObjectsRankPort
from canvasyoke.state import Endpoint
from canvasyoke.transport import (
    Exchange,
    ExchangeHandle,
    NoResponse,
    NotConnected,
    Withdrawn,
    exchange,
)

_REQUEST_ID: Final = "Attempt-Id"
_TIME_LEFT: Final = "Request-Deadline"
_EXPECTED_BACKEND: Final = "Expect-Instance"
_ORGANISATION: Final = "Tenant"
_PRIORITY: Final = "Priority"
_RESUME_AFTER: Final = "Last-Event-Id"
#: Proves that the backend itself produced a response.
_SEAL: Final = "Response-Seal"
#: Present only if the request was not executed.
_NOT_EXECUTED: Final = "Not-Executed"
_FAULTY_BACKEND: Final = "At-Server"
_MISDIRECTED: Final = 421
_TOO_MANY: Final = 429
_UNAVAILABLE: Final = 503
_SUCCESS: Final = range(200, 300)
#: Largest value of the priority header; 0 is the most urgent.
_LOWEST_PRIORITY: Final = 9
#: Response headers that are not forwarded to the caller: hop-by-hop headers and those meant
#: for the load balancer.
_NOT_FORWARDED: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "proxy-authenticate",
        "proxy-connection",
        LOAD_HEADER.lower(),
        LEAVING_HEADER.lower(),
        LIMIT_HEADER.lower(),
        "instance-id",
        "at-server",
        "date",
        "server",
    }
)


class _EngineAnswer(BackendAnswer):
    """A response of the backend itself: a sealed success, or a failure."""

    def __init__(self, exchange_: Exchange, notice: BackendNotice) -> None:
        self.status = exchange_.status
        self.headers = [h for h in exchange_.headers if h[0].lower() not in _NOT_FORWARDED]
        self.notice = notice
        self.is_framed = exchange_.is_framed
        self._exchange = exchange_

    def pieces(self) -> Iterator[bytes]:
        """Yield the body."""
        return self._exchange.chunks()

    def wait_at_most(self, duration: int) -> None:
        """Limit the rest of the body to ``duration`` milliseconds."""
        self._exchange.limit_time(duration)

    def close(self) -> None:
        """Close the connection."""
        self._exchange.close()


@DIRECT_BACKENDS.register("objects")
class ObjectsBackendPort(DirectBackendPort):
    """Sends requests over HTTP with the platform's headers."""

    def send(
        self,
        endpoint: Endpoint,
        request: OutboundRequest,
        connect_timeout: int,
        slot: ExchangeHandle,
    ) -> SendResult:
        """Send ``request`` to ``endpoint`` and classify its response."""
        sent = exchange(
            endpoint.address,
            request.method,
            request.target,
            _headers(endpoint, request),
            request.body,
            connect_timeout=connect_timeout,
            read_timeout=request.time_left,
            handle=slot,
        )
        if isinstance(sent, NotConnected):
            return NotRun(NotRunCause.UNREACHABLE, sent.detail, is_port_closed=sent.is_refused)
        if isinstance(sent, Withdrawn):
            return NotRun(NotRunCause.WITHDRAWN, sent.detail)
        if isinstance(sent, NoResponse):
            return MayHaveRun(sent.detail, sent.cause)
        return _classify_answer(sent, request.request_id)

    def slowdown_of(self, endpoint: Endpoint) -> float | None:
        """Request the engine's report; a plain service has none."""
        report = ObjectsRankPort(endpoint.address).report()
        return report.slowdown if isinstance(report, RankReport) else None

    def group_of(self, endpoint: Endpoint) -> str | None:
        """Request the engine's report; a plain service has neither a report nor a group."""
        report = ObjectsRankPort(endpoint.address).report()
        if isinstance(report, RankUnreachable):
            return None
        return report.group if report is not None else ""

    def group_report(self, endpoint: Endpoint) -> GroupReport | None:
        """Request the engine's report."""
        report = ObjectsRankPort(endpoint.address).report()
        if not isinstance(report, RankReport):
            return None
        return GroupReport(report.group, report.epoch, report.is_open)


def _headers(endpoint: Endpoint, request: OutboundRequest) -> list[tuple[str, str]]:
    headers = [
        *request.headers,
        (_REQUEST_ID, request.request_id),
        (_TIME_LEFT, str(request.time_left)),
        (_EXPECTED_BACKEND, endpoint.id),
        (_PRIORITY, str(min(_LOWEST_PRIORITY, max(0, request.priority)))),
    ]
    if request.organisation:
        headers.append((_ORGANISATION, request.organisation))
    if request.resume_after:
        headers.append((_RESUME_AFTER, request.resume_after))
    return headers


def _classify_answer(answer: Exchange, request_id: str) -> SendResult:
    """Distinguish a response from a refusal and from a response to something else."""
    notice = read_notice(answer.header, answer.status)
    refused = _read_refusal(answer, notice)
    if refused is not None:
        answer.close()
        return refused
    fault = _find_mismatch(answer, request_id)
    if fault:
        answer.close()
        return MayHaveRun(fault, notice=notice)
    return _EngineAnswer(answer, notice)


def _read_refusal(answer: Exchange, notice: BackendNotice) -> NotRun | None:
    status = answer.status
    faulty_backend = answer.header(_FAULTY_BACKEND) or ""
    if status == _MISDIRECTED:
        # The notice is left out: it describes another run than the one that was called.
        return NotRun(NotRunCause.MOVED, "another run has the address", faulty_backend)
    if answer.header(_NOT_EXECUTED) is None or status in _SUCCESS:
        return None
    full = status in (_TOO_MANY, _UNAVAILABLE)
    cause = NotRunCause.FULL if full else NotRunCause.REJECTED
    return NotRun(cause, f"refused with status {status}", faulty_backend, notice)


def _find_mismatch(answer: Exchange, request_id: str) -> str:
    """Return why a response cannot belong to this request; empty if it can."""
    echoed = answer.header(_REQUEST_ID)
    if echoed is not None and echoed != request_id:
        return "the answer is to another request"
    if answer.status not in _SUCCESS:
        return ""
    if answer.header(_SEAL) is None:
        return "a success without the backend's seal"
    if answer.header("Content-Encoding") is not None:
        return "the body is encoded, so it is not the backend's"
    return ""
