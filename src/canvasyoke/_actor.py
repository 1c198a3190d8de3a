"""Base class for actors whose failure must terminate the process.

By default, pykka stops only the actor that raised, which would leave a target that accepts
requests but never answers them. Expected errors are returned as values, so an unhandled
exception in an actor indicates a violated invariant.
"""

from __future__ import annotations

import threading
from types import TracebackType
from typing import Any

import pykka


class CriticalActor(pykka.ThreadingActor):
    """Actor that reports unhandled exceptions to ``threading.excepthook``.

    The long-running commands install a hook there that terminates the process.
    """

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Pass the exception to ``threading.excepthook``, as for an uncaught one in a thread."""
        args: Any = (exception_type, exception_value, traceback, threading.current_thread())
        threading.excepthook(threading.ExceptHookArgs(args))
