"""A wait on a socket that others can end without touching the socket."""

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


def test_what_has_come_is_there_in_order(pair: tuple[pynng.Pair1, pynng.Pair1]) -> None:
    one, other = pair
    got: list[bytes] = []
    with closing(Receiver(one, one.recv)) as receiver:
        for number in range(100):
            other.send(b"%d" % number)
            while len(got) <= number:
                receiver.wait()
                got += receiver.arrivals()
    assert got == [b"%d" % number for number in range(100)]


def test_a_wait_without_a_limit_is_ended_from_another_task(
    pair: tuple[pynng.Pair1, pynng.Pair1],
) -> None:
    with closing(Receiver(pair[0], pair[0].recv)) as receiver:
        task = threading.Thread(target=receiver.wait)
        task.start()
        receiver.wake()
        wait_until(lambda: not task.is_alive(), "the wait ends")
        assert not list(receiver.arrivals())


def test_word_before_the_wait_is_not_lost(pair: tuple[pynng.Pair1, pynng.Pair1]) -> None:
    with closing(Receiver(pair[0], pair[0].recv)) as receiver:
        receiver.wake()
        receiver.wake()
        receiver.wait()


def test_word_after_the_end_reaches_nobody_else(pair: tuple[pynng.Pair1, pynng.Pair1]) -> None:
    """The descriptor's number belongs to whoever opened something since."""
    first = Receiver(pair[0], pair[0].recv)
    first.close()
    with closing(Receiver(pair[0], pair[0].recv)) as second:
        first.wake()
        assert second._poll.poll(0) == []


def test_a_socket_of_no_use_says_so(pair: tuple[pynng.Pair1, pynng.Pair1]) -> None:
    with closing(Receiver(pair[0], pair[0].recv)) as receiver:
        pair[0].close()
        with pytest.raises(pynng.NNGException):
            list(receiver.arrivals())
