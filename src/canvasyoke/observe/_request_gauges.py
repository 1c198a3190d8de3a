"""Metrics of the memory that the requests of a process hold."""

from __future__ import annotations

from canvasyoke.observe._metrics import Metrics
from canvasyoke.transport import RequestBudget


def add_request_gauges(metrics: Metrics, budget: RequestBudget) -> None:
    """Register the metrics of a budget."""
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
