"""Detects whether a backend process has ended after an exchange with it failed.

A connection may fail because of a reset, a lost response, or the loss of another rank of the group.
Only the end of the process itself closes its listening port, so a TCP connection is tried to
distinguish the cases. A port that is still open decides nothing: ``_exit_monitor`` follows it up.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Final

from canvasyoke.crashes._runs import BrokenExchange, CrashMetrics, RunDirectory
from canvasyoke.observe import part_logger
from canvasyoke.state import Endpoint
from canvasyoke.transport import ProbeResult, probe_address

_log = part_logger("breaks")
#: Connect timeout of the probe in milliseconds. A retry of the request waits for it. A round trip
#: takes 1 to 3 ms; only a lost packet or a partition takes all of this.
_PROBE_TIMEOUT: Final = 30


class BackendLiveness(enum.StrEnum):
    """State of a backend after a failed exchange."""

    #: Its port refuses connections, and it had not announced that it would leave.
    ENDED = "ended"
    #: Its port accepts connections.
    LISTENS = "listens"
    #: It was leaving, or was no longer listed.
    LEAVING = "leaving"
    #: The probe timed out.
    UNKNOWN = "unknown"


_LIVENESS_BY_REACH: Final = {
    ProbeResult.LISTENING: BackendLiveness.LISTENS,
    ProbeResult.REFUSED: BackendLiveness.ENDED,
    ProbeResult.SILENT: BackendLiveness.UNKNOWN,
}


class CrashDetector:
    """Probes the backend of each exchange that failed."""

    def __init__(
        self,
        runs: RunDirectory,
        metrics: CrashMetrics,
        probe_port: Callable[[str, int], ProbeResult] = probe_address,
    ) -> None:
        self._runs = runs
        self._metrics = metrics
        self._probe_port = probe_port

    def check(self, exchange: BrokenExchange) -> BackendLiveness:
        """Return the state of the backend of a broken exchange, and log it."""
        liveness = self._check_port(exchange.endpoint)
        self._metrics.record_exchange_failure(liveness)
        _log.warning(
            "exchange broke",
            request_id=exchange.request_id,
            traits=list(exchange.traits),
            backend=exchange.endpoint.run,
            fate=liveness.value,
            segments=list(exchange.segments),
            head=exchange.has_head,
            begun_before=exchange.begun_before,
            detail=exchange.detail,
        )
        return liveness

    def has_ended(self, endpoint: Endpoint) -> bool:
        """Return whether a backend has ended without an announcement."""
        return self._check_port(endpoint) is BackendLiveness.ENDED

    def _check_port(self, endpoint: Endpoint) -> BackendLiveness:
        if not self._runs.is_ready(endpoint.run):
            return BackendLiveness.LEAVING
        return _LIVENESS_BY_REACH[self._probe_port(endpoint.address, _PROBE_TIMEOUT)]
