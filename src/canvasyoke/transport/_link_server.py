"""The listening end of links: one pynng socket, one session for each peer."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Callable
from typing import Any, Final

import pynng

from canvasyoke._clock import SECOND, Clock
from canvasyoke.protocol import (
    MAX_FRAME_BYTES,
    CodecError,
    HandshakeError,
    Message,
    SealError,
    accept_hello,
)
from canvasyoke.transport._receiver import Receiver
from canvasyoke.transport._session import Session

#: Milliseconds between checks for timed-out sessions when nothing is received.
_TIMEOUT_CHECK_INTERVAL: Final = 1 * SECOND
#: Receive buffer in frames, shared by all peers.
_RECEIVE_BUFFER: Final = 256

#: Called with each message received.
OnMessage = Callable[[Session, Message], None]
#: Called when a session begins or ends.
OnSession = Callable[[Session], None]


class LinkServer:
    """Listens on one address and serves authenticated sessions.

    The three callbacks run on the receiving thread and must not block.
    """

    def __init__(
        self,
        address: str,
        link_key: bytes,
        instance: str,
        incarnation: str,
        clock: Clock,
        on_message: OnMessage,
        on_open: OnSession,
        on_close: OnSession,
        piggyback: Callable[[], Message | None] = lambda: None,
    ) -> None:
        self._link_key = link_key
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._on_message = on_message
        self._on_open = on_open
        self._on_close = on_close
        self._piggyback = piggyback
        self._sessions: dict[int, Session] = {}
        #: Sessions that have ended, by pipe, until their thread has closed the pipe.
        self._ending: dict[int, Session] = {}
        self._removed: set[int] = set()
        self._removed_lock = threading.Lock()
        self._is_stopping = False
        #: Number of handshakes rejected since the start.
        self.rejected_handshakes = 0
        self._socket = pynng.Pair1(polyamorous=True, recv_max_size=MAX_FRAME_BYTES)
        self._socket.recv_buffer_size = _RECEIVE_BUFFER
        self._receiver = Receiver(self._socket, self._socket.recv_msg)
        self._socket.add_post_pipe_remove_cb(self._pipe_removed)
        self._socket.listen(f"tcp://{address}")
        self._thread = threading.Thread(target=self._run, name="link-server", daemon=True)

    def start(self) -> None:
        """Start the receiving thread."""
        self._thread.start()

    def use_key(self, link_key: bytes) -> None:
        """Use another link key for new sessions; existing ones continue."""
        self._link_key = link_key

    def stop(self) -> None:
        """End all sessions, close the socket and wait for both.

        The receiving thread closes the socket once no thread sends on it: a call on a
        socket that another thread closes may block forever or abort the process.
        """
        self._is_stopping = True
        if self._thread.ident is None:
            self._close()
        elif self._thread is not threading.current_thread():
            self._receiver.wake()
            self._thread.join()

    def _pipe_removed(self, pipe: Any) -> None:
        with self._removed_lock:
            self._removed.add(pipe.id)
        self._receiver.wake()

    def _run(self) -> None:
        try:
            while not self._is_stopping:
                self._receiver.wait(_TIMEOUT_CHECK_INTERVAL)
                self._end_dead_sessions()
                for message in self._receiver.receive_available():
                    self._receive(message.pipe, message.bytes)
        finally:
            for key in list(self._sessions):
                self._end_session(key)
            for session in self._ending.values():
                session.join()
            self._close()

    def _close(self) -> None:
        self._receiver.close()
        self._socket.close()

    def _end_dead_sessions(self) -> None:
        """End the sessions whose pipe was removed or that have timed out."""
        with self._removed_lock:
            removed, self._removed = self._removed, set()
        timed_out = [key for key, session in self._sessions.items() if session.is_timed_out]
        for key in [*removed, *timed_out]:
            self._end_session(key)
        self._ending = {k: s for k, s in self._ending.items() if not s.is_finished}

    def _end_session(self, key: int) -> None:
        session = self._sessions.pop(key, None)
        if session is not None:
            self._ending[key] = session
            session.close()
            self._on_close(session)

    def _receive(self, pipe: Any, data: bytes) -> None:
        # Frames of a pipe may be left after it was removed.
        if pipe is None or pipe.id in self._ending:
            return
        session = self._sessions.get(pipe.id)
        if session is None:
            self._accept_handshake(pipe, data)
            return
        try:
            messages = session.receive(data)
        except (SealError, CodecError):
            self._end_session(pipe.id)
            return
        for message in messages:
            self._on_message(session, message)

    def _accept_handshake(self, pipe: Any, data: bytes) -> None:
        try:
            hello, welcome, sealer, opener = accept_hello(
                self._link_key, data, self._instance, self._incarnation
            )
        except HandshakeError:
            self.rejected_handshakes += 1
            _close_pipe(pipe)
            return

        def write(frame: bytes) -> None:
            try:
                self._socket.send_msg(pynng.Message(frame, pipe))
            except pynng.NNGException as exc:
                raise OSError(str(exc)) from exc

        session = Session(
            hello.instance,
            hello.incarnation,
            sealer,
            opener,
            write,
            self._clock,
            role=hello.role,
            # Only the session's thread sends to the pipe, so it closes the pipe after that.
            on_end=lambda: _close_pipe(pipe),
            piggyback=self._piggyback if hello.role == "entry" else lambda: None,
        )
        try:
            write(welcome)
        except OSError:
            return
        self._sessions[pipe.id] = session
        session.start()
        self._on_open(session)


def _close_pipe(pipe: Any) -> None:
    """Close a pipe, ignoring that it may be closed already."""
    with contextlib.suppress(pynng.NNGException):
        pipe.close()
