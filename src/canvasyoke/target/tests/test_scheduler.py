"""Tests for the request scheduler, with a fake session and a fake backend."""

import random
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec
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
from canvasyoke.target._scheduler import RequestScheduler
from canvasyoke.target._slot_manager import Holding
from fakes.launcher import wait_until

#: Room for the bodies of two requests.
MAX_BODY_BYTES = 8
CONFIG = """
services:
  shelf: {kind: plain}
engines:
  shelf-1: {service: shelf, slots: 1, queue: 8}
"""


class FakeSession:
    """Records the messages sent to one entry."""

    def __init__(self, incarnation: str = "entry-run") -> None:
        self.incarnation = incarnation
        self.closed = False
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        self.sent.append(message)

    def kinds(self, attempt: int = 1) -> list[type]:
        """Return the types of the messages sent for one attempt."""
        return [type(m) for m in self.sent if getattr(m, "attempt", None) == attempt]

    def refusal(self) -> tuple[str, str]:
        """Return outcome and reason of the last refusal."""
        refused = [m for m in self.sent if isinstance(m, Refused)][-1]
        return refused.outcome, refused.reason


@dataclass
class FakeLease:
    """A lease that is valid unless a test changes it."""

    valid: bool = True


@dataclass
class FakeBackend(Backend):
    """Answers once the test sets ``proceed``."""

    proceed: threading.Event = field(default_factory=threading.Event)
    runs: list[str] = field(default_factory=list)

    def call(self, run: Run, sink: AnswerSink) -> CallResult:
        self.runs.append(run.request_id)
        self.proceed.wait(10)
        sink.head(200, [])
        sink.chunk(run.body)
        return Done()

    def probe(self) -> Health:
        return Health(True)


class SchedulerHarness:
    """A scheduler that holds all key slots, with its fakes."""

    def __init__(self) -> None:
        self.session = FakeSession()
        self.backend = FakeBackend()
        self.lease = FakeLease()
        view = ConfigView()
        view.current = make_config()
        self.ref = RequestScheduler.start(
            "shelf",
            "shelf-1",
            SystemClock(),
            view,
            self.backend,
            self.lease,
            lambda load: None,
            MAX_BODY_BYTES,
        )
        self.scheduler = self.ref.proxy()
        self.scheduler.apply_config(view.current).get()
        slots = {index: Slot("shelf-1", "run") for index in range(4)}
        self.scheduler.apply_holding(Holding(1, slots, 4), ()).get()

    def submit(self, run: Run) -> None:
        self.scheduler.submit(self.session, run).get()

    def wait_for(self, kind: type, attempt: int = 1) -> None:
        wait_until(lambda: kind in self.session.kinds(attempt), kind.__name__, 5)

    def end(self, requests: int) -> None:
        """Let the backend answer, and wait until so many requests have ended."""
        self.backend.proceed.set()
        wait_until(lambda: self.session.kinds().count(End) == requests, "they end", 5)


def make_config() -> FleetConfig:
    model = check_file(CONFIG, "f")
    assert not isinstance(model, list)
    config = build_config(1, {"f": model})
    assert isinstance(config, FleetConfig)
    return config


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
def harness() -> Iterator[SchedulerHarness]:
    harness = SchedulerHarness()
    yield harness
    harness.backend.proceed.set()
    harness.ref.stop()


def test_duplicate_message_is_not_executed(harness: SchedulerHarness) -> None:
    harness.backend.proceed.set()
    harness.submit(make_run())
    harness.wait_for(End)
    assert harness.session.kinds() == [Head, Chunk, End]
    harness.submit(make_run())
    assert harness.backend.runs == ["r-1-1"], "a duplicate message must not execute"


def test_request_denied_on_resume_never_executes(harness: SchedulerHarness) -> None:
    harness.backend.proceed.set()
    harness.scheduler.resume(harness.session, 1, 1, 0).get()
    assert harness.session.refusal() == (Outcome.NOT_RUN, Reason.LINK_LOST)
    harness.submit(make_run())
    assert harness.backend.runs == [], "a request that was denied must not execute when it arrives"


def test_resume_sends_only_missing_chunks(harness: SchedulerHarness) -> None:
    harness.backend.proceed.set()
    harness.submit(make_run())
    harness.wait_for(End)
    new_session = FakeSession()
    harness.scheduler.resume(new_session, 1, 1, 1).get()
    assert new_session.kinds() == [Head, End]


def test_resume_of_a_dropped_answer_is_unknown(harness: SchedulerHarness) -> None:
    harness.backend.proceed.set()
    harness.submit(make_run())
    harness.wait_for(End)
    harness.scheduler.forget(harness.session, 1, 1).get()
    harness.scheduler.resume(harness.session, 1, 1, 0).get()
    assert harness.session.refusal() == (Outcome.UNKNOWN, Reason.LINK_LOST)


def test_cancelled_queued_request_is_not_executed(harness: SchedulerHarness) -> None:
    harness.submit(make_run(request=1))
    harness.submit(make_run(request=2))
    assert Queued in [type(m) for m in harness.session.sent]
    harness.scheduler.cancel(harness.session, 2, 1).get()
    assert harness.session.refusal() == (Outcome.NOT_RUN, Reason.CANCELLED)
    harness.backend.proceed.set()
    harness.wait_for(End)
    assert harness.backend.runs == ["r-1-1"]


def test_queued_request_is_notified_when_it_starts(harness: SchedulerHarness) -> None:
    harness.submit(make_run(request=1, attempt=1))
    harness.submit(make_run(request=2, attempt=2))
    harness.backend.proceed.set()
    harness.wait_for(End, attempt=2)
    assert harness.session.kinds(2) == [Queued, Started, Head, Chunk, End]


def test_standby_request_starts_only_on_go(harness: SchedulerHarness) -> None:
    harness.backend.proceed.set()
    harness.submit(make_run(standby=True))
    harness.wait_for(Ready)
    assert harness.backend.runs == []
    harness.scheduler.start_reserved(harness.session, 1, 1).get()
    harness.wait_for(End)
    assert harness.backend.runs == ["r-1-1"]


def test_declined_slot_goes_to_the_next_request(harness: SchedulerHarness) -> None:
    harness.backend.proceed.set()
    harness.submit(make_run(request=1, attempt=1, standby=True))
    harness.submit(make_run(request=2, attempt=2))
    harness.scheduler.cancel(harness.session, 1, 1).get()
    harness.wait_for(End, attempt=2)
    assert harness.backend.runs == ["r-2-2"]


def test_same_key_executes_once_and_shares_the_answer(harness: SchedulerHarness) -> None:
    key = fresh_key()
    harness.submit(make_run(attempt=1, key=key))
    harness.submit(make_run(attempt=2, key=key))
    harness.backend.proceed.set()
    harness.wait_for(End, attempt=2)
    harness.submit(make_run(attempt=3, key=key))
    harness.wait_for(End, attempt=3)
    assert harness.backend.runs == ["r-1-1"]


def test_key_of_a_cancelled_queued_request_can_run_later(harness: SchedulerHarness) -> None:
    key = fresh_key()
    harness.submit(make_run(request=1, attempt=1))
    harness.submit(make_run(request=2, attempt=2, key=key))
    harness.scheduler.cancel(harness.session, 2, 2).get()
    harness.backend.proceed.set()
    harness.submit(make_run(request=3, attempt=3, key=key))
    harness.wait_for(End, attempt=3)
    assert harness.backend.runs == ["r-1-1", "r-3-3"]


def test_running_keyed_request_is_not_cancelled(harness: SchedulerHarness) -> None:
    key = fresh_key()
    harness.submit(make_run(attempt=1, key=key))
    harness.scheduler.cancel(harness.session, 1, 1).get()
    harness.backend.proceed.set()
    harness.submit(make_run(attempt=2, key=key))
    harness.wait_for(End, attempt=2)
    assert harness.backend.runs == ["r-1-1"]


@pytest.mark.parametrize(
    ("key", "reason"), [("not a key", Reason.MALFORMED), ("lapsed", Reason.NOT_HOME)]
)
def test_malformed_key_or_expired_lease_is_refused(
    harness: SchedulerHarness, key: str, reason: Reason
) -> None:
    harness.lease.valid = key != "lapsed"
    harness.submit(make_run(key=fresh_key() if key == "lapsed" else key))
    assert harness.session.refusal() == (Outcome.NOT_RUN, reason)
    assert harness.backend.runs == []


def test_draining_target_refuses_new_requests_but_replays_answers(
    harness: SchedulerHarness,
) -> None:
    harness.backend.proceed.set()
    key = fresh_key()
    harness.submit(make_run(attempt=1, key=key))
    harness.wait_for(End)
    harness.scheduler.stop_admitting().get()
    for attempt, new_request_key in ((2, ""), (4, fresh_key())):
        harness.submit(make_run(request=attempt, attempt=attempt, key=new_request_key))
        assert harness.session.kinds(attempt) == [Refused]
        assert harness.session.refusal() == (Outcome.NOT_RUN, Reason.LEAVING)
    harness.submit(make_run(request=3, attempt=3, key=key))
    harness.wait_for(End, attempt=3)


@pytest.mark.parametrize("is_keyed", [False, True])
def test_bodies_of_waiting_requests_do_not_exhaust_the_memory(
    harness: SchedulerHarness, is_keyed: bool
) -> None:
    """Guards against a target whose queue holds more than its machine has."""
    for number in (1, 2, 3):
        harness.submit(make_run(key=fresh_key() if is_keyed else "", request=number))
    assert harness.session.refusal() == (Outcome.NOT_RUN, Reason.OVERLOADED)
    harness.end(2)
    assert harness.backend.runs == ["r-1-1", "r-2-1"]


@pytest.mark.parametrize("is_keyed", [False, True])
def test_the_bodies_of_requests_that_ended_are_released(
    harness: SchedulerHarness, is_keyed: bool
) -> None:
    """Guards against bodies that are kept as long as the answers to their keys."""
    harness.backend.proceed.set()
    for number in range(1, 6):
        harness.submit(make_run(key=fresh_key() if is_keyed else "", request=number))
        harness.end(number)
    actor = harness.ref._actor_weakref()
    assert isinstance(actor, RequestScheduler)
    assert {tracked.work.run.body for tracked in actor._tracked.values()} == {b""}


def test_a_request_larger_than_the_memory_runs_alone(harness: SchedulerHarness) -> None:
    harness.submit(msgspec.structs.replace(make_run(), body=bytes(2 * MAX_BODY_BYTES)))
    harness.end(1)
