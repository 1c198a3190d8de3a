"""Attribution of exits that become visible some time after an exchange failed.

Guards against deciding by the first probe alone, and against counting a backend that lives.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import replace

import pytest

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.backend import (
    BackendAnswer,
    BackendNotice,
    MayHaveRun,
    NotRun,
    NotRunCause,
    SendResult,
)
from canvasyoke.crashes import _exit_monitor
from canvasyoke.crashes._crash_detector import CrashDetector
from canvasyoke.crashes._exit_monitor import ExitMonitor
from canvasyoke.crashes._quarantine import Quarantine
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._metrics import DirectMetrics
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.calls import ROUTE, CannedPort, make_call, make_forwarder
from canvasyoke.state import Endpoint, EndpointState, Repeatability
from canvasyoke.transport import FailureCause, ProbeResult

RUN = Endpoint("b-1", "ink", "10.0.0.1:1", "nbo-a", 6, EndpointState.READY, 1)
NEXT_RUN = Endpoint("b-2", "ink", RUN.address, "nbo-a", 6, EndpointState.READY, 3)
OTHER_RUN = Endpoint("b-3", "ink", "10.0.0.3:1", "nbo-a", 6, EndpointState.READY, 1)
#: Longer than all probes, shorter than the time after which a cause stays unknown.
AFTER_PROBES = 5 * SECOND


class Entry:
    """The exit monitor of one entry, with a port and a list of backends set by the test."""

    def __init__(self) -> None:
        self.clock = ManualClock(start=100_000)
        self.roster = Roster("nbo-a", self.clock, random.Random(1))
        self.roster.merge([RUN, OTHER_RUN], 1)
        self.quarantine = Quarantine(self.clock, lambda _name, _case: None)
        self.metrics = DirectMetrics()
        self.port = ProbeResult.LISTENING
        self.probes = 0
        detector = CrashDetector(self.roster, self.metrics, self._probe)
        self.monitor = ExitMonitor(
            detector, self.roster, self.quarantine, self.metrics, self.clock, self._probe
        )

    def _probe(self, _address: str, _timeout: int) -> ProbeResult:
        self.probes += 1
        return self.port

    def fail(self, body: bytes = b"", endpoint: Endpoint = RUN) -> str:
        """Lose the connection of a request; return its fingerprint."""
        call = make_call()
        call.body = body
        self.monitor.record_failure(call.broken_exchange(endpoint, "broke off", self.clock.now()))
        return call.own_traits[0]

    def wait(self, duration: int) -> None:
        """Let time pass, with a step of the monitor every 50 ms."""
        for _ in range(duration // 50):
            self.clock.advance(50)
            self.monitor.step()

    def close_port(self) -> None:
        self.port = ProbeResult.REFUSED

    def list_next_run(self) -> None:
        self.roster.put(NEXT_RUN)
        self.monitor.step()

    def remove(self) -> None:
        self.roster.remove(RUN.id, 2)
        self.monitor.step()

    def leave(self) -> None:
        self.roster.put(replace(RUN, state=EndpointState.LEAVING, position=2))
        self.monitor.step()

    def ended(self) -> frozenset[str]:
        """Return the runs counted against any request."""
        return frozenset[str]().union(*(c.runs for c in self.quarantine.cases().values()))


def closes_after(delay: int) -> Callable[[Entry], None]:
    def happen(entry: Entry) -> None:
        entry.wait(delay)
        entry.close_port()

    return happen


def _refuses_a_request(entry: Entry) -> None:
    entry.wait(AFTER_PROBES)
    entry.monitor.record_refused_connection(RUN)


def _another_run_answers(entry: Entry) -> None:
    entry.monitor.record_address_conflict(RUN)


def _another_run_is_listed(entry: Entry) -> None:
    entry.remove()
    entry.list_next_run()


def _another_run_is_listed_first(entry: Entry) -> None:
    entry.list_next_run()


def _is_removed_and_refuses(entry: Entry) -> None:
    entry.wait(AFTER_PROBES)
    entry.close_port()
    entry.remove()


def _outlives_its_entry(entry: Entry) -> None:
    entry.remove()
    entry.wait(SECOND)
    entry.close_port()


def _outlives_its_entry_until_the_next_run(entry: Entry) -> None:
    entry.remove()
    entry.wait(SECOND)
    entry.list_next_run()


def _answers(entry: Entry) -> None:
    entry.wait(100)
    entry.monitor.record_answer(RUN.run, entry.clock.now())
    entry.close_port()


def _answers_what_was_sent_before(entry: Entry) -> None:
    sent_at = entry.clock.now() - 100
    entry.wait(100)
    entry.monitor.record_answer(RUN.run, sent_at)
    entry.close_port()


def _another_backend_answers(entry: Entry) -> None:
    entry.wait(100)
    entry.monitor.record_answer(OTHER_RUN.run, entry.clock.now())
    entry.close_port()


def _is_listed_as_leaving(entry: Entry) -> None:
    entry.leave()
    entry.close_port()


def _leaves_and_goes_at_once(entry: Entry) -> None:
    entry.roster.put(replace(RUN, state=EndpointState.LEAVING, position=2))
    entry.close_port()
    entry.remove()


def _says_that_it_leaves(entry: Entry) -> None:
    entry.roster.record_notice(RUN, BackendNotice(is_leaving=True))
    entry.close_port()


def _is_out_of_reach(entry: Entry) -> None:
    entry.port = ProbeResult.SILENT
    entry.remove()


def _nothing(_entry: Entry) -> None:
    pass


def _ends_much_later(entry: Entry) -> None:
    entry.wait(11 * SECOND)
    entry.list_next_run()


#: What happens after an exchange failed and the port listened, and whether the end counts.
AFTERMATHS: list[tuple[str, Callable[[Entry], None], bool]] = [
    ("the port closes 20 ms later", closes_after(0), True),
    ("the port closes 200 ms later", closes_after(200), True),
    ("the port closes 1 s later", closes_after(1_000), True),
    ("the port closes 2.5 s later", closes_after(2_500), True),
    ("the port refuses a request", _refuses_a_request, True),
    ("another run answers at the address", _another_run_answers, True),
    ("another run is listed at the address", _another_run_is_listed, True),
    ("another run is listed before its removal", _another_run_is_listed_first, True),
    ("it is removed, and the port refuses", _is_removed_and_refuses, True),
    ("it is removed, listens, then refuses", _outlives_its_entry, False),
    ("it is removed, listens, then replaced", _outlives_its_entry_until_the_next_run, True),
    ("it answers a later request", _answers, False),
    ("it answers an earlier request", _answers_what_was_sent_before, True),
    ("another backend answers", _another_backend_answers, True),
    ("it is listed as leaving", _is_listed_as_leaving, False),
    ("it is listed as leaving and removed at once", _leaves_and_goes_at_once, False),
    ("it says in an answer that it leaves", _says_that_it_leaves, False),
    ("it is removed and out of reach", _is_out_of_reach, False),
    ("nothing", _nothing, False),
    ("another run is listed much later", _ends_much_later, False),
]


@pytest.mark.parametrize(
    ("aftermath", "counts"), [a[1:] for a in AFTERMATHS], ids=[a[0] for a in AFTERMATHS]
)
def test_evidence_decides_whether_an_exit_counts(
    aftermath: Callable[[Entry], None], counts: bool
) -> None:
    entry = Entry()
    entry.fail()
    aftermath(entry)
    entry.wait(AFTER_PROBES)
    assert entry.ended() == (frozenset({RUN.run}) if counts else frozenset())
    entry.wait(10 * SECOND)
    assert entry.monitor.open_count == 0


def test_an_exit_counts_from_the_time_of_the_failure() -> None:
    """Ends that are grouped by the time of the evidence look unrelated."""
    entry = Entry()
    entry.fail()
    entry.wait(1_500)
    entry.close_port()
    entry.wait(AFTER_PROBES)
    assert entry.quarantine.time_since_end([RUN.run]) == {RUN.run: 1_500 + AFTER_PROBES}


def test_an_exit_counts_against_all_requests_that_failed_with_it() -> None:
    entry = Entry()
    first = entry.fail(b"first")
    entry.wait(100)
    second = entry.fail(b"second")
    entry.close_port()
    entry.wait(AFTER_PROBES)
    # The next run has the port by now, and the failure of this exchange was found late.
    entry.port = ProbeResult.LISTENING
    third = entry.fail(b"third")
    assert entry.quarantine.cases().keys() == {first, second, third}


def test_an_exchange_that_fails_with_a_closed_port_decides_the_earlier_ones() -> None:
    entry = Entry()
    first = entry.fail(b"first")
    entry.close_port()
    second = entry.fail(b"second")
    assert entry.quarantine.cases().keys() == {first, second}


def test_probes_of_a_run_are_few_however_many_exchanges_fail() -> None:
    entry = Entry()
    for number in range(20):
        entry.fail(b"%d" % number)
    entry.wait(10 * SECOND)
    assert entry.probes == 20 + len(_exit_monitor._PROBE_DELAYS)


def test_probes_are_limited_when_many_backends_fail_together() -> None:
    """A rank group that breaks resets the connections of all its ranks."""
    entry = Entry()
    runs = [replace(RUN, id=f"m-{n}", address=f"10.0.1.{n}:1") for n in range(96)]
    entry.roster.merge(runs, 5)
    for run in runs:
        entry.fail(endpoint=run)
    entry.probes = 0
    entry.wait(1_000)
    assert entry.probes <= 20 * _exit_monitor._PROBE_BATCH
    entry.close_port()
    entry.wait(4_000)
    assert entry.ended() == {run.run for run in runs}


def test_open_failures_take_bounded_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_exit_monitor, "_MAX_RUNS", 10)
    monkeypatch.setattr(_exit_monitor, "_MAX_TRAITS", 5)
    entry = Entry()
    runs = [replace(RUN, id=f"m-{n}", address=f"10.0.1.{n}:1") for n in range(40)]
    entry.roster.merge(runs, 5)
    for run in runs:
        for number in range(8):
            entry.fail(b"%d" % number, run)
    assert entry.monitor.open_count == 10
    entry.close_port()
    entry.wait(AFTER_PROBES)
    assert entry.ended() == {run.run for run in runs[-10:]}
    assert len(entry.quarantine.cases()) == 5
    assert len(entry.monitor._ended) == 10


SAFE = replace(ROUTE, is_stream=False, repeatability=Repeatability.SAFE)
BROKEN = MayHaveRun("reset", FailureCause.CONNECTION_LOST)
#: Results of a later attempt that show that the run of an earlier one has ended.
SIGNS: list[SendResult] = [
    NotRun(NotRunCause.UNREACHABLE, "refused", is_port_closed=True),
    NotRun(NotRunCause.MOVED, "another run has the address"),
]


class _Answer(BackendAnswer):
    status = 200
    headers: list[tuple[str, str]] = []
    is_framed = True

    def pieces(self) -> Iterator[bytes]:
        yield b"done"

    def wait_at_most(self, duration: int) -> None:
        pass

    def close(self) -> None:
        pass


def forward(*results: SendResult) -> Quarantine:
    """Forward a request for each result of the only backend, whose port always listens."""
    clock = ManualClock(start=10_000)
    roster = Roster("nbo-a", clock, random.Random(1))
    roster.merge([RUN], 1)
    quarantine = Quarantine(clock, lambda _name, _case: None)
    remaining = list(results)
    forwarder = make_forwarder(
        CannedPort(lambda: remaining.pop(0)),
        roster,
        FleetRetryBudget(RetryAllowance(0.2, 1_000, 10_000), clock),
        clock,
        ProbeResult.LISTENING,
        quarantine,
    )
    for number in range(len(results)):
        call = make_call(SAFE)
        call.body = b"%d" % number
        list(forwarder.run(call))
        clock.advance(50)
    assert not remaining
    return quarantine


@pytest.mark.parametrize("sign", SIGNS, ids=["closed port", "another run"])
def test_a_later_attempt_decides_an_earlier_failure(sign: SendResult) -> None:
    """The results of attempts must reach the monitor."""
    quarantine = forward(BROKEN, sign)
    assert [case.runs for case in quarantine.cases().values()] == [{RUN.run}]


def test_an_answer_to_a_later_request_closes_a_failure() -> None:
    """Without it the later exit of a live backend would count against the request."""
    assert not forward(BROKEN, _Answer(), SIGNS[0]).cases()
