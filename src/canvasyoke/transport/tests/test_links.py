"""Links over real sockets: ordering, backpressure, authentication, restarts, invalid data."""

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
    """A listening end that records messages and sessions."""

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
    """A dialling end that records messages and sessions."""

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
    # The server registers the session after the client has opened it.
    wait_until(lambda: client.session is not None and bool(server.sessions), "a session")
    yield client
    client.link.stop()


def test_messages_in_both_directions_keep_their_order(server: Server, client: Client) -> None:
    """More messages than nng buffers per pipe; none is dropped."""
    assert client.session is not None
    session = client.session
    count = 20_000

    def send_to_server() -> None:
        for number in range(count):
            session.send(Forget(number, 0))

    sender = threading.Thread(target=send_to_server)
    sender.start()
    for number in range(count):
        server.sessions[0].send(Chunk(1, 1, number, b"x" * 50))
    sender.join()
    wait_until(lambda: len(client.messages) == len(server.messages) == count, "all messages")
    assert [m.offset for m in client.messages if isinstance(m, Chunk)] == list(range(count))
    assert [m.request for m in server.messages if isinstance(m, Forget)] == list(range(count))
    assert client.opened == ["run-1"], "in one session"


def test_blocked_receiver_loses_no_messages(address: str, server: Server) -> None:
    """More data than all buffers hold, so that nng would drop the excess."""
    resume = threading.Event()
    received: list[int] = []

    def receive(session: Session, message: Message) -> None:
        resume.wait()
        assert isinstance(message, Chunk)
        received.append(message.offset)

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
    time.sleep(0.5)  # enough to drop messages without backpressure
    resume.set()
    wait_until(lambda: len(received) == 1_000 or len(opened) > 1, "all messages")
    assert received == list(range(1_000))
    slow.stop()


def test_client_reconnects_to_a_restarted_server(
    address: str, server: Server, client: Client
) -> None:
    server.link.stop()
    wait_until(lambda: client.session is None, "the session ends")
    restarted = Server(address, "run-2")
    wait_until(lambda: client.opened == ["run-1", "run-2"], "the next session")
    restarted.link.stop()


def test_client_with_a_wrong_key_gets_no_session(address: str, server: Server) -> None:
    client = Client(address, key=b"z" * 32)
    wait_until(lambda: server.link.rejected_handshakes > 0, "the handshake is rejected")
    assert not server.sessions
    assert client.session is None
    client.link.stop()


@pytest.mark.parametrize("seed", range(3))
def test_invalid_data_and_disconnects_do_not_stop_the_server(
    address: str, server: Server, client: Client, seed: int
) -> None:
    """Pipes may close while their frame is being rejected."""
    rng = random.Random(seed)
    for _ in range(150):
        with pynng.Pair1(polyamorous=True) as intruder:
            intruder.dial(f"tcp://{address}", block=True)
            data = make_hello(KEY, "entry", "n", "n")[1] if rng.random() < 0.3 else bytes(9)
            intruder.send(data)
            if rng.random() < 0.3:
                intruder.send(bytes(rng.randrange(60)))
    assert client.session is not None
    client.session.send(Forget(7, 7))
    wait_until(lambda: Forget(7, 7) in server.messages, "the message arrives")
    wait_until(lambda: len(server.ended) == len(server.sessions) - 1, "the other sessions end")


def test_heartbeats_keep_an_idle_session_open(server: Server, client: Client) -> None:
    assert client.session is not None
    assert not client.session.is_timed_out
    began = time.monotonic()
    wait_until(lambda: time.monotonic() - began > 1.5, "heartbeats are sent")
    assert not client.session.is_timed_out
    assert client.opened == ["run-1"]


def test_a_connection_that_does_not_come_about_is_given_up() -> None:
    """The connect timeout is shorter than that of the operating system."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        host, port = listener.getsockname()
        connections = [socket.socket() for _ in range(8)]
        try:
            for each in connections:  # fill the accept queue
                each.setblocking(False)
                each.connect_ex((host, port))
            client = Client(f"{host}:{port}")
            wait_until(
                lambda: "no connection" in client.link.last_error, "the connection times out", 10
            )
            client.link.stop()
        finally:
            for each in connections:
                each.close()
    assert client.opened == []


def test_stopping_a_link_ends_its_session(server: Server, client: Client) -> None:
    """The sending thread wakes the receiving thread, which waits without a timeout."""
    client.link.stop()
    wait_until(lambda: client.session is None, "the session ends")
    wait_until(lambda: not client.link._thread.is_alive(), "the thread ends")
    wait_until(lambda: len(server.ended) == 1, "the server ends the session")


def test_stopped_server_releases_its_address(address: str, server: Server) -> None:
    server.link.stop()
    restarted = Server(address, "run-2")
    restarted.link.stop()
