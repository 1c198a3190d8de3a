"""Checks which threads use and close the sockets of links.

A call of the socket library that runs while another thread closes its socket may block forever or
abort the process. The race is rare, so the rule that avoids it is checked: whoever waits on a
socket closes it, after all calls of other threads. See docs/incidents/links-abort.md.
"""

from __future__ import annotations

import functools
import os
import threading
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import pynng

#: Directory in which processes that tests start report conflicts, one file each.
REPORT_DIR_VARIABLE = "CANVASYOKE_SOCKET_REPORTS"
_RECEIVE_CALLS = ("recv", "recv_msg")
_CALLS = (*_RECEIVE_CALLS, "send", "send_msg", "dial", "listen")


class Patch(Protocol):
    """Replaces an attribute of a class, as ``setattr`` does."""

    def __call__(self, target: Any, name: str, value: Any, /) -> None:
        """Replace the attribute."""


class SocketMonitor:
    """Tracks the threads in calls on sockets, and closes that conflict with them."""

    def __init__(self, report: Callable[[str], None] = lambda _conflict: None) -> None:
        self._report = report
        # The garbage collector may close a socket in a thread that already holds the lock.
        self._lock = threading.RLock()
        #: Calls in progress by socket, thread and pipe; 0 for calls without a pipe.
        self._active_calls: Counter[tuple[int, str, int]] = Counter()
        #: Thread that received last, by socket.
        self._receivers: dict[int, str] = {}
        self.closed: set[int] = set()
        self.conflicts: list[str] = []

    def install(self, patch: Patch = setattr) -> None:
        """Wrap the calls of all sockets and pipes."""
        for name in _CALLS:
            patch(pynng.Socket, name, self.tracked(getattr(pynng.Socket, name)))
        patch(pynng.Socket, "close", self.tracked_close(pynng.Socket.close))
        patch(pynng.Pipe, "close", self.tracked_pipe_close(pynng.Pipe.close))

    def tracked(self, call: Callable[..., Any]) -> Callable[..., Any]:
        """Wrap a call so that it is tracked while it runs."""

        @functools.wraps(call)
        def wrapper(socket: Any, *args: Any, **kw: Any) -> Any:
            pipe = getattr(args[0], "pipe", None) if args else None
            caller = (id(socket), threading.current_thread().name, pipe.id if pipe else 0)
            with self._lock:
                self._active_calls[caller] += 1
                if call.__name__ in _RECEIVE_CALLS:
                    self._receivers[caller[0]] = caller[1]
            try:
                return call(socket, *args, **kw)
            finally:
                with self._lock:
                    self._active_calls[caller] -= 1
                    if not self._active_calls[caller]:
                        del self._active_calls[caller]

        return wrapper

    def tracked_close(self, close: Callable[[Any], None]) -> Callable[[Any], None]:
        """Wrap a close so that it records other threads in calls on the socket."""

        @functools.wraps(close)
        def wrapper(socket: Any) -> None:
            with self._lock:
                own = threading.current_thread().name
                others = {name for key, name, _ in self._active_calls if key == id(socket)}
                others = (others | {self._receivers.pop(id(socket), own)}) - {own}
                self._record(own, "a socket", others)
                self.closed.add(id(socket))
            close(socket)

        return wrapper

    def tracked_pipe_close(self, close: Callable[[Any], None]) -> Callable[[Any], None]:
        """Wrap a close so that it records other threads that send to the pipe."""

        @functools.wraps(close)
        def wrapper(pipe: Any) -> None:
            with self._lock:
                own = threading.current_thread().name
                others = {name for _, name, key in self._active_calls if key == pipe.id} - {own}
                self._record(own, "a pipe", others)
            close(pipe)

        return wrapper

    def _record(self, own: str, what: str, others: set[str]) -> None:
        if others:
            conflict = f"{own} closed {what} in use by {sorted(others)}"
            self.conflicts.append(conflict)
            self._report(conflict)


def install_from_environment() -> None:
    """Monitor this process, if the tests that started it ask for reports."""
    directory = os.environ.get(REPORT_DIR_VARIABLE, "")
    if not directory:
        return
    path = Path(directory) / f"{os.getpid()}.txt"

    def report(conflict: str) -> None:
        with path.open("a") as file:
            file.write(f"{conflict}\n")

    SocketMonitor(report).install()
