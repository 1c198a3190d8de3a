"""Logging and metrics."""

from canvasyoke.observe._caller_load import CallerLoad
from canvasyoke.observe._line_writer import LineWriter
from canvasyoke.observe._logs import (
    PartLogger,
    configure_background_logging,
    configure_logging,
    part_logger,
)
from canvasyoke.observe._metrics import Counter, Gauge, LabelledGauge, Metrics, Timer

__all__ = [
    "CallerLoad",
    "Counter",
    "Gauge",
    "LabelledGauge",
    "LineWriter",
    "Metrics",
    "PartLogger",
    "Timer",
    "configure_background_logging",
    "configure_logging",
    "part_logger",
]
