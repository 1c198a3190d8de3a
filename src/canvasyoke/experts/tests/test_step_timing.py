"""Number of additional steps ahead for which a change is armed."""

import pytest

from canvasyoke.experts._step_timing import StepTiming

#: Ranks, milliseconds to arm them, milliseconds between steps, and the expected extra steps.
CASES = [
    ("a small group", 8, 25, 60, 0),
    ("a dozen ranks", 12, 45, 100, 0),
    ("many ranks, short steps", 63, 90, 65, 1),
    ("many ranks, long steps", 63, 50, 120, 0),
    ("a hundred ranks", 96, 240, 80, 3),
    ("orders that come late", 24, 2_000, 60, 8),
]


@pytest.mark.parametrize(("ranks", "arming", "between", "expected"), [case[1:] for case in CASES])
def test_extra_steps_follow_observations(
    ranks: int, arming: int, between: int, expected: int
) -> None:
    timing = StepTiming(ranks)
    for change in range(12):
        first = change * 100
        timing.record_step(first, change * 10_000)
        timing.record_step(first + 5, change * 10_000 + 5 * between)
        timing.record_arming(arming)
        timing.forget_last_step()
    assert timing.extra_steps == expected


@pytest.mark.parametrize(("ranks", "expected"), [(8, 0), (12, 0), (32, 1), (63, 2), (96, 3)])
def test_initial_extra_steps_depend_on_the_number_of_ranks(ranks: int, expected: int) -> None:
    assert StepTiming(ranks).extra_steps == expected


def test_time_between_changes_is_not_a_step_interval() -> None:
    timing = StepTiming(63)
    for change in range(12):
        timing.record_step(change, change * 60_000)
        timing.forget_last_step()
    assert timing.extra_steps == 2
