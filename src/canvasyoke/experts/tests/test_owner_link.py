"""Whether a rank process links to a relay or to the owner."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import cast

import pytest

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.experts import RankPort, RankReport
from canvasyoke.experts import _owner_link as link_module
from canvasyoke.experts._lookup_limiter import LookupLimiter
from canvasyoke.experts._owner_link import OwnerLink
from canvasyoke.experts._rank_client import RankClient
from canvasyoke.experts._rank_directory import RankNote
from canvasyoke.experts._relay import Relay

RANKS = 96
NOTES = {
    rank: RankNote(f"10.0.0.{rank}:7340", f"10.0.0.{rank}:8021", f"nbo-{'abcde'[rank % 5]}")
    for rank in range(RANKS)
}
#: Milliseconds between ticks of a rank process.
TICK_INTERVAL = 200


class FakeLinkClient:
    """A link client that never links; records the dialled addresses."""

    dialled: list[str] = []

    def __init__(self, address: str, *_args: object) -> None:
        self.address = address

    def start(self) -> None:
        self.dialled.append(self.address)

    def stop(self) -> None:
        pass


class RankProcess:
    """The link of one rank process."""

    def __init__(self, rank: int, notes: Mapping[int, RankNote], size: int = RANKS) -> None:
        self.size = size
        self.clock = ManualClock(start=100_000)
        self.rank = rank
        self.notes = notes
        self.relays = 0
        self.link = OwnerLink(
            f"side-{rank}",
            "i",
            RankClient(cast(RankPort, None)),
            LookupLimiter(self.clock),
            lambda _group: self.notes,
            self.make_relay,
            self.clock,
            random.Random(1),
        )

    def make_relay(self) -> Relay:
        self.relays += 1
        return cast(Relay, None)

    def advance(self, duration: int) -> None:
        report = RankReport("g", self.rank, self.size, 1, True, 10, 0, 0, None, 0)
        for _ in range(duration // TICK_INTERVAL):
            self.link.tick(report, b"key")
            self.clock.advance(TICK_INTERVAL)


@pytest.fixture(autouse=True)
def dialled(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    FakeLinkClient.dialled = []
    monkeypatch.setattr(link_module, "LinkClient", FakeLinkClient)
    return FakeLinkClient.dialled


def test_a_relay_is_given_time_before_the_owner_is_dialled() -> None:
    """Guards against ranks bypassing a relay that is still starting."""
    process = RankProcess(12, NOTES)
    process.advance(2_800)
    assert FakeLinkClient.dialled == [NOTES[2].peer]
    process.advance(2 * SECOND)
    assert FakeLinkClient.dialled == [NOTES[2].peer, NOTES[0].peer]
    process.advance(10 * SECOND)
    assert FakeLinkClient.dialled == [NOTES[2].peer, NOTES[0].peer]


def test_a_relay_links_with_the_owner() -> None:
    process = RankProcess(2, NOTES)
    process.advance(1 * SECOND)
    assert (process.relays, FakeLinkClient.dialled) == (1, [NOTES[0].peer])


def test_a_rank_waits_for_the_notes_of_its_group() -> None:
    """With incomplete notes a large group would be treated as a small one."""
    process = RankProcess(12, {rank: NOTES[rank] for rank in (0, 1, 2, 12)})
    process.advance(3 * SECOND)
    assert FakeLinkClient.dialled == []
    process.notes = NOTES
    process.advance(2 * SECOND)
    assert FakeLinkClient.dialled == [NOTES[2].peer]


def test_a_small_group_needs_only_its_owners_note() -> None:
    process = RankProcess(7, {0: NOTES[0]}, size=12)
    process.advance(1 * SECOND)
    assert FakeLinkClient.dialled == [NOTES[0].peer]


def test_waiting_for_notes_times_out() -> None:
    process = RankProcess(12, {rank: NOTES[rank] for rank in (0, 1, 2, 12)})
    process.advance(8 * SECOND)
    assert FakeLinkClient.dialled == [NOTES[0].peer]


def test_silence_counts_from_the_start_of_the_process() -> None:
    process = RankProcess(1, NOTES)
    assert process.link.silence == 0
    process.clock.advance(400)
    assert process.link.silence == 400
