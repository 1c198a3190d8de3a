"""Links over real sockets: order, bulk, strangers, restarts, and noise at any moment."""

import random
import socket
import threading
import time
from collections.abc import Iterator

import pynng
import pytest

from canvasyoke import SystemClock
from canvasyoke.protocol import Chunk, Forget, Message, make_hello
from canvasyoke.transport import LinkClient, LinkServer, Session
from fakes.launcher import wait_until
from fakes.ports import free_address

KEY = b"k" * 32


class Server:
    """A listening end that keeps what it gets and can answer."""

    def __init__(self, address: str, incarnation: str = "run-1") -> None:
        self.messages: list[Message] = []
        self.sessions: list[Session] = []
        self.ended: list[Session] = []
        self.link = LinkServer(
            address,
            KEY,
            "t-1",
            incarnation,
            SystemClock(),
            lambda session, message: self.messages.append(message),
            self.sessions.append,
            self.ended.append,
        )
        self.link.start()


class Client:
    """A dialling end that keeps what it gets."""

    def __init__(self, address: str, key: bytes = KEY) -> None:
        self.messages: list[Message] = []
        self.session: Session | None = None
        self.opened: list[str] = []
        self.link = LinkClient(
            address,
            key,
            "entry",
            "e-1",
            "run-1",
            SystemClock(),
            random.Random(1),
            lambda session, message: self.messages.append(message),
            self._open,
            self._close,
        )
        self.link.start()

    def _open(self, session: Session) -> None:
        self.session = session
        self.opened.append(session.incarnation)

    def _close(self, session: Session) -> None:
        self.session = None


@pytest.fixture
def address() -> str:
    return free_address()


@pytest.fixture
def server(address: str) -> Iterator[Server]:
    server = Server(address)
    yield server
    server.link.stop()


@pytest.fixture
def client(address: str, server: Server) -> Iterator[Client]:
    client = Client(address)
    # The server's side of it begins a moment after the client's.
    wait_until(lambda: client.session is not None and bool(server.sessions), "a session")
    yield client
    client.link.stop()


def test_bulk_in_both_directions_keeps_its_order(server: Server, client: Client) -> None:
    """Far more than nng would hold for one pipe; nothing is dropped."""
    assert client.session is not None
    session = client.session
    count = 20_000

    def send_up() -> None:
        for number in range(count):
            session.send(Forget(number, 0))

    up = threading.Thread(target=send_up)
    up.start()
    for number in range(count):
        server.sessions[0].send(Chunk(1, 1, number, b"x" * 50))
    up.join()
    wait_until(lambda: len(client.messages) == len(server.messages) == count, "all of it")
    assert [m.offset for m in client.messages if isinstance(m, Chunk)] == list(range(count))
    assert [m.request for m in server.messages if isinstance(m, Forget)] == list(range(count))
    assert client.opened == ["run-1"], "in one session"


def test_receiver_that_stands_still_loses_nothing(address: str, server: Server) -> None:
    """More than all buffers on the way hold; nng would drop what is over."""
    go_on = threading.Event()
    got: list[int] = []

    def receive(session: Session, message: Message) -> None:
        go_on.wait()
        assert isinstance(message, Chunk)
        got.append(message.offset)

    opened: list[Session] = []
    slow = LinkClient(
        address,
        KEY,
        "entry",
        "e-2",
        "run-1",
        SystemClock(),
        random.Random(1),
        receive,
        opened.append,
        lambda session: None,
    )
    slow.start()
    wait_until(lambda: len(opened) == 1 and bool(server.sessions), "a session")
    for number in range(1_000):
        server.sessions[0].send(Chunk(1, 1, number, bytes(20_000)))
    time.sleep(0.5)  # what is not held back has gone by now
    go_on.set()
    wait_until(lambda: len(got) == 1_000 or len(opened) > 1, "all of it")
    assert got == list(range(1_000))
    slow.stop()


def test_client_finds_a_restarted_server(address: str, server: Server, client: Client) -> None:
    server.link.stop()
    wait_until(lambda: client.session is None, "the end is noticed")
    again = Server(address, "run-2")
    wait_until(lambda: client.opened == ["run-1", "run-2"], "the next session")
    again.link.stop()


def test_stranger_is_told_nothing(address: str, server: Server) -> None:
    stranger = Client(address, key=b"z" * 32)
    wait_until(lambda: server.link.strangers > 0, "it was noticed")
    assert not server.sessions
    assert stranger.session is None
    stranger.link.stop()


@pytest.mark.parametrize("seed", range(3))
def test_noise_and_sudden_ends_leave_the_server_serving(
    address: str, server: Server, client: Client, seed: int
) -> None:
    """Pipes that close while their frame is being refused once ended the server's task."""
    rng = random.Random(seed)
    for _ in range(150):
        with pynng.Pair1(polyamorous=True) as noise:
            noise.dial(f"tcp://{address}", block=True)
            data = make_hello(KEY, "entry", "n", "n")[1] if rng.random() < 0.3 else bytes(9)
            noise.send(data)
            if rng.random() < 0.3:
                noise.send(bytes(rng.randrange(60)))
    assert client.session is not None
    client.session.send(Forget(7, 7))
    wait_until(lambda: Forget(7, 7) in server.messages, "it still serves")
    wait_until(lambda: len(server.ended) == len(server.sessions) - 1, "their sessions end")


def test_silence_ends_a_session(server: Server, client: Client) -> None:
    assert client.session is not None
    assert not client.session.silent
    began = time.monotonic()
    wait_until(lambda: time.monotonic() - began > 1.5, "a heartbeat or two")
    assert not client.session.silent
    assert client.opened == ["run-1"]


def test_a_connection_that_does_not_come_about_is_given_up() -> None:
    """The operating system goes on for two minutes, and asks ever more seldom."""
    with socket.socket() as deaf:
        deaf.bind(("127.0.0.1", 0))
        deaf.listen(0)
        host, port = deaf.getsockname()
        waiting = [socket.socket() for _ in range(8)]
        try:
            for each in waiting:  # what is beyond the queue is not answered
                each.setblocking(False)
                each.connect_ex((host, port))
            client = Client(f"{host}:{port}")
            wait_until(lambda: "no connection" in client.link.last_fault, "given up", 10)
            client.link.stop()
        finally:
            for each in waiting:
                each.close()
    assert client.opened == []


def test_a_link_that_is_not_wanted_any_more_ends(server: Server, client: Client) -> None:
    """Its receiving task waits without a limit; the sending one wakes it."""
    client.link.stop()
    wait_until(lambda: client.session is None, "the session ends")
    wait_until(lambda: not client.link._task.is_alive(), "and the task with it")
    wait_until(lambda: len(server.ended) == 1, "the other end notices")


def test_a_server_that_has_stopped_leaves_its_address(address: str, server: Server) -> None:
    server.link.stop()
    again = Server(address, "run-2")
    again.link.stop()
