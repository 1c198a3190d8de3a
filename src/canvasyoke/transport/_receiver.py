"""Waits for what comes on a pynng socket, or for word that nobody wants it any more.

The task that waits on a socket is the one that closes it. The library has no way to wake
it: a close by another task may end the process or leave the wait for ever, and looks every
100 ms took 65.7 seconds of a processor for a played day of 24 processes where this takes 49.6
and a wait with a limit of a second took 50.6. So the wait is the system's, on the library's
descriptor and on one of our own.
"""

from __future__ import annotations

import os
import select
import threading
from collections.abc import Callable, Iterator
from typing import Any, Generic, TypeVar

import pynng

T = TypeVar("T")


class Receiver(Generic[T]):
    """The receiving end of one socket; all calls but ``wake`` are its owner's.

    ``take`` is the socket's own call for what comes: frames, or messages with their pipe.
    """

    def __init__(self, socket: Any, take: Callable[[bool], T]) -> None:
        self._take = take
        self._lock = threading.Lock()
        self._wakeup = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._is_closed = False
        self._poll = select.poll()
        self._poll.register(socket.recv_fd, select.POLLIN)
        self._poll.register(self._wakeup, select.POLLIN)

    def wake(self) -> None:
        """Have the owner look again, from any task."""
        with self._lock:
            # The number of a closed descriptor may be another's by now.
            if not self._is_closed:
                os.eventfd_write(self._wakeup, 1)

    def wait(self, duration: int | None = None) -> None:
        """Wait until something may have come or the owner is woken.

        ``duration`` is the most, in milliseconds; ``None`` for no limit.
        """
        for descriptor, _ in self._poll.poll(duration):
            if descriptor == self._wakeup:
                os.eventfd_read(self._wakeup)

    def arrivals(self) -> Iterator[T]:
        """Yield what has come; raises ``pynng.NNGException`` when the socket is of no use."""
        while True:
            try:
                arrival = self._take(False)
            except pynng.TryAgain:
                return
            yield arrival

    def close(self) -> None:
        """Wake nobody any more; the owner closes the socket."""
        with self._lock:
            self._is_closed = True
            os.close(self._wakeup)
