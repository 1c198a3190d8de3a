"""Entries that meet malformed reports and entries of other writers keep serving callers."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from fakes.http_base import Handler
from fakes.platform_engine import PlatformEngine
from tests.direct import DirectEntry, DirectFleet, wait_until

REPORTS = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n\x00",
    b"HTTP/1.1 200 OK\r\nContent-Length: 600000000000\r\n\r\n\x00",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n\x00",
    b'HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{"group":{"Name":"g-1","epoch":-1}}',
]


@dataclass
class _Garbler(PlatformEngine):
    """An engine whose first reports are malformed."""

    def report(self, handler: Handler) -> None:
        if self.reports >= len(REPORTS):
            super().report(handler)
            return
        handler.wfile.write(REPORTS[self.reports])
        handler.close_connection = True
        self.reports += 1


@pytest.fixture
def fleet() -> Iterator[DirectFleet]:
    running = DirectFleet()
    running.populate_store()
    for _ in range(2):
        running.add_entry()
    for entry in running.entries:
        entry.wait_ready()
    yield running
    running.close()


def test_an_entry_that_asks_for_a_report_survives_whatever_comes(fleet: DirectFleet) -> None:
    """Guards against a malformed report that ends the entry with all of its requests."""
    garbler = _Garbler("ink-9", group="g-9")
    fleet.ink.append(garbler)
    fleet.store.put("servers", garbler.id, garbler.store_entry("ink"))
    wait_until(lambda: garbler.reports > len(REPORTS), "the engine is asked again")
    learned = f'"backend":"{garbler.id}'
    wait_until(lambda: all(learned in e.logged() for e in fleet.entries), "its group is learnt")
    for entry in fleet.entries:
        assert entry.process.poll() is None
        assert entry.call("/safe/1").status == 200
    assert any("no readable report" in entry.logged() for entry in fleet.entries)


@pytest.mark.parametrize(
    "field", [{"Slots": 2**128 - 1}, {"born": 2**70}, {"Slots": -(2**70)}, {"Version": 2**70}]
)
def test_entries_survive_an_entry_of_another_writer(
    fleet: DirectFleet, field: dict[str, int]
) -> None:
    """Guards against a value that no message can hold, which ends all entries."""
    odd = fleet.shelf[0].store_entry("shelf") | field
    fleet.store.put("servers", "odd", odd)
    late = PlatformEngine("shelf-9")
    fleet.shelf.append(late)
    fleet.store.put("servers", late.id, late.store_entry("shelf"))
    for engine in fleet.shelf[:2]:
        fleet.store.remove("servers", engine.id)
    for entry in fleet.entries:

        def is_late_one_used(entry: DirectEntry = entry) -> bool:
            before = len(late.arrivals)
            return entry.call("/safe/1").status == 200 and len(late.arrivals) > before

        wait_until(is_late_one_used, "the entry follows the list of backends")
        assert entry.process.poll() is None
