"""Pieces reach their own attempt, once and in order, whatever the link brings."""

import queue
import random
from typing import Any

import pytest

from canvasyoke import ManualClock
from canvasyoke.entry._peer import Attempt, Event, Lost, Peer
from canvasyoke.protocol import Chunk, End, Head, LoadReport, Message, Resume, Run


class Link:
    """Stands for a session with the target."""

    peer = "t-1"

    def __init__(self, incarnation: str = "run-1") -> None:
        self.incarnation = incarnation
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        self.sent.append(message)


def make_link(incarnation: str = "run-1") -> Any:
    """Return a link, of a type that the peer takes for a session."""
    return Link(incarnation)


def make_peer() -> Peer:
    return Peer(
        "t-1",
        "127.0.0.1:1",
        b"k" * 32,
        "e-1",
        "run",
        ManualClock(),
        random.Random(1),
        lambda peer: None,
        lambda offer: None,
        lambda session, generation: None,
    )


def make_run(request: int, attempt: int = 1, offset: int = 0) -> Run:
    return Run(
        request, attempt, "r", "org", "ink", "POST", "/", [], b"", 1_000, 3, True, "", offset
    )


class World:
    """A peer whose link stands, with one attempt under way."""

    def __init__(self) -> None:
        self.peer = make_peer()
        self.link = make_link()
        self.peer._opened(self.link)
        self.events: queue.SimpleQueue[tuple[Attempt, Event]] = queue.SimpleQueue()
        attempt = self.peer.begin(make_run(1), self.events)
        assert attempt is not None
        self.attempt = attempt

    def hear(self, *messages: Message) -> list[Event]:
        for message in messages:
            self.peer._received(self.link, message)
        events = []
        while not self.events.empty():
            events.append(self.events.get()[1])
        return events


@pytest.fixture
def world() -> World:
    return World()


HEAD = Head(1, 1, 200, [])


def chunk(offset: int, request: int = 1, attempt: int = 1) -> Chunk:
    return Chunk(request, attempt, offset, b"x")


@pytest.mark.parametrize(
    ("heard", "passed"),
    [
        ([HEAD, chunk(0), chunk(1), End(1, 1, 2)], [HEAD, chunk(0), chunk(1), End(1, 1, 2)]),
        ([HEAD, HEAD, chunk(0), chunk(0)], [HEAD, chunk(0)]),
        ([HEAD, chunk(1), chunk(0)], [HEAD, chunk(0)]),
        ([HEAD, chunk(0), End(1, 1, 2)], [HEAD, chunk(0)]),
        ([chunk(0, request=2), chunk(0, attempt=2), End(2, 1, 0)], []),
    ],
)
def test_what_is_passed_on(world: World, heard: list[Message], passed: list[Event]) -> None:
    assert world.hear(*heard) == passed


def test_nothing_of_a_finished_attempt_is_passed_on(world: World) -> None:
    world.peer.finish(world.attempt, whole=False)
    assert world.hear(HEAD, chunk(0)) == []


def test_link_that_comes_back_goes_on_where_it_broke(world: World) -> None:
    world.hear(HEAD, chunk(0), chunk(1))
    world.peer._closed(world.link)
    assert world.peer.begin(make_run(2), world.events) is None, "nothing is sent into the void"
    again = make_link()
    world.peer._opened(again)
    assert again.sent == [Resume(1, 1, 2)]


def test_another_run_of_the_target_has_lost_the_attempt(world: World) -> None:
    world.peer._closed(world.link)
    again = make_link("run-2")
    world.peer._opened(again)
    assert again.sent == []
    assert world.hear() == [Lost()]


def test_target_without_configuration_is_no_candidate(world: World) -> None:
    report = LoadReport("t-1", "d", "ink", 0, 0, 8, 0, 0, False, True)
    world.hear(report)
    assert world.peer.candidate(8) is None
    world.hear(LoadReport("t-1", "d", "ink", 0, 0, 8, 0, 1, False, True))
    assert world.peer.candidate(8) is not None
