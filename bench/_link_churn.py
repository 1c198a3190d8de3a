"""Opens and closes links in a loop: ``USE SECONDS SEED``.

``USE`` is "one task" to close sockets in the waiting thread, or "two tasks" to close them in
another. Prints the number of links opened, unless the library aborts the process first.
"""

from __future__ import annotations

import contextlib
import random
import sys
import threading
import time
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, Final

import pynng

from canvasyoke.transport._receiver import Receiver
from fakes.ports import free_address

_CLIENTS: Final = 6
#: Timeouts of socket calls, in milliseconds.
_HANDSHAKE_TIMEOUT: Final = 300
_RECEIVE_TIMEOUT: Final = 1_000
#: Timeout of a connection attempt, and lifetimes of servers and links, in seconds.
_CONNECT_TIMEOUT: Final = 0.1
_SERVER_LIFETIME: Final = (0.02, 0.25)
_MAX_LINK_LIFETIME: Final = 0.3


class LinkChurn:
    """Connects clients to a repeatedly restarting server until the time is up."""

    def __init__(self, is_single_owner: bool, seconds: float, seed: int) -> None:
        self._is_single_owner = is_single_owner
        self._deadline = time.monotonic() + seconds
        self._rng = random.Random(seed)
        self._address = f"tcp://{free_address()}"
        self._link_count = 0

    def run(self) -> int:
        """Run to the end and return the number of links opened."""
        threads = [threading.Thread(target=self._serve)]
        threads += [
            threading.Thread(target=self._dial, args=(random.Random(self._rng.random()),))
            for _ in range(_CLIENTS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return self._link_count

    def _has_time_left(self) -> bool:
        return time.monotonic() < self._deadline

    def _serve(self) -> None:
        while self._has_time_left():
            socket = pynng.Pair1(polyamorous=True, recv_timeout=_RECEIVE_TIMEOUT)
            try:
                socket.listen(self._address)
            except pynng.NNGException:
                socket.close()
                time.sleep(0.01)
                continue
            lifetime = self._rng.uniform(*_SERVER_LIFETIME)
            self._receive_until_end(
                socket, partial(time.sleep, lifetime), socket.recv_msg, _send_welcome
            )
            socket.close()

    def _dial(self, rng: random.Random) -> None:
        while self._has_time_left():
            self._link_count += 1
            with pynng.Pair1(
                polyamorous=True, recv_timeout=_HANDSHAKE_TIMEOUT, send_timeout=_HANDSHAKE_TIMEOUT
            ) as socket:
                connected, lost = threading.Event(), threading.Event()
                socket.add_post_pipe_connect_cb(_setter(connected))
                socket.add_post_pipe_remove_cb(_setter(lost))
                socket.dial(self._address, block=False)
                if not connected.wait(_CONNECT_TIMEOUT):
                    continue
                try:
                    socket.send(b"hello")
                    socket.recv()
                except pynng.NNGException:
                    continue
                socket.recv_timeout = _RECEIVE_TIMEOUT
                lifetime = rng.uniform(0, _MAX_LINK_LIFETIME)
                self._receive_until_end(
                    socket, partial(lost.wait, lifetime), socket.recv, lambda *_: None
                )

    def _receive_until_end(
        self,
        socket: Any,
        wait_for_end: Callable[[], object],
        receive: Callable[..., Any],
        handle: Callable[[Any, Any], None],
    ) -> None:
        """Receive messages until another thread ends the link."""
        ended = threading.Event()
        receiver = Receiver(socket, receive) if self._is_single_owner else None

        def end() -> None:
            wait_for_end()
            ended.set()
            if receiver is None:
                socket.close()
            else:
                receiver.wake()

        closer = threading.Thread(target=end)
        closer.start()
        try:
            while not ended.is_set():
                for message in _receive_messages(receiver, receive):
                    handle(socket, message)
        except pynng.NNGException:
            pass  # The other thread closed the socket.
        closer.join()
        if receiver is not None:
            receiver.close()


def _receive_messages(receiver: Receiver[Any] | None, receive: Callable[..., Any]) -> Iterator[Any]:
    """Wait for messages and yield them."""
    if receiver is not None:
        receiver.wait()
        yield from receiver.receive_available()
        return
    with contextlib.suppress(pynng.Timeout):
        yield receive()


def _send_welcome(socket: Any, message: Any) -> None:
    if message.pipe is not None:
        socket.send_msg(pynng.Message(b"welcome", message.pipe))


def _setter(event: threading.Event) -> Callable[[Any], None]:
    return lambda _pipe: event.set()


if __name__ == "__main__":
    print(
        LinkChurn(sys.argv[1] == "one task", float(sys.argv[2]), int(sys.argv[3])).run(), flush=True
    )
