"""One process that opens and closes links without an end: ``USE SECONDS SEED``.

Prints how many links there were, if it gets that far.
"""

from __future__ import annotations

import random
import sys
import threading
import time
from collections.abc import Callable
from typing import Any, Final

import pynng

from fakes.ports import free_address

_CLIENTS: Final = 6
#: Milliseconds that calls wait at the most.
_HANDSHAKE: Final = 300
_WAIT: Final = 1_000
_LOOK: Final = 100
#: Seconds that a server, and a link, stands.
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
            limit = _LOOK if self._is_one_task else _WAIT
            socket = pynng.Pair1(polyamorous=True, recv_timeout=limit)
            try:
                socket.listen(self._address)
            except pynng.NNGException:
                socket.close()
                time.sleep(0.01)
                continue
            stopped = threading.Event()
            task = threading.Thread(target=self._answer, args=(socket, stopped))
            task.start()
            time.sleep(self._rng.uniform(*_SERVER_STANDS))
            stopped.set()
            if not self._is_one_task:
                socket.close()
            task.join()

    def _answer(self, socket: Any, stopped: threading.Event) -> None:
        while not (stopped.is_set() and self._is_one_task):
            try:
                message = socket.recv_msg()
                if message.pipe is not None:
                    socket.send_msg(pynng.Message(b"welcome", message.pipe))
            except pynng.Timeout:
                continue
            except pynng.NNGException:
                break
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
                if not connected.wait(_LOOK / 1_000):
                    continue
                try:
                    socket.send(b"hello")
                    socket.recv()
                except pynng.NNGException:
                    continue
                self._receive(socket, lost, rng.uniform(0, _LINK_STANDS))

    def _receive(self, socket: Any, lost: threading.Event, stands: float) -> None:
        """Wait for messages until the link is lost or has stood for long enough."""
        ended = threading.Event()

        def end() -> None:
            lost.wait(stands)
            ended.set()
            if not self._is_one_task:
                socket.close()

        other = threading.Thread(target=end)
        other.start()
        socket.recv_timeout = _LOOK if self._is_one_task else _WAIT
        while not (ended.is_set() and self._is_one_task):
            try:
                socket.recv()
            except pynng.Timeout:
                continue
            except pynng.NNGException:
                break
        other.join()


def _setter(event: threading.Event) -> Callable[[Any], None]:
    return lambda _pipe: event.set()


if __name__ == "__main__":
    print(Churn(sys.argv[1] == "one task", float(sys.argv[2]), int(sys.argv[3])).run(), flush=True)
