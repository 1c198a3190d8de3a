"""Who is to blame when backends end, and what is done about it."""

from __future__ import annotations

import dataclasses
import itertools
import random
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.backend import BackendAnswer, MayHaveRun, Sending
from canvasyoke.direct import _quarantine
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._call import AnswerEnd, AnswerHead, DirectCall, GaveUp, Piece
from canvasyoke.direct._crash_cases import CrashCase, find_culprits
from canvasyoke.direct._quarantine import Quarantine
from canvasyoke.direct._quarantine_notes import QuarantineNotes
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.calls import ROUTE, CannedPort, make_call, make_forwarder
from canvasyoke.platform._store import ObjectsFleetStore
from canvasyoke.state import Endpoint, EndpointState, Repeatability
from canvasyoke.transport import Reach
from fakes.object_store import ObjectStore
from fakes.store_pool import PlannedClock, StorePool

SAFE = dataclasses.replace(ROUTE, is_stream=False, repeatability=Repeatability.SAFE, max_attempts=2)


def cases(**runs: str) -> dict[str, CrashCase]:
    """Return cases by name; each letter is a run that ended."""
    return {name: CrashCase(0, frozenset(text)) for name, text in runs.items()}


BLAME = [
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


@pytest.mark.parametrize(("known", "blamed"), [b[1:] for b in BLAME], ids=[b[0] for b in BLAME])
def test_each_end_is_blamed_on_one(known: dict[str, CrashCase], blamed: str) -> None:
    runs = sorted(set().union(*(case.runs for case in known.values())))
    ended_at = {run: 100_000 + 1_000 * number for number, run in enumerate(runs)}
    assert find_culprits(known, ended_at, now=110_000) == frozenset(blamed)


SOME_CASES = st.builds(
    CrashCase, st.integers(0, 2), st.frozensets(st.sampled_from("abcde")), st.booleans()
)


@given(st.lists(SOME_CASES, min_size=1, max_size=5), st.randoms())
def test_cases_merge_in_any_order_and_any_number_of_times(
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


class Told:
    """A quarantine and what it tells other entries."""

    def __init__(self) -> None:
        self.clock = ManualClock(start=100_000)
        self.news: list[tuple[str, CrashCase]] = []
        self.quarantine = Quarantine(self.clock, lambda *news: self.news.append(news))

    def end(self, name: str, *runs: str) -> None:
        """End backends under a request one after the other."""
        for run in runs:
            self.quarantine.ended(name, run)
            self.clock.advance(200)


@pytest.fixture
def told() -> Told:
    return Told()


def test_the_third_end_is_told_and_puts_a_request_in_quarantine(told: Told) -> None:
    told.end("f", "a", "b")
    assert not told.quarantine.holds("f")
    told.end("f", "c", "c")
    assert told.quarantine.holds("f")
    assert [(len(c.runs), c.is_blamed) for _, c in told.news] == [(1, False), (2, False), (3, True)]


def test_a_request_that_is_answered_is_cleared_for_all(told: Told) -> None:
    told.end("f", "a", "b", "c")
    told.quarantine.answered("f")
    assert not told.quarantine.holds("f")
    assert told.news[-1] == ("f", CrashCase(1))


def test_ends_at_one_moment_wait_for_an_answer_to_another_copy(told: Told) -> None:
    for name in ("hot", "f"):
        for run in "abc":
            told.quarantine.ended(name, f"{name}-{run}")
        told.clock.advance(1_000)
        if name == "hot":
            told.quarantine.answered("hot")
        told.quarantine.look()
        assert not told.quarantine.culprits
        told.clock.advance(5_000)
    told.quarantine.look()
    assert told.quarantine.culprits == {"f"}


def test_what_was_answered_a_moment_ago_is_not_suspected(told: Told) -> None:
    told.quarantine.answered("hot")
    told.end("hot", "a", "b", "c")
    assert not told.news
    told.quarantine.hear("hot", CrashCase(0, frozenset("abc"), is_blamed=True))
    assert not told.quarantine.holds("hot")
    assert told.news[-1] == ("hot", CrashCase(1))


def test_what_was_answered_long_ago_is(told: Told) -> None:
    told.quarantine.answered("f")
    told.clock.advance(_quarantine._ANSWER_HOLDS)
    told.end("f", "a", "b", "c")
    assert told.quarantine.holds("f")


def test_word_from_before_a_clearing_is_old(told: Told) -> None:
    told.end("f", "a", "b", "c")
    assert told.quarantine.release("f")
    told.quarantine.hear("f", CrashCase(0, frozenset("abcd"), is_blamed=True))
    assert not told.quarantine.holds("f")
    assert not told.quarantine.release("f")


def test_one_that_was_released_is_to_blame_for_three_more(told: Told) -> None:
    """Its ends before that spoke for it, as ends without it."""
    told.end("f", "a", "b", "c", "d")
    assert told.quarantine.release("f")
    told.end("f", "x", "y", "z")
    assert told.quarantine.holds("f")


def test_a_suspect_is_not_released(told: Told) -> None:
    """Its case would be lost, and the blame fall on one that was beside it."""
    told.end("f", "a", "b")
    assert not told.quarantine.release("f")
    assert len(told.quarantine.cases()["f"].runs) == 2


def test_what_a_released_request_explained_is_held_against_nobody(told: Told) -> None:
    for run in "ab":
        told.end("beside", run)
        told.end("f", run)
    told.end("f", "c", "d")
    assert told.quarantine.release("f")
    told.end("beside", "x")
    assert not told.quarantine.culprits


def test_a_case_is_dropped_after_a_time_and_a_culprit_is_not(told: Told) -> None:
    told.end("f", "a", "b", "c")
    told.end("g", "x")
    told.clock.advance(_quarantine._CASE_AGE + 1)
    told.end("h", "y")
    told.quarantine.look()
    assert told.quarantine.cases().keys() == {"f", "h"}


def test_many_suspects_do_not_push_a_culprit_out(
    told: Told, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_quarantine, "_CASE_LIMIT", 50)
    monkeypatch.setattr(_quarantine, "_DROPPED_AT_ONCE", 5)
    told.end("f", "a", "b", "c")
    for n in range(200):
        told.end(f"s-{n}", f"run-{n}")
    assert "f" in told.quarantine.cases()
    assert 45 <= len(told.quarantine.cases()) <= 50


def test_answered_requests_take_bounded_memory(told: Told, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_quarantine, "_ANSWERED_LIMIT", 50)
    for n in range(200):
        told.quarantine.answered(f"a-{n}")
    assert len(told.quarantine._answered) == 50


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


BROKEN = MayHaveRun("reset", is_broken=True)


class Entry:
    """One entry's way to ten backends that answer as they are told."""

    def __init__(self, told: Told, reach: Reach = Reach.REFUSED) -> None:
        self.roster = Roster("nbo-a", told.clock, random.Random(1))
        names = [f"b-{n}" for n in range(10)]
        self.roster.merge(
            [Endpoint(n, "ink", f"{n}:1", "nbo-a", 6, EndpointState.READY, 1) for n in names], 1
        )
        self.sent = 0
        self.answer: Callable[[], Sending] = lambda: BROKEN
        budget = FleetRetryBudget(RetryAllowance(0.2, 1_000, 10_000), told.clock)
        port = CannedPort(self._send)
        self.forwarder = make_forwarder(
            port, self.roster, budget, told.clock, reach, told.quarantine
        )

    def _send(self) -> Sending:
        self.sent += 1
        return self.answer()

    def run(self, body: bytes = b"", gone: bool = False, attempts: int = 2) -> list[Piece]:
        return list(self.forwarder.run(self._call(body, gone, attempts)))

    def _call(self, body: bytes, gone: bool, attempts: int) -> DirectCall:
        call = make_call(dataclasses.replace(SAFE, max_attempts=attempts))
        call.body, call.began, call.deadline = body, 100_000, 108_000
        if gone:
            call.gone = lambda: True
        return call


def test_a_request_that_ends_backends_is_sent_to_three_and_refused_alike(told: Told) -> None:
    entry = Entry(told)
    answers = []
    for _ in range(6):
        answers.append(entry.run(b"deadly")[-1])
        told.clock.advance(200)
    assert entry.sent == 3
    assert len({str(answer) for answer in answers[1:]}) == 1
    last = answers[-1]
    assert isinstance(last, GaveUp)
    assert (last.status, last.retry_after) == (502, 0)


def test_a_failure_that_a_backend_answered_is_passed_on_all_the_same(told: Told) -> None:
    entry = Entry(told)
    for _ in range(2):
        entry.run(b"deadly", attempts=1)
        told.clock.advance(200)
    answers: list[Sending] = [_Answer(500), BROKEN]
    entry.answer = lambda: answers.pop(0)
    pieces = entry.run(b"deadly", attempts=3)
    assert told.quarantine.culprits
    assert [type(piece) for piece in pieces] == [AnswerHead, bytes, AnswerEnd]


def test_others_that_were_there_are_answered_as_before(told: Told) -> None:
    entry = Entry(told)
    answers: list[Sending] = [BROKEN, _Answer()]
    entry.answer = lambda: answers.pop(0)
    assert isinstance(entry.run(b"sound")[-1], AnswerEnd)
    entry.answer = lambda: BROKEN
    for _ in range(3):
        entry.run(b"deadly")
        told.clock.advance(200)
    entry.answer = _Answer
    assert isinstance(entry.run(b"sound")[-1], AnswerEnd)
    assert told.quarantine.culprits


#: What becomes of an attempt that says nothing against its request.
HARMLESS: list[tuple[str, Sending, Reach, bool]] = [
    ("a reset by a backend that goes on", BROKEN, Reach.LISTENING, False),
    ("a cut", BROKEN, Reach.SILENT, False),
    ("time that ran out", MayHaveRun("timed out"), Reach.REFUSED, False),
    ("a caller that has left", BROKEN, Reach.REFUSED, True),
    ("a failure of the backend's own", _Answer(500), Reach.REFUSED, False),
]


@pytest.mark.parametrize(
    ("sent", "reach", "gone"), [h[1:] for h in HARMLESS], ids=[h[0] for h in HARMLESS]
)
def test_what_is_no_end_of_a_backend_says_nothing(
    told: Told, sent: Sending, reach: Reach, gone: bool
) -> None:
    entry = Entry(told, reach)
    entry.answer = lambda: sent
    for _ in range(5):
        entry.run(b"x", gone)
    assert not told.quarantine.cases()


#: Answers that clear a request, and those that may be an end of their backend.
CLEARING = [(_Answer(), True), (_Answer(is_framed=False), False), (_Answer(404), False)]


@pytest.mark.parametrize(("answer", "clears"), CLEARING)
def test_only_a_whole_success_clears(told: Told, answer: _Answer, clears: bool) -> None:
    entry = Entry(told)
    entry.run(b"x")
    entry.answer = lambda: answer
    entry.run(b"x")
    (case,) = told.quarantine.cases().values()
    assert bool(case.cleared) is clears


class NotesWorld:
    """A store in simulated time, and entries that note in it."""

    def __init__(self) -> None:
        self.clock = PlannedClock(start=100_000)
        self.store = ObjectStore()

    def entry(self) -> tuple[Quarantine, QuarantineNotes]:
        client = ObjectsFleetStore("127.0.0.1:1")
        client._pool = StorePool(self.store, self.clock)  # type: ignore[assignment]
        quarantine = Quarantine(self.clock, lambda _name, _case: None)
        return quarantine, QuarantineNotes(client, quarantine, self.clock)


def end_three(world: NotesWorld, quarantine: Quarantine) -> None:
    for run in "abc":
        quarantine.ended("f", run)
        world.clock.advance(200)


def test_a_culprit_outlives_all_entries() -> None:
    world = NotesWorld()
    quarantine, notes = world.entry()
    quarantine.ended("suspect", "a")
    end_three(world, quarantine)
    notes.look()
    assert world.store.get("quarantine").keys() == {"f"}
    quarantine, notes = world.entry()
    notes.look()
    assert quarantine.holds("f")


def test_a_release_outlives_all_entries() -> None:
    world = NotesWorld()
    quarantine, notes = world.entry()
    end_three(world, quarantine)
    notes.look()
    quarantine.release("f")
    world.clock.advance(2 * SECOND)
    notes.look()
    quarantine, notes = world.entry()
    notes.look()
    assert not quarantine.holds("f")


def test_a_note_by_another_writer_stops_nobody() -> None:
    world = NotesWorld()
    sound = {"cleared": 0, "runs": ["a", "b", "c"], "is_blamed": True}
    bodies: dict[str, object] = {"x": 7, "y": {"cleared": -1}, "z": {"runs": "abc"}, "f": sound}
    for name, body in bodies.items():
        world.store.put("quarantine", name, body)
    quarantine, notes = world.entry()
    notes.look()
    assert quarantine.culprits == {"f"}


@pytest.mark.parametrize("released", [False, True])
def test_what_the_store_lost_is_written_again(released: bool) -> None:
    """It is back from a copy of before the blame, or of before the release."""
    world = NotesWorld()
    quarantine, notes = world.entry()
    older = world.store.copy()
    end_three(world, quarantine)
    notes.look(era=0)
    if released:
        older = world.store.copy()
        quarantine.release("f")
        world.clock.advance(2 * SECOND)
        notes.look(era=0)
    world.store.return_from(older)
    world.clock.advance(2 * SECOND)
    notes.look(era=1)
    world.clock.advance(2 * SECOND)
    notes.look(era=1)
    quarantine, notes = world.entry()
    notes.look(era=1)
    assert quarantine.holds("f") is not released
