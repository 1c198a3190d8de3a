"""How often a process asks the store for what it lacks."""

from canvasyoke._clock import ManualClock
from canvasyoke.experts._looks import Looks


def test_a_start_takes_three_looks_and_then_one_a_second() -> None:
    clock = ManualClock(start=10_000)
    looks = Looks(clock)
    assert [looks.take() for _ in range(4)] == [True, True, True, False]
    clock.advance(999)
    assert not looks.take()
    clock.advance(1)
    assert [looks.take() for _ in range(2)] == [True, False]


def test_looks_that_were_not_taken_are_not_saved_up_beyond_three() -> None:
    clock = ManualClock(start=10_000)
    looks = Looks(clock)
    assert looks.take()
    clock.advance(60_000)
    assert [looks.take() for _ in range(4)] == [True, True, True, False]


def test_a_look_is_earned_by_the_whole_second_since_the_last_one_was() -> None:
    clock = ManualClock(start=0)
    looks = Looks(clock)
    for _ in range(3):
        assert looks.take()
    clock.advance(1_500)
    assert looks.take()
    clock.advance(500)
    assert looks.take()
    assert not looks.take()
