"""A request that crashes its backends is quarantined at all entries.

Regression test: retries and repeated calls sent such a request to backend after backend.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator

import pytest

from canvasyoke.cli import main
from fakes import platform_engine
from fakes.http_base import Handler
from fakes.platform_engine import PlatformEngine
from tests.direct import DirectEntry, DirectFleet, read_reply, wait_until

CRASHING_BODY = b"ends whoever begins to run it"
#: Backends that a request may crash before its quarantine, and attempts tolerated after it.
MAX_CRASHES_BEFORE_QUARANTINE = 3
MAX_CRASHES_AFTER_QUARANTINE = 3
BACKENDS = 6
REPEATS = 10


class CrashingFleet(DirectFleet):
    """Linked entries, and backends that crash on one request body."""

    def __init__(self) -> None:
        super().__init__()
        self.crashes = 0
        self._starts = 0
        for engine in self.shelf:
            engine.close()
        self.shelf = [self._start() for _ in range(BACKENDS)]
        self.populate_store()

    def _start(self, port: int = 0) -> PlatformEngine:
        self._starts += 1
        return PlatformEngine(f"shelf-{self._starts}", port=port, crash_body=CRASHING_BODY)

    def add_linked(self, count: int) -> list[DirectEntry]:
        """Start entries and wait until they are all linked."""
        entries = [self.add_entry() for _ in range(count)]
        for entry in entries:
            entry.wait_ready()
            _wait_for_links(entry, count - 1)
        return entries

    def restart_crashed(self) -> None:
        """Restart crashed backends and wait until all entries know them."""
        for number, engine in enumerate(self.shelf):
            if not engine.exited.is_set():
                continue
            self.crashes += 1
            started = self._start(int(engine.address.rsplit(":", 1)[1]))
            self.shelf[number] = started
            self.store.remove("servers", engine.id)
            self.store.put("servers", started.id, started.store_entry("shelf"))
            for entry in self.entries:
                _wait_until_known(entry, started)


def _wait_for_links(entry: DirectEntry, count: int) -> None:
    wait_until(lambda: entry.metric("canvasyoke_peers") == count, f"{entry.name} is linked")


def _wait_until_known(entry: DirectEntry, engine: PlatformEngine) -> None:
    wait_until(lambda: f'"{engine.id}"' in entry.logged(), f"{entry.name} knows {engine.id}")


def _wait_for_arrivals(fleet: CrashingFleet, count: int) -> None:
    wait_until(lambda: fleet.arrivals() >= count, "all have arrived")


@pytest.fixture
def fleet() -> Iterator[CrashingFleet]:
    fleet = CrashingFleet()
    yield fleet
    fleet.close()


def test_a_crashing_request_reaches_few_backends(fleet: CrashingFleet) -> None:
    entries = fleet.add_linked(3)
    for number in range(REPEATS):
        entry = entries[number % len(entries)]
        entry.call("/safe/1", body=CRASHING_BODY, request_id=f"deadly-{number}")
        fleet.restart_crashed()
    assert fleet.crashes <= MAX_CRASHES_BEFORE_QUARANTINE + MAX_CRASHES_AFTER_QUARANTINE
    for entry in entries:
        assert entry.call("/safe/1", body=b"another", request_id="sound").status == 200


def _slow(handler: Handler, engine: PlatformEngine) -> None:
    """Answer after all concurrent requests have arrived."""
    time.sleep(0.3)
    platform_engine.answer(handler, engine)


def test_concurrent_requests_are_answered(fleet: CrashingFleet) -> None:
    entries = fleet.add_linked(3)
    for number in range(REPEATS):
        fleet.queue_behaviour(fleet.shelf, _slow)
        begun = fleet.arrivals() + BACKENDS
        concurrent = [
            entries[n % 3].send("/safe/1", body=b"sound %d" % n, request_id=f"sound-{number}-{n}")
            for n in range(BACKENDS)
        ]
        _wait_for_arrivals(fleet, begun)
        entries[number % 3].call("/save/1", body=CRASHING_BODY, request_id=f"deadly-{number}")
        assert [read_reply(conn).status for conn in concurrent] == [200] * BACKENDS
        fleet.restart_crashed()
        for engine in fleet.shelf:
            engine.behaviours.clear()
    for entry in entries:
        assert entry.metric("canvasyoke_requests_quarantined") == 1


def test_an_operator_lists_and_releases_quarantined_requests(
    fleet: CrashingFleet, capsys: pytest.CaptureFixture[str]
) -> None:
    entries = fleet.add_linked(2)
    for number in range(2):
        entries[number].call("/safe/1", body=CRASHING_BODY, request_id=f"deadly-{number}")
        fleet.restart_crashed()
    for entry in entries:
        wait_until(_quarantines(entry, 1), f"{entry.name} keeps it from backends")
    assert main(["quarantine", "--entry", entries[0].metrics]) == 0
    shown = capsys.readouterr().out.splitlines()[0]
    assert "kept from backends: 3 ended (shelf-" in shown
    release = ["quarantine", "--entry", entries[0].metrics, "--release", shown.split()[0]]
    assert main(release) == 0
    for entry in entries:
        wait_until(_quarantines(entry, 0), f"{entry.name} lets it run again")
    assert main(release) == 1
    assert "it is not kept from backends" in capsys.readouterr().err


def test_the_quarantine_survives_a_restart_of_all_entries(fleet: CrashingFleet) -> None:
    (entry,) = fleet.add_linked(1)
    for number in range(2):
        entry.call("/safe/1", body=CRASHING_BODY, request_id=f"deadly-{number}")
        fleet.restart_crashed()
    wait_until(lambda: fleet.store.get("quarantine"), "it stands in the store")
    entry.process.kill()
    entry.process.wait()
    again = fleet.add_entry()
    again.wait_ready()
    wait_until(_quarantines(again, 1), "the new entry knows it")
    arrivals = fleet.arrivals()
    reply = again.call("/safe/1", body=CRASHING_BODY, request_id="deadly-2")
    assert (reply.status, fleet.arrivals()) == (502, arrivals)
    assert b"quarantined as " in reply.body
    assert "Retry-After" not in reply.headers


def _quarantines(entry: DirectEntry, count: int) -> Callable[[], bool]:
    return lambda: entry.metric("canvasyoke_requests_quarantined") == count
