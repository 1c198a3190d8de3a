"""The head of a caller's request as the platform's pages describe it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from canvasyoke.direct import CALLER_PORTS, CallerPort, CallerRequest, MalformedRequest

_REQUEST_ID: Final = "attempt-id"
#: Milliseconds that the caller will wait from now on, not a time of day.
_PATIENCE: Final = "request-deadline"
_RESUME_AFTER: Final = "last-event-id"
_BEARER: Final = "bearer "
#: Headers that concern one connection, or that the load balancer sets itself.
_NOT_PASSED_ON: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "te",
        "trailer",
        "upgrade",
        "expect",
        "proxy-authorization",
        "proxy-connection",
        "authorization",
        "attempt-id",
        "request-deadline",
        "last-event-id",
        "expect-instance",
        "expect-version",
        "tenant",
        "priority",
    }
)


@CALLER_PORTS.register("objects")
class ObjectsCallerPort(CallerPort):
    """Decodes the platform's request headers."""

    def decode(
        self, method: str, target: str, headers: Mapping[str, str]
    ) -> CallerRequest | MalformedRequest:
        """Return the request that a head asks for."""
        request_id = headers.get(_REQUEST_ID, "")
        if not request_id:
            return MalformedRequest("the request has no id")
        if not target.isascii() or not target.startswith("/"):
            return MalformedRequest("the path is not one", request_id)
        patience = headers.get(_PATIENCE, "0")
        if not patience.isdigit():
            return MalformedRequest("the time limit is not a number", request_id)
        credentials = headers.get("authorization", "")
        is_bearer = credentials.lower().startswith(_BEARER)
        return CallerRequest(
            request_id=request_id,
            method=method,
            host=headers.get("host", "").rsplit(":", 1)[0],
            target=target,
            timeout=int(patience),
            api_key=credentials[len(_BEARER) :].strip() if is_bearer else "",
            resume_after=headers.get(_RESUME_AFTER, ""),
            headers=tuple((n.title(), v) for n, v in headers.items() if n not in _NOT_PASSED_ON),
        )
