"""Attribution of crashes to segments of prompts where most requests share segments."""

from __future__ import annotations

import random

import pytest

from canvasyoke._clock import SECOND
from canvasyoke.crashes._traits import is_shared
from canvasyoke.crashes.tests.crash_simulation import (
    EXTERNAL_CAUSES,
    CrashingFleet,
    ExternalCause,
    simulate_cause,
)

#: Crashes after which all entries must know a segment, milliseconds until they do, and crashes
#: tolerated afterwards.
TOLERATED_CRASHES = 5
PROPAGATION_TIME = 3 * SECOND
MAX_LATE_CRASHES = 3
#: Segments that only crashing requests have.
EXTRA = ("c0ffee", "facade")


def segments_in(names: set[str]) -> set[str]:
    return {name for name in names if is_shared(name)}


@pytest.mark.parametrize("cause", EXTERNAL_CAUSES, ids=[c[0] for c in EXTERNAL_CAUSES])
@pytest.mark.parametrize("is_one_group", [False, True])
def test_ends_with_external_causes_quarantine_no_segment(
    cause: ExternalCause, is_one_group: bool
) -> None:
    for seed in range(20):
        fleet = simulate_cause(cause, seed, has_segments=True, is_one_group=is_one_group)
        assert not segments_in(fleet.blamed), (seed, fleet.blamed)


def test_a_hot_request_is_not_blamed_for_other_ends_in_one_group() -> None:
    """A group that stands still answers no other copy of a request either."""
    (cause,) = [c for c in EXTERNAL_CAUSES if c[0] == "a tenth, and one request is hot"]
    for seed in range(20):
        fleet = simulate_cause(cause, seed, has_segments=True, is_one_group=True)
        assert not fleet.blamed, (seed, fleet.blamed)


#: Description, whether all backends form one group, fraction of crashing requests, and range of
#: milliseconds after which the end of a backend is known.
CRASHES = [
    ("single backends", False, 0.03, (0, 0)),
    ("single backends, many crashing requests", False, 0.2, (0, 0)),
    ("single backends, late evidence", False, 0.03, (20, 1_000)),
    ("one group", True, 0.03, (0, 0)),
    ("one group, many crashing requests", True, 0.2, (0, 0)),
    ("one group, late evidence", True, 0.03, (20, 1_000)),
]


def crash_backends(
    seed: int, is_one_group: bool, crashing: set[str], fraction: float, delay: tuple[int, int]
) -> CrashingFleet:
    """Let the segments crash backends after ten seconds in which none did."""
    fleet = CrashingFleet(seed, has_segments=True, is_one_group=is_one_group, evidence_delay=delay)
    fleet.simulate(10, 1_000, [])
    fleet.extra_segments = EXTRA
    fleet.extra_fraction = fraction
    fleet.crashing = frozenset(f"segment-{each}" for each in crashing)
    fleet.simulate(60, 1_000, [])
    return fleet


def late_crashes(fleet: CrashingFleet) -> int:
    """Return the crashes later than the time in which entries must know the segment."""
    known_at = sorted(fleet.crashed_at)[:TOLERATED_CRASHES][-1] + PROPAGATION_TIME
    return sum(at > known_at for at in fleet.crashed_at)


@pytest.mark.parametrize(
    ("is_one_group", "fraction", "delay"), [c[1:] for c in CRASHES], ids=[c[0] for c in CRASHES]
)
def test_only_the_crashing_segment_is_quarantined(
    is_one_group: bool, fraction: float, delay: tuple[int, int]
) -> None:
    """Shared segments are under each of its crashes too, while hardly any request is answered."""
    for seed in range(20):
        fleet = crash_backends(seed, is_one_group, {EXTRA[0]}, fraction, delay)
        assert segments_in(fleet.blamed) == {f"segment-{EXTRA[0]}"}, (seed, fleet.blamed)
        assert late_crashes(fleet) <= MAX_LATE_CRASHES, seed


def test_nothing_is_blamed_while_nothing_is_answered_for_minutes() -> None:
    """A group that opens for moments only: what all requests share is under each of its ends."""
    for seed in range(20):
        fleet = CrashingFleet(seed, backends=4, has_segments=True, is_one_group=True)
        fleet.simulate(10, 1_000, [])
        rng = random.Random(seed)
        fleet.simulate(240, 3_700, [[rng.randrange(4)] for _ in range(60)])
        assert fleet.ends > 50
        assert not segments_in(fleet.blamed), (seed, fleet.blamed)


@pytest.mark.parametrize("is_one_group", [False, True])
def test_two_segments_that_crash_backends_are_both_quarantined(is_one_group: bool) -> None:
    """What they have in common must not be blamed for the crashes of both."""
    for seed in range(20):
        fleet = crash_backends(seed, is_one_group, set(EXTRA), 0.03, (0, 0))
        assert segments_in(fleet.blamed) == {f"segment-{each}" for each in EXTRA}, seed


@pytest.mark.parametrize("is_one_group", [False, True])
def test_a_segment_that_was_answered_before_is_quarantined(is_one_group: bool) -> None:
    """Answers from before the first crash must not speak for a segment for good."""
    for seed in range(20):
        fleet = crash_backends(seed, is_one_group, {"topic-6"}, 0.0, (0, 0))
        assert segments_in(fleet.blamed) == {"segment-topic-6"}, (seed, fleet.blamed)
        assert late_crashes(fleet) <= MAX_LATE_CRASHES, seed
