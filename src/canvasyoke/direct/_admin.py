"""Admin endpoints of a direct entry: readiness, metrics and quarantined traits of requests.

They are served on addresses that only the balancer and operators use.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Final

import msgspec

from canvasyoke.crashes import Quarantine
from canvasyoke.observe import Metrics
from canvasyoke.protocol import QuarantinedRequest

_METRICS_PATH: Final = "/metrics"
#: ``GET`` lists quarantined and suspected traits; ``DELETE`` of a path below it releases one.
_QUARANTINE_PATH: Final = "/quarantine"

StartResponse = Callable[..., Any]


class AdminApp:
    """WSGI application for the balancer and operators."""

    def __init__(
        self, metrics: Metrics, quarantine: Quarantine, not_ready: Callable[[], str]
    ) -> None:
        self._metrics = metrics
        self._quarantine = quarantine
        #: Returns why the entry is not ready, or an empty string.
        self._not_ready = not_ready

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Handle one admin request."""
        path = environ["PATH_INFO"]
        if path == _METRICS_PATH:
            return _reply(start, "200 OK", self._metrics.render().encode())
        if path == _QUARANTINE_PATH:
            body = msgspec.json.encode(self._list_cases())
            return _reply(start, "200 OK", body, "application/json")
        if path.startswith(_QUARANTINE_PATH + "/"):
            return self._release(environ["REQUEST_METHOD"], path.rsplit("/", 1)[1], start)
        reason = self._not_ready()
        status = "503 Service Unavailable" if reason else "200 OK"
        return _reply(start, status, f"{reason or 'ready'}\n".encode())

    def _list_cases(self) -> list[QuarantinedRequest]:
        return [
            QuarantinedRequest(
                name, case.is_blamed, sorted(case.runs), case.cleared, case.answer_count
            )
            for name, case in sorted(self._quarantine.cases().items())
            if case.runs
        ]

    def _release(self, method: str, trait: str, start: StartResponse) -> Iterable[bytes]:
        if method != "DELETE":
            return _reply(start, "405 Method Not Allowed", b"only DELETE\n")
        if not self._quarantine.release(trait):
            return _reply(start, "404 Not Found", b"it is not kept from backends\n")
        return _reply(start, "200 OK", b"released\n")


def _reply(
    start: StartResponse, status: str, body: bytes, content_type: str = "text/plain"
) -> list[bytes]:
    start(status, [("Content-Type", content_type), ("Content-Length", str(len(body)))])
    return [body]
