"""Attribution of ended backends to segments that requests have in common."""

from __future__ import annotations

import dataclasses
import random

import pytest

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.backend import MayHaveRun, NotRun, NotRunCause, SendResult
from canvasyoke.crashes._attribution import Ends, find_responsible
from canvasyoke.crashes._cases import CrashCase
from canvasyoke.crashes._exchange import CrashExchange
from canvasyoke.crashes._prevalence import _INTERVAL, _MAX_TRAITS, Prevalence
from canvasyoke.crashes._quarantine import Quarantine
from canvasyoke.crashes._quarantine_notes import QuarantineNotes
from canvasyoke.crashes._traits import RequestIdentity, is_shared, own_traits, shared_traits
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._call import BEGIN_TIME, DirectCall, ErrorAnswer
from canvasyoke.direct._choice import BackendQuery, NoneAvailable
from canvasyoke.direct._forwarder import Forwarder
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.calls import ROUTE, CannedPort, make_call, make_forwarder
from canvasyoke.platform._store import ObjectsFleetStore
from canvasyoke.protocol import CrashUpdate, Message, Reason
from canvasyoke.state import Endpoint, EndpointState, Repeatability
from fakes.object_store import ObjectStore
from fakes.store_pool import SchedulingClock, StorePool

CRASHING, FIRST, LATER = "segment-c0ffee", "segment-f1", "segment-1a"


def case(runs: str, *, answered: bool = False, answers: int = 0, blamed: bool = False) -> CrashCase:
    """Return a case; each letter of ``runs`` is the id of an ended run."""
    return CrashCase(0, frozenset(runs), blamed, answered, {"e": answers} if answers else {})


#: Description, known cases, common segments, and the traits to blame. Runs end a second apart.
ATTRIBUTION_CASES = [
    ("two ends are not enough", {CRASHING: case("ab")}, "", set(), set()),
    ("three are", {CRASHING: case("abc")}, "", set(), {CRASHING}),
    (
        "what all share explains more, but was answered before",
        {CRASHING: case("abc"), FIRST: case("abcd", answered=True)},
        "",
        set(),
        {CRASHING},
    ),
    (
        "two that crash, and what both share",
        {CRASHING: case("abc"), LATER: case("def"), FIRST: case("abcdef", answered=True)},
        "",
        set(),
        {CRASHING, LATER},
    ),
    (
        "as many answers as ends",
        {CRASHING: case("abcd", answers=4)},
        "",
        set(),
        set(),
    ),
    ("fewer answers than ends", {CRASHING: case("abcd", answers=3)}, "", set(), {CRASHING}),
    ("a common one", {CRASHING: case("abcdefg")}, "", {CRASHING}, set()),
    (
        "two under the same three ends",
        {CRASHING: case("abc"), LATER: case("abc")},
        "",
        set(),
        set(),
    ),
    (
        "two under the same five ends",
        {CRASHING: case("abcde"), LATER: case("abcde")},
        "",
        set(),
        {CRASHING, LATER},
    ),
    (
        "five under the same five ends",
        {f"segment-{n}": case("abcde") for n in range(5)},
        "",
        set(),
        {f"segment-{n}" for n in range(5)},
    ),
    (
        "five with three ends each",
        {f"segment-{n}": case("abcdefghijklmno"[3 * n : 3 * n + 3]) for n in range(5)},
        "",
        set(),
        set(),
    ),
    ("four ends of an answered one", {CRASHING: case("abcd", answered=True)}, "", set(), set()),
    (
        "five ends of an answered one",
        {CRASHING: case("abcde", answered=True)},
        "",
        set(),
        {CRASHING},
    ),
    (
        "an answered one with as many ends beside it",
        {CRASHING: case("abcde", answered=True)},
        "vwxyz",
        set(),
        set(),
    ),
    (
        "ends of one request that was blamed first",
        {"f": case("abc", blamed=True), CRASHING: case("abc")},
        "",
        set(),
        set(),
    ),
    (
        "ends of such a request and of another one",
        {"f": case("abc", blamed=True), CRASHING: case("abcd")},
        "",
        set(),
        {CRASHING},
    ),
    (
        "a request beside segments that were answered",
        {"f": case("abc"), CRASHING: case("abc", answered=True)},
        "",
        set(),
        {"f"},
    ),
]


@pytest.mark.parametrize(
    ("known", "beside", "common", "blamed"),
    [c[1:] for c in ATTRIBUTION_CASES],
    ids=[c[0] for c in ATTRIBUTION_CASES],
)
def test_the_narrowest_unanswered_trait_is_blamed(
    known: dict[str, CrashCase], beside: str, common: set[str], blamed: set[str]
) -> None:
    runs = sorted({*beside}.union(*(each.runs for each in known.values())))
    ends = Ends({run: 100_000 + 1_000 * n for n, run in enumerate(runs)}, now=120_000)
    found = find_responsible(known, ends, lambda name, _was_answered: name in common)
    assert found == blamed


def test_an_answered_segment_needs_ends_in_three_moments() -> None:
    """A few losses of machines end backends under many segments at once."""
    known = {CRASHING: case("abcdef", answered=True)}
    times = dict(zip("abcdef", (0, 0, 0, 2_000, 2_000, 2_000), strict=True))
    assert not find_responsible(known, Ends(times, now=20_000))
    assert find_responsible(known, Ends({**times, "f": 4_000}, now=20_000)) == {CRASHING}


def quarantine_of(clock: ManualClock) -> Quarantine:
    """Return a quarantine in which requests without the segments above were answered."""
    quarantine = Quarantine(clock, lambda _name, _case: None, "e")
    for number in range(100):
        quarantine.record_request([f"segment-{number}"])
        quarantine.record_shared_answer([f"segment-{number}"], clock.now())
    return quarantine


def test_reports_of_other_entries_are_awaited() -> None:
    """The report on a harmless request may be the first to arrive."""
    clock = ManualClock(start=100_000)
    quarantine = quarantine_of(clock)
    for run in "abc":
        quarantine.record_end(LATER, run)
        clock.advance(200 if run != "c" else 0)
    assert not quarantine.quarantined
    for run, age in (("a", 400), ("b", 200), ("c", 0), ("d", 0)):
        quarantine.merge(CRASHING, CrashCase(0, frozenset(run)), {run: age})
    clock.advance(400)
    quarantine.refresh()
    assert quarantine.quarantined == {CRASHING}


def test_an_answer_clears_no_segment() -> None:
    clock = ManualClock(start=100_000)
    quarantine = quarantine_of(clock)
    for run in "abc":
        quarantine.record_end(CRASHING, run)
        clock.advance(400)
    quarantine.record_shared_answer([CRASHING], clock.now())
    quarantine.refresh()
    assert quarantine.quarantined == {CRASHING}


def test_answers_are_counted_over_all_entries_and_bounded() -> None:
    clock = ManualClock(start=100_000)
    told: list[CrashCase] = []
    quarantine = Quarantine(clock, lambda _name, known: told.append(known), "e")
    quarantine.record_end(FIRST, "a")
    clock.advance(1)
    for _ in range(500):
        quarantine.record_shared_answer([FIRST], clock.now())
        quarantine.refresh()
    assert len(told) == 1 + 20
    quarantine.merge(FIRST, CrashCase(0, frozenset("a"), answers={"e": 3, "other": 4}))
    assert quarantine.cases()[FIRST].answer_count == 24


def test_a_case_reaches_another_entry_whole() -> None:
    clock = ManualClock(start=100_000)
    sent: list[Message] = []
    quarantines = [Quarantine(clock, lambda _name, _case: None, name) for name in ("e-1", "e-2")]
    exchanges = [CrashExchange(each, sent.append) for each in quarantines]
    quarantines[0].record_shared_answer([CRASHING], clock.now())
    quarantines[0].record_end(CRASHING, "a")
    clock.advance(700)
    quarantines[0].record_shared_answer([CRASHING], clock.now())
    exchanges[0].share(CRASHING, quarantines[0].cases()[CRASHING])
    (message,) = sent
    assert isinstance(message, CrashUpdate)
    exchanges[1].receive(message)
    assert quarantines[1].cases() == quarantines[0].cases()
    assert quarantines[1].cases()[CRASHING] == CrashCase(
        0, frozenset("a"), was_answered=True, answers={"e-1": 1}
    )
    assert quarantines[1].time_since_end(["a"]) == {"a": 700}


def test_verdicts_of_releases_without_segments_are_ignored() -> None:
    """They take a segment for a whole request, and blame what all requests share."""
    clock = ManualClock(start=100_000)
    quarantine = quarantine_of(clock)
    exchange = CrashExchange(quarantine, lambda _message: None)
    exchange.receive(CrashUpdate(FIRST, 0, ["a", "b", "c"], is_blamed=True))
    assert not quarantine.quarantined
    exchange.receive(CrashUpdate(CRASHING, 0, ["d", "e", "f"], is_shared_blamed=True))
    assert quarantine.quarantined == {CRASHING}


@pytest.mark.parametrize(("field", "is_kept"), [("is_blamed", False), ("is_shared_blamed", True)])
def test_stored_verdicts_on_segments(field: str, is_kept: bool) -> None:
    clock = SchedulingClock(start=100_000)
    store = ObjectStore()
    store.put("quarantine", CRASHING, {"cleared": 0, "runs": ["a", "b", "c"], field: True})
    client = ObjectsFleetStore("127.0.0.1:1")
    client._client = StorePool(store, clock)  # type: ignore[assignment]
    quarantine = Quarantine(clock, lambda _name, _case: None)
    notes = QuarantineNotes(client, quarantine, clock)
    notes.sync()
    assert notes.has_read
    assert quarantine.is_quarantined(CRASHING) is is_kept


def test_a_verdict_on_a_segment_is_stored() -> None:
    clock = SchedulingClock(start=100_000)
    store = ObjectStore()
    client = ObjectsFleetStore("127.0.0.1:1")
    client._client = StorePool(store, clock)  # type: ignore[assignment]
    quarantine = quarantine_of(clock)
    for run in "abc":
        quarantine.record_end(CRASHING, run)
        clock.advance(400)
    quarantine.refresh()
    QuarantineNotes(client, quarantine, clock).sync()
    other = Quarantine(clock, lambda _name, _case: None)
    QuarantineNotes(client, other, clock).sync()
    assert other.quarantined == {CRASHING}


def test_a_released_segment_is_quarantined_again_after_further_ends() -> None:
    clock = ManualClock(start=100_000)
    quarantine = quarantine_of(clock)
    for runs in ("abc", "def"):
        for run in runs:
            quarantine.record_end(CRASHING, run)
            clock.advance(400)
        quarantine.refresh()
        assert quarantine.quarantined == {CRASHING}
        assert quarantine.release(CRASHING)
        assert not quarantine.quarantined


def prevalence_of(share: float, *, answered: bool) -> Prevalence:
    """Return the prevalence after 100 requests, of which ``share`` have the first segment."""
    prevalence = Prevalence(ManualClock(start=100_000))
    for number in range(100):
        traits = [FIRST] if number < 100 * share else [f"segment-{number}"]
        prevalence.record_request(traits)
        if answered:
            prevalence.record_answer(traits)
    return prevalence


#: Share of the requests with a segment, whether they were answered, and whether it is common.
COMMON_CASES = [(1.0, False, True), (0.6, False, True), (0.4, False, False), (0.0, False, False)]
COMMON_CASES += [(1.0, True, True), (0.06, True, True), (0.05, True, False)]


@pytest.mark.parametrize(("share", "answered", "is_common"), COMMON_CASES)
def test_common_segments(share: float, answered: bool, is_common: bool) -> None:
    prevalence = prevalence_of(share, answered=answered)
    assert prevalence.was_answered(FIRST) is answered
    assert prevalence.is_common(FIRST, answered) is is_common


def test_an_entry_that_has_seen_few_requests_blames_no_segment() -> None:
    prevalence = Prevalence(ManualClock(start=100_000))
    for _ in range(9):
        prevalence.record_request([FIRST])
    assert prevalence.is_common(CRASHING, False)
    prevalence.record_request([FIRST])
    assert not prevalence.is_common(CRASHING, False)


def test_answers_are_remembered_while_none_come() -> None:
    clock = ManualClock(start=100_000)
    prevalence = Prevalence(clock)
    prevalence.record_answer([FIRST])
    clock.advance(10 * _INTERVAL)
    assert prevalence.was_answered(FIRST)
    for _ in range(2):
        prevalence.record_answer([LATER])
        clock.advance(_INTERVAL)
    assert not prevalence.was_answered(FIRST)


def test_prevalence_takes_bounded_memory() -> None:
    prevalence = Prevalence(ManualClock(start=100_000))
    for number in range(3 * _MAX_TRAITS):
        prevalence.record_request([f"segment-{number}"])
    counts = prevalence._requests
    assert len(counts._current) + len(counts._previous) <= 2 * _MAX_TRAITS


def test_the_traits_of_a_request_are_its_digest_and_its_shared_segments() -> None:
    identity = RequestIdentity("POST", "/a", "o", b"body", ("c0ffee", "f1"))
    assert shared_traits(identity) == (CRASHING, FIRST)
    (digest,) = own_traits(identity)
    assert [is_shared(name) for name in (digest, CRASHING, FIRST)] == [False, True, True]


@pytest.mark.parametrize(("begun_before", "is_suspect"), [(None, True), (1, True), (301, False)])
def test_segments_of_a_response_that_went_on_are_no_suspects(
    begun_before: int | None, is_suspect: bool
) -> None:
    call = make_call()
    call.shared_segments = ("c0ffee",)
    now = 20_000
    call.begun_at = now - begun_before if begun_before is not None else 0
    call.is_established = begun_before is not None and begun_before > BEGIN_TIME
    exchange = call.broken_exchange(RUN, "broke off", now)
    assert (CRASHING in exchange.traits) is is_suspect
    assert exchange.segments == ("c0ffee",)


RUN = Endpoint("b-1", "ink", "10.0.0.1:1", "nbo-a", 6, EndpointState.READY, 1)


def make_judged(
    monkeypatch: pytest.MonkeyPatch, *, while_waiting: bool
) -> tuple[Forwarder, DirectCall, list[str]]:
    """Return a forwarder whose request is quarantined while it waits, or before it is written."""
    clock = ManualClock(start=100_000)
    quarantine = Quarantine(clock, lambda _name, _case: None)
    roster = Roster("nbo-a", clock, random.Random(1))
    roster.merge([RUN], 1)
    written: list[str] = []

    def judge() -> None:
        quarantine.merge(CRASHING, CrashCase(0, frozenset("abc"), is_blamed=True))

    def choose(_query: BackendQuery) -> NoneAvailable:
        judge()
        return NoneAvailable(Reason.CANCELLED)

    def send() -> SendResult:
        judge()
        assert port.slot is not None
        reason = port.slot.attach(None)
        if reason:
            return NotRun(NotRunCause.WITHDRAWN, reason)
        written.append(RUN.run)
        return MayHaveRun("sent")

    port = CannedPort(send)
    budget = FleetRetryBudget(RetryAllowance(0.2, 1_000, 10 * SECOND), clock)
    forwarder = make_forwarder(port, roster, budget, clock, quarantine=quarantine)
    if while_waiting:
        monkeypatch.setattr(forwarder, "_choose", choose)
    call = make_call(dataclasses.replace(ROUTE, is_stream=False, repeatability=Repeatability.SAFE))
    call.arrived_at, call.deadline, call.shared_segments = 100_000, 108_000, ("c0ffee",)
    return forwarder, call, written


@pytest.mark.parametrize("while_waiting", [False, True], ids=["before the write", "in a queue"])
def test_a_verdict_after_the_first_check_keeps_a_request_from_its_backend(
    monkeypatch: pytest.MonkeyPatch, while_waiting: bool
) -> None:
    forwarder, call, written = make_judged(monkeypatch, while_waiting=while_waiting)
    (answer,) = forwarder.run(call)
    assert isinstance(answer, ErrorAnswer)
    assert (answer.status, answer.retry_after) == (502, 0)
    assert not written
