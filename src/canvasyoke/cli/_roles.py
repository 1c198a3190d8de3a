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
from canvasyoke.observe import LineWriter, part_logger, set_up_background_logs, set_up_logs
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
_LAST_LINES = 500


@COMMANDS.register("entry")
def entry(*, settings: str) -> int:
    """Run an entry: take callers' requests.

    --settings FILE   settings of this instance; see docs/SETTINGS.md

    It drains and exits on SIGTERM: it reports not ready, answers what it holds,
    then ends.
    """
    loaded = load_settings(settings, EntrySettings)
    if isinstance(loaded, list):
        return _refuse(loaded)
    set_up_logs(loaded.log, loaded.instance)
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
        return _refuse(loaded)
    set_up_logs(loaded.log, loaded.instance)
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
        return _refuse(loaded)
    writer = set_up_background_logs(loaded.log, loaded.instance, sys.stdout)
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
        return _refuse(loaded)
    writer = set_up_background_logs(loaded.log, loaded.instance, sys.stdout)
    from canvasyoke import platform  # noqa: F401  (it fills the registries)
    from canvasyoke.experts._process import RanksProcess

    return _run(lambda: RanksProcess(loaded, settings).run(), writer)


def _stop_on_fault(fault: threading.ExceptHookArgs, writer: LineWriter | None = None) -> None:
    """End the process when one of its tasks dies: half a process helps nobody.

    Outcomes are values here, so an exception that reaches a task's end is a broken
    invariant. The platform starts the process again, and its peers know what to do.
    """
    name = fault.thread.name if fault.thread else "?"
    trace = "".join(
        traceback.format_exception(fault.exc_type, fault.exc_value, fault.exc_traceback)
    )
    _log.error("a task died, so the process ends", task=name, trace=trace)
    _end(FAULT, writer)


def _run(role: Callable[[], int], writer: LineWriter | None = None) -> NoReturn:
    threading.excepthook = lambda fault: _stop_on_fault(fault, writer)
    try:
        code = role()
    except (OSError, LookupError, pynng.NNGException) as exc:
        print(f"canvasyoke: cannot start: {exc}", file=sys.stderr)
        code = REFUSED
    _end(code, writer)


def _end(code: int, writer: LineWriter | None) -> NoReturn:
    """End the process at once, with its last lines written and all else left as it is.

    Tasks still wait on their links. Torn down below them by an orderly exit of the
    interpreter, the library of the links aborts the process, or fails a task, which ends
    it as a fault: with 16 waiting tasks ten of ten exits.
    """
    if writer is not None:
        writer.flush(_LAST_LINES)
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


def _refuse(faults: Sequence[Fault]) -> int:
    for fault in faults:
        print(fault, file=sys.stderr)
    return REFUSED
