"""One process that opens and closes links without an end: ``USE SECONDS SEED``.

Prints how many links there were, if it gets that far.
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
#: Milliseconds that calls wait at the most.
_HANDSHAKE: Final = 300
_WAIT: Final = 1_000
#: Seconds for a connection to come about, and for which a server, and a link, stands.
_CONNECT: Final = 0.1
_SERVER_STANDS: Final = (0.02, 0.25)
_LINK_STANDS: Final = 0.3


class Churn:
    """Clients of a server that comes and goes, until the time is over."""

    def __init__(self, is_one_task: bool, seconds: float, seed: int) -> None:
        self._is_one_task = is_one_task
        self._until = time.monotonic() + seconds
        self._rng = random.Random(seed)
        self._address = f"tcp://{free_address()}"
        self._links = 0

    def run(self) -> int:
        """Return the links that there were."""
        tasks = [threading.Thread(target=self._serve)]
        tasks += [
            threading.Thread(target=self._dial, args=(random.Random(self._rng.random()),))
            for _ in range(_CLIENTS)
        ]
        for task in tasks:
            task.start()
        for task in tasks:
            task.join()
        return self._links

    def _goes_on(self) -> bool:
        return time.monotonic() < self._until

    def _serve(self) -> None:
        while self._goes_on():
            socket = pynng.Pair1(polyamorous=True, recv_timeout=_WAIT)
            try:
                socket.listen(self._address)
            except pynng.NNGException:
                socket.close()
                time.sleep(0.01)
                continue
            stands = self._rng.uniform(*_SERVER_STANDS)
            self._stand(socket, partial(time.sleep, stands), socket.recv_msg, _welcome)
            socket.close()

    def _dial(self, rng: random.Random) -> None:
        while self._goes_on():
            self._links += 1
            with pynng.Pair1(
                polyamorous=True, recv_timeout=_HANDSHAKE, send_timeout=_HANDSHAKE
            ) as socket:
                connected, lost = threading.Event(), threading.Event()
                socket.add_post_pipe_connect_cb(_setter(connected))
                socket.add_post_pipe_remove_cb(_setter(lost))
                socket.dial(self._address, block=False)
                if not connected.wait(_CONNECT):
                    continue
                try:
                    socket.send(b"hello")
                    socket.recv()
                except pynng.NNGException:
                    continue
                socket.recv_timeout = _WAIT
                until = rng.uniform(0, _LINK_STANDS)
                self._stand(socket, partial(lost.wait, until), socket.recv, lambda *_: None)

    def _stand(
        self,
        socket: Any,
        wait_for_end: Callable[[], object],
        take: Callable[..., Any],
        took: Callable[[Any, Any], None],
    ) -> None:
        """Take what comes until the end, of which another task hears first."""
        ended = threading.Event()
        receiver = Receiver(socket, take) if self._is_one_task else None

        def end() -> None:
            wait_for_end()
            ended.set()
            if receiver is None:
                socket.close()
            else:
                receiver.wake()

        other = threading.Thread(target=end)
        other.start()
        try:
            while not ended.is_set():
                for arrival in _arrivals(receiver, take):
                    took(socket, arrival)
        except pynng.NNGException:
            pass  # it was closed, as it is to be
        other.join()
        if receiver is not None:
            receiver.close()


def _arrivals(receiver: Receiver[Any] | None, take: Callable[..., Any]) -> Iterator[Any]:
    """Wait, and yield what has come."""
    if receiver is not None:
        receiver.wait()
        yield from receiver.receive_available()
        return
    with contextlib.suppress(pynng.Timeout):
        yield take()


def _welcome(socket: Any, message: Any) -> None:
    if message.pipe is not None:
        socket.send_msg(pynng.Message(b"welcome", message.pipe))


def _setter(event: threading.Event) -> Callable[[Any], None]:
    return lambda _pipe: event.set()


if __name__ == "__main__":
    print(Churn(sys.argv[1] == "one task", float(sys.argv[2]), int(sys.argv[3])).run(), flush=True)
