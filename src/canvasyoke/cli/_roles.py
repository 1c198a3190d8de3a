"""The commands that run a role: ``entry``, ``target``, ``direct`` and ``ranks``."""

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
#: Milliseconds for the last log lines to be written before the process ends.
_FLUSH_TIMEOUT = 500


@COMMANDS.register("entry")
def entry(*, settings: str) -> int:
    """Run an entry: take callers' requests.

    --settings FILE   settings of this instance; see docs/SETTINGS.md

    It drains and exits on SIGTERM: it reports not ready, answers what it holds,
    then ends.
    """
    loaded = load_settings(settings, EntrySettings)
    if isinstance(loaded, list):
        return _print_faults(loaded)
    configure_logging(loaded.log, loaded.instance)
    from canvasyoke.entry import EntryProcess

    return _run(lambda: EntryProcess(loaded).run())


@COMMANDS.register("target")
def target(*, settings: str) -> int:
    """Run a target: the process beside an engine or plain service.

    --settings FILE   settings of this instance; see docs/SETTINGS.md

    It drains and exits on SIGTERM: it takes no new work, finishes what it has,
    then ends.
    """
    loaded = load_settings(settings, TargetSettings)
    if isinstance(loaded, list):
        return _print_faults(loaded)
    configure_logging(loaded.log, loaded.instance)
    from canvasyoke.target import TargetProcess

    return _run(lambda: TargetProcess(loaded).run())


@COMMANDS.register("direct")
def direct(*, settings: str) -> int:
    """Run an entry that calls backends itself, without target processes.

    --settings FILE   settings of this instance; see docs/SETTINGS.md

    It drains and exits on SIGTERM as an entry does, and reads its settings again on
    SIGHUP.
    """
    loaded = load_settings(settings, DirectSettings)
    if isinstance(loaded, list):
        return _print_faults(loaded)
    writer = configure_background_logging(loaded.log, loaded.instance, sys.stdout)
    from canvasyoke import platform  # noqa: F401  (it fills the registries)
    from canvasyoke.direct._process import DirectEntryProcess

    return _run(lambda: DirectEntryProcess(loaded, settings, writer).run(), writer)


@COMMANDS.register("ranks")
def ranks(*, settings: str) -> int:
    """Run the process beside an engine that moves the experts of its rank group.

    --settings FILE   settings of this instance; see docs/SETTINGS.md
    """
    loaded = load_settings(settings, RanksSettings)
    if isinstance(loaded, list):
        return _print_faults(loaded)
    writer = configure_background_logging(loaded.log, loaded.instance, sys.stdout)
    from canvasyoke import platform  # noqa: F401  (it fills the registries)
    from canvasyoke.experts._process import RanksProcess

    return _run(lambda: RanksProcess(loaded, settings).run(), writer)


def _exit_on_thread_failure(
    failure: threading.ExceptHookArgs, writer: LineWriter | None = None
) -> None:
    """End the process when one of its tasks dies: half a process helps nobody.

    Outcomes are values here, so an exception that reaches a task's end is a broken
    invariant. The platform starts the process again, and its peers know what to do.
    """
    name = failure.thread.name if failure.thread else "?"
    trace = "".join(
        traceback.format_exception(failure.exc_type, failure.exc_value, failure.exc_traceback)
    )
    _log.error("a task died, so the process ends", task=name, trace=trace)
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
    """End the process at once, with its last lines written and all else left as it is.

    Tasks still wait on their links. Torn down below them by an orderly exit of the
    interpreter, the library of the links aborts the process, or fails a task, which ends
    it as a fault: with 16 waiting tasks ten of ten exits.
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
