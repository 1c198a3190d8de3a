"""Attribution of ended backends to requests, and quarantine of those responsible."""

from __future__ import annotations

import dataclasses
import itertools
import random
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.backend import BackendAnswer, MayHaveRun, SendResult
from canvasyoke.crashes import _quarantine
from canvasyoke.crashes._attribution import Ends, find_responsible
from canvasyoke.crashes._cases import CrashCase
from canvasyoke.crashes._quarantine import Quarantine
from canvasyoke.crashes._quarantine_notes import QuarantineNotes
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._call import AnswerEnd, AnswerHead, AnswerPart, DirectCall, ErrorAnswer
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.calls import ROUTE, CannedPort, make_call, make_forwarder
from canvasyoke.platform._store import ObjectsFleetStore
from canvasyoke.state import Endpoint, EndpointState, Repeatability
from canvasyoke.transport import FailureCause, ProbeResult
from fakes.object_store import ObjectStore
from fakes.store_pool import SchedulingClock, StorePool

SAFE = dataclasses.replace(ROUTE, is_stream=False, repeatability=Repeatability.SAFE, max_attempts=2)


def cases(**runs: str) -> dict[str, CrashCase]:
    """Return cases by name; each letter is the id of an ended run."""
    return {name: CrashCase(0, frozenset(text)) for name, text in runs.items()}


ATTRIBUTION_CASES = [
    ("two ends are not enough", cases(f="ab"), ""),
    ("three are", cases(f="abc"), "f"),
    ("one that was there each time is not to blame for less", cases(f="abcd", g="abc"), "f"),
    ("one that was there twice is not to blame", cases(f="abc", g="ab"), "f"),
    ("ends that are explained count against nobody", cases(f="abcde", g="abx", h="cdxy"), "f"),
    ("two that each ended three others", cases(f="abc", g="xyz"), "fg"),
    ("two that come together cannot be told apart", cases(f="abc", g="abc"), "fg"),
    ("one with two ends of its own beside", cases(f="abcd", g="abxyz"), "g"),
    ("one with three ends of its own beside", cases(f="abcde", g="abwxyz"), "fg"),
    ("one that was cleared since", {"f": CrashCase(1, frozenset())}, ""),
]


@pytest.mark.parametrize(
    ("known", "blamed"), [b[1:] for b in ATTRIBUTION_CASES], ids=[b[0] for b in ATTRIBUTION_CASES]
)
def test_each_ended_run_is_attributed_to_one_request(
    known: dict[str, CrashCase], blamed: str
) -> None:
    runs = sorted(set().union(*(case.runs for case in known.values())))
    ended_at = {run: 100_000 + 1_000 * number for number, run in enumerate(runs)}
    assert find_responsible(known, Ends(ended_at, now=110_000)) == frozenset(blamed)


SOME_CASES = st.builds(
    CrashCase, st.integers(0, 2), st.frozensets(st.sampled_from("abcde")), st.booleans()
)


@given(st.lists(SOME_CASES, min_size=1, max_size=5), st.randoms())
def test_merging_cases_is_commutative_and_idempotent(
    known: list[CrashCase], rng: random.Random
) -> None:
    def merge(all_of_them: list[CrashCase]) -> CrashCase:
        merged = CrashCase()
        for case in all_of_them:
            merged = merged.merged(case)
        return merged

    again = known + rng.choices(known, k=3)
    rng.shuffle(again)
    assert merge(again) == merge(known)


class RecordingQuarantine:
    """A quarantine that records the cases it publishes."""

    def __init__(self) -> None:
        self.clock = ManualClock(start=100_000)
        self.published: list[tuple[str, CrashCase]] = []
        self.quarantine = Quarantine(
            self.clock, lambda *published: self.published.append(published)
        )

    def end(self, name: str, *runs: str) -> None:
        """Record ended runs under a request, 200 ms apart."""
        for run in runs:
            self.quarantine.record_end(name, run)
            self.clock.advance(200)


@pytest.fixture
def recorder() -> RecordingQuarantine:
    return RecordingQuarantine()


def test_the_third_ended_run_is_published_and_quarantines_the_request(
    recorder: RecordingQuarantine,
) -> None:
    recorder.end("f", "a", "b")
    assert not recorder.quarantine.is_quarantined("f")
    recorder.end("f", "c", "c")
    assert recorder.quarantine.is_quarantined("f")
    assert [(len(c.runs), c.is_blamed) for _, c in recorder.published] == [
        (1, False),
        (2, False),
        (3, True),
    ]


def test_an_answered_request_is_cleared_on_all_entries(recorder: RecordingQuarantine) -> None:
    recorder.end("f", "a", "b", "c")
    recorder.quarantine.record_answer("f")
    assert not recorder.quarantine.is_quarantined("f")
    assert recorder.published[-1] == ("f", CrashCase(1))


def test_simultaneous_ends_wait_for_an_answer_to_another_copy(
    recorder: RecordingQuarantine,
) -> None:
    for name in ("hot", "f"):
        for run in "abc":
            recorder.quarantine.record_end(name, f"{name}-{run}")
        recorder.clock.advance(1_000)
        if name == "hot":
            recorder.quarantine.record_answer("hot")
        recorder.quarantine.refresh()
        assert not recorder.quarantine.quarantined
        recorder.clock.advance(5_000)
    recorder.quarantine.refresh()
    assert recorder.quarantine.quarantined == {"f"}


def test_a_recently_answered_request_is_not_suspected(recorder: RecordingQuarantine) -> None:
    recorder.quarantine.record_answer("hot")
    recorder.end("hot", "a", "b", "c")
    assert not recorder.published
    recorder.quarantine.merge("hot", CrashCase(0, frozenset("abc"), is_blamed=True))
    assert not recorder.quarantine.is_quarantined("hot")
    assert recorder.published[-1] == ("hot", CrashCase(1))


def test_an_old_answer_does_not_exonerate(recorder: RecordingQuarantine) -> None:
    recorder.quarantine.record_answer("f")
    recorder.clock.advance(_quarantine._ANSWER_TTL)
    recorder.end("f", "a", "b", "c")
    assert recorder.quarantine.is_quarantined("f")


def test_a_case_from_before_a_clearance_is_ignored(recorder: RecordingQuarantine) -> None:
    recorder.end("f", "a", "b", "c")
    assert recorder.quarantine.release("f")
    recorder.quarantine.merge("f", CrashCase(0, frozenset("abcd"), is_blamed=True))
    assert not recorder.quarantine.is_quarantined("f")
    assert not recorder.quarantine.release("f")


def test_a_released_request_is_quarantined_again_after_three_ended_runs(
    recorder: RecordingQuarantine,
) -> None:
    """Earlier ended runs of the request must not count in its favour."""
    recorder.end("f", "a", "b", "c", "d")
    assert recorder.quarantine.release("f")
    recorder.end("f", "x", "y", "z")
    assert recorder.quarantine.is_quarantined("f")


def test_a_suspect_is_not_released(recorder: RecordingQuarantine) -> None:
    """Otherwise its ended runs would be attributed to another request."""
    recorder.end("f", "a", "b")
    assert not recorder.quarantine.release("f")
    assert len(recorder.quarantine.cases()["f"].runs) == 2


def test_runs_attributed_to_a_released_request_count_against_no_other(
    recorder: RecordingQuarantine,
) -> None:
    for run in "ab":
        recorder.end("beside", run)
        recorder.end("f", run)
    recorder.end("f", "c", "d")
    assert recorder.quarantine.release("f")
    recorder.end("beside", "x")
    assert not recorder.quarantine.quarantined


def test_cases_expire_unless_quarantined(recorder: RecordingQuarantine) -> None:
    recorder.end("f", "a", "b", "c")
    recorder.end("g", "x")
    recorder.clock.advance(_quarantine._CASE_TTL + 1)
    recorder.end("h", "y")
    recorder.quarantine.refresh()
    assert recorder.quarantine.cases().keys() == {"f", "h"}


def test_suspects_do_not_evict_a_quarantined_request(
    recorder: RecordingQuarantine, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_quarantine, "_CASE_LIMIT", 50)
    monkeypatch.setattr(_quarantine, "_EVICTION_BATCH", 5)
    recorder.end("f", "a", "b", "c")
    for n in range(200):
        recorder.end(f"s-{n}", f"run-{n}")
    assert "f" in recorder.quarantine.cases()
    assert 45 <= len(recorder.quarantine.cases()) <= 50


def test_answered_requests_take_bounded_memory(
    recorder: RecordingQuarantine, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_quarantine, "_ANSWERED_LIMIT", 50)
    for n in range(200):
        recorder.quarantine.record_answer(f"a-{n}")
    assert len(recorder.quarantine._answered) == 50


class _Answer(BackendAnswer):
    def __init__(self, status: int = 200, is_framed: bool = True) -> None:
        self.status = status
        self.headers = []
        self.is_framed = is_framed

    def pieces(self) -> itertools.chain[bytes]:
        return itertools.chain([b"done"])

    def wait_at_most(self, duration: int) -> None:
        pass

    def close(self) -> None:
        pass


BROKEN = MayHaveRun("reset", FailureCause.CONNECTION_LOST)


class Entry:
    """An entry with ten backends that return scripted responses."""

    def __init__(
        self, recorder: RecordingQuarantine, reach: ProbeResult = ProbeResult.REFUSED
    ) -> None:
        self.roster = Roster("nbo-a", recorder.clock, random.Random(1))
        names = [f"b-{n}" for n in range(10)]
        self.roster.merge(
            [Endpoint(n, "ink", f"{n}:1", "nbo-a", 6, EndpointState.READY, 1) for n in names], 1
        )
        self.sent = 0
        self.answer: Callable[[], SendResult] = lambda: BROKEN
        budget = FleetRetryBudget(RetryAllowance(0.2, 1_000, 10_000), recorder.clock)
        port = CannedPort(self._send)
        self.forwarder = make_forwarder(
            port, self.roster, budget, recorder.clock, reach, recorder.quarantine
        )

    def _send(self) -> SendResult:
        self.sent += 1
        return self.answer()

    def run(self, body: bytes = b"", gone: bool = False, attempts: int = 2) -> list[AnswerPart]:
        return list(self.forwarder.run(self._call(body, gone, attempts)))

    def _call(self, body: bytes, gone: bool, attempts: int) -> DirectCall:
        call = make_call(dataclasses.replace(SAFE, max_attempts=attempts))
        call.body, call.arrived_at, call.deadline = body, 100_000, 108_000
        if gone:
            call.is_disconnected = lambda: True
        return call


def test_a_crashing_request_reaches_three_backends_and_gets_the_same_refusal(
    recorder: RecordingQuarantine,
) -> None:
    entry = Entry(recorder)
    answers = []
    for _ in range(6):
        answers.append(entry.run(b"deadly")[-1])
        recorder.clock.advance(200)
    assert entry.sent == 3
    assert len({str(answer) for answer in answers[1:]}) == 1
    last = answers[-1]
    assert isinstance(last, ErrorAnswer)
    assert (last.status, last.retry_after) == (502, 0)


def test_an_error_response_is_delivered_even_if_the_request_is_quarantined(
    recorder: RecordingQuarantine,
) -> None:
    entry = Entry(recorder)
    for _ in range(2):
        entry.run(b"deadly", attempts=1)
        recorder.clock.advance(200)
    answers: list[SendResult] = [_Answer(500), BROKEN]
    entry.answer = lambda: answers.pop(0)
    pieces = entry.run(b"deadly", attempts=3)
    assert recorder.quarantine.quarantined
    assert [type(piece) for piece in pieces] == [AnswerHead, bytes, AnswerEnd]


def test_other_requests_on_crashed_backends_are_still_answered(
    recorder: RecordingQuarantine,
) -> None:
    entry = Entry(recorder)
    answers: list[SendResult] = [BROKEN, _Answer()]
    entry.answer = lambda: answers.pop(0)
    assert isinstance(entry.run(b"sound")[-1], AnswerEnd)
    entry.answer = lambda: BROKEN
    for _ in range(3):
        entry.run(b"deadly")
        recorder.clock.advance(200)
    entry.answer = _Answer
    assert isinstance(entry.run(b"sound")[-1], AnswerEnd)
    assert recorder.quarantine.quarantined


#: Attempts that are no evidence against their request.
HARMLESS: list[tuple[str, SendResult, ProbeResult, bool]] = [
    ("a reset by a backend that goes on", BROKEN, ProbeResult.LISTENING, False),
    ("a cut", BROKEN, ProbeResult.SILENT, False),
    ("time that ran out", MayHaveRun("timed out"), ProbeResult.REFUSED, False),
    ("a caller that has left", BROKEN, ProbeResult.REFUSED, True),
    ("a failure of the backend's own", _Answer(500), ProbeResult.REFUSED, False),
]


@pytest.mark.parametrize(
    ("sent", "reach", "gone"), [h[1:] for h in HARMLESS], ids=[h[0] for h in HARMLESS]
)
def test_failures_without_a_crash_are_no_evidence(
    recorder: RecordingQuarantine, sent: SendResult, reach: ProbeResult, gone: bool
) -> None:
    entry = Entry(recorder, reach)
    entry.answer = lambda: sent
    for _ in range(5):
        entry.run(b"x", gone)
    assert not recorder.quarantine.cases()


#: Responses, and whether they clear the request.
CLEARING = [(_Answer(), True), (_Answer(is_framed=False), False), (_Answer(404), False)]


@pytest.mark.parametrize(("answer", "clears"), CLEARING)
def test_only_a_complete_success_clears_a_request(
    recorder: RecordingQuarantine, answer: _Answer, clears: bool
) -> None:
    entry = Entry(recorder)
    entry.run(b"x")
    entry.answer = lambda: answer
    entry.run(b"x")
    (case,) = recorder.quarantine.cases().values()
    assert bool(case.cleared) is clears


class SharedStore:
    """A simulated store and clock shared by several entries."""

    def __init__(self) -> None:
        self.clock = SchedulingClock(start=100_000)
        self.store = ObjectStore()

    def entry(self) -> tuple[Quarantine, QuarantineNotes]:
        client = ObjectsFleetStore("127.0.0.1:1")
        client._client = StorePool(self.store, self.clock)  # type: ignore[assignment]
        quarantine = Quarantine(self.clock, lambda _name, _case: None)
        return quarantine, QuarantineNotes(client, quarantine, self.clock)


def end_three_runs(shared: SharedStore, quarantine: Quarantine) -> None:
    for run in "abc":
        quarantine.record_end("f", run)
        shared.clock.advance(200)


def test_a_quarantine_survives_the_restart_of_all_entries() -> None:
    shared = SharedStore()
    quarantine, notes = shared.entry()
    quarantine.record_end("suspect", "a")
    end_three_runs(shared, quarantine)
    notes.sync()
    assert shared.store.get("quarantine").keys() == {"f"}
    quarantine, notes = shared.entry()
    notes.sync()
    assert quarantine.is_quarantined("f")


def test_a_release_survives_the_restart_of_all_entries() -> None:
    shared = SharedStore()
    quarantine, notes = shared.entry()
    end_three_runs(shared, quarantine)
    notes.sync()
    quarantine.release("f")
    shared.clock.advance(2 * SECOND)
    notes.sync()
    quarantine, notes = shared.entry()
    notes.sync()
    assert not quarantine.is_quarantined("f")


def test_invalid_notes_are_ignored() -> None:
    shared = SharedStore()
    sound = {"cleared": 0, "runs": ["a", "b", "c"], "is_blamed": True}
    bodies: dict[str, object] = {"x": 7, "y": {"cleared": -1}, "z": {"runs": "abc"}, "f": sound}
    for name, body in bodies.items():
        shared.store.put("quarantine", name, body)
    quarantine, notes = shared.entry()
    notes.sync()
    assert quarantine.quarantined == {"f"}


@pytest.mark.parametrize("released", [False, True])
def test_cases_lost_by_the_store_are_rewritten(released: bool) -> None:
    """The store is restored from a copy made before the verdict or before the release."""
    shared = SharedStore()
    quarantine, notes = shared.entry()
    older = shared.store.snapshot()
    end_three_runs(shared, quarantine)
    notes.sync(era=0)
    if released:
        older = shared.store.snapshot()
        quarantine.release("f")
        shared.clock.advance(2 * SECOND)
        notes.sync(era=0)
    shared.store.restore(older)
    shared.clock.advance(2 * SECOND)
    notes.sync(era=1)
    shared.clock.advance(2 * SECOND)
    notes.sync(era=1)
    quarantine, notes = shared.entry()
    notes.sync(era=1)
    assert quarantine.is_quarantined("f") is not released
