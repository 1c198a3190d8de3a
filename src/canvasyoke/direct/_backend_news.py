"""Backends and requests to blame as entries tell each other of them."""

from __future__ import annotations

from canvasyoke.direct._crash_cases import CrashCase
from canvasyoke.direct._known_backends import BackendChange
from canvasyoke.protocol import BackendNews, CrashNews
from canvasyoke.state import Endpoint, EndpointState


def to_crash_news(fingerprint: str, case: CrashCase) -> CrashNews:
    """Return what to tell of a request under which backends have ended."""
    return CrashNews(fingerprint, case.cleared, sorted(case.runs), case.is_blamed)


def to_news(change: BackendChange) -> BackendNews:
    """Return what to tell of a backend."""
    endpoint = change.endpoint
    return BackendNews(
        id=endpoint.id,
        service=endpoint.service,
        address=endpoint.address,
        domain=endpoint.domain,
        slots=endpoint.slots,
        leaving=endpoint.state is EndpointState.LEAVING,
        gone=change.gone,
        revision=change.position,
        was_lost=change.was_lost,
        started=endpoint.started,
    )


def to_endpoint(news: BackendNews) -> Endpoint:
    """Return a backend as another entry has told of it."""
    return Endpoint(
        id=news.id,
        service=news.service,
        address=news.address,
        domain=news.domain,
        slots=news.slots,
        state=EndpointState.LEAVING if news.leaving else EndpointState.READY,
        position=news.revision,
        started=news.started,
    )
