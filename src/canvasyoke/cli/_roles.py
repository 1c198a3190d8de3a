"""Commands that run a role: ``entry``, ``target``, ``direct`` and ``ranks``."""

from __future__ import annotations

import os
import sys
import threading
import traceback
from collections.abc import Callable, Sequence
from typing import NoReturn

import pynng

from canvasyoke.cli._registry import COMMANDS, FAULT, REFUSED
from canvasyoke.observe import (
    LineWriter,
    configure_background_logging,
    configure_logging,
    part_logger,
)
from canvasyoke.state import (
    DirectSettings,
    EntrySettings,
    Fault,
    RanksSettings,
    TargetSettings,
    load_settings,
)

_log = part_logger("role")
#: Milliseconds to wait for queued log lines to be written before the process exits.
_FLUSH_TIMEOUT = 500


@COMMANDS.register("entry")
def entry(*, settings: str) -> int:
    """Run an entry, which accepts requests of callers.

    --settings FILE   settings of this instance; see docs/SETTINGS.md

    On SIGTERM it reports not ready, completes its requests and exits.
    """
    loaded = load_settings(settings, EntrySettings)
    if isinstance(loaded, list):
        return _print_faults(loaded)
    configure_logging(loaded.log, loaded.instance)
    from canvasyoke.entry import EntryProcess

    return _run(lambda: EntryProcess(loaded).run())


@COMMANDS.register("target")
def target(*, settings: str) -> int:
    """Run a target, the process beside an engine or plain service.

    --settings FILE   settings of this instance; see docs/SETTINGS.md

    On SIGTERM it accepts no new requests, completes its requests and exits.
    """
    loaded = load_settings(settings, TargetSettings)
    if isinstance(loaded, list):
        return _print_faults(loaded)
    configure_logging(loaded.log, loaded.instance)
    from canvasyoke.target import TargetProcess

    return _run(lambda: TargetProcess(loaded).run())


@COMMANDS.register("direct")
def direct(*, settings: str) -> int:
    """Run an entry that calls backends directly, without target processes.

    --settings FILE   settings of this instance; see docs/SETTINGS.md

    On SIGTERM it drains and exits as an entry does. On SIGHUP it reloads its settings.
    """
    loaded = load_settings(settings, DirectSettings)
    if isinstance(loaded, list):
        return _print_faults(loaded)
    writer = configure_background_logging(loaded.log, loaded.instance, sys.stdout)
    from canvasyoke import platform  # noqa: F401  (registers adapters)
    from canvasyoke.direct._process import DirectEntryProcess

    return _run(lambda: DirectEntryProcess(loaded, settings, writer).run(), writer)


@COMMANDS.register("ranks")
def ranks(*, settings: str) -> int:
    """Run a rank process, which manages the expert map of its rank group beside an engine.

    --settings FILE   settings of this instance; see docs/SETTINGS.md
    """
    loaded = load_settings(settings, RanksSettings)
    if isinstance(loaded, list):
        return _print_faults(loaded)
    writer = configure_background_logging(loaded.log, loaded.instance, sys.stdout)
    from canvasyoke import platform  # noqa: F401  (registers adapters)
    from canvasyoke.experts._process import RanksProcess

    return _run(lambda: RanksProcess(loaded, settings).run(), writer)


def _exit_on_thread_failure(
    failure: threading.ExceptHookArgs, writer: LineWriter | None = None
) -> None:
    """Exit the process when one of its threads fails with an exception.

    Expected errors are return values, so an uncaught exception indicates a broken invariant. The
    platform restarts the process.
    """
    name = failure.thread.name if failure.thread else "?"
    trace = "".join(
        traceback.format_exception(failure.exc_type, failure.exc_value, failure.exc_traceback)
    )
    _log.error("thread failed with an exception, exiting", task=name, trace=trace)
    _exit_process(FAULT, writer)


def _run(role: Callable[[], int], writer: LineWriter | None = None) -> NoReturn:
    threading.excepthook = lambda failure: _exit_on_thread_failure(failure, writer)
    try:
        code = role()
    except (OSError, LookupError, pynng.NNGException) as exc:
        print(f"canvasyoke: cannot start: {exc}", file=sys.stderr)
        code = REFUSED
    _exit_process(code, writer)


def _exit_process(code: int, writer: LineWriter | None) -> NoReturn:
    """Flush the output and exit without interpreter shutdown.

    Threads can still be waiting on pynng sockets. During an orderly shutdown of the interpreter,
    pynng then aborts the process or raises in such a thread, which changes the exit code.
    """
    if writer is not None:
        writer.flush(_FLUSH_TIMEOUT)
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


def _print_faults(faults: Sequence[Fault]) -> int:
    for fault in faults:
        print(fault, file=sys.stderr)
    return REFUSED
