"""Metrics and log lines of what a process refuses callers before it has read their requests."""

from __future__ import annotations

from canvasyoke.observe._logs import PartLogger
from canvasyoke.observe._metrics import Metrics
from canvasyoke.transport import CallerServer, HttpServer, RequestBudget


class CallerLoad:
    """Shows which limits callers meet."""

    def __init__(
        self,
        metrics: Metrics,
        budget: RequestBudget,
        server: CallerServer | HttpServer,
        log: PartLogger,
    ) -> None:
        self._budget = budget
        self._server = server
        self._log = log
        #: What was logged last.
        self._logged = self._counts()
        self._add_gauges(metrics)

    def log_changes(self) -> None:
        """Log what was refused since the last call; to be called once in a while."""
        counts = self._counts()
        if counts == self._logged:
            return
        since = {name: count - self._logged.get(name, 0) for name, count in counts.items()}
        self._logged = counts
        self._log.warning(
            "callers meet limits",
            request_bytes=self._budget.held,
            connections=self._server.connections,
            **{name: count for name, count in since.items() if count},
        )

    def _counts(self) -> dict[str, int]:
        refused = self._server.refused_unread
        return {
            "without_memory": self._budget.refused,
            "given_up": self._budget.given_up,
            "displaced": self._server.displaced_connections,
            **{f"status_{status}": count for status, count in refused.items()},
        }

    def _add_gauges(self, metrics: Metrics) -> None:
        budget, server = self._budget, self._server
        metrics.gauge(
            "canvasyoke_request_bytes",
            "Bytes of memory that requests hold beside their allowances.",
            lambda: budget.held,
        )
        metrics.gauge(
            "canvasyoke_request_bytes_limit",
            "Bytes of memory that requests may hold beside their allowances.",
            lambda: budget.limit,
        )
        metrics.gauge(
            "canvasyoke_requests_without_memory",
            "Requests refused because others held all memory for requests.",
            lambda: budget.refused,
        )
        metrics.gauge(
            "canvasyoke_requests_given_up",
            "Requests refused while they were received, because others needed their memory.",
            lambda: budget.given_up,
        )
        metrics.labelled_gauge(
            "canvasyoke_requests_refused_unread",
            "Requests refused before they were read to their end, by status.",
            ("status",),
            lambda: {(str(status),): count for status, count in server.refused_unread.items()},
        )
        metrics.gauge("canvasyoke_connections", "Open connections.", lambda: server.connections)
        metrics.gauge(
            "canvasyoke_connections_displaced",
            "Connections closed for new ones at the limit, the one unused for longest each time.",
            lambda: server.displaced_connections,
        )
