"""Asks backends for reports of their rank groups; logs and counts those that are missing."""

from __future__ import annotations

from typing import Final

from canvasyoke.backend import (
    DirectBackendPort,
    GroupReport,
    OutboundRequest,
    SendResult,
)
from canvasyoke.direct._metrics import DirectMetrics
from canvasyoke.observe import part_logger
from canvasyoke.state import Endpoint
from canvasyoke.transport import ExchangeHandle

_log = part_logger("groups")
#: Runs that are remembered as logged; beyond them, all may be logged once more.
_MAX_MISSING: Final = 1_000


class ReportReader(DirectBackendPort):
    """Port for queries to backends that should be ranks of a group, around another one."""

    def __init__(self, port: DirectBackendPort, metrics: DirectMetrics) -> None:
        self._port = port
        self._metrics = metrics
        #: Runs whose last report is missing; each is logged once until it gives one.
        self._missing: set[str] = set()

    def send(
        self,
        endpoint: Endpoint,
        request: OutboundRequest,
        connect_timeout: int,
        slot: ExchangeHandle,
    ) -> SendResult:
        """Send a request."""
        return self._port.send(endpoint, request, connect_timeout, slot)

    def slowdown_of(self, endpoint: Endpoint) -> float | None:
        """Return a backend's processing time relative to the usual one; ``None`` if unknown."""
        slowdown = self._port.slowdown_of(endpoint)
        self._record(endpoint.run, slowdown is not None)
        return slowdown

    def group_of(self, endpoint: Endpoint) -> str | None:
        """Return the rank group of a backend; empty if it has none, ``None`` if unknown."""
        group = self._port.group_of(endpoint)
        self._record(endpoint.run, group is not None)
        return group

    def group_report(self, endpoint: Endpoint) -> GroupReport | None:
        """Return a backend's report of its rank group; ``None`` without one or an answer."""
        report = self._port.group_report(endpoint)
        self._record(endpoint.run, report is not None)
        return report

    def _record(self, run: str, has_report: bool) -> None:
        if has_report:
            self._missing.discard(run)
            return
        self._metrics.record_missing_report()
        if run not in self._missing:
            if len(self._missing) >= _MAX_MISSING:
                self._missing.clear()
            self._missing.add(run)
            _log.warning("no readable report from a backend", run=run)
