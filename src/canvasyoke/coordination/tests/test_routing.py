import dataclasses
import random

import pytest

from canvasyoke import ManualClock
from canvasyoke.coordination import (
    RANKERS,
    Attempted,
    Candidate,
    Ejection,
    RetryBudget,
    RouteRequest,
    Step,
    filter_candidates,
    next_step,
)
from canvasyoke.protocol import Outcome, Reason, Refusal

GOOD = Candidate(
    instance="ink-1",
    domain="nbo-a",
    service="ink",
    connected=True,
    leaving=False,
    healthy=True,
    ejected=False,
    slots=4,
    queue=4,
    reported=0,
    waiting=0,
    report_age=100,
    own_reported=0,
    own=0,
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
def test_what_rules_a_target_out(change: dict[str, object], reason: Reason) -> None:
    other = dataclasses.replace(GOOD, **change)  # type: ignore[arg-type]
    assert filter_candidates([GOOD, other], REQUEST).candidates == (GOOD,)
    assert filter_candidates([other], REQUEST).reason is reason


def test_last_target_is_not_lost_to_ejection() -> None:
    ejected = dataclasses.replace(GOOD, ejected=True)
    assert filter_candidates([ejected], REQUEST).candidates == (ejected,)
    assert filter_candidates([ejected, GOOD], REQUEST).candidates == (GOOD,)


def test_backlog_of_one_organisation_does_not_count_as_busy() -> None:
    ranker = RANKERS.get("two_choices")(random.Random(1))
    flooded = dataclasses.replace(GOOD, instance="flooded", reported=54, waiting=50)
    full = dataclasses.replace(GOOD, instance="full", reported=4)
    free = dataclasses.replace(GOOD, instance="free", reported=53, waiting=50)
    assert all(ranker.choose([free, full], REQUEST) is free for _ in range(20))
    assert all(ranker.choose([flooded, full], REQUEST) is full for _ in range(20))


def test_distance_does_not_outweigh_a_backlog() -> None:
    ranker = RANKERS.get("two_choices")(random.Random(1))
    near = dataclasses.replace(GOOD, instance="near", reported=9, waiting=5)
    far = dataclasses.replace(GOOD, instance="far", domain="nbo-b", reported=5, waiting=1)
    assert all(ranker.choose([near, far], REQUEST) is far for _ in range(20))


def test_load_corrects_a_report_by_own_requests() -> None:
    lagging = dataclasses.replace(GOOD, reported=5, own_reported=3, own=1)
    assert lagging.load == 3


@pytest.mark.parametrize("name", RANKERS.names())
def test_rankers_choose_among_the_candidates(name: str) -> None:
    ranker = RANKERS.get(name)(random.Random(1))
    candidates = [dataclasses.replace(GOOD, instance=f"ink-{i}") for i in range(5)]
    chosen = {ranker.choose(candidates, REQUEST).instance for _ in range(200)}
    assert chosen == {c.instance for c in candidates}
    assert ranker.choose(candidates[:1], REQUEST) is candidates[0]


def test_ejection_lets_one_probe_through_and_doubles_the_pause() -> None:
    clock = ManualClock()
    ejection = Ejection(clock)
    ejection.failed()
    assert not ejection.ejected
    ejection.failed()
    assert ejection.ejected
    clock.advance(1_000)
    assert not ejection.ejected, "half-open"
    ejection.sent()
    assert ejection.ejected, "one probe only"
    ejection.failed()
    clock.advance(1_000)
    assert ejection.ejected, "twice the pause"
    clock.advance(1_000)
    ejection.sent()
    ejection.succeeded()
    assert not ejection.ejected


@pytest.mark.parametrize(
    ("outcome", "reason", "repeatable", "attempts", "remaining", "step"),
    [
        (Outcome.NOT_RUN, Reason.OVERLOADED, False, 1, 100, Step.RETRY),
        (Outcome.UNKNOWN, Reason.LINK_LOST, True, 1, 100, Step.RETRY),
        (Outcome.UNKNOWN, Reason.LINK_LOST, False, 1, 100, Step.GIVE_UP),
        (Outcome.NOT_RUN, Reason.DEADLINE, True, 1, 100, Step.GIVE_UP),
        (Outcome.NOT_RUN, Reason.OVERLOADED, True, 5, 100, Step.GIVE_UP),
        (Outcome.NOT_RUN, Reason.OVERLOADED, True, 1, 0, Step.GIVE_UP),
    ],
)
def test_when_another_attempt_follows(
    outcome: Outcome, reason: Reason, repeatable: bool, attempts: int, remaining: int, step: Step
) -> None:
    attempted = Attempted(Refusal(outcome, reason), repeatable, attempts, remaining)
    assert next_step(attempted, RetryBudget()) is step


def test_retries_stay_within_a_share_of_successes() -> None:
    budget = RetryBudget()
    while budget.spend():
        pass
    for _ in range(100):
        budget.earn()
    assert 9 <= sum(budget.spend() for _ in range(100)) <= 10


def _crowding(name: str, entries: int, targets: int, seed: int) -> int:
    """Return the most requests that one target gets while entries do not hear of each
    other: each sends one request by the same old picture, in which five are less loaded."""
    rng = random.Random(seed)
    candidates = [
        dataclasses.replace(GOOD, instance=f"ink-{n}", reported=1 if n < 5 else 2)
        for n in range(targets)
    ]
    req = RouteRequest("ink", "nbo-a", entries=entries)
    chosen = [RANKERS.get(name)(rng).choose(candidates, req).instance for _ in range(entries)]
    return max(chosen.count(c.instance) for c in candidates)


def test_many_entries_do_not_crowd_the_least_loaded_target() -> None:
    seeds = range(20)
    alike = [_crowding("least_paced", 30, 64, seed) for seed in seeds]
    sampled = [_crowding("sampled_paced", 30, 64, seed) for seed in seeds]
    assert min(alike) >= 6
    assert sum(sampled) < 0.6 * sum(alike)


def test_few_entries_choose_among_all() -> None:
    ranker = RANKERS.get("sampled_paced")(random.Random(1))
    others = [dataclasses.replace(GOOD, instance=f"ink-{n}", reported=2) for n in range(15)]
    free = dataclasses.replace(GOOD, instance="free")
    req = RouteRequest("ink", "nbo-a", entries=8)
    assert all(ranker.choose([*others, free], req) is free for _ in range(20))


def test_a_sample_without_room_is_not_the_last_word() -> None:
    ranker = RANKERS.get("sampled_paced")(random.Random(1))
    full = [dataclasses.replace(GOOD, instance=f"ink-{n}", reported=4) for n in range(63)]
    free = dataclasses.replace(GOOD, instance="free")
    req = RouteRequest("ink", "nbo-a", entries=30)
    assert all(ranker.choose([*full, free], req) is free for _ in range(20))
