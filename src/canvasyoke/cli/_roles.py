"""The commands that run a role: ``entry`` and ``target``."""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence

import pynng

from canvasyoke.cli._registry import COMMANDS, REFUSED
from canvasyoke.observe import set_up_logs
from canvasyoke.state import EntrySettings, Fault, TargetSettings, load_settings


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


def _run(role: Callable[[], int]) -> int:
    try:
        return role()
    except (OSError, LookupError, pynng.NNGException) as exc:
        print(f"canvasyoke: cannot start: {exc}", file=sys.stderr)
        return REFUSED


def _refuse(faults: Sequence[Fault]) -> int:
    for fault in faults:
        print(fault, file=sys.stderr)
    return REFUSED
