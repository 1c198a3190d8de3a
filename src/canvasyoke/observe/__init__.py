"""Logs and metrics."""

from canvasyoke.observe._logs import PartLogger, part_logger, set_up_logs
from canvasyoke.observe._metrics import Counter, Gauge, Metrics, Timer

__all__ = [
    "Counter",
    "Gauge",
    "Metrics",
    "PartLogger",
    "Timer",
    "part_logger",
    "set_up_logs",
]
