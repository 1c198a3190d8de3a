"""The dialling end of a link, with one thread per peer."""

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

#: Connect timeout in milliseconds. The operating system retries after 1, 2 and 4 s, which would
#: delay reconnecting after a network partition. The farthest peer answers within 0.2 s. Without
#: this limit, a link that was dialled during a partition came back 1.9 s after its end.
_DIAL_TIMEOUT: Final = 500
#: Timeout of each step of the handshake, in milliseconds.
_HANDSHAKE_TIMEOUT: Final = 2 * SECOND
#: First and longest delay between connection attempts, in milliseconds.
_BACKOFF_START: Final = 50
_BACKOFF_LIMIT: Final = 500


class LinkClient:
    """Maintains an authenticated session with one address until it is stopped.

    ``on_open`` is called when a session begins, ``on_close`` when it ends, and
    ``on_message`` for each message received, all on the peer's thread.
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
        #: Why the last session ended or could not be established.
        self.last_error = ""
        self._thread = threading.Thread(target=self._run, name=f"peer-{address}", daemon=True)

    def start(self) -> None:
        """Start the peer's thread."""
        self._thread.start()

    def use_key(self, link_key: bytes) -> None:
        """Use another link key from the next session on."""
        self._link_key = link_key

    def stop(self) -> None:
        """End the session and the thread."""
        self._stop.set()
        session = self._session
        if session is not None:
            session.close()

    def _run(self) -> None:
        backoff = _BACKOFF_START
        while not self._stop.is_set():
            if self._run_session():
                backoff = _BACKOFF_START
            jitter = self._rng.uniform(0.5, 1.5)
            self._stop.wait(backoff * jitter / SECOND)
            backoff = min(backoff * 2, _BACKOFF_LIMIT)

    def _run_session(self) -> bool:
        """Connect and run one session until it ends; return whether it was established."""
        with (
            pynng.Pair1(polyamorous=True, recv_max_size=MAX_FRAME_BYTES) as socket,
            closing(Receiver(socket, socket.recv)) as receiver,
        ):
            try:
                session = self._connect(socket, receiver.wake)
            except (pynng.NNGException, HandshakeError) as exc:
                self.last_error = f"{type(exc).__name__}: {exc}"
                return False
            self._session = session
            session.start()
            if self._stop.is_set():
                session.close()
            try:
                self._on_open(session)
                self._receive_messages(receiver, session)
            finally:
                session.close()
                self._session = None
                self.last_error = session.error or self.last_error
                self._on_close(session)
                # The socket must not be closed while the session's thread sends on it.
                session.join()
        return True

    def _connect(self, socket: Any, on_end: Callable[[], None]) -> Session:
        socket.recv_timeout = _HANDSHAKE_TIMEOUT
        socket.send_timeout = _HANDSHAKE_TIMEOUT
        self._dial(socket)
        hello, data = make_hello(self._link_key, self._role, self._instance, self._incarnation)
        socket.send(data)
        welcome, sealer, opener = accept_welcome(self._link_key, hello, socket.recv())

        def write(frame: bytes) -> None:
            try:
                socket.send(frame)
            except pynng.NNGException as exc:
                raise OSError(str(exc)) from exc

        session = Session(
            welcome.instance,
            welcome.incarnation,
            sealer,
            opener,
            write,
            self._clock,
            role="target",
            on_end=on_end,
        )
        socket.add_post_pipe_remove_cb(lambda _pipe: session.close())
        return session

    def _dial(self, socket: Any) -> None:
        """Connect; raises ``pynng.Timeout`` if that takes too long."""
        connected = threading.Event()
        socket.add_post_pipe_connect_cb(lambda _pipe: connected.set())
        socket.dial(f"tcp://{self.address}", block=False)
        if not connected.wait(_DIAL_TIMEOUT / SECOND):
            raise pynng.Timeout(f"no connection within {_DIAL_TIMEOUT} ms", 0)

    def _receive_messages(self, receiver: Receiver[bytes], session: Session) -> None:
        while not session.closed:
            receiver.wait()
            try:
                for frame in receiver.receive_available():
                    for message in session.receive(frame):
                        self._on_message(session, message)
            except (pynng.NNGException, SealError, CodecError) as exc:
                self.last_error = f"{type(exc).__name__}: {exc}"
                return
