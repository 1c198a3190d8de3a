"""Turns whatever the HTTP libraries raise on a malformed answer into one error."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Final

import urllib3

#: Timeouts of the library, of single reads and of the TCP stack.
_TIMEOUTS: Final = (TimeoutError, urllib3.exceptions.TimeoutError)


class ExchangeError(OSError):
    """A response was incomplete, malformed, too large, timed out or cancelled."""

    def __init__(
        self,
        detail: str,
        *,
        is_timeout: bool = False,
        is_cancelled: bool = False,
        is_too_large: bool = False,
    ) -> None:
        super().__init__(detail)
        #: Whether a timeout expired, which says nothing about the peer's state.
        self.is_timeout = is_timeout
        #: Whether this process ended the exchange, which says nothing about the peer either.
        self.is_cancelled = is_cancelled
        #: Whether the peer sent more than is accepted.
        self.is_too_large = is_too_large

    @property
    def is_connection_lost(self) -> bool:
        """Return whether the peer or the network ended the exchange."""
        return not (self.is_timeout or self.is_cancelled or self.is_too_large)


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
        causes = _causes(exc)
        raise ExchangeError(
            f"{type(exc).__name__}: {exc}",
            is_timeout=any(isinstance(each, _TIMEOUTS) for each in causes),
            is_too_large=any(isinstance(e, ExchangeError) and e.is_too_large for e in causes),
        ) from exc


def check_length(response: urllib3.BaseHTTPResponse) -> None:
    """Raise :class:`ExchangeError` if a length is stated that is not a number.

    The libraries would read such a body to the end of the connection and take it for complete.
    """
    stated = response.headers.get("Content-Length")
    is_framed = getattr(response, "chunked", False) or response.length_remaining is not None
    if stated is not None and not is_framed:
        raise ExchangeError("the stated length is not a number")


def _causes(exc: Exception) -> tuple[object, ...]:
    """Return an exception and those that the libraries have wrapped in it."""
    return (exc, exc.__cause__, *exc.args)
