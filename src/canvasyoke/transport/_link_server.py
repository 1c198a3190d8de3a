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

#: Milliseconds between looks at whether a peer has fallen silent, where nothing comes.
_LOOK_EVERY: Final = 1 * SECOND
#: Frames of all peers together that wait to be received.
_RECEIVE_BUFFER: Final = 256

#: Called with each message that arrives.
OnMessage = Callable[[Session, Message], None]
#: Called when a session begins or ends.
OnSession = Callable[[Session], None]


class LinkServer:
    """Listens on one address and serves sealed sessions.

    The three callbacks run on the one receiving task and must not block.
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
        along: Callable[[], Message | None] = lambda: None,
    ) -> None:
        self._link_key = link_key
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._on_message = on_message
        self._on_open = on_open
        self._on_close = on_close
        self._along = along
        self._sessions: dict[int, Session] = {}
        self._removed: set[int] = set()
        self._removed_lock = threading.Lock()
        self._stopping = False
        #: Handshakes refused since the start.
        self.strangers = 0
        self._socket = pynng.Pair1(polyamorous=True, recv_max_size=MAX_FRAME_BYTES)
        self._socket.recv_buffer_size = _RECEIVE_BUFFER
        self._receiver = Receiver(self._socket, self._socket.recv_msg)
        self._socket.add_post_pipe_remove_cb(self._pipe_removed)
        self._socket.listen(f"tcp://{address}")
        self._task = threading.Thread(target=self._run, name="link-server", daemon=True)

    def start(self) -> None:
        """Start the receiving task."""
        self._task.start()

    def use_key(self, link_key: bytes) -> None:
        """Take new links by another key; those that stand go on."""
        self._link_key = link_key

    def stop(self) -> None:
        """End all sessions and close the socket; returns when that is done.

        The receiving task closes the socket, when nobody sends on it any more: a call that
        begins while another task closes the socket may never end, or end the process.
        """
        self._stopping = True
        if self._task.ident is None:
            self._close()
        elif self._task is not threading.current_thread():
            self._receiver.wake()
            self._task.join()

    def _pipe_removed(self, pipe: Any) -> None:
        with self._removed_lock:
            self._removed.add(pipe.id)
        self._receiver.wake()

    def _run(self) -> None:
        try:
            while not self._stopping:
                self._receiver.wait(_LOOK_EVERY)
                self._reap()
                for message in self._receiver.arrivals():
                    self._receive(message.pipe, message.bytes)
        finally:
            sessions = list(self._sessions.values())
            for key in list(self._sessions):
                self._end(key)
            for session in sessions:
                session.join()
            self._close()

    def _close(self) -> None:
        self._receiver.close()
        self._socket.close()

    def _reap(self) -> None:
        """End the sessions whose pipe is gone or silent."""
        with self._removed_lock:
            removed, self._removed = self._removed, set()
        silent = [key for key, session in self._sessions.items() if session.silent]
        for key in [*removed, *silent]:
            self._end(key)

    def _end(self, key: int) -> None:
        session = self._sessions.pop(key, None)
        if session is not None:
            session.close()
            self._on_close(session)

    def _receive(self, pipe: Any, data: bytes) -> None:
        if pipe is None:
            return
        session = self._sessions.get(pipe.id)
        if session is None:
            self._shake_hands(pipe, data)
            return
        try:
            messages = session.receive(data)
        except (SealError, CodecError):
            self._end(pipe.id)
            _close(pipe)
            return
        for message in messages:
            self._on_message(session, message)

    def _shake_hands(self, pipe: Any, data: bytes) -> None:
        try:
            hello, welcome, sealer, opener = accept_hello(
                self._link_key, data, self._instance, self._incarnation
            )
        except HandshakeError:
            self.strangers += 1
            _close(pipe)
            return

        def put(frame: bytes) -> None:
            try:
                self._socket.send_msg(pynng.Message(frame, pipe))
            except pynng.NNGException as exc:
                raise OSError(str(exc)) from exc

        session = Session(
            hello.instance,
            hello.incarnation,
            sealer,
            opener,
            put,
            self._clock,
            role=hello.role,
            along=self._along if hello.role == "entry" else lambda: None,
        )
        try:
            put(welcome)
        except OSError:
            return
        self._sessions[pipe.id] = session
        session.start()
        self._on_open(session)


def _close(pipe: Any) -> None:
    """Close a pipe that may be closed already."""
    with contextlib.suppress(pynng.NNGException):
        pipe.close()
