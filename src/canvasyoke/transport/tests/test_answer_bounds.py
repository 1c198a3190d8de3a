"""Limits of an answer, with a clock that the test controls."""

from __future__ import annotations

import pytest

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.transport import ExchangeError, FailureCause
from canvasyoke.transport._bounded_connection import (
    _MAX_LATE_TIME,
    _MAX_UNDELIVERED_BYTES,
    MIN_TIMEOUT,
    AnswerBounds,
)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(start=10_000)


@pytest.fixture
def bounds(clock: ManualClock) -> AnswerBounds:
    bounds = AnswerBounds(clock)
    bounds.begin(2 * SECOND)
    return bounds


def test_a_read_waits_no_longer_than_the_whole_answer_may(
    bounds: AnswerBounds, clock: ManualClock
) -> None:
    assert bounds.next_timeout() == 2 * SECOND
    clock.advance(1_500)
    assert bounds.next_timeout() == 500
    bounds.limit_time(8 * SECOND, 2 * SECOND)
    assert bounds.next_timeout() == 2 * SECOND
    clock.advance(7 * SECOND)
    assert bounds.next_timeout() == 1 * SECOND


def test_what_has_arrived_is_read_late_but_not_for_long(
    bounds: AnswerBounds, clock: ManualClock
) -> None:
    """Guards against bytes that always arrive just in time for one more read."""
    clock.advance(60 * SECOND)
    assert bounds.next_timeout() == MIN_TIMEOUT
    clock.advance(_MAX_LATE_TIME)
    assert bounds.next_timeout() == MIN_TIMEOUT
    clock.advance(1)
    with pytest.raises(TimeoutError):
        bounds.next_timeout()
    bounds.limit_time(1 * SECOND, 1 * SECOND)
    assert bounds.next_timeout() == 1 * SECOND


def test_each_piece_has_the_same_limit_in_bytes(bounds: AnswerBounds) -> None:
    for _ in range(3):
        bounds.record(_MAX_UNDELIVERED_BYTES, 0)
        bounds.begin_piece()
    bounds.record(_MAX_UNDELIVERED_BYTES, 0)
    with pytest.raises(ExchangeError) as raised:
        bounds.record(1, 0)
    assert raised.value.cause is FailureCause.TOO_LARGE
