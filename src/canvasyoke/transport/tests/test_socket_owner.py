"""Only the thread that receives on a link's socket closes it, while no other thread uses it.

A call on a socket that another thread closes may block forever or abort the process. The race
is rare, so these tests check the rule itself. See docs/incidents/links-abort.md.
"""

from __future__ import annotations

import functools
import threading
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

import pynng
import pytest

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.protocol import Forget, accept_hello, make_hello
from canvasyoke.transport import Session, _link_server
from canvasyoke.transport.tests.test_links import KEY, Client, Server
from fakes.launcher import wait_until
from fakes.ports import free_address

CALLS = ("recv", "recv_msg", "send", "send_msg")
LINKS = 10
#: Timeout in seconds for expected events, and seconds within which a premature close would happen.
EVENT_TIMEOUT = 20.0
PREMATURE_CLOSE_WAIT = 0.3


class SocketMonitor:
    """Tracks the threads in calls on sockets, and closes that conflict with them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._active_calls: Counter[tuple[int, str]] = Counter()
        self._receivers: dict[int, str] = {}
        self.closed: set[int] = set()
        self.conflicts: list[str] = []

    def tracked(self, call: Callable[..., Any]) -> Callable[..., Any]:
        """Wrap a call so that it is tracked while it runs."""

        @functools.wraps(call)
        def wrapper(socket: Any, *args: Any, **kw: Any) -> Any:
            caller = (id(socket), threading.current_thread().name)
            with self._lock:
                self._active_calls[caller] += 1
                if call.__name__.startswith("recv"):
                    self._receivers[caller[0]] = caller[1]
            try:
                return call(socket, *args, **kw)
            finally:
                with self._lock:
                    self._active_calls[caller] -= 1

        return wrapper

    def tracked_close(self, close: Callable[[Any], None]) -> Callable[[Any], None]:
        """Wrap a close so that it records other threads in calls on the socket."""

        @functools.wraps(close)
        def wrapper(socket: Any) -> None:
            with self._lock:
                own = threading.current_thread().name
                others = {
                    n for (s, n), count in self._active_calls.items() if s == id(socket) and count
                }
                others |= {self._receivers.pop(id(socket), own)} - {own}
                if others:
                    self.conflicts.append(f"{own} closed a socket in use by {sorted(others)}")
                self.closed.add(id(socket))
            close(socket)

        return wrapper


@pytest.fixture
def monitor(monkeypatch: pytest.MonkeyPatch) -> Iterator[SocketMonitor]:
    created = SocketMonitor()
    for name in CALLS:
        monkeypatch.setattr(pynng.Socket, name, created.tracked(getattr(pynng.Socket, name)))
    monkeypatch.setattr(pynng.Socket, "close", created.tracked_close(pynng.Socket.close))
    yield created


@pytest.mark.parametrize("server_first", [False, True], ids=["the client stops", "the server does"])
def test_no_thread_uses_a_socket_that_is_closed(monitor: SocketMonitor, server_first: bool) -> None:
    for _ in range(LINKS):
        address = free_address()
        server, client = Server(address), Client(address)
        wait_until(lambda: client.session is not None and bool(server.sessions), "a session")  # noqa: B023
        ends = [server.link.stop, client.link.stop]
        for end in ends if server_first else reversed(ends):
            end()
        wait_until(lambda: not client.link._thread.is_alive(), "the client's thread ends")  # noqa: B023
    assert len(monitor.closed) >= 2
    assert not monitor.conflicts


def test_socket_is_closed_after_pending_sends(
    monitor: SocketMonitor, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An invalid frame ends the link while the sending thread is in a call."""
    sending, resume, closed = threading.Event(), threading.Event(), threading.Event()
    send, close = pynng.Socket.send, pynng.Socket.close

    def blocking_send(socket: Any, *args: Any) -> None:
        if threading.current_thread().name.startswith("send-"):
            sending.set()
            resume.wait()
        send(socket, *args)

    def recorded_close(socket: Any) -> None:
        close(socket)
        closed.set()

    address = free_address()
    server, client = Server(address), Client(address)
    wait_until(lambda: client.session is not None, "a session")
    assert client.session is not None
    monkeypatch.setattr(pynng.Socket, "send", monitor.tracked(blocking_send))
    monkeypatch.setattr(pynng.Socket, "close", recorded_close)
    client.session.send(Forget(1, 1))
    assert sending.wait(EVENT_TIMEOUT)
    (pipe,) = server.link._socket.pipes
    pipe.send(b"no frame of ours")
    wait_until(lambda: client.session is None, "the link ends")
    closed.wait(PREMATURE_CLOSE_WAIT)
    client.link.stop()
    resume.set()
    wait_until(lambda: not client.link._thread.is_alive(), "the client's thread ends")
    server.link.stop()
    assert not monitor.conflicts


def test_idle_server_stops_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Stopping does not wait for the next check for timed-out sessions."""
    monkeypatch.setattr(_link_server, "_TIMEOUT_CHECK_INTERVAL", 1_000 * SECOND)
    server = Server(free_address())
    stopping = threading.Thread(target=server.link.stop)
    stopping.start()
    wait_until(lambda: not stopping.is_alive(), "the server stops")


def test_session_that_times_out_ends_with_an_error() -> None:
    """The sending thread detects the timeout; the receiving thread only checks for the end."""
    clock = ManualClock(start=10_000)
    _, data = make_hello(KEY, "entry", "e-1", "run")
    _, _, sealer, opener = accept_hello(KEY, data, "t-1", "run")
    session = Session("e-1", "run", sealer, opener, lambda _: None, clock, "entry")
    session.start()
    clock.advance(3_001)
    session.send(Forget(1, 1))
    session.join()
    assert session.closed
    assert session.error == "no frame received before the timeout"
