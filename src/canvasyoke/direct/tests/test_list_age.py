"""The age of an entry's list of backends, as confirmed by the store and by other entries."""

from __future__ import annotations

import random

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.direct import _peers
from canvasyoke.direct._choice import BackendQuery, Chosen
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.fleet_model import SETTLE_STEPS, STEP_INTERVAL, SimFleet, SimLinks
from canvasyoke.state import Endpoint, EndpointState


def test_a_choice_reports_the_age_of_its_list() -> None:
    clock = ManualClock(start=10_000)
    roster = Roster("nbo-a", clock, random.Random(1))
    ready = Endpoint("a", "ink", "127.0.0.1:1", "nbo-a", 6, EndpointState.READY, 4)
    roster.merge([ready], position=5)
    roster.confirm_list()
    clock.advance(700)
    roster.confirm_list(age=200)
    clock.advance(50)
    chosen = roster.choose(BackendQuery("ink"))
    assert isinstance(chosen, Chosen)
    assert (chosen.endpoint.position, chosen.update_age, chosen.list_age) == (4, 750, 250)


def test_a_peer_confirms_the_list_of_an_entry_without_store_access(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_peers, "OverlayLinks", SimLinks)
    fleet = SimFleet((2, 2))
    fleet.change("b-1", EndpointState.READY)
    for name in fleet.entries:
        fleet.list_store(name)
    fleet.run_steps(SETTLE_STEPS)
    in_contact, *others = fleet.entries.values()
    before = [entry.roster.list_age for entry in others]
    assert min(before) >= SETTLE_STEPS * STEP_INTERVAL
    in_contact.roster.confirm_list()
    fleet.run_steps(SETTLE_STEPS // 2)
    assert max(entry.roster.list_age for entry in others) < min(before)
