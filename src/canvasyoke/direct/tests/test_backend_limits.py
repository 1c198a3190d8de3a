"""Entries together keep to the rate limits of backends."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.backend import BackendNotice
from canvasyoke.direct._backend_limits import BackendLimits, RateLimit, Share
from canvasyoke.direct._backend_notices import SharedNotice
from canvasyoke.direct._choice import BackendQuery, Chosen, NoneAvailable
from canvasyoke.direct._demand_shares import DemandShares
from canvasyoke.direct._refusals import RetryScheduler
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.backoff_simulation import BackoffSimulation, Overload, Scenario
from canvasyoke.protocol import Reason
from canvasyoke.state import Endpoint, EndpointState
from fakes.engine_ledger import EngineNotice, Exchange, peak_limit_ratio

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


def count_sent(limits: BackendLimits, clock: ManualClock, seconds: int) -> int:
    """Send whenever the limit allows it, and return the number of requests."""
    count = 0
    for _ in range(seconds * 100):
        clock.advance(10)
        while not limits.wait(KEY, "ink"):
            limits.record_sent(KEY, "ink")
            count += 1
    return count


@pytest.mark.parametrize("rate", [0.5, 2.0, 6.0, 20.0, 200.0])
@pytest.mark.parametrize("share", [1.0, 0.3, 0.01])
def test_no_more_is_sent_than_the_share(
    limits: BackendLimits, clock: ManualClock, rate: float, share: float
) -> None:
    limits.update(KEY, RateLimit(rate))
    limits.share = lambda _service: Share(share, 2)
    count = count_sent(limits, clock, 100)
    assert rate * share * 95 - 1 <= count <= rate * share * 101 + 1


def test_a_request_that_was_not_sent_is_refunded(limits: BackendLimits, clock: ManualClock) -> None:
    limits.update(KEY, RateLimit(1.0))
    clock.advance(1_000)
    assert limits.wait(KEY, "ink") == 0
    limits.record_sent(KEY, "ink")
    assert limits.wait(KEY, "ink") > 0
    limits.refund(KEY)
    assert limits.wait(KEY, "ink") == 0


def test_unused_tokens_expire_in_a_large_fleet() -> None:
    """Guards against a burst of one stored token from each entry after idle time."""
    clock = ManualClock(start=10_000)
    ready = 0
    for number in range(300):
        limits = BackendLimits(clock, random.Random(number))
        limits.share = lambda _service: Share(1 / 300, 300)
        limits.update(KEY, RateLimit(2.0))
        clock.advance(170 * SECOND)
        ready += limits.wait(KEY, "ink") == 0
    assert ready <= 30


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("entries", [7, 12, 30, 100, 300])
@pytest.mark.parametrize("rate", [0.5, 2.0, 6.0, 20.0])
def test_a_surge_after_idle_time_keeps_to_the_limit(rate: float, entries: int, seed: int) -> None:
    """Guards against exceeding the tolerated burst when an idle fleet gets a surge of callers."""
    clock = ManualClock(start=10_000)
    rng = random.Random(seed)
    fleet = [BackendLimits(clock, random.Random(f"{seed}/{n}")) for n in range(entries)]
    for limits in fleet:
        limits.share = lambda _service: Share(1 / entries, entries)
        limits.update(KEY, RateLimit(rate))
        clock.advance(rng.randrange(60 * SECOND // entries))
    clock.advance(60 * SECOND)
    ledger = [Exchange("e", 0.0, 0.0, 200, EngineNotice(limit=f"{rate:g}"))]
    for _ in range(1_000):
        clock.advance(10)
        for limits in fleet:
            if not limits.wait(KEY, "ink"):
                limits.record_sent(KEY, "ink")
                at = clock.now() / SECOND
                ledger.append(Exchange("e", at, at, 200, EngineNotice()))
    assert peak_limit_ratio(ledger) <= 1.0


#: Limits received 100 ms after a limit of 2 a second, whether they change anything, and the
#: rate in effect afterwards.
UPDATES = [
    ("the same", RateLimit(2.0), False, 2.0),
    ("another", RateLimit(3.0), True, 3.0),
    ("taken back", RateLimit(None), True, None),
    ("another, but older", RateLimit(3.0, age=200), False, 2.0),
    ("taken back, but older", RateLimit(None, age=200), False, 2.0),
    ("nothing at all", RateLimit(0.0), True, 0.05),
]


@pytest.mark.parametrize(
    ("limit", "is_new", "rate"), [c[1:] for c in UPDATES], ids=[c[0] for c in UPDATES]
)
def test_the_limit_received_last_wins(
    limits: BackendLimits, clock: ManualClock, limit: RateLimit, is_new: bool, rate: float | None
) -> None:
    limits.update(KEY, RateLimit(2.0))
    clock.advance(100)
    assert limits.update(KEY, limit) is is_new
    known = limits.latest(KEY)
    assert known is not None
    assert known.rate == rate


def test_limits_can_be_merged_in_any_order(clock: ManualClock) -> None:
    updates = [RateLimit(2.0, 300), RateLimit(3.0, 200), RateLimit(None, 100), RateLimit(4.0, 50)]
    for seed in range(24):
        limits = BackendLimits(clock, random.Random(1))
        shuffled = updates * 2
        random.Random(seed).shuffle(shuffled)
        for limit in shuffled:
            limits.update(KEY, limit)
        assert limits.latest(KEY) == RateLimit(4.0, 50)


def test_an_answer_without_a_limit_lifts_it(roster: Roster, clock: ManualClock) -> None:
    assert roster.record_notice(A, BackendNotice(rate_limit=2.0, is_limit_known=True)).limit
    assert roster.has_limits
    clock.advance(1)
    assert roster.record_notice(A, BackendNotice()).limit is None, (
        "the response head was not received"
    )
    assert roster.has_limits
    assert roster.record_notice(A, BackendNotice(is_limit_known=True)).limit == RateLimit(None)
    assert not roster.has_limits


def test_a_backend_at_its_limit_is_not_chosen(roster: Roster, clock: ManualClock) -> None:
    roster.merge_peer_notice(SharedNotice(*KEY, limit=RateLimit(0.5)))
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


def test_a_chosen_request_may_be_sent_at_the_limit(roster: Roster, clock: ManualClock) -> None:
    roster.merge_peer_notice(SharedNotice(*KEY, limit=RateLimit(0.5)))
    clock.advance(2_000)
    roster.choose(BackendQuery("ink"))
    assert roster.may_send(A)


def test_a_restarted_backend_has_no_limit(roster: Roster) -> None:
    roster.merge_peer_notice(SharedNotice(*KEY, limit=RateLimit(0.05)))
    roster.put(replace(A, position=7, started=9))
    assert isinstance(roster.choose(BackendQuery("ink")), Chosen)


def test_retry_times_follow_the_limit(clock: ManualClock) -> None:
    line = RetryScheduler(clock)
    assert [line.assign("ink", 100, 2.0) for _ in range(3)] == [100, 600, 1_100]
    assert line.assign("other", 50, 2.0) == 50
    clock.advance(1_000)
    assert line.assign("ink", 100, 2.0) == 600
    assert line.assign("ink", 100, 0.001) == 30_000


def shares_of(demands: dict[str, float], entries: int, is_full_mesh: bool = True) -> list[float]:
    """Return the share of each entry after all have reported their demand to each other."""
    clock = ManualClock(start=10_000)
    found = []
    for own, demand in demands.items():
        shares = DemandShares(lambda _service, demand=demand: demand, clock)  # type: ignore[misc]
        shares.set_fleet(entries, is_full_mesh)
        for other, theirs in demands.items():
            if other != own:
                shares.report_demand(other, {"ink": theirs})
        found.append(shares.share("ink").fraction)
    return found


def test_shares_are_proportional_to_demand() -> None:
    shares = shares_of({"e-1": 30.0, "e-2": 10.0, "e-3": 0.0}, entries=3)
    assert sum(shares) == pytest.approx(1)
    assert shares[0] > shares[1] > shares[2] > 0


def test_shares_are_equal_without_demand_or_without_full_mesh() -> None:
    assert shares_of({"e-1": 0.0, "e-2": 0.0}, entries=2) == [0.5, 0.5]
    assert shares_of({"e-1": 9.0, "e-2": 1.0}, entries=2, is_full_mesh=False) == [0.5, 0.5]


def test_entries_that_have_not_reported_keep_a_share() -> None:
    """Entries that are cut off or have just started may have callers too."""
    assert sum(shares_of({"e-1": 3.0, "e-2": 1.0}, entries=4)) <= 0.6


def test_stale_demand_reports_are_ignored() -> None:
    clock = ManualClock(start=10_000)
    shares = DemandShares(lambda _service: 1.0, clock)
    shares.set_fleet(2, True)
    shares.report_demand("e-2", {"ink": 99.0})
    assert shares.share("ink").fraction < 0.1
    clock.advance(4_000)
    assert shares.share("ink").fraction == pytest.approx(0.1 / 2 + 0.9 / 2)


def simulate(entries: int, limit: float, load: float = 4.0, seed: int = 1) -> BackoffSimulation:
    """Simulate one backend with a demand of ``load`` times its rate limit."""
    overload = Overload(3_000, 30_000, 1, limit=limit)
    simulation = BackoffSimulation(
        Scenario(
            entries=entries,
            backends=1,
            slots=400,
            duration=100.0,
            rate=load * limit,
            overloads=(overload,),
            length=30_000,
            is_uneven=True,
            seed=seed,
        )
    )
    simulation.run()
    return simulation


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("entries", [3, 7, 30, 100, 300])
@pytest.mark.parametrize("limit", [0.5, 2.0, 6.0, 20.0])
def test_all_entries_together_keep_to_the_limit(limit: float, entries: int, seed: int) -> None:
    assert simulate(entries, limit, seed=seed).result.peak_limit_ratio <= 1.0


def test_most_of_a_limit_is_used_among_seven_entries() -> None:
    """Guards against shares so small that much of the limit stays unused."""
    utilization = [simulate(7, 2.0, seed=seed).result.utilization for seed in (1, 2, 3)]
    assert sum(utilization) / len(utilization) >= 0.85


@pytest.mark.parametrize(("entries", "limit", "least"), [(100, 6.0, 0.4), (300, 20.0, 0.35)])
def test_part_of_a_limit_is_used_in_large_fleets(entries: int, limit: float, least: float) -> None:
    """Guards against equal shares in large fleets, which use 0.16 and 0.21."""
    assert simulate(entries, limit).result.utilization >= least


def test_entries_that_join_unheard_keep_to_a_stated_limit(clock: ManualClock) -> None:
    """A third more entries join, which know all entries; the others do not know them."""
    before = {f"e-{n}": "nbo-a" for n in range(100)}
    after = before | {f"joined-{n}": "nbo-a" for n in range(34)}
    held = 0
    for name in after:
        limits = BackendLimits(clock, random.Random(1))
        limits.share = lambda _service: Share(0.01, 100)
        limits.parts.set_backends([A])
        limits.parts.set_entries(name, before if name in before else after, is_full_mesh=False)
        limits.update(KEY, RateLimit(6.0))
        clock.advance(60 * SECOND)
        while not limits.wait(KEY, "ink"):
            limits.record_sent(KEY, "ink")
            held += 1
    assert 32 <= held <= 41


def test_few_callers_are_refused_below_the_limit() -> None:
    result = simulate(7, 20.0, load=0.6).result
    assert result.refused <= result.answered // 20


@pytest.mark.parametrize(("entries", "limit"), [(7, 2.0), (12, 6.0), (30, 20.0), (100, 200.0)])
def test_all_entries_together_stay_within_the_rate_itself(entries: int, limit: float) -> None:
    """Entries must not plan to use what backends tolerate beyond their limit."""
    assert simulate(entries, limit).result.utilization <= 1.02
