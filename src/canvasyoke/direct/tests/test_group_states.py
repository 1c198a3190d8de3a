"""State of a rank group from reports, other entries and this entry's own traffic."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.backend import GroupReport
from canvasyoke.direct._call import ErrorAnswer
from canvasyoke.direct._choice import NoneAvailable
from canvasyoke.direct._group_exchange import GroupExchange
from canvasyoke.direct._group_monitor import GroupMonitor
from canvasyoke.direct._refusals import RefusalPolicy
from canvasyoke.direct._return_times import ReturnTimes
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.calls import ROUTE, CannedPort, make_call
from canvasyoke.protocol import GroupStateUpdate, Message, Reason
from canvasyoke.state import Endpoint, EndpointState
from canvasyoke.transport import Session

RUNS = ("b-1", "b-2", "b-3")


class Fixture:
    """Roster of one group ``g`` with three engines, two of them in the entry's domain."""

    def __init__(self) -> None:
        self.clock = ManualClock(start=10_000)
        self.roster = Roster("nbo-a", self.clock, random.Random(1))
        domains = dict(zip(RUNS, ("nbo-a", "nbo-a", "nbo-b"), strict=True))
        self.roster.merge(
            [Endpoint(n, "ink", f"{n}:1", domains[n], 6, EndpointState.READY, 1) for n in RUNS], 1
        )
        for name in RUNS:
            self.roster.learn_group(name, "g")
        self.states = self.roster.group_states
        self.states.form_time = lambda _service: 600
        self.asked: list[str] = []
        self.report: GroupReport | None = None
        self.announced: list[GroupStateUpdate] = []
        self.is_watching = True
        port = CannedPort(lambda: pytest.fail("a request was sent"))
        port.group_report = self._answer  # type: ignore[method-assign]
        self.monitor = GroupMonitor(
            port, self.roster, lambda: self.is_watching, self.announced.append, self.clock
        )

    def _answer(self, endpoint: Endpoint) -> GroupReport | None:
        self.asked.append(endpoint.run)
        return self.report

    def run_streams(self) -> None:
        self.roster.record_stream_start("b-1", 100)

    def poll(self, epoch: int, is_open: bool, times: int = 1) -> None:
        self.report = GroupReport("g", epoch, is_open)
        for _ in range(times):
            self.clock.advance(150)
            self.monitor.poll()

    @property
    def is_open(self) -> bool:
        return self.states.service_state("ink").is_open


@pytest.fixture
def group() -> Fixture:
    return Fixture()


def refuse(group: Fixture) -> None:
    group.roster.record_group_failure("b-2", is_refused=True)


def overdue(group: Fixture) -> None:
    group.run_streams()
    group.clock.advance(401)


def overdue_for_long(group: Fixture) -> None:
    group.run_streams()
    group.clock.advance(1_501)


def report_closed(group: Fixture) -> None:
    group.states.observe("g", 4, False, 0)


def report_closed_then_event(group: Fixture) -> None:
    group.run_streams()
    group.clock.advance(10)
    group.states.observe("g", 4, False, 0)
    group.clock.advance(10)
    group.roster.record_stream_event("b-1", 20)


def lower_epoch_after_opening(group: Fixture) -> None:
    group.states.observe("g", 5, True, 0)
    group.clock.advance(10)
    group.states.observe("g", 4, False, 0)


def older_report_after_newer(group: Fixture) -> None:
    group.states.observe("g", 4, True, 0)
    group.clock.advance(10)
    group.states.observe("g", 4, False, 20)


def lagging_open_report_after_refusal(group: Fixture) -> None:
    refuse(group)
    group.states.observe("g", 4, True, 200)


def hung_streams_of_an_earlier_epoch(group: Fixture) -> None:
    overdue(group)
    group.states.observe("g", 4, True, 200)
    group.clock.advance(1_600)
    group.states.observe("g", 4, False, 0)
    group.clock.advance(4_000)
    group.states.observe("g", 5, True, 0)


def open_report_of_the_same_epoch(group: Fixture) -> None:
    """Engines report ``open`` until their stall is over."""
    overdue(group)
    group.states.observe("g", 4, True, 200)


def unconfirmed_for_long(group: Fixture) -> None:
    report_closed(group)
    group.clock.advance(3_100)


#: What is observed, whether the group counts as open then, and whether the opening is forecast.
OBSERVATIONS: list[tuple[str, Callable[[Fixture], None], bool, bool]] = [
    ("nothing", lambda _group: None, True, False),
    ("a refusal for a missing rank", refuse, False, True),
    ("a closed report", report_closed, False, True),
    ("overdue streams", overdue, False, True),
    ("overdue streams, no reports", overdue_for_long, False, False),
    ("an event after a closed report", report_closed_then_event, True, False),
    ("a lower epoch", lower_epoch_after_opening, True, False),
    ("an older report", older_report_after_newer, True, False),
    ("a lagging report", lagging_open_report_after_refusal, False, True),
    ("streams of an earlier epoch", hung_streams_of_an_earlier_epoch, True, False),
    ("an open report during the stall", open_report_of_the_same_epoch, False, True),
    ("an unconfirmed report", unconfirmed_for_long, True, False),
]


@pytest.mark.parametrize(
    ("observe", "is_open", "is_forecast"),
    [case[1:] for case in OBSERVATIONS],
    ids=[case[0] for case in OBSERVATIONS],
)
def test_the_newest_observation_counts(
    group: Fixture, observe: Callable[[Fixture], None], is_open: bool, is_forecast: bool
) -> None:
    """A wrong state keeps callers from an open group, or sends them to a stalled one."""
    observe(group)
    state = group.states.service_state("ink")
    assert state.is_single_group
    assert (state.is_open, state.opens_in is not None) == (is_open, is_forecast)


def test_a_state_without_confirmation_is_unknown(group: Fixture) -> None:
    """A group believed closed for ever would never be probed."""
    report_closed(group)
    group.clock.advance(1_001)
    state = group.states.service_state("ink")
    assert (state.is_open, state.opens_in) == (False, None)


@pytest.mark.parametrize(("others", "single"), [("", False), ("g-2", False), ("g", True)])
def test_single_group(group: Fixture, others: str, single: bool) -> None:
    """Requests of a service with another group must not wait for this one."""
    group.roster.put(Endpoint("b-4", "ink", "b-4:1", "nbo-a", 6, EndpointState.READY, 2))
    group.roster.learn_group("b-4", others)
    report_closed(group)
    state = group.states.service_state("ink")
    assert (state.is_single_group, state.is_open) == (single, not single)


def test_watchers_poll_only_while_a_group_seems_stalled(group: Fixture) -> None:
    """Each poll costs an engine as much as a health probe."""
    group.poll(4, True, times=3)
    assert not group.asked
    overdue(group)
    group.poll(4, True, times=4)
    assert group.asked == ["b-1", "b-2", "b-1", "b-2"]
    group.poll(4, False, times=10)
    assert not group.is_open
    group.poll(5, True, times=1)
    assert group.is_open
    asked = len(group.asked)
    group.poll(5, True, times=5)
    assert len(group.asked) == asked


def test_other_entries_do_not_poll(group: Fixture) -> None:
    group.is_watching = False
    overdue(group)
    group.poll(4, False, times=3)
    assert not group.asked


def test_announcements_are_few_and_name_the_outage(group: Fixture) -> None:
    """Without confirmations others forget the state; with each poll the links carry too many."""
    overdue(group)
    group.poll(4, True)
    group.poll(4, False, times=20)
    closed = [update for update in group.announced if not update.is_open]
    assert 5 <= len(closed) <= 8
    group.poll(5, True)
    last = group.announced[-1]
    assert (last.epoch, last.is_open) == (5, True)
    assert last.outage == pytest.approx(401 + 150 * 22, abs=151)


def test_an_outage_is_learnt(group: Fixture) -> None:
    overdue(group)
    group.poll(4, False, times=30)
    group.poll(5, True)
    group.clock.advance(20_000)
    refuse(group)
    state = group.states.service_state("ink")
    assert state.opens_in == pytest.approx(401 + 150 * 31 - 1_500, abs=151)


def test_a_report_that_lapses_is_no_outage(group: Fixture) -> None:
    """Its duration would be that of the silence, not that of an outage."""
    group.is_watching = False
    report_closed(group)
    group.poll(4, False, times=30)
    assert group.is_open
    refuse(group)
    assert group.states.service_state("ink").opens_in == 1_500


def test_a_pause_of_this_process_is_no_outage(group: Fixture) -> None:
    """Forecasts would follow the pauses of entries, and callers would be sent away for them."""
    group.is_watching = False
    group.run_streams()
    group.poll(4, True, times=2)
    group.clock.advance(4_000)
    group.poll(4, True)
    group.clock.advance(10)
    group.roster.record_stream_event("b-1", 4_000)
    group.poll(4, True)
    refuse(group)
    state = group.states.service_state("ink")
    assert not state.is_open
    assert state.opens_in is not None
    assert state.opens_in < 1_000


def test_an_outage_learnt_elsewhere_counts(group: Fixture) -> None:
    group.states.observe("g", 4, True, 0)
    group.states.observe("g", 5, True, 0, outage=6_000)
    group.clock.advance(10)
    refuse(group)
    assert group.states.service_state("ink").opens_in == 4_500


def test_a_group_forms_once_its_domain_is_reachable(group: Fixture) -> None:
    far = next(e for e in group.roster.endpoints() if e.domain == "nbo-b")
    group.roster.put(Endpoint("b-5", "x", "b-5:1", "nbo-b", 6, EndpointState.READY, 3))
    other = next(e for e in group.roster.endpoints() if e.id == "b-5")
    for endpoint in (far, other):
        group.roster.record_connect_failure(endpoint)
    report_closed(group)
    group.clock.advance(900)
    group.states.observe("g", 4, False, 0)
    group.roster.record_connect_success("nbo-b")
    assert group.states.service_state("ink").opens_in == 600


@pytest.mark.parametrize(("is_mesh", "relayed"), [(True, 1), (False, 3)])
def test_news_is_passed_on_and_repetitions_are_not(
    group: Fixture, is_mesh: bool, relayed: int
) -> None:
    """Repetitions that everyone passes on to everyone else fill the links of a full mesh."""
    sent: list[Message] = []
    exchange = GroupExchange(group.states, lambda: is_mesh, lambda message, _: sent.append(message))
    session = dataclasses.make_dataclass("Peer", ["peer"])("front-2")
    for _ in range(6):
        exchange.receive(_as_session(session), GroupStateUpdate("g", 4, False, 0))
        group.clock.advance(200)
    assert len(sent) == relayed
    assert not group.is_open


def _as_session(peer: object) -> Session:
    return peer  # type: ignore[return-value]


#: Longest pause of the route, whether the group is closed, and bounds of ``Retry-After``.
RETURNS = [
    ("closed", 120, True, 1_500, 1_500),
    ("full", 120, False, 500, 600),
    ("a route without a limit for pauses", 0, False, 800, 2_400),
]


@pytest.mark.parametrize(("pause", "closed", "least", "most"), [case[1:] for case in RETURNS])
def test_refusals_name_planned_returns(
    group: Fixture, pause: int, closed: bool, least: int, most: int
) -> None:
    """Return times drawn at random bring callers back into the same outage."""
    if closed:
        report_closed(group)
    policy = RefusalPolicy(
        group.roster, ReturnTimes(group.roster, group.clock), group.clock, random.Random(1)
    )
    call = make_call(dataclasses.replace(ROUTE, longest_pause=pause))
    refusal = policy.final_answer(call, "full", NoneAvailable(Reason.OVERLOADED))
    assert isinstance(refusal, ErrorAnswer)
    assert least <= refusal.retry_after <= most


def test_a_closed_group_without_backends_is_forgotten(group: Fixture) -> None:
    """Otherwise a group that is replaced under another name shows as closed forever."""
    report_closed(group)
    group.states.check()
    assert set(group.states.closed()) == {"g"}
    for endpoint in group.roster.endpoints():
        group.roster.remove(endpoint.id, 9)
    group.clock.advance(10_000)
    group.states.check()
    assert group.states.closed() == {}


def test_callers_of_an_evacuated_group_return_as_late_as_they_may(group: Fixture) -> None:
    """The evacuation outlasts a running request; an early return is refused again and is lost."""
    group.roster.set_evacuated(frozenset(e.domain for e in group.roster.endpoints()))
    policy = RefusalPolicy(
        group.roster, ReturnTimes(group.roster, group.clock), group.clock, random.Random(1)
    )
    call = make_call(dataclasses.replace(ROUTE, longest_pause=120))
    refusal = policy.final_answer(call, "evacuated", NoneAvailable(Reason.EVACUATED))
    assert isinstance(refusal, ErrorAnswer)
    assert refusal.retry_after >= 2_400
