"""Entries ignore outdated state after the store is restored from an older snapshot.

Regression test: entries ordered changes by revision alone, so that after a restore they treated
new changes as old, and nobody wrote lost keys and notes again.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from fakes.platform_engine import PlatformEngine
from tests.direct import DirectEntry, DirectFleet, configuration, route, wait_until

ENTRIES = 3


class RestoredStoreFleet(DirectFleet):
    """A fleet whose store is restored and whose engines and operator rewrite their objects."""

    def __init__(self) -> None:
        super().__init__()
        self.states = {engine.id: "ready" for engine in self.shelf}
        self.version = 3

    def start(self) -> None:
        """Start entries and wait until they are linked."""
        self.populate_store(self.version)
        for _ in range(ENTRIES):
            self.add_entry().wait_ready()
        for entry in self.entries:
            wait_linked(entry, ENTRIES - 1)

    def set_state(self, engine: PlatformEngine, state: str) -> None:
        """Write the state of an engine; an empty state removes its entry."""
        self.states[engine.id] = state
        if state:
            self.store.put("servers", engine.id, engine.store_entry("shelf", state=state))
        else:
            self.store.remove("servers", engine.id)

    def configure(self, version: int) -> None:
        """Write a configuration with one route ``/vVERSION/``."""
        self.version = version
        self.store.put("config", "main", configuration(version, [route(f"v{version}", "shelf")]))

    def rewrite_lost_objects(self) -> None:
        """Rewrite the configuration and the entries of running engines."""
        for engine in self.shelf:
            if self.states.get(engine.id):
                self.set_state(engine, self.states[engine.id])
        if self.version != 3:
            self.configure(self.version)

    def engines_reached(self, entry: DirectEntry, path: str, calls: int = 20) -> set[str]:
        """Return the ids of the engines that requests through an entry reach."""
        before = {engine.id: len(engine.arrivals) for engine in self.shelf}
        for number in range(calls):
            entry.call(path, request_id=f"{entry.name}-{number}")
        return {e.id for e in self.shelf if len(e.arrivals) > before.get(e.id, 0)}


def wait_for_only_engine(
    fleet: RestoredStoreFleet, entry: DirectEntry, engine: PlatformEngine, path: str = "/save/1"
) -> None:
    """Wait until requests through an entry reach only ``engine``."""
    wait_until(
        lambda: fleet.engines_reached(entry, path) == {engine.id},
        f"{entry.name} uses {engine.id} alone",
    )


def wait_for_answers(statuses: list[int], count: int) -> None:
    """Wait for ``count`` more answers."""
    until = len(statuses) + count
    wait_until(lambda: len(statuses) >= until, f"{count} more requests")


def wait_in_force(entry: DirectEntry, version: int) -> None:
    """Wait until an entry uses a configuration version."""
    wait_until(lambda: entry.call(f"/v{version}/1").status == 200, f"version {version} in force")


def list_count(entry: DirectEntry) -> int:
    """Return how often an entry has listed the backends."""
    return entry.logged().count("backends listed")


def wait_listed(entry: DirectEntry, before: int) -> None:
    """Wait until an entry has listed the backends again."""
    wait_until(lambda: list_count(entry) > before, f"{entry.name} reads the list again")


def wait_linked(entry: DirectEntry, count: int) -> None:
    """Wait until an entry has at least ``count`` links."""
    wait_until(
        lambda: entry.metric("canvasyoke_peers") >= count, f"{entry.name} is linked with {count}"
    )


@pytest.fixture
def fleet() -> Iterator[RestoredStoreFleet]:
    made = RestoredStoreFleet()
    yield made
    made.close()


def test_restored_backend_states_are_not_used(fleet: RestoredStoreFleet) -> None:
    """After the snapshot one backend starts to leave, one is removed and one joins."""
    fleet.start()
    snapshot = fleet.store.snapshot()
    for number in range(30):  # raise the revision well above the snapshot's
        fleet.store.put("others", f"o-{number}", number)
    leaving, ended = fleet.shelf
    new = PlatformEngine("shelf-3")
    fleet.shelf.append(new)
    fleet.set_state(new, "ready")
    fleet.set_state(leaving, "draining")
    fleet.set_state(ended, "")
    for entry in fleet.entries:
        wait_for_only_engine(fleet, entry, new)
    listed = {entry.name: list_count(entry) for entry in fleet.entries}
    fleet.store.restore(snapshot)
    for entry in fleet.entries:
        wait_listed(entry, listed[entry.name])
        assert fleet.engines_reached(entry, "/save/1") == {new.id}
        assert entry.logged().count("came back from an older copy") == 1
        assert f'"backend":"{ended.id}","state":"READY"' not in entry.logged()
        assert entry.metric("canvasyoke_store_era") == 1
    fleet.rewrite_lost_objects()
    fleet.store.remove("servers", ended.id)  # the platform removes a dead engine
    for entry in fleet.entries:
        assert fleet.engines_reached(entry, "/save/1") == {new.id}
    fleet.set_state(new, "draining")
    fleet.shelf.append(last := PlatformEngine("shelf-4"))
    fleet.set_state(last, "ready")
    for entry in fleet.entries:
        wait_for_only_engine(fleet, entry, last)
    for entry in fleet.entries:
        assert fleet.engines_reached(entry, "/save/1") == {last.id}


def test_a_restore_between_two_calls_is_noticed(fleet: RestoredStoreFleet) -> None:
    """The restore falls between two watches, and the revision exceeds the old one again."""
    fleet.populate_store()
    entry = fleet.add_entry()
    entry.wait_ready()
    snapshot = fleet.store.snapshot()
    leaving, stays = fleet.shelf

    def restore_between_watches() -> bool:
        with fleet.store.locked():
            if fleet.store.watching["servers"]:
                return False
            fleet.store.restore(snapshot)
            fleet.set_state(leaving, "draining")
            for number in range(30):
                fleet.store.put("others", f"o-{number}", number)
            return True

    wait_until(lambda: fleet.store.watching["servers"], "a watch waits")
    # This event ends the watch.
    fleet.store.put("servers", "ink-9", fleet.ink[0].store_entry("ink"))
    wait_until(restore_between_watches, "no watch waits")
    wait_for_only_engine(fleet, entry, stays)


def test_configuration_versions_only_rise_across_a_restore(fleet: RestoredStoreFleet) -> None:
    """An entry that starts after the restore learns the newer version from its peers."""
    fleet.start()
    snapshot = fleet.store.snapshot()
    fleet.configure(8)
    for entry in fleet.entries:
        wait_in_force(entry, 8)
    fleet.store.restore(snapshot)
    late = fleet.add_entry()
    late.wait_ready()
    wait_in_force(late, 8)
    assert [entry.call("/v8/1").status for entry in fleet.entries] == [200] * (ENTRIES + 1)
    fleet.configure(9)
    for entry in fleet.entries:
        wait_in_force(entry, 9)


def test_an_entry_that_starts_after_a_restore_is_linked(fleet: RestoredStoreFleet) -> None:
    """The snapshot contains neither entry notes nor the link key."""
    fleet.populate_store()
    snapshot = fleet.store.snapshot()
    fleet.start()
    fleet.store.restore(snapshot)
    late = fleet.add_entry()
    late.wait_ready()
    wait_linked(late, ENTRIES)
    for entry in fleet.entries[:-1]:
        wait_linked(entry, ENTRIES)
        assert "link lost" not in entry.logged()
    assert set(fleet.store.get("entries")) == {entry.name for entry in fleet.entries}


def test_callers_are_unaffected_by_a_restore(fleet: RestoredStoreFleet) -> None:
    """Requests continue through two restores and the writes after each."""
    fleet.start()
    leaving, stays = fleet.shelf
    fleet.configure(4)
    for entry in fleet.entries:
        wait_in_force(entry, 4)
    snapshot = fleet.store.snapshot()
    fleet.set_state(leaving, "draining")
    for entry in fleet.entries:
        wait_for_only_engine(fleet, entry, stays, "/v4/1")
    reached = len(leaving.arrivals)
    statuses: list[int] = []
    stop = threading.Event()

    def call(entry: DirectEntry) -> None:
        while not stop.is_set():
            statuses.append(entry.call("/v4/1").status)

    with ThreadPoolExecutor(ENTRIES) as pool:
        for entry in fleet.entries:
            pool.submit(call, entry)
        try:
            for _ in range(2):
                listed = {entry.name: list_count(entry) for entry in fleet.entries}
                fleet.store.restore(snapshot)
                for entry in fleet.entries:
                    wait_listed(entry, listed[entry.name])
                wait_for_answers(statuses, 200)
                fleet.rewrite_lost_objects()
                wait_for_answers(statuses, 200)
        finally:
            stop.set()
    assert set(statuses) == {200}
    assert len(leaving.arrivals) == reached, "none at the one that leaves"
