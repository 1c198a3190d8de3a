"""Command registry and exit codes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, TypeAlias

from canvasyoke._registry import Registry

#: Success.
DONE: Final = 0
#: The operation was refused or failed.
REFUSED: Final = 1
#: Invalid command line.
USAGE: Final = 2
#: A thread of a role failed with an exception; ``EX_SOFTWARE`` of sysexits.
FAULT: Final = 70

#: A command takes files as positional arguments and options by keyword, and returns an exit code.
Command: TypeAlias = Callable[..., int]

#: Commands by name.
COMMANDS: Registry[Command] = Registry("command")
#: Commands that run until they receive a signal.
DAEMONS: Final = frozenset({"entry", "target", "direct", "ranks"})
