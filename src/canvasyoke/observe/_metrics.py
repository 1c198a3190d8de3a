"""Counters, gauges and timers, rendered in the Prometheus text format.

Timers are HDR histograms with two significant digits between 10 microseconds and ten minutes, so
the relative error is the same for all quantiles.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from typing import Final

from hdrh.histogram import HdrHistogram

_MIN_MICROSECONDS: Final = 10
_MAX_MICROSECONDS: Final = 600_000_000
_SIGNIFICANT_DIGITS: Final = 2
_QUANTILES: Final = (0.5, 0.95, 0.99, 0.999)
_MICROSECONDS_PER_MILLISECOND: Final = 1_000
#: Maximum number of series per counter; further label values are counted as ``other``.
_MAX_SERIES: Final = 500


class Counter:
    """A monotonic counter with at most one label."""

    def __init__(self, name: str, help_text: str, label: str) -> None:
        self.name = name
        self._help = help_text
        self._label = label
        self._lock = threading.Lock()
        self._values: dict[str, int] = {}

    def add(self, label_value: str = "", amount: int = 1) -> None:
        """Increase the counter by ``amount``."""
        with self._lock:
            if label_value not in self._values and len(self._values) >= _MAX_SERIES:
                label_value = "other"
            self._values[label_value] = self._values.get(label_value, 0) + amount

    def value(self, label_value: str = "") -> int:
        """Return the current value."""
        with self._lock:
            return self._values.get(label_value, 0)

    def render(self) -> list[str]:
        """Return this metric in the text format."""
        with self._lock:
            values = sorted(self._values.items())
        lines = [f"# HELP {self.name} {self._help}", f"# TYPE {self.name} counter"]
        return lines + [f"{self.name}{self._labels(k)} {v}" for k, v in values]

    def _labels(self, value: str) -> str:
        return f'{{{self._label}="{_escape(value)}"}}' if self._label else ""


class Gauge:
    """A value that is read from a callback when rendered."""

    def __init__(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        self.name = name
        self._help = help_text
        self._read = read

    def render(self) -> list[str]:
        """Return this metric in the text format."""
        head = [f"# HELP {self.name} {self._help}", f"# TYPE {self.name} gauge"]
        return [*head, f"{self.name} {self._read():g}"]


class LabelledGauge:
    """Values by label that are read from a callback when rendered."""

    def __init__(
        self,
        name: str,
        help_text: str,
        labels: tuple[str, ...],
        read: Callable[[], Mapping[tuple[str, ...], float]],
    ) -> None:
        self.name = name
        self._help = help_text
        self._labels = labels
        self._read = read

    def render(self) -> list[str]:
        """Return this metric in the text format."""
        lines = [f"# HELP {self.name} {self._help}", f"# TYPE {self.name} gauge"]
        for values, value in sorted(self._read().items())[:_MAX_SERIES]:
            pairs = zip(self._labels, values, strict=True)
            labels = ",".join(f'{label}="{_escape(text)}"' for label, text in pairs)
            lines.append(f"{self.name}{{{labels}}} {value:g}")
        return lines


class Timer:
    """A distribution of durations, given in milliseconds."""

    def __init__(self, name: str, help_text: str) -> None:
        self.name = name
        self._help = help_text
        self._lock = threading.Lock()
        self._histogram = HdrHistogram(_MIN_MICROSECONDS, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)
        self._sum = 0.0

    def record(self, duration: float) -> None:
        """Record a duration in milliseconds."""
        value = min(
            _MAX_MICROSECONDS,
            max(_MIN_MICROSECONDS, round(duration * _MICROSECONDS_PER_MILLISECOND)),
        )
        with self._lock:
            self._histogram.record_value(value)
            self._sum += duration

    def quantile(self, fraction: float) -> float:
        """Return the ``fraction`` quantile in milliseconds."""
        with self._lock:
            value = self._histogram.get_value_at_percentile(fraction * 100)
        return float(value) / _MICROSECONDS_PER_MILLISECOND

    @property
    def count(self) -> int:
        """The number of recorded durations."""
        return int(self._histogram.get_total_count())

    def render(self) -> list[str]:
        """Return this metric in the text format, in seconds."""
        lines = [f"# HELP {self.name} {self._help}", f"# TYPE {self.name} summary"]
        for fraction in _QUANTILES if self.count else ():
            seconds = self.quantile(fraction) / 1_000
            lines.append(f'{self.name}{{quantile="{fraction}"}} {seconds:.6f}')
        lines.append(f"{self.name}_sum {self._sum / 1_000:.6f}")
        lines.append(f"{self.name}_count {self.count}")
        return lines


class Metrics:
    """Registry of a process's metrics."""

    def __init__(self) -> None:
        self._metrics: list[Counter | Gauge | LabelledGauge | Timer] = []

    def counter(self, name: str, help_text: str, label: str = "") -> Counter:
        """Create and register a counter."""
        counter = Counter(name, help_text, label)
        self._metrics.append(counter)
        return counter

    def gauge(self, name: str, help_text: str, read: Callable[[], float]) -> Gauge:
        """Create and register a gauge."""
        gauge = Gauge(name, help_text, read)
        self._metrics.append(gauge)
        return gauge

    def labelled_gauge(
        self,
        name: str,
        help_text: str,
        labels: tuple[str, ...],
        read: Callable[[], Mapping[tuple[str, ...], float]],
    ) -> LabelledGauge:
        """Create and register a gauge with one series per combination of labels."""
        gauge = LabelledGauge(name, help_text, labels, read)
        self._metrics.append(gauge)
        return gauge

    def timer(self, name: str, help_text: str) -> Timer:
        """Create and register a timer."""
        timer = Timer(name, help_text)
        self._metrics.append(timer)
        return timer

    def render(self) -> str:
        """Return all metrics in the text format."""
        return "\n".join(line for metric in self._metrics for line in metric.render()) + "\n"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
