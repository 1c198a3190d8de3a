"""Only the thread that receives on a link's socket closes it, while no other thread uses it.

A call on a socket that another thread closes may block forever or abort the process. The race
is rare, so these tests check the rule itself. See docs/incidents/links-abort.md.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator
from typing import Any

import pynng
import pytest

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.protocol import Forget, accept_hello, accept_welcome, make_hello
from canvasyoke.transport import LinkServer, Session, _link_server
from canvasyoke.transport.tests.test_links import KEY, Client, Server
from fakes.launcher import wait_until
from fakes.ports import free_address
from fakes.socket_monitor import SocketMonitor

LINKS = 10
#: Timeout in seconds for expected events, and seconds within which a premature close would happen.
EVENT_TIMEOUT = 20.0
PREMATURE_CLOSE_WAIT = 0.3


@pytest.fixture
def monitor(monkeypatch: pytest.MonkeyPatch) -> Iterator[SocketMonitor]:
    created = SocketMonitor()
    created.install(monkeypatch.setattr)
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


def connect_raw(address: str) -> pynng.Pair1:
    """Return a socket that has completed the handshake of a link."""
    socket = pynng.Pair1(polyamorous=True, recv_timeout=5 * SECOND, send_timeout=5 * SECOND)
    socket.dial(f"tcp://{address}", block=True)
    hello, data = make_hello(KEY, "entry", "e-1", "run")
    socket.send(data)
    accept_welcome(KEY, hello, socket.recv())
    return socket


def test_pipe_is_closed_after_pending_sends(
    monitor: SocketMonitor, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An invalid frame ends a server's session while its thread sends to the pipe."""
    sending, resume, closed = threading.Event(), threading.Event(), threading.Event()
    send_msg, close = pynng.Socket.send_msg, pynng.Pipe.close

    def blocking_send(socket: Any, *args: Any) -> None:
        if threading.current_thread().name.startswith("send-"):
            sending.set()
            resume.wait()
        send_msg(socket, *args)

    def recorded_close(pipe: Any) -> None:
        close(pipe)
        closed.set()

    server = Server(address := free_address())
    with connect_raw(address) as socket:
        wait_until(lambda: bool(server.sessions), "a session")
        monkeypatch.setattr(pynng.Socket, "send_msg", monitor.tracked(blocking_send))
        monkeypatch.setattr(pynng.Pipe, "close", recorded_close)
        server.sessions[0].send(Forget(1, 1))
        assert sending.wait(EVENT_TIMEOUT)
        socket.send(b"no frame of ours")
        wait_until(lambda: bool(server.ended), "the session ends")
        closed.wait(PREMATURE_CLOSE_WAIT)
        resume.set()
        assert closed.wait(EVENT_TIMEOUT)
    server.link.stop()
    assert not monitor.conflicts


def test_late_frame_of_a_removed_pipe_does_not_close_it(
    monitor: SocketMonitor, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Frames may be left in the queue when the pipe is removed while its thread sends to it."""
    sending, resume = threading.Event(), threading.Event()
    send_msg = pynng.Socket.send_msg

    def blocking_send(socket: Any, *args: Any) -> None:
        if threading.current_thread().name.startswith("send-"):
            sending.set()
            resume.wait()
        send_msg(socket, *args)

    server = Server(address := free_address())
    with connect_raw(address):
        wait_until(lambda: bool(server.sessions), "a session")
        (pipe,) = server.link._socket.pipes
        monkeypatch.setattr(pynng.Socket, "send_msg", monitor.tracked(blocking_send))
        server.sessions[0].send(Forget(1, 1))
        assert sending.wait(EVENT_TIMEOUT)
    wait_until(lambda: bool(server.ended), "the session ends")
    server.link._receive(pipe, b"a late frame")
    resume.set()
    server.link.stop()
    assert not monitor.conflicts


def test_pipe_of_a_timed_out_session_is_closed() -> None:
    """Otherwise each peer that falls silent leaves an open connection."""
    clock = ManualClock(start=10_000)
    sessions: list[Session] = []
    server = LinkServer(
        address := free_address(),
        KEY,
        "t-1",
        "run",
        clock,
        lambda _session, _message: None,
        sessions.append,
        lambda _session: None,
    )
    server.start()
    with connect_raw(address) as socket:
        wait_until(lambda: bool(sessions), "a session")
        (pipe,) = socket.pipes
        clock.advance(3_001)
        # The client's socket connects again at once, with another pipe.
        wait_until(lambda: pipe not in socket.pipes, "the connection is closed")
    server.stop()


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
