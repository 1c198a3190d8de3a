"""What is learned of how long demand stays as it is."""

from __future__ import annotations

import pytest

from canvasyoke._clock import SECOND
from canvasyoke.coordination import DemandSpan


def serve(span: DemandSpan, began: int, lasted: int) -> None:
    """Have a map serve well for ``lasted`` milliseconds and then be outdated."""
    span.began(began)
    for age in range(0, lasted, 100):
        span.saw(began + age, 1.3 + 0.1 * (age // 100 % 2))
    span.saw(began + lasted, 2.4)


#: Milliseconds for which maps serve, and what is expected after five of them.
SPANS = [
    ("every three seconds", 3_000, 3_000),
    ("sooner than can be followed", 200, 1_000),
    ("every half minute", 30_000, 30_000),
]


@pytest.mark.parametrize(("lasted", "expected"), [case[1:] for case in SPANS])
def test_the_span_follows_what_maps_lasted(lasted: int, expected: int) -> None:
    span = DemandSpan()
    for turn in range(8):
        serve(span, turn * 100_000, lasted)
    assert span.expected == pytest.approx(expected, rel=0.05)


def test_a_map_that_serves_on_raises_the_span_at_once() -> None:
    span = DemandSpan()
    span.began(0)
    for now in range(0, 90 * SECOND, 100):
        span.saw(now, 1.2)
    assert span.expected == 60 * SECOND


def test_an_outdated_map_counts_once() -> None:
    span = DemandSpan()
    serve(span, 0, 2_000)
    learned = span.expected
    for now in range(2_100, 20_000, 100):
        span.saw(now, 2.4)
    assert span.expected == learned


def test_nothing_is_learned_before_a_map_is_in_force() -> None:
    span = DemandSpan()
    before = span.expected
    span.saw(100, 1.1)
    span.saw(60 * SECOND, 3.0)
    assert span.expected == before
