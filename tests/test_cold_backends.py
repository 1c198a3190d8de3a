"""Entries together send a cold engine no more than it tolerates.

Regression test: an engine that has just started is the least loaded one, so all entries chose it
at once. It crashed again, and took its rank group down with it.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from threading import Event, Thread
from typing import Any

import pytest

from fakes.engine_ledger import SENDER_HEADER
from fakes.platform_engine import PlatformEngine
from tests.direct import DirectEntry, DirectFleet, configuration, wait_until

ENTRIES = 3
#: Rate of the service's cold engines, and what the operator's settings make of it: 12 in a second.
COLD_RATE = 6.0
COLD_SECONDS = 3.0
SETTINGS = {"cold_overage": 1.5, "cold_slack": 3}
TOLERATED = 12
#: Concurrent callers at each entry; an engine answers within milliseconds.
CALLERS = 4


class ColdFleet(DirectFleet):
    """Three linked entries and two backends of one service."""

    def __init__(self, settings: dict[str, Any]) -> None:
        super().__init__()
        self.populate_store()
        config = configuration(4)
        config["Services"][0] |= {"ColdPerS": COLD_RATE, "ColdStartS": COLD_SECONDS}
        self.store.put("config", "main", config)
        for _ in range(ENTRIES):
            self.add_entry(**settings)
        self._stop = Event()
        self._callers: list[Thread] = []
        for entry in self.entries:
            entry.wait_ready()
            wait_until(lambda e=entry: self._is_linked(e), "all are linked")  # type: ignore[misc]

    def _is_linked(self, entry: DirectEntry) -> bool:
        is_current = entry.metric("canvasyoke_config_version") == 4
        return is_current and entry.metric("canvasyoke_peers") == ENTRIES - 1

    def start_callers(self) -> None:
        """Send requests through all entries until the fleet is closed."""
        self._callers = [
            Thread(target=self._call, args=(entry,)) for entry in self.entries * CALLERS
        ]
        for caller in self._callers:
            caller.start()

    def _call(self, entry: DirectEntry) -> None:
        sender: dict[str, Any] = {SENDER_HEADER: entry.name}
        while not self._stop.is_set():
            entry.call("/safe/1", **sender)
            time.sleep(0.01)

    def list_cold(self, engine: PlatformEngine, is_stated: bool = False) -> None:
        """List an engine as it starts; ``is_stated``: the store has its remaining cold time."""
        engine.turn_cold(COLD_SECONDS)
        entry = engine.store_entry("shelf")
        self.store.put("servers", engine.id, entry if is_stated else entry | {"ColdRemainingMs": 0})

    def close(self) -> None:
        self._stop.set()
        for caller in self._callers:
            caller.join()
        super().close()


@pytest.fixture
def fleet(request: pytest.FixtureRequest) -> Iterator[ColdFleet]:
    fleet = ColdFleet(getattr(request, "param", SETTINGS))
    yield fleet
    fleet.close()


def _all_know(fleet: ColdFleet, count: int) -> bool:
    name = 'canvasyoke_backends_cold{service="shelf"}'
    return all(entry.metric(name) == count for entry in fleet.entries)


def _all_log(fleet: ColdFleet, text: str) -> bool:
    """Return whether all entries have logged a text; they log changes every 500 ms."""
    return all(text in entry.logged() for entry in fleet.entries)


def test_an_engine_that_starts_under_load_is_not_overrun(fleet: ColdFleet) -> None:
    started = PlatformEngine("shelf-3", started=1, crash_rate=TOLERATED)
    fleet.shelf.append(started)
    fleet.start_callers()
    fleet.list_cold(started)
    wait_until(lambda: _all_know(fleet, 1), "all count it as cold")
    wait_until(lambda: _all_know(fleet, 0), "it is warm again")
    assert not started.crashed.is_set()
    cold = [arrival for arrival in started.arrivals if arrival.is_cold]
    assert {arrival.sender for arrival in cold} == {entry.name for entry in fleet.entries}
    assert 2 <= started.peak_while_cold() <= TOLERATED
    wait_until(lambda: len(started.arrivals) > len(cold) + 50, "it gets its share when warm")
    for line in ('"backend is cold"', '"backend is warm"'):
        wait_until(lambda text=line: _all_log(fleet, text), f"all log {line}")  # type: ignore[misc]


def test_an_engine_that_is_stated_as_cold_again_is_not_overrun(fleet: ColdFleet) -> None:
    """The same run turns cold; the store has its remaining time."""
    engine = fleet.shelf[0]
    fleet.list_cold(engine, is_stated=True)
    wait_until(lambda: _all_know(fleet, 1), "all count it as cold")
    engine.crash_rate = TOLERATED
    fleet.start_callers()
    wait_until(lambda: _all_know(fleet, 0), "it is warm again")
    assert not engine.crashed.is_set()
    assert 2 <= engine.peak_while_cold() <= TOLERATED


@pytest.mark.parametrize("fleet", [{}], indirect=True)
def test_an_engine_is_overrun_without_the_settings(fleet: ColdFleet) -> None:
    """Shows that the load of these tests crashes an engine if the limit is off."""
    started = PlatformEngine("shelf-3", started=1, crash_rate=TOLERATED)
    fleet.shelf.append(started)
    fleet.start_callers()
    fleet.list_cold(started)
    wait_until(started.crashed.is_set, "it crashes")
