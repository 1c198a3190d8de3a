"""How often each rank of a group sends its owner a reading."""

import pytest

from canvasyoke.experts._rounds import reading_rounds

#: Ranks of a group, numbers in a reading, and turns until all have sent one.
ROUNDS = [
    ("a small group", 8, 384, 1),
    ("twelve ranks with few numbers", 12, 288, 1),
    ("many ranks with many numbers", 32, 1_536, 1),
    ("many ranks with some numbers", 24, 256, 1),
    ("a hundred ranks with many numbers", 96, 3_072, 6),
    ("a hundred ranks with twice as many", 96, 6_144, 12),
    ("nothing counted yet", 24, 0, 1),
]


@pytest.mark.parametrize(("ranks", "numbers", "expected"), [case[1:] for case in ROUNDS])
def test_readings_take_turns_only_where_they_are_large(
    ranks: int, numbers: int, expected: int
) -> None:
    assert reading_rounds(ranks, numbers) == expected
