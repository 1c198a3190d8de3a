"""Logging and metrics."""

from canvasyoke.observe._line_writer import LineWriter
from canvasyoke.observe._logs import (
    PartLogger,
    configure_background_logging,
    configure_logging,
    part_logger,
)
from canvasyoke.observe._metrics import Counter, Gauge, LabelledGauge, Metrics, Timer
from canvasyoke.observe._request_gauges import add_request_gauges

__all__ = [
    "Counter",
    "Gauge",
    "LabelledGauge",
    "LineWriter",
    "Metrics",
    "PartLogger",
    "Timer",
    "add_request_gauges",
    "configure_background_logging",
    "configure_logging",
    "part_logger",
]
