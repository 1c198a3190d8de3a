"""Converts changes of backends to and from messages between entries."""

from __future__ import annotations

from canvasyoke.direct._known_backends import BackendChange
from canvasyoke.protocol import BackendUpdate
from canvasyoke.state import Endpoint, EndpointState


def to_backend_news(change: BackendChange, cold_remaining: int = 0) -> BackendUpdate:
    """Return the message for a change of a backend.

    ``cold_remaining`` is the number of milliseconds for which the backend remains cold. That of the
    endpoint is as of its read from the store, which may be long ago.
    """
    endpoint = change.endpoint
    return BackendUpdate(
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
        cold_remaining=cold_remaining,
    )


def to_endpoint(news: BackendUpdate) -> Endpoint:
    """Return the backend described by another entry's message."""
    return Endpoint(
        id=news.id,
        service=news.service,
        address=news.address,
        domain=news.domain,
        slots=news.slots,
        state=EndpointState.LEAVING if news.leaving else EndpointState.READY,
        position=news.revision,
        started=news.started,
        cold_remaining=news.cold_remaining,
    )
