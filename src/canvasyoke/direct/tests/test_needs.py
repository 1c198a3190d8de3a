"""What callers get while backends ask to back off, played with the product's own decisions.

Eight entries, 16 backends of six slots, 45 requests a second, eight seconds in which some
backends turn all requests away and ask to back off for 3 s. Figures are of three seeds together.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from canvasyoke.direct.tests.need_model import Need, NeedDay, NeedOutcome, NeedWorld

SEEDS = (1, 2, 3)


def day_of(backends: int, backoff: int = 3_000) -> NeedDay:
    return NeedDay(needs=(Need(3_000, 11_000, backends, backoff),))


def play(day: NeedDay) -> NeedOutcome:
    total = NeedOutcome()
    for seed in SEEDS:
        outcome = NeedWorld(replace(day, seed=seed)).run()
        total.answered += outcome.answered
        total.refused += outcome.refused
        total.refused_twice += outcome.refused_twice
        total.turned_away += outcome.turned_away
        total.broken += outcome.broken
    return total


@pytest.mark.parametrize("entries", [3, 8, 30])
@pytest.mark.parametrize("backoff", [500, 1_000, 3_000])
@pytest.mark.parametrize("backends", [1, 5, 8, 16])
def test_no_backoff_is_broken(backends: int, backoff: int, entries: int) -> None:
    day = replace(day_of(backends, backoff), entries=entries, seed=entries)
    assert NeedWorld(day).run().broken == []


def test_the_model_shows_what_nobody_hears() -> None:
    assert play(replace(day_of(5), hears=False, tells=False)).broken


@pytest.mark.parametrize("backends", [5, 8])
def test_entries_that_tell_each_other_refuse_fewer_callers(backends: int) -> None:
    """Refused before, heard alone and told: 773, 103 and 34 of 5; 899, 364 and 214 of 8."""
    day = day_of(backends)
    before = play(replace(day, hears=False, tells=False))
    alone = play(replace(day, tells=False))
    told = play(day)
    assert told.refused < alone.refused < before.refused
    assert told.turned_away <= alone.turned_away / 2
    assert told.answered > before.answered


def test_half_as_many_callers_are_refused_again_where_half_of_the_backends_rest() -> None:
    """Refused twice before and after: 765 and 26."""
    day = day_of(8)
    before = play(replace(day, hears=False, tells=False))
    assert play(day).refused_twice <= before.refused_twice / 2


def test_where_all_ask_to_back_off_backends_are_left_alone() -> None:
    """Requests turned away before and after: 2,564 and 1,199."""
    day = day_of(16)
    before = play(replace(day, hears=False, tells=False))
    assert play(day).turned_away <= before.turned_away / 2
