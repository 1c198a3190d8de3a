"""Conflicts in the use of link sockets are found in this process and in those that tests start.

Guards against a monitor that passes whatever it sees.
"""

from __future__ import annotations

import subprocess
import sys
import threading
from collections.abc import Callable
from pathlib import Path

from fakes.launcher import ROOT, child_environment
from fakes.socket_monitor import REPORT_DIR_VARIABLE, SocketMonitor

#: Receives in one thread and closes in another.
BREACH = """
import threading
import pynng
socket = pynng.Pair1(polyamorous=True)
def receive():
    try:
        socket.recv(block=False)
    except pynng.TryAgain:
        pass
thread = threading.Thread(target=receive, name="receiver")
thread.start()
thread.join()
socket.close()
"""


def recv(_socket: object) -> None:
    """Stand in for a call of a socket."""


def close(_socket: object) -> None:
    """Stand in for the close of a socket or pipe."""


def _in_thread(action: Callable[[], object]) -> None:
    thread = threading.Thread(target=action, name="other")
    thread.start()
    thread.join()


def test_only_a_close_by_another_thread_is_a_conflict() -> None:
    monitor = SocketMonitor()
    socket, other = object(), object()
    monitor.tracked(recv)(socket)
    monitor.tracked_close(close)(socket)
    assert not monitor.conflicts
    _in_thread(lambda: monitor.tracked(recv)(other))
    monitor.tracked_close(close)(other)
    assert monitor.conflicts == ["MainThread closed a socket in use by ['other']"]


def test_processes_report_conflicts(tmp_path: Path) -> None:
    env = child_environment() | {REPORT_DIR_VARIABLE: str(tmp_path)}
    subprocess.run([sys.executable, "-c", BREACH], cwd=ROOT, env=env, check=True)
    (report,) = tmp_path.iterdir()
    assert report.read_text() == "MainThread closed a socket in use by ['receiver']\n"
