"""Whom a rank's process links with, and when it goes another way."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import cast

import pytest

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.experts import RankPort, RankReport
from canvasyoke.experts import _owner_link as link_module
from canvasyoke.experts._looks import Looks
from canvasyoke.experts._member import RankMember
from canvasyoke.experts._owner_link import OwnerLink, RankNote
from canvasyoke.experts._relay import Relay

RANKS = 96
NOTES = {
    rank: RankNote(f"10.0.0.{rank}:7340", f"10.0.0.{rank}:8021", f"nbo-{'abcde'[rank % 5]}")
    for rank in range(RANKS)
}
#: Milliseconds between turns of a rank's process.
TURN = 200


class SilentClient:
    """A link client that never links; notes whom it dialled."""

    dialled: list[str] = []

    def __init__(self, address: str, *_args: object) -> None:
        self.address = address

    def start(self) -> None:
        self.dialled.append(self.address)

    def stop(self) -> None:
        pass


class Process:
    """One rank's process as far as its link goes."""

    def __init__(self, rank: int, notes: Mapping[int, RankNote], size: int = RANKS) -> None:
        self.size = size
        self.clock = ManualClock(start=100_000)
        self.rank = rank
        self.notes = notes
        self.relays = 0
        self.link = OwnerLink(
            f"side-{rank}",
            "i",
            RankMember(cast(RankPort, None)),
            Looks(self.clock),
            lambda _group: self.notes,
            self.make_relay,
            self.clock,
            random.Random(1),
        )

    def make_relay(self) -> Relay:
        self.relays += 1
        return cast(Relay, None)

    def pass_time(self, duration: int) -> None:
        report = RankReport("g", self.rank, self.size, 1, True, 10, 0, 0, None, 0)
        for _ in range(duration // TURN):
            self.link.turn(report, b"key")
            self.clock.advance(TURN)


@pytest.fixture(autouse=True)
def dialled(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    SilentClient.dialled = []
    monkeypatch.setattr(link_module, "LinkClient", SilentClient)
    return SilentClient.dialled


def test_a_relay_is_given_time_before_the_owner_is_dialled() -> None:
    """Dialled again at the next look, half of the ranks went past their relays."""
    process = Process(12, NOTES)
    process.pass_time(2_800)
    assert SilentClient.dialled == [NOTES[2].peer]
    process.pass_time(2 * SECOND)
    assert SilentClient.dialled == [NOTES[2].peer, NOTES[0].peer]
    process.pass_time(10 * SECOND)
    assert SilentClient.dialled == [NOTES[2].peer, NOTES[0].peer]


def test_a_relay_links_with_the_owner() -> None:
    process = Process(2, NOTES)
    process.pass_time(1 * SECOND)
    assert (process.relays, SilentClient.dialled) == (1, [NOTES[0].peer])


def test_a_rank_waits_for_the_notes_of_its_group() -> None:
    """By a part of the notes it would take a large group for a small one."""
    process = Process(12, {rank: NOTES[rank] for rank in (0, 1, 2, 12)})
    process.pass_time(3 * SECOND)
    assert SilentClient.dialled == []
    process.notes = NOTES
    process.pass_time(2 * SECOND)
    assert SilentClient.dialled == [NOTES[2].peer]


def test_a_small_group_needs_only_its_owners_note() -> None:
    process = Process(7, {0: NOTES[0]}, size=12)
    process.pass_time(1 * SECOND)
    assert SilentClient.dialled == [NOTES[0].peer]


def test_notes_that_stay_away_are_not_waited_for_any_longer() -> None:
    process = Process(12, {rank: NOTES[rank] for rank in (0, 1, 2, 12)})
    process.pass_time(8 * SECOND)
    assert SilentClient.dialled == [NOTES[0].peer]


def test_a_process_that_has_just_begun_takes_nobody_for_silent() -> None:
    process = Process(1, NOTES)
    assert process.link.silence == 0
    process.clock.advance(400)
    assert process.link.silence == 400
