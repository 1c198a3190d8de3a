"""No attempt is sent to a backend that has asked to back off."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import replace

import logbook
import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.backend import (
    BackendAnswer,
    BackendNotice,
    DirectBackendPort,
    GroupReport,
    NotRun,
    NotRunCause,
    OutboundRequest,
    SendResult,
    UnreadableField,
)
from canvasyoke.direct._backend_limits import RateLimit
from canvasyoke.direct._backend_notices import SharedNotice
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._call import DirectCall, ErrorAnswer
from canvasyoke.direct._metrics import DirectMetrics
from canvasyoke.direct._notice_handler import NoticeHandler
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.calls import ROUTE, make_call, make_forwarder
from canvasyoke.state import Endpoint, EndpointState, TableRoute
from canvasyoke.transport import ExchangeError, ExchangeHandle

RESUMABLE = replace(ROUTE, resumable=True, max_attempts=3)
REFUSAL = NotRun(NotRunCause.FULL, "refused with status 503", notice=BackendNotice(backoff=3_000))
NAMES = ("b-1", "b-2", "b-3")


class _Answer(BackendAnswer):
    """An answer whose body may break off."""

    def __init__(self, pieces: list[bytes], status: int = 200, notice: BackendNotice | None = None):
        self.status = status
        self.headers = [("Content-Type", "text/event-stream")]
        self.is_framed = True
        self.notice = notice or BackendNotice()
        self._pieces = pieces

    def pieces(self) -> Iterator[bytes]:
        yield from self._pieces
        if not self._pieces or not self._pieces[-1].endswith(b"last\n\n"):
            raise ExchangeError("reset")

    def wait_at_most(self, duration: int) -> None:
        pass

    def close(self) -> None:
        pass


WHOLE = [b"id: 9\ndata: last\n\n"]


class _Port(DirectBackendPort):
    """Returns scripted answers; acquires the slot as the transport does."""

    def __init__(self, answer: Callable[[Endpoint], SendResult]) -> None:
        self._answer = answer
        #: Ids of the backends that a request was written to.
        self.reached: list[str] = []
        #: Called while the connection is established.
        self.on_connect: Callable[[Endpoint], object] = lambda _: None

    def send(
        self,
        endpoint: Endpoint,
        request: OutboundRequest,
        connect_timeout: int,
        slot: ExchangeHandle,
    ) -> SendResult:
        self.on_connect(endpoint)
        denial_reason = slot.attach(None)
        if denial_reason:
            return NotRun(NotRunCause.WITHDRAWN, denial_reason)
        self.reached.append(endpoint.id)
        return self._answer(endpoint)

    def slowdown_of(self, endpoint: Endpoint) -> float | None:
        return None

    def group_of(self, endpoint: Endpoint) -> str | None:
        return ""

    def group_report(self, endpoint: Endpoint) -> GroupReport | None:
        return None


class _Entry:
    """An entry's forwarder with a scripted port in place of sockets."""

    def __init__(self, answer: Callable[[Endpoint], SendResult]) -> None:
        self.clock = ManualClock(start=10_000)
        self.roster = Roster("nbo-a", self.clock, random.Random(1))
        self.roster.merge(
            [Endpoint(n, "ink", f"{n}:1", "nbo-a", 6, EndpointState.READY, 1) for n in NAMES], 1
        )
        self.budget = FleetRetryBudget(RetryAllowance(0.0, 20, 10_000), self.clock)
        self.port = _Port(answer)
        self.forwarder = make_forwarder(self.port, self.roster, self.budget, self.clock)

    def run(self, route: TableRoute = RESUMABLE) -> tuple[DirectCall, object]:
        call = make_call(route)
        call.arrived_at = self.clock.now()
        call.deadline = self.clock.now() + 8_000
        return call, list(self.forwarder.run(call))[-1]

    def back_off(self, *names: str, backoff: int = 3_000) -> None:
        for endpoint in self.roster.endpoints():
            if endpoint.id in names:
                self.roster.record_notice(endpoint, BackendNotice(backoff=backoff))

    def spend_all_retries(self) -> int:
        count = 0
        while self.budget.spend("ink"):
            count += 1
        return count


@pytest.fixture
def entry() -> _Entry:
    return _Entry(lambda _: _Answer(WHOLE))


def test_if_all_back_off_none_is_tried_and_the_caller_is_told_when_to_retry(entry: _Entry) -> None:
    entry.back_off(*NAMES)
    entry.clock.advance(1_000)
    call, last = entry.run()
    assert entry.port.reached == []
    assert isinstance(last, ErrorAnswer)
    assert last.status == 503
    assert 2_000 < last.retry_after <= 3_000
    assert last.detail == "no backend can take it: backoff for 2000 ms more"
    assert not call.may_have_run


def test_the_retry_time_is_not_cut_to_the_caller_s_deadline(entry: _Entry) -> None:
    """A caller that retries before the end of the backoff would be refused again."""
    entry.back_off(*NAMES)
    call = make_call(RESUMABLE, time_left=1_000)
    last = list(entry.forwarder.run(call))[-1]
    assert isinstance(last, ErrorAnswer)
    assert last.retry_after > 3_000


def test_retry_times_of_callers_refused_together_are_spread(entry: _Entry) -> None:
    entry.back_off(*NAMES)
    ends = [end for _ in range(20) if isinstance(end := entry.run()[1], ErrorAnswer)]
    times = sorted(end.retry_after for end in ends)
    assert times[0] > 3_000
    assert len(set(times)) > 10
    assert times[-1] - times[0] > 700


def test_a_retry_avoids_backends_in_backoff() -> None:
    def answer(endpoint: Endpoint) -> SendResult:
        return REFUSAL if endpoint.id != "b-3" else _Answer(WHOLE)

    entry = _Entry(answer)
    for _ in range(10):
        entry.run()
    assert all(entry.port.reached.count(name) <= 1 for name in ("b-1", "b-2"))
    assert entry.port.reached.count("b-3") == 10


def test_a_stream_is_not_resumed_at_a_backend_in_backoff() -> None:
    """The stream's backend breaks off, and the others ask to back off meanwhile."""
    entry = _Entry(lambda _: _Answer([b"id: 1\ndata: first\n\n"]))

    def back_off_others(endpoint: Endpoint) -> None:
        entry.back_off(*(name for name in NAMES if name != endpoint.id))

    entry.port.on_connect = back_off_others
    entry.run()
    assert len(entry.port.reached) == 1


def test_a_backoff_received_while_connecting_prevents_the_request(entry: _Entry) -> None:
    first: list[str] = []

    def back_off_first(endpoint: Endpoint) -> None:
        if not first:
            first.append(endpoint.id)
            entry.back_off(endpoint.id)

    entry.port.on_connect = back_off_first
    call, _ = entry.run()
    assert len(entry.port.reached) == 1
    assert first[0] not in entry.port.reached
    assert [tried.outcome for tried in call.attempts][1:] == ["answered"]
    assert len(call.sent_to) == 1


#: Answers of all kinds that ask to back off.
ANSWERS: list[tuple[str, SendResult]] = [
    ("a refusal", REFUSAL),
    ("a failure of its own", _Answer(WHOLE, 503, BackendNotice(backoff=3_000))),
    ("a stream that breaks off", _Answer([b"id: 1\n"], notice=BackendNotice(backoff=3_000))),
    ("a whole stream", _Answer(WHOLE, notice=BackendNotice(backoff=3_000))),
]


@pytest.mark.parametrize("sending", [case[1] for case in ANSWERS], ids=[c[0] for c in ANSWERS])
def test_notices_in_all_kinds_of_answers_are_applied(sending: SendResult) -> None:
    entry = _Entry(lambda _: sending)
    entry.run(replace(RESUMABLE, max_attempts=1))
    refusing = entry.port.reached[0]
    for _ in range(4):
        entry.run(replace(RESUMABLE, max_attempts=1))
    assert entry.port.reached.count(refusing) == 1


def test_no_retry_is_spent_if_no_other_backend_takes_requests() -> None:
    """Guards against wasting the fleet's retry budget on a retry that cannot succeed."""
    budget = _Entry(lambda _: REFUSAL).spend_all_retries()
    entry = _Entry(lambda _: REFUSAL)
    entry.back_off(*NAMES[1:])
    _, last = entry.run()
    assert entry.port.reached == ["b-1"]
    assert isinstance(last, ErrorAnswer)
    assert last.detail == "refused with status 503; no retry: no other backend takes requests"
    assert last.retry_after > 3_000
    assert entry.spend_all_retries() == budget


def unresponsive_call(entry: _Entry, backend: str) -> DirectCall:
    """Return a stream's call whose backend is unresponsive while its group makes progress."""
    for endpoint in entry.roster.endpoints():
        entry.roster.learn_group(endpoint.run, "g")
        entry.roster.record_stream_start(endpoint.run, 100)
    entry.clock.advance(1)
    call = make_call(RESUMABLE)
    call.slot = ExchangeHandle()
    call.backend, call.sent_at = backend, entry.clock.now()
    entry.clock.advance(1_000)
    for endpoint in entry.roster.endpoints():
        if endpoint.id != backend:
            entry.roster.record_stream_event(endpoint.run, 50)
    return call


def test_a_stream_is_moved_off_an_unresponsive_backend(entry: _Entry) -> None:
    budget = _Entry(lambda _: REFUSAL).spend_all_retries()
    call = unresponsive_call(entry, "b-1")
    assert entry.forwarder.close_if_unresponsive(call)
    assert call.slot is not None
    assert call.slot.is_cancelled
    assert entry.spend_all_retries() == budget - 1


def test_a_stream_stays_with_an_unresponsive_backend_if_no_other_takes_requests(
    entry: _Entry,
) -> None:
    """No other backend could resume the stream."""
    call = unresponsive_call(entry, "b-1")
    entry.back_off("b-2", "b-3")
    assert not entry.forwarder.close_if_unresponsive(call)


def test_a_stream_stays_with_an_unresponsive_backend_if_no_retry_is_left(entry: _Entry) -> None:
    """Ending the stream would turn a late answer into an immediate failure."""
    call = unresponsive_call(entry, "b-1")
    entry.spend_all_retries()
    assert not entry.forwarder.close_if_unresponsive(call)
    assert call.slot is not None
    assert not call.slot.is_cancelled


def test_a_stream_stays_with_a_slow_backend_if_no_other_takes_requests() -> None:
    entry = _Entry(lambda _: _Answer([b"id: 1\ndata: a\n\n", b"id: 9\ndata: last\n\n"]))
    for endpoint in entry.roster.endpoints():
        entry.roster.learn_pace(endpoint.run, 12.0)
    entry.back_off(*NAMES[1:])
    call, _ = entry.run()
    assert [tried.outcome for tried in call.attempts] == ["answered"]


def test_a_request_that_did_not_reach_the_backend_is_refunded() -> None:
    entry = _Entry(lambda _: NotRun(NotRunCause.UNREACHABLE, "timed out"))
    for endpoint in entry.roster.endpoints():
        notice = SharedNotice(endpoint.run, endpoint.address, limit=RateLimit(0.05))
        entry.roster.merge_peer_notice(notice)
    entry.clock.advance(20_000)
    entry.run()
    assert sorted(entry.port.reached) == sorted(NAMES)
    assert entry.roster.time_until_available("ink") == 0


def test_an_unreadable_notice_is_logged_once_and_counted_each_time() -> None:
    entry = _Entry(lambda _: _Answer(WHOLE))
    metrics = DirectMetrics()
    handler = NoticeHandler(entry.roster, metrics, lambda _notice: None)
    endpoint = entry.roster.endpoints()[0]
    notice = BackendNotice(unreadable=(UnreadableField("backoff", "soon"),))
    with logbook.TestHandler() as log:
        for _ in range(3):
            handler.handle(endpoint, notice)
    assert sum("unreadable word" in record.message for record in log.records) == 1
    assert 'canvasyoke_unreadable_words_total{field="backoff"} 3' in metrics.all.render()
    assert entry.roster.may_send(endpoint)
