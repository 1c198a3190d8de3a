"""Messages reach their own attempt once and in order, also across reconnects."""

import queue
import random
from typing import Any

import pytest

from canvasyoke import ManualClock
from canvasyoke.entry._target_client import Attempt, AttemptLost, Event, TargetClient
from canvasyoke.protocol import Chunk, End, Head, LoadReport, Message, Resume, Run


class FakeSession:
    """Fake session that records sent messages."""

    peer = "t-1"

    def __init__(self, incarnation: str = "run-1") -> None:
        self.incarnation = incarnation
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        self.sent.append(message)


def make_session(incarnation: str = "run-1") -> Any:
    """Return a fake session, typed so that it is accepted as a session."""
    return FakeSession(incarnation)


def make_target() -> TargetClient:
    return TargetClient(
        "t-1",
        "127.0.0.1:1",
        b"k" * 32,
        "e-1",
        "run",
        ManualClock(),
        random.Random(1),
        lambda target: None,
        lambda offer: None,
        lambda session, generation: None,
    )


def make_run(request: int, attempt: int = 1, offset: int = 0) -> Run:
    return Run(
        request, attempt, "r", "org", "ink", "POST", "/", [], b"", 1_000, 3, True, "", offset
    )


class Harness:
    """A target client with an open link and one attempt in flight."""

    def __init__(self) -> None:
        self.target = make_target()
        self.session = make_session()
        self.target._on_open(self.session)
        self.events: queue.SimpleQueue[tuple[Attempt, Event]] = queue.SimpleQueue()
        attempt = self.target.start_attempt(make_run(1), self.events)
        assert attempt is not None
        self.attempt = attempt

    def receive(self, *messages: Message) -> list[Event]:
        for message in messages:
            self.target._on_message(self.session, message)
        events = []
        while not self.events.empty():
            events.append(self.events.get()[1])
        return events


@pytest.fixture
def harness() -> Harness:
    return Harness()


HEAD = Head(1, 1, 200, [])


def chunk(offset: int, request: int = 1, attempt: int = 1) -> Chunk:
    return Chunk(request, attempt, offset, b"x")


@pytest.mark.parametrize(
    ("received", "delivered"),
    [
        ([HEAD, chunk(0), chunk(1), End(1, 1, 2)], [HEAD, chunk(0), chunk(1), End(1, 1, 2)]),
        ([HEAD, HEAD, chunk(0), chunk(0)], [HEAD, chunk(0)]),
        ([HEAD, chunk(1), chunk(0)], [HEAD, chunk(0)]),
        ([HEAD, chunk(0), End(1, 1, 2)], [HEAD, chunk(0)]),
        ([chunk(0, request=2), chunk(0, attempt=2), End(2, 1, 0)], []),
    ],
)
def test_delivers_messages_once_and_in_order(
    harness: Harness, received: list[Message], delivered: list[Event]
) -> None:
    assert harness.receive(*received) == delivered


def test_drops_messages_of_a_finished_attempt(harness: Harness) -> None:
    harness.target.finish(harness.attempt, completed=False)
    assert harness.receive(HEAD, chunk(0)) == []


def test_resumes_attempt_after_reconnect(harness: Harness) -> None:
    harness.receive(HEAD, chunk(0), chunk(1))
    harness.target._on_close(harness.session)
    assert harness.target.start_attempt(make_run(2), harness.events) is None, (
        "attempt started without a link"
    )
    new_session = make_session()
    harness.target._on_open(new_session)
    assert new_session.sent == [Resume(1, 1, 2)]


def test_attempt_is_lost_if_the_target_restarts(harness: Harness) -> None:
    harness.target._on_close(harness.session)
    new_session = make_session("run-2")
    harness.target._on_open(new_session)
    assert new_session.sent == []
    assert harness.receive() == [AttemptLost()]


def test_target_without_configuration_is_not_a_candidate(harness: Harness) -> None:
    report = LoadReport("t-1", "d", "ink", 0, 0, 8, 0, 0, False, True)
    harness.receive(report)
    assert harness.target.to_candidate(8) is None
    harness.receive(LoadReport("t-1", "d", "ink", 0, 0, 8, 0, 1, False, True))
    assert harness.target.to_candidate(8) is not None
