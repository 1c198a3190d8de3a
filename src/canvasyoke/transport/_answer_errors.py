"""Turns whatever the HTTP libraries raise on a malformed answer into one error."""

from __future__ import annotations

import contextlib
import enum
from collections.abc import Iterator
from typing import Final

import urllib3

#: Timeouts of the library, of single reads and of the TCP stack.
_TIMEOUTS: Final = (TimeoutError, urllib3.exceptions.TimeoutError)


class FailureCause(enum.StrEnum):
    """Why there is no complete answer."""

    #: The peer or the network ended the connection, or what came is no answer in HTTP.
    CONNECTION_LOST = "connection lost"
    #: A time limit expired, which says nothing about the peer's state.
    TIMEOUT = "timeout"
    #: This process ended the exchange, which says nothing about the peer either.
    CANCELLED = "cancelled"
    #: The peer sent more than is accepted.
    TOO_LARGE = "too large"
    #: The answer was received, but is not one to the request.
    MISMATCH = "mismatch"


class ExchangeError(OSError):
    """A response was incomplete, malformed, too large, timed out or cancelled."""

    def __init__(self, detail: str, cause: FailureCause = FailureCause.CONNECTION_LOST) -> None:
        super().__init__(detail)
        #: Why the response is not complete.
        self.cause = cause


@contextlib.contextmanager
def answer_errors() -> Iterator[None]:
    """Raise :class:`ExchangeError` for any exception raised while an answer is read.

    For bytes that are not an answer, urllib3 and http.client raise exceptions of many types: their
    own, those of numbers and sizes that make no sense, and, when another thread shuts the socket
    down, ``AttributeError`` and ``ValueError``. Nothing but reading may be done in this context.
    """
    try:
        yield
    except ExchangeError:
        raise
    except Exception as exc:
        raise ExchangeError(f"{type(exc).__name__}: {exc}", _cause_of(exc)) from exc


def is_framed(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether a length or chunks delimit the body, not only the end of the connection."""
    return bool(getattr(response, "chunked", False)) or response.length_remaining is not None


def _cause_of(exc: Exception) -> FailureCause:
    """Return the cause of an exception, which the libraries may have wrapped in others."""
    wrapped = (exc, exc.__cause__, *exc.args)
    if any(isinstance(each, _TIMEOUTS) for each in wrapped):
        return FailureCause.TIMEOUT
    own = (each.cause for each in wrapped if isinstance(each, ExchangeError))
    return next(own, FailureCause.CONNECTION_LOST)
