"""Logs and metrics."""

from canvasyoke.observe._line_writer import LineWriter
from canvasyoke.observe._logs import (
    PartLogger,
    part_logger,
    set_up_background_logs,
    set_up_logs,
)
from canvasyoke.observe._metrics import Counter, Gauge, Metrics, Timer

__all__ = [
    "Counter",
    "Gauge",
    "LineWriter",
    "Metrics",
    "PartLogger",
    "Timer",
    "part_logger",
    "set_up_background_logs",
    "set_up_logs",
]
