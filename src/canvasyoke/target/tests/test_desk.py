"""What a target does with each message, with a session and a backend of the test's own."""

import random
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from canvasyoke import SystemClock
from canvasyoke.backend import AnswerSink, Backend, Done, Health
from canvasyoke.backend._port import CallResult
from canvasyoke.coordination import Slot
from canvasyoke.protocol import (
    Chunk,
    End,
    Head,
    Message,
    Outcome,
    Queued,
    Ready,
    Reason,
    Refused,
    Run,
    Started,
    new_key,
)
from canvasyoke.state import ConfigView, FleetConfig, build_config, check_file
from canvasyoke.target._desk import Desk
from canvasyoke.target._homes import Holding
from fakes.launcher import wait_until

CONFIGURATION = """
services:
  shelf: {kind: plain}
engines:
  shelf-1: {service: shelf, slots: 1, queue: 8}
"""


class Link:
    """Stands for the session with one entry."""

    def __init__(self, incarnation: str = "entry-run") -> None:
        self.incarnation = incarnation
        self.closed = False
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        self.sent.append(message)

    def kinds(self, attempt: int = 1) -> list[type]:
        """Return the kinds of messages sent for one attempt."""
        return [type(m) for m in self.sent if getattr(m, "attempt", None) == attempt]

    def refusal(self) -> tuple[str, str]:
        """Return outcome and reason of the last refusal."""
        refused = [m for m in self.sent if isinstance(m, Refused)][-1]
        return refused.outcome, refused.reason


@dataclass
class Lease:
    """A lease that stands until told otherwise."""

    valid: bool = True


@dataclass
class Service(Backend):
    """Answers when the test lets it."""

    go_on: threading.Event = field(default_factory=threading.Event)
    runs: list[str] = field(default_factory=list)

    def call(self, run: Run, sink: AnswerSink) -> CallResult:
        self.runs.append(run.request_id)
        self.go_on.wait(10)
        sink.head(200, [])
        sink.chunk(run.body)
        return Done()

    def probe(self) -> Health:
        return Health(True)


class World:
    """One desk that holds all key slots, and what it talks to."""

    def __init__(self) -> None:
        self.link = Link()
        self.service = Service()
        self.lease = Lease()
        view = ConfigView()
        view.current = configuration()
        self.ref = Desk.start(
            "shelf",
            "shelf-1",
            SystemClock(),
            view,
            self.service,
            self.lease,
            lambda load: None,
        )
        self.desk = self.ref.proxy()
        self.desk.configured(view.current).get()
        slots = {index: Slot("shelf-1", "run") for index in range(4)}
        self.desk.hold(Holding(1, slots, 4), ()).get()

    def submit(self, run: Run) -> None:
        self.desk.submit(self.link, run).get()

    def wait_for(self, kind: type, attempt: int = 1) -> None:
        wait_until(lambda: kind in self.link.kinds(attempt), kind.__name__, 5)


def configuration() -> FleetConfig:
    model = check_file(CONFIGURATION, "f")
    assert not isinstance(model, list)
    built = build_config(1, {"f": model})
    assert isinstance(built, FleetConfig)
    return built


def make_run(attempt: int = 1, key: str = "", request: int = 1, standby: bool = False) -> Run:
    return Run(
        request=request,
        attempt=attempt,
        request_id=f"r-{request}-{attempt}",
        organisation="org",
        service="shelf",
        method="PUT",
        path="/x",
        headers=[],
        body=b"body",
        remaining=8_000,
        priority=3,
        repeatable=not key,
        key=key,
        standby=standby,
    )


def fresh_key() -> str:
    return new_key(time.time_ns() // 1_000_000, random.Random())


@pytest.fixture
def world() -> Iterator[World]:
    world = World()
    yield world
    world.service.go_on.set()
    world.ref.stop()


def test_answer_and_late_copies(world: World) -> None:
    world.service.go_on.set()
    world.submit(make_run())
    world.wait_for(End)
    assert world.link.kinds() == [Head, Chunk, End]
    world.submit(make_run())
    assert world.service.runs == ["r-1-1"], "a copy of the frame runs nothing"


def test_request_that_never_arrived_is_denied_for_good(world: World) -> None:
    world.service.go_on.set()
    world.desk.resume(world.link, 1, 1, 0).get()
    assert world.link.refusal() == (Outcome.NOT_RUN, Reason.LINK_LOST)
    world.submit(make_run())
    assert world.service.runs == [], "the request itself comes after its denial"


def test_resume_sends_only_what_is_missing(world: World) -> None:
    world.service.go_on.set()
    world.submit(make_run())
    world.wait_for(End)
    again = Link()
    world.desk.resume(again, 1, 1, 1).get()
    assert again.kinds() == [Head, End]


def test_answer_let_go_of_is_unknown_not_denied(world: World) -> None:
    world.service.go_on.set()
    world.submit(make_run())
    world.wait_for(End)
    world.desk.forget(world.link, 1, 1).get()
    world.desk.resume(world.link, 1, 1, 0).get()
    assert world.link.refusal() == (Outcome.UNKNOWN, Reason.LINK_LOST)


def test_waiting_request_can_be_cancelled_and_has_not_run(world: World) -> None:
    world.submit(make_run(request=1))
    world.submit(make_run(request=2))
    assert Queued in [type(m) for m in world.link.sent]
    world.desk.cancel(world.link, 2, 1).get()
    assert world.link.refusal() == (Outcome.NOT_RUN, Reason.CANCELLED)
    world.service.go_on.set()
    world.wait_for(End)
    assert world.service.runs == ["r-1-1"]


def test_waiting_request_is_told_when_it_starts(world: World) -> None:
    world.submit(make_run(request=1, attempt=1))
    world.submit(make_run(request=2, attempt=2))
    world.service.go_on.set()
    world.wait_for(End, attempt=2)
    assert world.link.kinds(2) == [Queued, Started, Head, Chunk, End]


def test_standby_runs_only_when_told_to(world: World) -> None:
    world.service.go_on.set()
    world.submit(make_run(standby=True))
    world.wait_for(Ready)
    assert world.service.runs == []
    world.desk.go(world.link, 1, 1).get()
    world.wait_for(End)
    assert world.service.runs == ["r-1-1"]


def test_declined_slot_goes_to_the_next(world: World) -> None:
    world.service.go_on.set()
    world.submit(make_run(request=1, attempt=1, standby=True))
    world.submit(make_run(request=2, attempt=2))
    world.desk.cancel(world.link, 1, 1).get()
    world.wait_for(End, attempt=2)
    assert world.service.runs == ["r-2-2"]


def test_key_joins_its_run_and_gets_the_same_answer(world: World) -> None:
    key = fresh_key()
    world.submit(make_run(attempt=1, key=key))
    world.submit(make_run(attempt=2, key=key))
    world.service.go_on.set()
    world.wait_for(End, attempt=2)
    world.submit(make_run(attempt=3, key=key))
    world.wait_for(End, attempt=3)
    assert world.service.runs == ["r-1-1"]


def test_key_that_did_not_run_may_run_later(world: World) -> None:
    key = fresh_key()
    world.submit(make_run(request=1, attempt=1))
    world.submit(make_run(request=2, attempt=2, key=key))
    world.desk.cancel(world.link, 2, 2).get()
    world.service.go_on.set()
    world.submit(make_run(request=3, attempt=3, key=key))
    world.wait_for(End, attempt=3)
    assert world.service.runs == ["r-1-1", "r-3-3"]


def test_started_key_is_not_cancelled(world: World) -> None:
    key = fresh_key()
    world.submit(make_run(attempt=1, key=key))
    world.desk.cancel(world.link, 1, 1).get()
    world.service.go_on.set()
    world.submit(make_run(attempt=2, key=key))
    world.wait_for(End, attempt=2)
    assert world.service.runs == ["r-1-1"]


@pytest.mark.parametrize(
    ("key", "reason"), [("not a key", Reason.MALFORMED), ("lapsed", Reason.NOT_HOME)]
)
def test_keys_that_may_not_run(world: World, key: str, reason: Reason) -> None:
    world.lease.valid = key != "lapsed"
    world.submit(make_run(key=fresh_key() if key == "lapsed" else key))
    assert world.link.refusal() == (Outcome.NOT_RUN, reason)
    assert world.service.runs == []


def test_leaving_target_takes_nothing_new_but_replays(world: World) -> None:
    world.service.go_on.set()
    key = fresh_key()
    world.submit(make_run(attempt=1, key=key))
    world.wait_for(End)
    world.desk.leave().get()
    for attempt, new in ((2, ""), (4, fresh_key())):
        world.submit(make_run(request=attempt, attempt=attempt, key=new))
        assert world.link.kinds(attempt) == [Refused]
        assert world.link.refusal() == (Outcome.NOT_RUN, Reason.LEAVING)
    world.submit(make_run(request=3, attempt=3, key=key))
    world.wait_for(End, attempt=3)
