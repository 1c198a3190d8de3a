"""How many steps ahead of the last one a change is armed for."""

import pytest

from canvasyoke.experts._step_timing import StepTiming

#: Ranks, milliseconds that arming them took, milliseconds between steps, and the steps
#: beyond the nearest one.
GROUPS = [
    ("a small group", 8, 25, 60, 0),
    ("a dozen ranks", 12, 45, 100, 0),
    ("many ranks, short steps", 63, 90, 65, 1),
    ("many ranks, long steps", 63, 50, 120, 0),
    ("a hundred ranks", 96, 240, 80, 3),
    ("orders that come late", 24, 2_000, 60, 8),
]


@pytest.mark.parametrize(("ranks", "arming", "between", "expected"), [case[1:] for case in GROUPS])
def test_steps_ahead_follow_what_was_seen(
    ranks: int, arming: int, between: int, expected: int
) -> None:
    timing = StepTiming(ranks)
    for change in range(12):
        first = change * 100
        timing.saw_step(first, change * 10_000)
        timing.saw_step(first + 5, change * 10_000 + 5 * between)
        timing.armed(arming)
        timing.paused()
    assert timing.more == expected


@pytest.mark.parametrize(("ranks", "expected"), [(8, 0), (12, 0), (32, 1), (63, 2), (96, 3)])
def test_before_any_change_the_ranks_decide(ranks: int, expected: int) -> None:
    assert StepTiming(ranks).more == expected


def test_time_between_changes_is_no_step() -> None:
    timing = StepTiming(63)
    for change in range(12):
        timing.saw_step(change, change * 60_000)
        timing.paused()
    assert timing.more == 2
