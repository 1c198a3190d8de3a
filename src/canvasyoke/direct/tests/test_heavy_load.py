"""What callers get on the heaviest load, played with the product's own decisions.

99 entries over five domains, 192 engines of three slots, word of loads 0.45 s late within a
domain. Figures before are those of the ways in the same registry that were the product's
before: ``sampled_paced`` with a full mesh of 99, whose word is 1.3 s late and comes every two
seconds, and the own domain first without a share of each entry's own.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from canvasyoke.direct.tests.load_model import HeavyDay, HeavyWorld, Outcome

#: Requests a second at 72% of what the slots can do; 100% of the site's calm day is 80%.
USUAL = HeavyDay()


def play(load: float, **change: object) -> Outcome:
    day = replace(USUAL, rates=tuple(rate * load for rate in USUAL.rates), **change)  # type: ignore[arg-type]
    return HeavyWorld(day).run()


#: Load as a part of the slots' capacity, parts in time at the least, and at the most before.
LOADS = [
    ("58%", 1.0, 0.95, 0.80),
    ("72%", 1.25, 0.83, 0.65),
    ("83%", 1.44, 0.70, 0.52),
]


@pytest.mark.parametrize(("load", "now", "before"), [case[1:] for case in LOADS])
def test_most_requests_have_a_slot_in_time(load: float, now: float, before: float) -> None:
    """In time before and after: 0.74 and 0.97, 0.58 and 0.87, 0.46 and 0.75."""
    after = play(load)
    mesh = play(load, hears_all=True, lag=1_300.0, tell_every=2_000.0)
    assert after.in_time / after.asked >= now
    assert mesh.in_time / mesh.asked <= before


def test_hardly_any_request_is_refused_while_slots_are_free() -> None:
    after = play(1.25)
    assert after.refused_with_room <= after.asked // 100
    assert after.turned_away <= after.asked // 50


def test_answers_stay_in_the_domain_while_it_has_room() -> None:
    assert play(1.0).crossed == 0


def test_a_domain_without_engines_is_served_by_the_others() -> None:
    day = replace(USUAL, engines=(0, 39, 38, 38, 38), rates=(20.0, 20.0, 20.0, 20.0, 20.0))
    outcome = HeavyWorld(day).run()
    assert outcome.crossed > 0
    assert outcome.in_time / outcome.asked > 0.9
