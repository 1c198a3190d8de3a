"""Number of intervals in which each rank of a group sends one reading."""

import pytest

from canvasyoke.experts._reading_schedule import intervals_per_round

#: Ranks in the group, counts per reading, and intervals per round.
CASES = [
    ("a small group", 8, 384, 1),
    ("twelve ranks with few numbers", 12, 288, 1),
    ("many ranks with many numbers", 32, 1_536, 1),
    ("many ranks with some numbers", 24, 256, 1),
    ("a hundred ranks with many numbers", 96, 3_072, 6),
    ("a hundred ranks with twice as many", 96, 6_144, 12),
    ("nothing counted yet", 24, 0, 1),
]


@pytest.mark.parametrize(("ranks", "numbers", "expected"), [case[1:] for case in CASES])
def test_only_large_readings_are_spread_over_intervals(
    ranks: int, numbers: int, expected: int
) -> None:
    assert intervals_per_round(ranks, numbers) == expected
