"""Runs a case: bounds its time, ends what it started, and turns its result into an exit code.

``run.sh`` takes ``BROKEN`` for a broken rule and 0 for one that held. Everything else, such as an
exception of Python itself, means that the case could not run.
"""

from __future__ import annotations

import os
import signal
import subprocess
import tempfile
import threading
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import NoReturn

from review.standins.record import Record

HELD, NOT_RUN, BROKEN = 0, 2, 3
#: Seconds after which a case is ended; the limit is 120.
_MAX_SECONDS = 100

Processes = list[subprocess.Popen[bytes]]


class CaseStoppedError(Exception):
    """The case took too long, or was told to end."""


def _stop(number: int, _frame: FrameType | None) -> NoReturn:
    raise CaseStoppedError(signal.Signals(number).name)


def run_case(folder: Path, play: Callable[[Path, Record, Processes], int]) -> NoReturn:
    """Run ``play`` with a temporary folder, end all its processes and exit with its result."""
    record = Record(folder)
    failures: list[str] = []

    def note_failure(failure: threading.ExceptHookArgs) -> None:
        failures.append(repr(failure.exc_value))
        record.add(f"a thread failed: {failure.exc_value!r}")

    threading.excepthook = note_failure
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _stop)
    signal.alarm(_MAX_SECONDS)
    processes: Processes = []
    result = NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        try:
            result = play(Path(temporary), record, processes)
        except Exception as exc:
            record.add(f"could not run: {exc!r}")
        signal.alarm(0)
        for process in processes:
            if process.poll() is None:
                process.kill()
            process.wait()
    if result == HELD and failures:
        result = NOT_RUN
    record.add({HELD: "held", BROKEN: "broken"}.get(result, "could not run"))
    os._exit(result)
