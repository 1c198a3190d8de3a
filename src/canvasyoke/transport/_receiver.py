"""Interruptible wait for messages on a pynng socket.

The thread that waits on a socket also closes it: closing it from another thread may abort the
process or leave the wait blocked forever. pynng cannot wake a waiting thread, so the wait polls
the socket's descriptor together with an eventfd.
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
    """The receiving end of one socket; only ``wake`` may be called from other threads.

    ``receive`` is the socket's ``recv`` or ``recv_msg``.
    """

    def __init__(self, socket: Any, receive: Callable[[bool], T]) -> None:
        self._receive = receive
        self._lock = threading.Lock()
        self._wake_event = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._is_closed = False
        self._poll = select.poll()
        self._poll.register(socket.recv_fd, select.POLLIN)
        self._poll.register(self._wake_event, select.POLLIN)

    def wake(self) -> None:
        """Interrupt the owner's wait, from any thread."""
        with self._lock:
            # The number of a closed descriptor may have been reused.
            if not self._is_closed:
                os.eventfd_write(self._wake_event, 1)

    def wait(self, duration: int | None = None) -> None:
        """Wait until a message may be available or ``wake`` is called.

        ``duration`` is the timeout in milliseconds; ``None`` waits indefinitely.
        """
        for descriptor, _ in self._poll.poll(duration):
            if descriptor == self._wake_event:
                os.eventfd_read(self._wake_event)

    def receive_available(self) -> Iterator[T]:
        """Yield the available messages; raises ``pynng.NNGException`` if the socket failed."""
        while True:
            try:
                item = self._receive(False)
            except pynng.TryAgain:
                return
            yield item

    def close(self) -> None:
        """Close the wake-up descriptor; the owner closes the socket."""
        with self._lock:
            self._is_closed = True
            os.close(self._wake_event)
