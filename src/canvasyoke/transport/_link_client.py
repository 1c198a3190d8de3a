"""The dialling end of a link: one task for each peer, written straight down."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from contextlib import closing
from typing import Any, Final

import pynng

from canvasyoke._clock import SECOND, Clock
from canvasyoke.protocol import (
    MAX_FRAME_BYTES,
    CodecError,
    HandshakeError,
    Message,
    SealError,
    accept_welcome,
    make_hello,
)
from canvasyoke.transport._receiver import Receiver
from canvasyoke.transport._session import Session

#: Milliseconds for a connection to come about. The farthest peer answers within 0.2 s.
#: The operating system's own limit is minutes, and it asks again after 1, 2 and 4 s: a
#: link that was dialled while a domain was cut off came back 1.9 s after the cut had ended.
_DIAL_TIMEOUT: Final = 500
#: Milliseconds for each step of the handshake.
_CONNECT_TIMEOUT: Final = 2 * SECOND
#: Milliseconds between tries to connect, doubled from the first to the second. A process
#: has fourteen links at the most; what the links carry is missed from the end of a cut on.
_BACKOFF_START: Final = 50
_BACKOFF_LIMIT: Final = 500


class LinkClient:
    """Keeps one sealed session with one address for as long as it is wanted.

    ``on_open`` runs when a session begins, ``on_close`` when it ends, and
    ``on_message`` for each message between; all on the peer's own task.
    """

    def __init__(
        self,
        address: str,
        link_key: bytes,
        role: str,
        instance: str,
        incarnation: str,
        clock: Clock,
        rng: random.Random,
        on_message: Callable[[Session, Message], None],
        on_open: Callable[[Session], None],
        on_close: Callable[[Session], None],
    ) -> None:
        #: Address of the other end.
        self.address = address
        self._link_key = link_key
        self._role = role
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._on_message = on_message
        self._on_open = on_open
        self._on_close = on_close
        self._stop = threading.Event()
        self._session: Session | None = None
        #: Why the last session ended or could not begin.
        self.last_fault = ""
        self._task = threading.Thread(target=self._run, name=f"peer-{address}", daemon=True)

    def start(self) -> None:
        """Start the peer's task."""
        self._task.start()

    def use_key(self, link_key: bytes) -> None:
        """Dial with another key from the next session on."""
        self._link_key = link_key

    def stop(self) -> None:
        """End the session and the task."""
        self._stop.set()
        session = self._session
        if session is not None:
            session.close()

    def _run(self) -> None:
        backoff = _BACKOFF_START
        while not self._stop.is_set():
            if self._serve_once():
                backoff = _BACKOFF_START
            jitter = self._rng.uniform(0.5, 1.5)
            self._stop.wait(backoff * jitter / SECOND)
            backoff = min(backoff * 2, _BACKOFF_LIMIT)

    def _serve_once(self) -> bool:
        """Connect and serve one session to its end; true when it had begun."""
        with (
            pynng.Pair1(polyamorous=True, recv_max_size=MAX_FRAME_BYTES) as socket,
            closing(Receiver(socket, socket.recv)) as receiver,
        ):
            try:
                session = self._connect(socket, receiver.wake)
            except (pynng.NNGException, HandshakeError) as exc:
                self.last_fault = f"{type(exc).__name__}: {exc}"
                return False
            self._session = session
            session.start()
            if self._stop.is_set():
                session.close()
            try:
                self._on_open(session)
                self._receive_all(receiver, session)
            finally:
                session.close()
                self._session = None
                self.last_fault = session.fault or self.last_fault
                self._on_close(session)
                # It may be sending: the socket is closed after that.
                session.join()
        return True

    def _connect(self, socket: Any, on_end: Callable[[], None]) -> Session:
        socket.recv_timeout = _CONNECT_TIMEOUT
        socket.send_timeout = _CONNECT_TIMEOUT
        self._dial(socket)
        hello, data = make_hello(self._link_key, self._role, self._instance, self._incarnation)
        socket.send(data)
        welcome, sealer, opener = accept_welcome(self._link_key, hello, socket.recv())

        def put(frame: bytes) -> None:
            try:
                socket.send(frame)
            except pynng.NNGException as exc:
                raise OSError(str(exc)) from exc

        session = Session(
            welcome.instance,
            welcome.incarnation,
            sealer,
            opener,
            put,
            self._clock,
            role="target",
            on_end=on_end,
        )
        socket.add_post_pipe_remove_cb(lambda _pipe: session.close())
        return session

    def _dial(self, socket: Any) -> None:
        """Wait for a connection; raises ``pynng.Timeout`` when none comes in time."""
        connected = threading.Event()
        socket.add_post_pipe_connect_cb(lambda _pipe: connected.set())
        socket.dial(f"tcp://{self.address}", block=False)
        if not connected.wait(_DIAL_TIMEOUT / SECOND):
            raise pynng.Timeout(f"no connection within {_DIAL_TIMEOUT} ms", 0)

    def _receive_all(self, receiver: Receiver[bytes], session: Session) -> None:
        while not session.closed:
            receiver.wait()
            try:
                for frame in receiver.arrivals():
                    for message in session.receive(frame):
                        self._on_message(session, message)
            except (pynng.NNGException, SealError, CodecError) as exc:
                self.last_fault = f"{type(exc).__name__}: {exc}"
                return
