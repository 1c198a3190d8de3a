"""Positions order by era first and equal the revision in era 0."""

from __future__ import annotations

import pytest

from canvasyoke.state import era_of, format_position, revision_of, store_position

#: Eras and revisions in ascending order.
IN_ORDER = [(0, 0), (0, 122), (0, 1 << 39), (1, 0), (1, 6), (1, 122), (2, 1), (900, 0)]


def test_positions_order_by_era_first() -> None:
    positions = [store_position(era, revision) for era, revision in IN_ORDER]
    assert positions == sorted(positions)
    assert [(era_of(p), revision_of(p)) for p in positions] == IN_ORDER


@pytest.mark.parametrize("revision", [0, 7, 1_000_000])
def test_position_in_era_zero_equals_the_revision(revision: int) -> None:
    assert store_position(0, revision) == revision


def test_position_fits_a_signed_64_bit_integer() -> None:
    assert store_position((1 << 23) - 1, (1 << 40) - 1) < 1 << 63


@pytest.mark.parametrize(("era", "revision", "text"), [(0, 122, "122"), (3, 6, "3.6")])
def test_format_position(era: int, revision: int, text: str) -> None:
    assert format_position(store_position(era, revision)) == text
