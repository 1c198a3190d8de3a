"""Turns whatever the HTTP libraries raise on a malformed answer into one error."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import urllib3


class ExchangeError(OSError):
    """A response was incomplete, malformed, timed out or cancelled."""

    def __init__(
        self, detail: str, *, is_timeout: bool = False, is_cancelled: bool = False
    ) -> None:
        super().__init__(detail)
        #: Whether a timeout expired, which says nothing about the peer's state.
        self.is_timeout = is_timeout
        #: Whether this process ended the exchange, which says nothing about the peer either.
        self.is_cancelled = is_cancelled

    @property
    def is_connection_lost(self) -> bool:
        """Return whether the peer or the network ended the exchange."""
        return not (self.is_timeout or self.is_cancelled)


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
        raise ExchangeError(f"{type(exc).__name__}: {exc}", is_timeout=is_timeout(exc)) from exc


def check_length(response: urllib3.BaseHTTPResponse) -> None:
    """Raise :class:`ExchangeError` if a length is stated that is not a number.

    The libraries would read such a body to the end of the connection and take it for complete.
    """
    stated = response.headers.get("Content-Length")
    is_framed = getattr(response, "chunked", False) or response.length_remaining is not None
    if stated is not None and not is_framed:
        raise ExchangeError("the stated length is not a number")


def is_timeout(exc: Exception) -> bool:
    """Return whether an exchange failed by a timeout, including those of the TCP stack."""
    causes = (exc, exc.__cause__, *exc.args)
    return any(isinstance(each, TimeoutError | urllib3.exceptions.TimeoutError) for each in causes)
