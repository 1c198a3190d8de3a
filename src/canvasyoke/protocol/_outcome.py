"""Outcomes of a request: answered, not run, or unknown.

Callers may retry a request that was not run at once, but must not retry a non-repeatable
request whose outcome is unknown.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Final


class Outcome(enum.StrEnum):
    """Whether a request has run."""

    #: The complete response was delivered.
    ANSWERED = "answered"
    #: The request has not run and will not run.
    NOT_RUN = "not_run"
    #: The request may have run, completely or partially.
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request was refused, as documented in docs/REFUSALS.md."""

    MALFORMED = "malformed"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    BODY_TOO_LARGE = "body_too_large"
    NO_CONFIGURATION = "no_configuration"
    NO_TARGET = "no_target"
    OVERLOADED = "overloaded"
    OVER_LIMIT = "over_limit"
    DEADLINE = "deadline"
    LEAVING = "leaving"
    BACKOFF = "backoff"
    LIMITED = "limited"
    EVACUATED = "evacuated"
    NOT_HOME = "not_home"
    KEY_BEFORE_HOME = "key_before_home"
    KEY_EXPIRED = "key_expired"
    KEY_IN_FUTURE = "key_in_future"
    KEY_REUSED = "key_reused"
    ANSWER_NOT_KEPT = "answer_not_kept"
    CANCELLED = "cancelled"
    LINK_LOST = "link_lost"
    BACKEND_UNREACHABLE = "backend_unreachable"
    BACKEND_FAILED = "backend_failed"


#: HTTP status of a refusal, by reason.
HTTP_STATUS: Final[dict[Reason, int]] = {
    Reason.MALFORMED: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.BODY_TOO_LARGE: 413,
    Reason.NO_CONFIGURATION: 503,
    Reason.NO_TARGET: 503,
    Reason.OVERLOADED: 503,
    Reason.OVER_LIMIT: 429,
    Reason.DEADLINE: 504,
    Reason.LEAVING: 503,
    Reason.BACKOFF: 503,
    Reason.LIMITED: 503,
    Reason.EVACUATED: 503,
    Reason.NOT_HOME: 503,
    Reason.KEY_BEFORE_HOME: 409,
    Reason.KEY_EXPIRED: 409,
    Reason.KEY_IN_FUTURE: 400,
    Reason.KEY_REUSED: 422,
    Reason.ANSWER_NOT_KEPT: 409,
    Reason.CANCELLED: 499,
    Reason.LINK_LOST: 502,
    Reason.BACKEND_UNREACHABLE: 503,
    Reason.BACKEND_FAILED: 502,
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """The final result of a request that has no response."""

    #: Whether the request may have run; never ``ANSWERED``.
    outcome: Outcome
    #: The cause.
    reason: Reason
    #: Human-readable description.
    detail: str = ""
    #: Milliseconds after which a retry may succeed; 0 if retrying is useless.
    retry_after: int = 0

    @property
    def status(self) -> int:
        """Return the HTTP status that goes with the reason."""
        return HTTP_STATUS[self.reason]
