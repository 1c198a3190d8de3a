"""How old an entry's list of backends is, by the store's word and by other entries'."""

from __future__ import annotations

import random

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.direct import _peers
from canvasyoke.direct._choice import Chosen, Wanted
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.fleet_model import SETTLE_TURNS, TURN, SimFleet, SimLinks
from canvasyoke.state import Endpoint, EndpointState


def test_a_choice_tells_on_what_it_was_made() -> None:
    clock = ManualClock(start=10_000)
    roster = Roster("nbo-a", clock, random.Random(1))
    ready = Endpoint("a", "ink", "127.0.0.1:1", "nbo-a", 6, EndpointState.READY, 4)
    roster.merge([ready], position=5)
    roster.confirmed()
    clock.advance(700)
    roster.confirmed(age=200)
    clock.advance(50)
    chosen = roster.choose(Wanted("ink"))
    assert isinstance(chosen, Chosen)
    assert (chosen.endpoint.position, chosen.heard_ago, chosen.list_age) == (4, 750, 250)


def test_another_entry_confirms_the_list_of_one_without_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_peers, "OverlayLinks", SimLinks)
    fleet = SimFleet((2, 2))
    fleet.change("b-1", EndpointState.READY)
    for name in fleet.entries:
        fleet.list_store(name)
    fleet.pass_turns(SETTLE_TURNS)
    told, *others = fleet.entries.values()
    before = [entry.roster.list_age for entry in others]
    assert min(before) >= SETTLE_TURNS * TURN
    told.roster.confirmed()
    fleet.pass_turns(SETTLE_TURNS // 2)
    assert max(entry.roster.list_age for entry in others) < min(before)
