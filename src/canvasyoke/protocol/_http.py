"""Headers that callers may send and the body of a refusal.

Names that exist are used: ``Idempotency-Key`` (IETF httpapi draft), ``Priority``
(RFC 9218, ``u=0`` to ``u=7``) and ``Prefer: wait=SECONDS`` (RFC 7240) for the time
the caller will wait.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import msgspec

from canvasyoke.protocol._key import MalformedKeyError, key_time
from canvasyoke.protocol._outcome import Refusal

#: Header with the key of a request that must not run twice.
KEY_HEADER: Final = "Idempotency-Key"
#: Header with the urgency of a request.
PRIORITY_HEADER: Final = "Priority"
#: Header with the time a caller will wait.
DEADLINE_HEADER: Final = "Prefer"
#: Header with an id for the logs, chosen by the caller or by the entry.
REQUEST_ID_HEADER: Final = "X-Request-Id"

_WAIT = re.compile(r"(?:^|[,;])\s*wait=([0-9]{1,5}(?:\.[0-9]{1,3})?)\s*(?=$|[,;])")
_URGENCY = re.compile(r"(?:^|,)\s*u=([0-7])\s*(?=$|,)")
_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")


class HeaderError(ValueError):
    """A header that cannot be understood."""


@dataclass(frozen=True, slots=True)
class CallOptions:
    """What a caller asks of one request, beside the request itself."""

    #: Milliseconds the caller will wait; 0 when it did not say.
    wait: int
    #: Urgency from 0 (first) to 7 (last); -1 when it did not say.
    priority: int
    #: Key of a request that must not run twice; empty when there is none.
    key: str
    #: Milliseconds since 1970 in the key; 0 without a key.
    key_time: int
    #: Id for the logs; empty when the caller chose none.
    request_id: str


def parse_call_options(headers: Mapping[str, str]) -> CallOptions:
    """Return the options in ``headers`` (lower-case names) or raise :class:`HeaderError`."""
    key = headers.get(KEY_HEADER.lower(), "").strip().strip('"')
    return CallOptions(
        wait=_parse_wait(headers.get(DEADLINE_HEADER.lower(), "")),
        priority=_parse_priority(headers.get(PRIORITY_HEADER.lower(), "")),
        key=key,
        key_time=_parse_key_time(key),
        request_id=_parse_request_id(headers.get(REQUEST_ID_HEADER.lower(), "")),
    )


def _parse_wait(text: str) -> int:
    if "wait" not in text:
        return 0
    match = _WAIT.search(text)
    if match is None:
        raise HeaderError("Prefer: wait takes seconds, for example wait=2.5")
    return max(1, round(float(match.group(1)) * 1_000))


def _parse_priority(text: str) -> int:
    if not text:
        return -1
    match = _URGENCY.search(text)
    if match is None:
        raise HeaderError("Priority takes an urgency from u=0 to u=7")
    return int(match.group(1))


def _parse_key_time(key: str) -> int:
    if not key:
        return 0
    try:
        return key_time(key)
    except MalformedKeyError as exc:
        raise HeaderError(f"{KEY_HEADER}: {exc}") from None


def _parse_request_id(text: str) -> str:
    if text and _REQUEST_ID.fullmatch(text) is None:
        raise HeaderError(f"{REQUEST_ID_HEADER} takes 1 to 128 letters, digits and ._:-")
    return text


class _RefusalBody(msgspec.Struct, frozen=True):
    outcome: str
    reason: str
    detail: str
    request_id: str
    retry_after_ms: int


def refusal_body(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON that tells a caller of ``refusal``."""
    body = _RefusalBody(
        outcome=refusal.outcome,
        reason=refusal.reason,
        detail=refusal.detail,
        request_id=request_id,
        retry_after_ms=refusal.retry_after,
    )
    return msgspec.json.encode(body) + b"\n"
