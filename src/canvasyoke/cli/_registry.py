"""The registry of commands and the exit codes they share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, TypeAlias

from canvasyoke._registry import Registry

#: What was asked is done.
DONE: Final = 0
#: What was asked was refused or failed.
REFUSED: Final = 1
#: The command line was not understood.
USAGE: Final = 2
#: A role ended because one of its tasks died; as in sysexits, EX_SOFTWARE.
FAULT: Final = 70

#: A command: files as positional arguments, options by keyword, an exit code back.
Command: TypeAlias = Callable[..., int]

#: All commands by name.
COMMANDS: Registry[Command] = Registry("command")
#: Commands that run until they are told to stop.
DAEMONS: Final = frozenset({"entry", "target", "direct", "ranks"})
