"""Decodes the line and headers of a caller's request."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Final

from canvasyoke.direct import CALLER_PORTS, CallerPort, CallerRequest, MalformedRequest

_REQUEST_ID: Final = "attempt-id"
#: Milliseconds that the caller waits from now on; not a time of day.
_DEADLINE: Final = "request-deadline"
_RESUME_AFTER: Final = "last-event-id"
_BEARER_PREFIX: Final = "bearer "
#: Segments of the prompt in order, as ``ID:TOKENS`` separated by commas; ids are hexadecimal.
_SEGMENTS: Final = "prompt-prefix"
_SEGMENT_ID: Final = re.compile(r"[0-9a-fA-F]{1,32}")
#: Maximum number of segments that are read, which bounds what is remembered for a request.
_MAX_SEGMENTS: Final = 32
#: Hop-by-hop headers, and headers that the load balancer reads or sets itself.
_NOT_FORWARDED: Final = frozenset(
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
        """Return the decoded request, or why it is malformed."""
        request_id = headers.get(_REQUEST_ID, "")
        if not request_id:
            return MalformedRequest("the request has no id")
        if not target.isascii() or not target.startswith("/"):
            return MalformedRequest("the path is not one", request_id)
        patience = headers.get(_DEADLINE, "0")
        if not patience.isdigit():
            return MalformedRequest("the time limit is not a number", request_id)
        credentials = headers.get("authorization", "")
        is_bearer = credentials.lower().startswith(_BEARER_PREFIX)
        return CallerRequest(
            request_id=request_id,
            method=method,
            host=headers.get("host", "").rsplit(":", 1)[0],
            target=target,
            timeout=int(patience),
            api_key=credentials[len(_BEARER_PREFIX) :].strip() if is_bearer else "",
            resume_after=headers.get(_RESUME_AFTER, ""),
            shared_segments=_shared_segments(headers.get(_SEGMENTS, "")),
            headers=tuple((n.title(), v) for n, v in headers.items() if n not in _NOT_FORWARDED),
        )


def _shared_segments(value: str) -> tuple[str, ...]:
    """Return the ids of all segments but the last; unreadable ones are left out.

    The header is forwarded as it is, so that an unreadable one is for the backend to reject.
    """
    ids = (item.partition(":")[0].strip() for item in value.split(",", _MAX_SEGMENTS)[:-1])
    return tuple(dict.fromkeys(each for each in ids if _SEGMENT_ID.fullmatch(each)))
