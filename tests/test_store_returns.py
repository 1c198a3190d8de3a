"""The store comes back from an older copy; nobody goes by what it has forgotten.

What callers would see: from some seconds after the store's return requests go to a backend
that has said it leaves, and to one that has ended, and none to a new one. It does not mend
itself until the store's count of changes has passed where it was. An entry that starts then
is linked with nobody.

Why: what is newer was told by that count alone. The copy's is lower, so all that the store
says is taken for old. Where no call fails and the count has passed the old one when the next
watch begins, what changed in between is never heard. The keys and notes that the entries had
written are gone with the rest, and nobody writes them again.

The lines that showed it, of an entry through a return from revision 30 to 9:

    store: the store forgot its history what=backends at=30
    store: backends listed count=4 revision=9
    peers: backend news backend=shelf-1 leaving=true revision=11   (and no 'backend changed')
"""

from __future__ import annotations

import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from fakes.platform_engine import PlatformEngine
from tests.direct import DirectEntry, DirectFleet, configuration, route, wait_until

ENTRIES = 3


class ReturningFleet(DirectFleet):
    """A fleet whose store forgets, and whose engines and operator write theirs again."""

    def __init__(self) -> None:
        super().__init__()
        self.states = {engine.id: "ready" for engine in self.shelf}
        self.version = 3

    def start(self) -> None:
        """Start linked entries."""
        self.fill_store(self.version)
        for _ in range(ENTRIES):
            self.add_entry().wait_ready()
        for entry in self.entries:
            wait_linked(entry, ENTRIES - 1)

    def say(self, engine: PlatformEngine, state: str) -> None:
        """Have an engine write its state; empty when it takes its entry out."""
        self.states[engine.id] = state
        if state:
            self.store.put("servers", engine.id, engine.entry("shelf", state=state))
        else:
            self.store.remove("servers", engine.id)

    def configure(self, version: int) -> None:
        """Have the operator write a configuration."""
        self.version = version
        self.store.put("config", "main", configuration(version, [route(f"v{version}", "shelf")]))

    def write_again(self) -> None:
        """Have the operator and the engines that live write what the store has lost."""
        for engine in self.shelf:
            if self.states.get(engine.id):
                self.say(engine, self.states[engine.id])
        if self.version != 3:
            self.configure(self.version)

    def used(self, entry: DirectEntry, path: str, calls: int = 20) -> set[str]:
        """Return the engines that requests through an entry reach."""
        before = {engine.id: len(engine.arrivals) for engine in self.shelf}
        for number in range(calls):
            entry.call(path, request_id=f"{entry.name}-{number}")
        return {e.id for e in self.shelf if len(e.arrivals) > before.get(e.id, 0)}


def wait_used(
    fleet: ReturningFleet, entry: DirectEntry, engine: PlatformEngine, path: str = "/save/1"
) -> None:
    """Wait until requests through an entry reach one engine alone."""
    wait_until(
        lambda: fleet.used(entry, path) == {engine.id}, f"{entry.name} uses {engine.id} alone"
    )


def wait_more(statuses: list[int], count: int) -> None:
    """Wait until so many more requests have been answered."""
    until = len(statuses) + count
    wait_until(lambda: len(statuses) >= until, f"{count} more requests")


def wait_in_force(entry: DirectEntry, version: int) -> None:
    """Wait until an entry follows a configuration."""
    wait_until(lambda: entry.call(f"/v{version}/1").status == 200, f"version {version} in force")


def lists(entry: DirectEntry) -> int:
    """Return how often an entry has read the store's list of backends."""
    return entry.logged().count("backends listed")


def wait_listed(entry: DirectEntry, before: int) -> None:
    """Wait until an entry has read the store's list once more."""
    wait_until(lambda: lists(entry) > before, f"{entry.name} reads the list again")


def wait_linked(entry: DirectEntry, count: int) -> None:
    """Wait until an entry is linked with so many others."""
    wait_until(
        lambda: entry.metric("canvasyoke_peers") >= count, f"{entry.name} is linked with {count}"
    )


@pytest.fixture
def fleet() -> Iterator[ReturningFleet]:
    made = ReturningFleet()
    yield made
    made.close()


def test_no_request_goes_by_what_the_copy_says_of_backends(fleet: ReturningFleet) -> None:
    """One said that it leaves, one ended and one came since the copy was taken."""
    fleet.start()
    older = fleet.store.copy()
    for number in range(30):  # the count goes well above the copy's
        fleet.store.put("others", f"o-{number}", number)
    leaving, ended = fleet.shelf
    new = PlatformEngine("shelf-3")
    fleet.shelf.append(new)
    fleet.say(new, "ready")
    fleet.say(leaving, "draining")
    fleet.say(ended, "")
    for entry in fleet.entries:
        wait_used(fleet, entry, new)
    listed = {entry.name: lists(entry) for entry in fleet.entries}
    fleet.store.return_from(older)
    for entry in fleet.entries:
        wait_listed(entry, listed[entry.name])
        assert fleet.used(entry, "/save/1") == {new.id}
        assert entry.logged().count("came back from an older copy") == 1
        assert entry.metric("canvasyoke_store_era") == 1
    fleet.write_again()
    fleet.store.remove("servers", ended.id)  # the platform finds it silent
    for entry in fleet.entries:
        assert fleet.used(entry, "/save/1") == {new.id}
    fleet.say(new, "draining")
    fleet.shelf.append(last := PlatformEngine("shelf-4"))
    fleet.say(last, "ready")
    for entry in fleet.entries:
        wait_used(fleet, entry, last)
    for entry in fleet.entries:
        assert fleet.used(entry, "/save/1") == {last.id}


def test_a_return_that_no_call_meets_is_noticed(fleet: ReturningFleet) -> None:
    """It falls between two watches, and the count has passed the old one by the second."""
    fleet.fill_store()
    entry = fleet.add_entry()
    entry.wait_ready()
    older = fleet.store.copy()
    leaving, stays = fleet.shelf

    def comes_back_unmet() -> bool:
        with fleet.store.held():
            if fleet.store.watching["servers"]:
                return False
            fleet.store.return_from(older)
            fleet.say(leaving, "draining")
            for number in range(30):
                fleet.store.put("others", f"o-{number}", number)
            return True

    wait_until(lambda: fleet.store.watching["servers"], "a watch waits")
    fleet.store.put("servers", "ink-9", fleet.ink[0].entry("ink"))  # news end it
    wait_until(comes_back_unmet, "no watch waits")
    wait_used(fleet, entry, stays)


def test_configurations_only_rise_through_a_return(fleet: ReturningFleet) -> None:
    """An entry that starts in those seconds reads an older one; the others know better."""
    fleet.start()
    older = fleet.store.copy()
    fleet.configure(8)
    for entry in fleet.entries:
        wait_in_force(entry, 8)
    fleet.store.return_from(older)
    late = fleet.add_entry()
    late.wait_ready()
    wait_in_force(late, 8)
    assert [entry.call("/v8/1").status for entry in fleet.entries] == [200] * (ENTRIES + 1)
    fleet.configure(9)
    for entry in fleet.entries:
        wait_in_force(entry, 9)


def test_an_entry_that_starts_after_a_return_is_linked(fleet: ReturningFleet) -> None:
    """The copy is from before any entry had noted itself, and has no key for links."""
    fleet.fill_store()
    older = fleet.store.copy()
    fleet.start()
    fleet.store.return_from(older)
    late = fleet.add_entry()
    late.wait_ready()
    wait_linked(late, ENTRIES)
    for entry in fleet.entries[:-1]:
        wait_linked(entry, ENTRIES)
        assert "link lost" not in entry.logged()
    assert set(fleet.store.get("entries")) == {entry.name for entry in fleet.entries}


def test_callers_see_nothing_of_a_return(fleet: ReturningFleet) -> None:
    """Requests go on all along, through two returns in a row and what is written after each."""
    fleet.start()
    leaving, stays = fleet.shelf
    fleet.configure(4)
    for entry in fleet.entries:
        wait_in_force(entry, 4)
    older = fleet.store.copy()
    fleet.say(leaving, "draining")
    for entry in fleet.entries:
        wait_used(fleet, entry, stays, "/v4/1")
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
                listed = {entry.name: lists(entry) for entry in fleet.entries}
                fleet.store.return_from(older)
                for entry in fleet.entries:
                    wait_listed(entry, listed[entry.name])
                wait_more(statuses, 200)
                fleet.write_again()
                wait_more(statuses, 200)
        finally:
            stop.set()
    assert set(statuses) == {200}
    assert len(leaving.arrivals) == reached, "none at the one that leaves"
