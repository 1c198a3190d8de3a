"""Fixtures that run small fleets."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from fakes.launcher import Fleet, FleetSpec, TargetSpec
from tests.caller import Caller

CONFIGURATION = Path(__file__).resolve().parent / "fleet.yaml"
DOMAINS = ("nbo-a", "nbo-b")


def make_spec(plain_ms: int = 5, proxied: bool = False, token_ms: float = 5.0) -> FleetSpec:
    """Return a spec of two domains, each with an entry, an engine and a plain service."""
    targets = []
    for number, domain in enumerate(DOMAINS):
        targets.append(TargetSpec(f"inkmodel-{number + 1}", domain, "inkmodel", "engine", number))
        targets.append(TargetSpec(f"shelf-api-{number + 1}", domain, "shelf-api", "plain"))
    return FleetSpec(
        DOMAINS, 1, targets, plain_ms=plain_ms, proxied=proxied, token_ms=token_ms, streams=64
    )


def start(spec: FleetSpec, configuration: Path = CONFIGURATION) -> Fleet:
    """Start a fleet and wait until it is ready."""
    fleet = Fleet(spec)
    try:
        fleet.start()
        fleet.wait_ready(fleet.apply([configuration], 0))
    except BaseException:
        fleet.close()
        raise
    return fleet


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    """Fleet without proxies, shared by the tests of a module."""
    with start(make_spec()) as running:
        yield running


@pytest.fixture
def slow_fleet() -> Iterator[Fleet]:
    """Proxied fleet whose saves take 300 ms, for one test."""
    with start(make_spec(plain_ms=300, proxied=True)) as running:
        yield running


@pytest.fixture
def caller(fleet: Fleet) -> Caller:
    """Client of the shared fleet."""
    return Caller(fleet)
