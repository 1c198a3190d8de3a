"""Structured logging based on logbook, with one logger per part of the program.

>>> log = part_logger("link")
>>> log.info("peer is up", peer="ink-1")

writes ``2026-01-05T07:00:00.000Z INFO link: peer is up peer=ink-1``, or the
equivalent JSON object on one line. Request bodies and tokens must not be logged.
"""

from __future__ import annotations

import datetime
import sys
import threading
from collections.abc import Callable
from typing import Any, Final, TextIO

import logbook
import msgspec

from canvasyoke.observe._line_writer import LineWriter
from canvasyoke.state import LogSettings

_LEVELS: Final = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}


class PartLogger:
    """Logger of one part of the program, with fields as keyword arguments."""

    def __init__(self, part: str) -> None:
        self._logger = logbook.Logger(part)

    def debug(self, message: str, **fields: object) -> None:
        """Log details for debugging."""
        self._logger.debug(message, extra=fields)

    def info(self, message: str, **fields: object) -> None:
        """Log a normal event."""
        self._logger.info(message, extra=fields)

    def warning(self, message: str, **fields: object) -> None:
        """Log an unexpected condition that the process handles."""
        self._logger.warning(message, extra=fields)

    def error(self, message: str, **fields: object) -> None:
        """Log an internal error."""
        self._logger.error(message, extra=fields)


def part_logger(part: str) -> PartLogger:
    """Return a logger whose lines are prefixed with ``part``."""
    return PartLogger(part)


class _LineHandler(logbook.Handler):  # type: ignore[misc]
    """Formats each record as one line."""

    def __init__(
        self, put: Callable[[str, bool], None], as_json: bool, level: int, instance: str
    ) -> None:
        super().__init__(level=level, bubble=False)
        self._put = put
        self._as_json = as_json
        self._instance = instance

    def emit(self, record: Any) -> None:
        """Format ``record`` and write it."""
        line = self._format_json(record) if self._as_json else self._format_text(record)
        self._put(line, record.level >= logbook.WARNING)

    def _format_text(self, record: Any) -> str:
        fields = "".join(f" {name}={value}" for name, value in record.extra.items())
        level = record.level_name
        return f"{_format_time(record)} {level} {record.channel}: {record.message}{fields}"

    def _format_json(self, record: Any) -> str:
        line = {
            "time": _format_time(record),
            "level": record.level_name.lower(),
            "part": record.channel,
            "instance": self._instance,
            "message": record.message,
            **record.extra,
        }
        return msgspec.json.encode(line, enc_hook=str).decode()


def _format_time(record: Any) -> str:
    timestamp: datetime.datetime = record.time
    return timestamp.isoformat(timespec="milliseconds").replace("+00:00", "") + "Z"


def configure_logging(settings: LogSettings, instance: str, stream: TextIO = sys.stderr) -> None:
    """Configure this process to log to ``stream``."""
    lock = threading.Lock()

    def put(line: str, _important: bool) -> None:
        with lock:
            stream.write(line + "\n")
            stream.flush()

    _install_handler(put, settings, instance)


def configure_background_logging(
    settings: LogSettings, instance: str, stream: TextIO
) -> LineWriter:
    """Configure this process to log to ``stream`` through a non-blocking :class:`LineWriter`."""
    writer = LineWriter(stream)
    _install_handler(writer.put, settings, instance)
    return writer


def _install_handler(
    put: Callable[[str, bool], None], settings: LogSettings, instance: str
) -> None:
    handler = _LineHandler(put, settings.format == "json", _LEVELS[settings.level], instance)
    handler.push_application()
