"""Rate limit for lookups in the store."""

from canvasyoke._clock import ManualClock
from canvasyoke.experts._lookup_limiter import LookupLimiter


def test_a_burst_of_three_is_followed_by_one_a_second() -> None:
    clock = ManualClock(start=10_000)
    limiter = LookupLimiter(clock)
    assert [limiter.try_acquire() for _ in range(4)] == [True, True, True, False]
    clock.advance(999)
    assert not limiter.try_acquire()
    clock.advance(1)
    assert [limiter.try_acquire() for _ in range(2)] == [True, False]


def test_unused_permits_accumulate_up_to_three() -> None:
    clock = ManualClock(start=10_000)
    limiter = LookupLimiter(clock)
    assert limiter.try_acquire()
    clock.advance(60_000)
    assert [limiter.try_acquire() for _ in range(4)] == [True, True, True, False]


def test_refills_are_a_whole_second_apart() -> None:
    clock = ManualClock(start=0)
    limiter = LookupLimiter(clock)
    for _ in range(3):
        assert limiter.try_acquire()
    clock.advance(1_500)
    assert limiter.try_acquire()
    clock.advance(500)
    assert limiter.try_acquire()
    assert not limiter.try_acquire()
