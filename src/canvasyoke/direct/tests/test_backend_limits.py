"""How entries keep together to the rate that a backend takes."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.backend import BackendNotice
from canvasyoke.direct._backend_limits import BackendLimits, RateWord, Share
from canvasyoke.direct._backend_words import ToldWord
from canvasyoke.direct._choice import BackendQuery, Chosen, NoneAvailable
from canvasyoke.direct._demand_shares import DemandShares
from canvasyoke.direct._refusals import ReturnLine
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.need_model import Need, NeedDay, NeedWorld
from canvasyoke.protocol import Reason
from canvasyoke.state import Endpoint, EndpointState
from fakes.engine_ledger import EngineWord, Exchanged, worst_limit

KEY = ("a", "10.0.0.1:1")
A = Endpoint(*KEY[:1], "ink", KEY[1], "nbo-a", 6, EndpointState.READY, 1)
B = replace(A, id="b", address="10.0.0.2:1")


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(start=10_000)


@pytest.fixture
def limits(clock: ManualClock) -> BackendLimits:
    return BackendLimits(clock, random.Random(1))


@pytest.fixture
def roster(clock: ManualClock) -> Roster:
    roster = Roster("nbo-a", clock, random.Random(1))
    roster.merge([A], position=5)
    return roster


def send_for(limits: BackendLimits, clock: ManualClock, seconds: int) -> int:
    """Send whenever it is allowed, and return how often that was."""
    count = 0
    for _ in range(seconds * 100):
        clock.advance(10)
        while not limits.wait(KEY, "ink"):
            limits.sent(KEY, "ink")
            count += 1
    return count


@pytest.mark.parametrize("rate", [0.5, 2.0, 6.0, 20.0, 200.0])
@pytest.mark.parametrize("share", [1.0, 0.3, 0.01])
def test_no_more_is_sent_than_the_part(
    limits: BackendLimits, clock: ManualClock, rate: float, share: float
) -> None:
    limits.took(KEY, RateWord(rate))
    limits.share = lambda _service: Share(share, 2)
    count = send_for(limits, clock, 100)
    assert rate * share * 95 - 1 <= count <= rate * share * 101 + 1


def test_what_was_not_sent_is_given_back(limits: BackendLimits, clock: ManualClock) -> None:
    limits.took(KEY, RateWord(1.0))
    clock.advance(1_000)
    assert limits.wait(KEY, "ink") == 0
    limits.sent(KEY, "ink")
    assert limits.wait(KEY, "ink") > 0
    limits.was_not_sent(KEY)
    assert limits.wait(KEY, "ink") == 0


def test_a_token_that_nobody_uses_perishes() -> None:
    """After a long silence a burst at 300 entries brings few requests, not 300."""
    clock = ManualClock(start=10_000)
    ready = 0
    for number in range(300):
        limits = BackendLimits(clock, random.Random(number))
        limits.share = lambda _service: Share(1 / 300, 300)
        limits.took(KEY, RateWord(2.0))
        clock.advance(170 * SECOND)
        ready += limits.wait(KEY, "ink") == 0
    assert ready <= 30


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("entries", [7, 12, 30, 100, 300])
@pytest.mark.parametrize("rate", [0.5, 2.0, 6.0, 20.0])
def test_a_crowd_after_a_silence_keeps_to_the_limit(rate: float, entries: int, seed: int) -> None:
    """All entries are asked at once, much more than the limit, after a minute of nothing."""
    clock = ManualClock(start=10_000)
    rng = random.Random(seed)
    fleet = [BackendLimits(clock, random.Random(f"{seed}/{n}")) for n in range(entries)]
    for limits in fleet:
        limits.share = lambda _service: Share(1 / entries, entries)
        limits.took(KEY, RateWord(rate))
        clock.advance(rng.randrange(60 * SECOND // entries))
    clock.advance(60 * SECOND)
    ledger = [Exchanged("e", 0.0, 0.0, 200, EngineWord(limit=f"{rate:g}"))]
    for _ in range(1_000):
        clock.advance(10)
        for limits in fleet:
            if not limits.wait(KEY, "ink"):
                limits.sent(KEY, "ink")
                at = clock.now() / SECOND
                ledger.append(Exchanged("e", at, at, 200, EngineWord()))
    assert worst_limit(ledger) <= 1.0


#: Words that follow a limit of 2 a second heard 100 ms ago, whether they are news, and the
#: rate that holds then.
LATER = [
    ("the same", RateWord(2.0), False, 2.0),
    ("another", RateWord(3.0), True, 3.0),
    ("taken back", RateWord(None), True, None),
    ("another, but older", RateWord(3.0, age=200), False, 2.0),
    ("taken back, but older", RateWord(None, age=200), False, 2.0),
    ("nothing at all", RateWord(0.0), True, 0.05),
]


@pytest.mark.parametrize(
    ("word", "is_news", "rate"), [c[1:] for c in LATER], ids=[c[0] for c in LATER]
)
def test_the_word_heard_last_holds(
    limits: BackendLimits, clock: ManualClock, word: RateWord, is_news: bool, rate: float | None
) -> None:
    limits.took(KEY, RateWord(2.0))
    clock.advance(100)
    assert limits.took(KEY, word) is is_news
    known = limits.rate(KEY)
    assert known is not None
    assert known.rate == rate


def test_words_merge_in_any_order(clock: ManualClock) -> None:
    words = [RateWord(2.0, 300), RateWord(3.0, 200), RateWord(None, 100), RateWord(4.0, 50)]
    for seed in range(24):
        limits = BackendLimits(clock, random.Random(1))
        shuffled = words * 2
        random.Random(seed).shuffle(shuffled)
        for word in shuffled:
            limits.took(KEY, word)
        assert limits.rate(KEY) == RateWord(4.0, 50)


def test_an_answer_without_the_word_takes_the_limit_back(
    roster: Roster, clock: ManualClock
) -> None:
    assert roster.record_notice(A, BackendNotice(rate_limit=2.0, tells_limit=True)).limit
    assert roster.has_limits
    clock.advance(1)
    assert roster.record_notice(A, BackendNotice()).limit is None, "no head has come"
    assert roster.has_limits
    assert roster.record_notice(A, BackendNotice(tells_limit=True)).limit == RateWord(None)
    assert not roster.has_limits


def test_a_limit_is_part_of_the_choice(roster: Roster, clock: ManualClock) -> None:
    roster.merge_peer_notice(ToldWord(*KEY, limit=RateWord(0.5)))
    clock.advance(2_000)
    assert isinstance(roster.choose(BackendQuery("ink")), Chosen)
    refused = roster.choose(BackendQuery("ink"))
    assert isinstance(refused, NoneAvailable)
    assert refused.reason is Reason.LIMITED
    assert 0 < refused.wait <= 2_000
    assert not roster.has_alternative("ink", frozenset())
    roster.put(replace(B, position=7))
    chosen = roster.choose(BackendQuery("ink"))
    assert isinstance(chosen, Chosen)
    assert chosen.endpoint.id == "b"


def test_a_request_that_was_chosen_has_its_part(roster: Roster, clock: ManualClock) -> None:
    roster.merge_peer_notice(ToldWord(*KEY, limit=RateWord(0.5)))
    clock.advance(2_000)
    roster.choose(BackendQuery("ink"))
    assert roster.may_send(A)


def test_another_start_has_no_limit(roster: Roster) -> None:
    roster.merge_peer_notice(ToldWord(*KEY, limit=RateWord(0.05)))
    roster.put(replace(A, position=7, started=9))
    assert isinstance(roster.choose(BackendQuery("ink")), Chosen)


def test_the_return_line_follows_the_limit(clock: ManualClock) -> None:
    line = ReturnLine(clock)
    assert [line.place("ink", 100, 2.0) for _ in range(3)] == [100, 600, 1_100]
    assert line.place("other", 50, 2.0) == 50
    clock.advance(1_000)
    assert line.place("ink", 100, 2.0) == 600
    assert line.place("ink", 100, 0.001) == 30_000


def shares_of(demands: dict[str, float], entries: int, hears_all: bool = True) -> list[float]:
    """Return the share of each entry where all have told each other."""
    clock = ManualClock(start=10_000)
    found = []
    for own, demand in demands.items():
        shares = DemandShares(lambda _service, demand=demand: demand, clock)  # type: ignore[misc]
        shares.set_fleet(entries, hears_all)
        for other, theirs in demands.items():
            if other != own:
                shares.told(other, {"ink": theirs})
        found.append(shares.share("ink").part)
    return found


def test_shares_follow_what_callers_ask() -> None:
    shares = shares_of({"e-1": 30.0, "e-2": 10.0, "e-3": 0.0}, entries=3)
    assert sum(shares) == pytest.approx(1)
    assert shares[0] > shares[1] > shares[2] > 0


def test_shares_are_equal_where_nobody_asks_or_not_all_hear_each_other() -> None:
    assert shares_of({"e-1": 0.0, "e-2": 0.0}, entries=2) == [0.5, 0.5]
    assert shares_of({"e-1": 9.0, "e-2": 1.0}, entries=2, hears_all=False) == [0.5, 0.5]


def test_entries_that_were_not_heard_of_keep_a_part() -> None:
    """Two of four are cut off, or have just started; they may have callers too."""
    assert sum(shares_of({"e-1": 3.0, "e-2": 1.0}, entries=4)) <= 0.6


def test_what_an_entry_told_long_ago_does_not_count() -> None:
    clock = ManualClock(start=10_000)
    shares = DemandShares(lambda _service: 1.0, clock)
    shares.set_fleet(2, True)
    shares.told("e-2", {"ink": 99.0})
    assert shares.share("ink").part < 0.1
    clock.advance(4_000)
    assert shares.share("ink").part == pytest.approx(0.1 / 2 + 0.9 / 2)


def play(entries: int, limit: float, load: float = 4.0, seed: int = 1) -> NeedWorld:
    """Play a day of one backend, asked for so many times what it takes."""
    need = Need(3_000, 30_000, 1, limit=limit)
    world = NeedWorld(
        NeedDay(
            entries=entries,
            backends=1,
            slots=400,
            duration=100.0,
            rate=load * limit,
            needs=(need,),
            length=30_000,
            is_uneven=True,
            seed=seed,
        )
    )
    world.run()
    return world


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("entries", [3, 7, 30, 100, 300])
@pytest.mark.parametrize("limit", [0.5, 2.0, 6.0, 20.0])
def test_all_entries_together_keep_to_the_limit(limit: float, entries: int, seed: int) -> None:
    assert play(entries, limit, seed=seed).outcome.worst_limit <= 1.0


def test_most_of_a_limit_is_used_among_seven_entries() -> None:
    """Before, with equal parts of whole tokens: 0.75 at 2 a second."""
    used = [play(7, 2.0, seed=seed).outcome.used for seed in (1, 2, 3)]
    assert sum(used) / len(used) >= 0.85


def test_few_are_refused_where_callers_ask_for_less_than_the_limit() -> None:
    outcome = play(7, 20.0, load=0.6).outcome
    assert outcome.refused <= outcome.answered // 20


@pytest.mark.parametrize(("entries", "limit"), [(7, 2.0), (12, 6.0), (30, 20.0), (100, 200.0)])
def test_all_entries_together_stay_within_the_rate_itself(entries: int, limit: float) -> None:
    """What is granted beyond it is for what nobody can know."""
    assert play(entries, limit).outcome.used <= 1.02
