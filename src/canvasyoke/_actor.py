"""The base of all actors: one that fails ends its process.

pykka stops an actor whose message raised and lets the rest of the process go on, which
would leave a target that listens and never answers. Outcomes are values here, so an
exception that reaches an actor's end is a broken invariant.
"""

from __future__ import annotations

import threading
from types import TracebackType
from typing import Any

import pykka


class CriticalActor(pykka.ThreadingActor):
    """An actor without which its process is of no use."""

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Hand the failure to the hook that all tasks' failures go to."""
        args: Any = (exception_type, exception_value, traceback, threading.current_thread())
        threading.excepthook(threading.ExceptHookArgs(args))
