"""While the owner's process is silent, the standby changes the map, and only then."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from canvasyoke.coordination._demand_estimate import total_variation_distance
from canvasyoke.experts import _acting_owner
from canvasyoke.experts._process import RanksProcess
from canvasyoke.experts.tests.ranks_model import TICK, Deployment

#: Skew below which the map was planned for the demand: after a move it is at 3 to 8, and maps that
#: the planner leaves alone are at 1.1 to 1.7.
FITS = 2.0
#: Ranks and failure domains: relays of at most 24 ranks, several of a domain, and none.
GROUPS = [(63, 3), (72, 3), (12, 3)]


@pytest.fixture
def start(monkeypatch: pytest.MonkeyPatch) -> Callable[..., Deployment]:
    def start_group(size: int = 63, domains: int = 3) -> Deployment:
        deployment = Deployment(monkeypatch, size, domains)
        deployment.run_until(lambda: deployment.processes[0]._owns_map() == 1, 15_000)
        deployment.run_until(lambda: deployment.skew < FITS, 5_000)
        deployment.run(12_000)  # also those who link late have linked with the standby
        return deployment

    return start_group


def acts(deployment: Deployment) -> bool:
    return deployment.processes[1]._standby.acting.is_acting


def count_takeovers(deployment: Deployment, duration: int) -> int:
    """Return how often the standby begins to act while time passes."""
    takeovers, acted = 0, acts(deployment)
    for _ in range(duration // TICK):
        deployment.run(TICK)
        takeovers += acts(deployment) and not acted
        acted = acts(deployment)
    return takeovers


@pytest.mark.parametrize(("size", "domains"), GROUPS)
def test_the_map_follows_demand_while_the_owner_is_silent(
    start: Callable[..., Deployment], size: int, domains: int
) -> None:
    deployment = start(size, domains)
    deployment.stalled = {0}
    deployment.move_demand(1)
    first = deployment.run_until(lambda: deployment.skew < FITS, 2_500)
    assert acts(deployment)
    later = []
    for seed in (2, 3):
        deployment.move_demand(seed)
        deployment.run(TICK)
        later.append(deployment.run_until(lambda: deployment.skew < FITS, 1_500))
        deployment.run(600)
    print(f"{size} ranks: first map after {first} ms of silence, then {later} ms after a move")


@pytest.mark.parametrize(
    ("silence", "takeovers"), [(4_000, 1), (7_400, 1), (4_000, 0)], ids=["4s", "7s", "no store"]
)
def test_the_owner_takes_the_map_back_when_it_resumes(
    start: Callable[..., Deployment], silence: int, takeovers: int
) -> None:
    """Guards against an interrupted role and against plans from counts queued before the stall."""
    deployment = start()
    deployment.stalled = {0}
    deployment.move_demand(1)
    deployment.store.is_down = not takeovers
    assert count_takeovers(deployment, silence) == takeovers
    assert acts(deployment) == bool(takeovers)
    deployment.move_demand(2)
    deployment.stalled = set()
    owner: RanksProcess = deployment.processes[0]
    deployment.run_until(lambda: not acts(deployment), 300)
    deployment.run(300)
    deployment.run_until(
        lambda: owner._owner is not None and owner._owner._estimator is not None, 3_000
    )
    weights = owner._owner._estimator.weights  # type: ignore[union-attr]
    demand = [weight for layer in deployment.weights for weight in layer]
    assert total_variation_distance(weights, demand) < 0.1
    deployment.run_until(lambda: deployment.skew < FITS, 2_000)
    assert owner._owns_map() and not acts(deployment)


def test_nothing_is_sent_to_the_standby_while_the_owner_is_alive(
    start: Callable[..., Deployment],
) -> None:
    deployment = start()
    deployment.sent_readings.clear()
    for seed in range(5):
        deployment.move_demand(seed)
        deployment.run(1_600)
        deployment.stalled = {0}
        deployment.run(400)  # slow, not silent
        deployment.stalled = set()
    assert {rank for _, rank in deployment.sent_readings if rank < 2} == {0}
    assert not acts(deployment)


def stalls_often(deployment: Deployment) -> int:
    takeovers = 0
    for _ in range(8):
        deployment.stalled = {0}
        takeovers += count_takeovers(deployment, 1_300)
        deployment.stalled = set()
        takeovers += count_takeovers(deployment, 900)
    return takeovers


def test_a_slow_owner_does_not_lose_the_map_again_and_again(
    start: Callable[..., Deployment], monkeypatch: pytest.MonkeyPatch
) -> None:
    assert stalls_often(start()) <= 4
    monkeypatch.setattr(_acting_owner, "_SLOW_OWNER_TIMEOUT", 0)
    assert stalls_often(start()) >= 6


@pytest.mark.parametrize("cause", ["store", "engine", "standby alone"])
def test_the_standby_only_waits(start: Callable[..., Deployment], cause: str) -> None:
    """Without a fence, the owner's engine, or the other ranks' word nothing is changed."""
    deployment = start()
    fences = [rank.fence for rank in deployment.model.ranks]
    version = deployment.model.ranks[1].map_version
    deployment.store.is_down = cause == "store"
    if cause == "engine":
        deployment.unreachable_engines = {0}
    if cause == "standby alone":
        deployment.cut_links = {(0, 1)}
    else:
        deployment.stalled = {0}
        deployment.move_demand(1)
    assert count_takeovers(deployment, 2_800) == 0
    assert [rank.fence for rank in deployment.model.ranks] == fences
    assert deployment.model.ranks[1].map_version == version
