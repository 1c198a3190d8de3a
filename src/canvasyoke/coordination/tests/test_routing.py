import dataclasses
import random

import pytest

from canvasyoke import ManualClock
from canvasyoke.coordination import (
    RANKERS,
    Candidate,
    Ejection,
    FailedAttempt,
    RetryBudget,
    RetryDecision,
    RouteRequest,
    decide_retry,
    filter_candidates,
)
from canvasyoke.protocol import Outcome, Reason, Refusal

AVAILABLE = Candidate(
    instance="ink-1",
    domain="nbo-a",
    service="ink",
    connected=True,
    leaving=False,
    healthy=True,
    ejected=False,
    slots=4,
    queue_limit=4,
    reported_load=0,
    reported_waiting=0,
    report_age=100,
    own_in_flight_at_report=0,
    own_in_flight=0,
    duration=10,
)
REQUEST = RouteRequest("ink", "nbo-a")


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"service": "shelf"}, Reason.NO_TARGET),
        ({"connected": False}, Reason.NO_TARGET),
        ({"leaving": True}, Reason.LEAVING),
        ({"healthy": False}, Reason.NO_TARGET),
        ({"report_age": 60_000}, Reason.NO_TARGET),
    ],
)
def test_filter_excludes_ineligible_targets(change: dict[str, object], reason: Reason) -> None:
    other = dataclasses.replace(AVAILABLE, **change)  # type: ignore[arg-type]
    assert filter_candidates([AVAILABLE, other], REQUEST).candidates == (AVAILABLE,)
    assert filter_candidates([other], REQUEST).reason is reason


def test_filter_allows_ejected_targets_if_no_others_are_left() -> None:
    ejected = dataclasses.replace(AVAILABLE, ejected=True)
    assert filter_candidates([ejected], REQUEST).candidates == (ejected,)
    assert filter_candidates([ejected, AVAILABLE], REQUEST).candidates == (AVAILABLE,)


def test_backlog_of_one_organisation_does_not_count_as_used_slots() -> None:
    ranker = RANKERS.get("two_choices")(random.Random(1))
    flooded = dataclasses.replace(
        AVAILABLE, instance="flooded", reported_load=54, reported_waiting=50
    )
    full = dataclasses.replace(AVAILABLE, instance="full", reported_load=4)
    free = dataclasses.replace(AVAILABLE, instance="free", reported_load=53, reported_waiting=50)
    assert all(ranker.choose([free, full], REQUEST) is free for _ in range(20))
    assert all(ranker.choose([flooded, full], REQUEST) is full for _ in range(20))


def test_remote_target_with_free_slot_is_preferred_to_local_backlog() -> None:
    ranker = RANKERS.get("two_choices")(random.Random(1))
    local = dataclasses.replace(AVAILABLE, instance="near", reported_load=9, reported_waiting=5)
    remote = dataclasses.replace(
        AVAILABLE, instance="far", domain="nbo-b", reported_load=5, reported_waiting=1
    )
    assert all(ranker.choose([local, remote], REQUEST) is remote for _ in range(20))


def test_load_is_corrected_by_own_requests_in_flight() -> None:
    lagging = dataclasses.replace(
        AVAILABLE, reported_load=5, own_in_flight_at_report=3, own_in_flight=1
    )
    assert lagging.load == 3


@pytest.mark.parametrize("name", RANKERS.names())
def test_rankers_choose_every_candidate_eventually(name: str) -> None:
    ranker = RANKERS.get(name)(random.Random(1))
    candidates = [dataclasses.replace(AVAILABLE, instance=f"ink-{i}") for i in range(5)]
    chosen = {ranker.choose(candidates, REQUEST).instance for _ in range(200)}
    assert chosen == {c.instance for c in candidates}
    assert ranker.choose(candidates[:1], REQUEST) is candidates[0]


def test_ejection_allows_one_probe_and_doubles_the_backoff() -> None:
    clock = ManualClock()
    ejection = Ejection(clock)
    ejection.record_failure()
    assert not ejection.ejected
    ejection.record_failure()
    assert ejection.ejected
    clock.advance(1_000)
    assert not ejection.ejected, "half-open"
    ejection.record_request()
    assert ejection.ejected, "only one probe"
    ejection.record_failure()
    clock.advance(1_000)
    assert ejection.ejected, "doubled backoff"
    clock.advance(1_000)
    ejection.record_request()
    ejection.record_success()
    assert not ejection.ejected


@pytest.mark.parametrize(
    ("outcome", "reason", "is_idempotent", "attempts", "remaining_time", "decision"),
    [
        (Outcome.NOT_RUN, Reason.OVERLOADED, False, 1, 100, RetryDecision.RETRY),
        (Outcome.UNKNOWN, Reason.LINK_LOST, True, 1, 100, RetryDecision.RETRY),
        (Outcome.UNKNOWN, Reason.LINK_LOST, False, 1, 100, RetryDecision.GIVE_UP),
        (Outcome.NOT_RUN, Reason.DEADLINE, True, 1, 100, RetryDecision.GIVE_UP),
        (Outcome.NOT_RUN, Reason.OVERLOADED, True, 5, 100, RetryDecision.GIVE_UP),
        (Outcome.NOT_RUN, Reason.OVERLOADED, True, 1, 0, RetryDecision.GIVE_UP),
    ],
)
def test_retry_decision(
    outcome: Outcome,
    reason: Reason,
    is_idempotent: bool,
    attempts: int,
    remaining_time: int,
    decision: RetryDecision,
) -> None:
    attempt = FailedAttempt(Refusal(outcome, reason), is_idempotent, attempts, remaining_time)
    assert decide_retry(attempt, RetryBudget()) is decision


def test_retry_budget_limits_retries_to_a_fraction_of_successes() -> None:
    budget = RetryBudget()
    while budget.try_spend():
        pass
    for _ in range(100):
        budget.record_success()
    assert 9 <= sum(budget.try_spend() for _ in range(100)) <= 10


def _max_concurrent_choices(name: str, entries: int, targets: int, seed: int) -> int:
    """Return the maximum number of requests that one target gets from concurrent entries.

    Each entry sends one request, based on the same outdated loads, by which five targets are
    less loaded.
    """
    rng = random.Random(seed)
    candidates = [
        dataclasses.replace(AVAILABLE, instance=f"ink-{n}", reported_load=1 if n < 5 else 2)
        for n in range(targets)
    ]
    req = RouteRequest("ink", "nbo-a", entry_count=entries)
    chosen = [RANKERS.get(name)(rng).choose(candidates, req).instance for _ in range(entries)]
    return max(chosen.count(c.instance) for c in candidates)


def test_sampling_prevents_herding_of_many_entries() -> None:
    seeds = range(20)
    unsampled = [_max_concurrent_choices("least_paced", 30, 64, seed) for seed in seeds]
    sampled = [_max_concurrent_choices("sampled_paced", 30, 64, seed) for seed in seeds]
    assert min(unsampled) >= 6
    assert sum(sampled) < 0.6 * sum(unsampled)


def test_few_entries_consider_all_candidates() -> None:
    ranker = RANKERS.get("sampled_paced")(random.Random(1))
    others = [
        dataclasses.replace(AVAILABLE, instance=f"ink-{n}", reported_load=2) for n in range(15)
    ]
    free = dataclasses.replace(AVAILABLE, instance="free")
    req = RouteRequest("ink", "nbo-a", entry_count=8)
    assert all(ranker.choose([*others, free], req) is free for _ in range(20))


def test_full_sample_falls_back_to_all_candidates() -> None:
    ranker = RANKERS.get("sampled_paced")(random.Random(1))
    full = [dataclasses.replace(AVAILABLE, instance=f"ink-{n}", reported_load=4) for n in range(63)]
    free = dataclasses.replace(AVAILABLE, instance="free")
    req = RouteRequest("ink", "nbo-a", entry_count=30)
    assert all(ranker.choose([*full, free], req) is free for _ in range(20))
