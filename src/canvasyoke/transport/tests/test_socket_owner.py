"""One task waits on a link's socket and closes it.

A process ended, or a link would never have come back: a call on a socket that begins while
another task closes it is put into a queue that is closed and freed. It never ends; with a limit
the library's timer cancels it there, `panic: pthread_mutex_lock: Invalid argument` in
`nni_msgq_cancel`. By hand it took thousands of links (`make bench ONLY=link_sockets`); so this
test looks at the rule itself: whoever closes a socket is the one that receives on it, and
nobody else is in a call on it.
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
#: Seconds within which what must happen has happened, and in which a socket that is closed too
#: early is closed.
PATIENCE = 20.0
HASTE = 0.3


class Watch:
    """Who is in a call on which socket, and closes that met somebody there."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._inside: Counter[tuple[int, str]] = Counter()
        self._receivers: dict[int, str] = {}
        self.closed: set[int] = set()
        self.met: list[str] = []

    def watched(self, call: Callable[..., Any]) -> Callable[..., Any]:
        """Return a call that is noted while it lasts."""

        @functools.wraps(call)
        def noted(socket: Any, *args: Any, **kw: Any) -> Any:
            place = (id(socket), threading.current_thread().name)
            with self._lock:
                self._inside[place] += 1
                if call.__name__.startswith("recv"):
                    self._receivers[place[0]] = place[1]
            try:
                return call(socket, *args, **kw)
            finally:
                with self._lock:
                    self._inside[place] -= 1

        return noted

    def watched_close(self, close: Callable[[Any], None]) -> Callable[[Any], None]:
        """Return a close that notes who else is in a call."""

        @functools.wraps(close)
        def noted(socket: Any) -> None:
            with self._lock:
                own = threading.current_thread().name
                others = {n for (s, n), count in self._inside.items() if s == id(socket) and count}
                others |= {self._receivers.pop(id(socket), own)} - {own}
                if others:
                    self.met.append(f"{own} met {sorted(others)}")
                self.closed.add(id(socket))
            close(socket)

        return noted


@pytest.fixture
def watch(monkeypatch: pytest.MonkeyPatch) -> Iterator[Watch]:
    made = Watch()
    for name in CALLS:
        monkeypatch.setattr(pynng.Socket, name, made.watched(getattr(pynng.Socket, name)))
    monkeypatch.setattr(pynng.Socket, "close", made.watched_close(pynng.Socket.close))
    yield made


@pytest.mark.parametrize("server_first", [False, True], ids=["the client stops", "the server does"])
def test_nobody_is_in_a_call_on_a_socket_that_is_closed(watch: Watch, server_first: bool) -> None:
    for _ in range(LINKS):
        address = free_address()
        server, client = Server(address), Client(address)
        wait_until(lambda: client.session is not None and bool(server.sessions), "a session")  # noqa: B023
        ends = [server.link.stop, client.link.stop]
        for end in ends if server_first else reversed(ends):
            end()
        wait_until(lambda: not client.link._task.is_alive(), "the client's task ends")  # noqa: B023
    assert len(watch.closed) >= 2
    assert not watch.met


def test_a_socket_outlives_what_is_being_sent_on_it(
    watch: Watch, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A frame that cannot be opened ends the link while its sending task is in another."""
    sending, go_on, closed = threading.Event(), threading.Event(), threading.Event()
    send, close = pynng.Socket.send, pynng.Socket.close

    def held_send(socket: Any, *args: Any) -> None:
        if threading.current_thread().name.startswith("send-"):
            sending.set()
            go_on.wait()
        send(socket, *args)

    def noted_close(socket: Any) -> None:
        close(socket)
        closed.set()

    address = free_address()
    server, client = Server(address), Client(address)
    wait_until(lambda: client.session is not None, "a session")
    assert client.session is not None
    monkeypatch.setattr(pynng.Socket, "send", watch.watched(held_send))
    monkeypatch.setattr(pynng.Socket, "close", noted_close)
    client.session.send(Forget(1, 1))
    assert sending.wait(PATIENCE)
    (pipe,) = server.link._socket.pipes
    pipe.send(b"no frame of ours")
    wait_until(lambda: client.session is None, "the link ends")
    closed.wait(HASTE)
    client.link.stop()
    go_on.set()
    wait_until(lambda: not client.link._task.is_alive(), "the client's task ends")
    server.link.stop()
    assert not watch.met


def test_a_server_that_hears_nothing_stops_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its next look at silent peers is far away."""
    monkeypatch.setattr(_link_server, "_LOOK_EVERY", 1_000 * SECOND)
    server = Server(free_address())
    stopping = threading.Thread(target=server.link.stop)
    stopping.start()
    wait_until(lambda: not stopping.is_alive(), "it stops")


def test_a_session_that_hears_nothing_ends_and_says_why() -> None:
    """The receiving task only looks whether it has ended."""
    clock = ManualClock(start=10_000)
    _, data = make_hello(KEY, "entry", "e-1", "run")
    _, _, sealer, opener = accept_hello(KEY, data, "t-1", "run")
    session = Session("e-1", "run", sealer, opener, lambda _: None, clock, "entry")
    session.start()
    clock.advance(3_001)
    session.send(Forget(1, 1))
    session.join()
    assert session.closed
    assert session.fault == "the link fell silent"
