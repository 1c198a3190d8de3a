"""A request that ends the backends that run it is soon kept from all of them.

What users saw: engine after engine of one deployment ended, eight and nine in a row, in
bursts some four seconds apart, and streams were refused for 17 s each time.

The order of events: a request ends the engine that begins to run it; its entry sends it to
a second one, which ends as well; the caller comes again with the same request under another
id, at another entry, which knows nothing of it.

The cause: what is known of a request ended with its call. An engine's end was said of the
engine alone, by ejection, group and list, and never of what it ran.

Evidence: in the recorded day, calls with different ids at four entries ended eight engines,
each as many as its route allows attempts; here the same request, ten times at three entries,
ended 20 backends on that landing's code.
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

DEADLY = b"ends whoever begins to run it"
#: Backends that a request may end before it must be known for what it is, and times that
#: it may still reach one afterwards, by what the operator grants.
ENDED_UNKNOWN = 3
GRANTED_AFTER = 3
BACKENDS = 6
TIMES = 10


class DeadlyFleet(DirectFleet):
    """Entries linked with each other, and backends that one request ends."""

    def __init__(self) -> None:
        super().__init__()
        self.ended = 0
        self._starts = 0
        for engine in self.shelf:
            engine.close()
        self.shelf = [self._start() for _ in range(BACKENDS)]
        self.fill_store()

    def _start(self, port: int = 0) -> PlatformEngine:
        self._starts += 1
        return PlatformEngine(f"shelf-{self._starts}", port=port, deadly=DEADLY)

    def add_linked(self, count: int) -> list[DirectEntry]:
        """Start entries and wait until each is linked with all others."""
        entries = [self.add_entry() for _ in range(count)]
        for entry in entries:
            entry.wait_ready()
            _wait_for_links(entry, count - 1)
        return entries

    def replace_ended(self) -> None:
        """Start those that have ended again, and wait until all entries know of it."""
        for number, engine in enumerate(self.shelf):
            if not engine.ended.is_set():
                continue
            self.ended += 1
            started = self._start(int(engine.address.rsplit(":", 1)[1]))
            self.shelf[number] = started
            self.store.remove("servers", engine.id)
            self.store.put("servers", started.id, started.entry("shelf"))
            for entry in self.entries:
                _wait_to_be_known(entry, started)


def _wait_for_links(entry: DirectEntry, count: int) -> None:
    wait_until(lambda: entry.metric("canvasyoke_peers") == count, f"{entry.name} is linked")


def _wait_to_be_known(entry: DirectEntry, engine: PlatformEngine) -> None:
    wait_until(lambda: f'"{engine.id}"' in entry.logged(), f"{entry.name} knows {engine.id}")


def _wait_for_arrivals(fleet: DeadlyFleet, count: int) -> None:
    wait_until(lambda: fleet.arrivals() >= count, "all have arrived")


@pytest.fixture
def fleet() -> Iterator[DeadlyFleet]:
    fleet = DeadlyFleet()
    yield fleet
    fleet.close()


def test_a_request_that_ends_its_backends_reaches_few_of_them(fleet: DeadlyFleet) -> None:
    entries = fleet.add_linked(3)
    for number in range(TIMES):
        entry = entries[number % len(entries)]
        entry.call("/safe/1", body=DEADLY, request_id=f"deadly-{number}")
        fleet.replace_ended()
    assert fleet.ended <= ENDED_UNKNOWN + GRANTED_AFTER
    for entry in entries:
        assert entry.call("/safe/1", body=b"another", request_id="sound").status == 200


def _slow(handler: Handler, engine: PlatformEngine) -> None:
    """Answer after all that is sent at the same time has begun."""
    time.sleep(0.3)
    platform_engine.answer(handler, engine)


def test_requests_beside_it_are_answered(fleet: DeadlyFleet) -> None:
    entries = fleet.add_linked(3)
    for number in range(TIMES):
        fleet.behave(fleet.shelf, _slow)
        begun = fleet.arrivals() + BACKENDS
        beside = [
            entries[n % 3].send("/safe/1", body=b"sound %d" % n, request_id=f"sound-{number}-{n}")
            for n in range(BACKENDS)
        ]
        _wait_for_arrivals(fleet, begun)
        entries[number % 3].call("/save/1", body=DEADLY, request_id=f"deadly-{number}")
        assert [read_reply(conn).status for conn in beside] == [200] * BACKENDS
        fleet.replace_ended()
        for engine in fleet.shelf:
            engine.behaviours.clear()
    for entry in entries:
        assert entry.metric("canvasyoke_requests_quarantined") == 1


def test_an_operator_sees_what_is_kept_from_backends_and_releases_it(
    fleet: DeadlyFleet, capsys: pytest.CaptureFixture[str]
) -> None:
    entries = fleet.add_linked(2)
    for number in range(2):
        entries[number].call("/safe/1", body=DEADLY, request_id=f"deadly-{number}")
        fleet.replace_ended()
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


def test_what_is_to_blame_outlives_all_entries(fleet: DeadlyFleet) -> None:
    (entry,) = fleet.add_linked(1)
    for number in range(2):
        entry.call("/safe/1", body=DEADLY, request_id=f"deadly-{number}")
        fleet.replace_ended()
    wait_until(lambda: fleet.store.get("quarantine"), "it stands in the store")
    entry.process.kill()
    entry.process.wait()
    again = fleet.add_entry()
    again.wait_ready()
    wait_until(_quarantines(again, 1), "the new entry knows it")
    arrivals = fleet.arrivals()
    reply = again.call("/safe/1", body=DEADLY, request_id="deadly-2")
    assert (reply.status, fleet.arrivals()) == (502, arrivals)
    assert b"quarantined as " in reply.body
    assert "Retry-After" not in reply.headers


def _quarantines(entry: DirectEntry, count: int) -> Callable[[], bool]:
    return lambda: entry.metric("canvasyoke_requests_quarantined") == count
