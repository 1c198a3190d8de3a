"""A wait on a socket that other threads can interrupt without calling the socket."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import closing

import pynng
import pytest

from canvasyoke.transport._receiver import Receiver
from fakes.launcher import wait_until
from fakes.ports import free_address


@pytest.fixture
def pair() -> Iterator[tuple[pynng.Pair1, pynng.Pair1]]:
    address = f"tcp://{free_address()}"
    with (
        pynng.Pair1(polyamorous=True, listen=address) as one,
        pynng.Pair1(polyamorous=True, dial=address) as other,
    ):
        yield one, other


def test_messages_are_received_in_order(pair: tuple[pynng.Pair1, pynng.Pair1]) -> None:
    one, other = pair
    received: list[bytes] = []
    with closing(Receiver(one, one.recv)) as receiver:
        for number in range(100):
            other.send(b"%d" % number)
            while len(received) <= number:
                receiver.wait()
                received += receiver.receive_available()
    assert received == [b"%d" % number for number in range(100)]


def test_wait_without_a_timeout_is_interrupted_by_another_thread(
    pair: tuple[pynng.Pair1, pynng.Pair1],
) -> None:
    with closing(Receiver(pair[0], pair[0].recv)) as receiver:
        thread = threading.Thread(target=receiver.wait)
        thread.start()
        receiver.wake()
        wait_until(lambda: not thread.is_alive(), "the wait ends")
        assert not list(receiver.receive_available())


def test_wake_before_the_wait_is_not_lost(pair: tuple[pynng.Pair1, pynng.Pair1]) -> None:
    with closing(Receiver(pair[0], pair[0].recv)) as receiver:
        receiver.wake()
        receiver.wake()
        receiver.wait()


def test_wake_after_close_does_not_affect_a_reused_descriptor(
    pair: tuple[pynng.Pair1, pynng.Pair1],
) -> None:
    """The number of the closed descriptor may have been reused."""
    first = Receiver(pair[0], pair[0].recv)
    first.close()
    with closing(Receiver(pair[0], pair[0].recv)) as second:
        first.wake()
        assert second._poll.poll(0) == []


def test_closed_socket_raises(pair: tuple[pynng.Pair1, pynng.Pair1]) -> None:
    with closing(Receiver(pair[0], pair[0].recv)) as receiver:
        pair[0].close()
        with pytest.raises(pynng.NNGException):
            list(receiver.receive_available())
