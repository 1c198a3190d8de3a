"""A rank group stalls and opens in a new epoch, under entries that share what they know."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator

import pytest

from tests.direct import (
    ENGINE,
    ROUTES,
    DirectEntry,
    DirectFleet,
    Reply,
    configuration,
    read_reply,
    wait_until,
)

#: Seconds within which an opening is to be seen: a poll, a message and a check.
OPENING_SEEN_SECONDS = 1.0

CLOSED = "canvasyoke_groups_closed"


def wait_for_metric(entry: DirectEntry, name: str, value: float) -> None:
    wait_until(lambda: entry.metric(name) == value, f"{name} is {value:g} at {entry.name}")


class GroupFleet:
    """Four entries of two domains, and a service of one group of three engines."""

    def __init__(self) -> None:
        self.fleet = DirectFleet()
        self.ink = self.fleet.ink
        for engine in self.ink:
            engine.group = "g-1"
            engine.event_pause = 0.02
        routes = [r | ({"gap_aim_ms": 120.0} if r["Name"] == "stream" else {}) for r in ROUTES]
        config = configuration(3, routes)
        config["Services"][1]["Engine"] = ENGINE | {"form_ms": 600.0}
        self.fleet.populate_store()
        self.fleet.store.put("config", "main", config | {"Version": 4})
        domains = ("nbo-a", "nbo-a", "nbo-a", "nbo-b")
        self.entries = [self.fleet.add_entry(domain=domain) for domain in domains]
        for entry in self.entries:
            entry.wait_ready()
        for entry in self.entries:
            wait_for_metric(entry, "canvasyoke_peers", 3)
        # The discovery of groups ends with a second of no reports.
        wait_until(self._is_learned, "the groups are learnt")

    def _is_learned(self) -> bool:
        logs = "".join(entry.logged() for entry in self.entries)
        return all(f'"backend":"{engine.id}' in logs for engine in self.ink)

    def call(self, entry: DirectEntry, name: str, left: int = 6_000) -> Reply:
        return entry.call("/stream/1", request_id=name, Request_Deadline=str(left))

    def stall(self) -> None:
        """Stop the steps; running streams hang."""
        for engine in self.ink:
            engine.running.clear()

    def lose_rank(self) -> None:
        """Have all ranks refuse requests and report that one is missing."""
        for engine in self.ink:
            engine.is_broken = True

    def open(self) -> None:
        """Form the group anew."""
        for engine in self.ink:
            engine.is_broken = False
            engine.epoch += 1
        for engine in self.ink:
            engine.running.set()

    def arrivals(self) -> int:
        return sum(len(engine.arrivals) for engine in self.ink)


@pytest.fixture
def group() -> Iterator[GroupFleet]:
    fleet = GroupFleet()
    try:
        yield fleet
    finally:
        for engine in fleet.ink:
            engine.running.set()
        fleet.fleet.close()


def watchers(group: GroupFleet) -> list[DirectEntry]:
    return [e for e in group.entries if e.metric("canvasyoke_watches_store")]


def test_all_entries_learn_of_an_outage_and_of_its_end(group: GroupFleet) -> None:
    """An entry that does not know sends its callers' requests to ranks that refuse them."""
    polls = sum(engine.reports for engine in group.ink)
    time.sleep(0.6)
    # No entry polls a group that is open, apart from the discovery of groups at the start.
    assert sum(engine.reports for engine in group.ink) <= polls + 3
    group.lose_rank()
    for number, entry in enumerate(watchers(group)):
        assert group.call(entry, f"r-{number}").status == 503
    began = time.monotonic()
    for entry in group.entries:
        wait_for_metric(entry, CLOSED, 1)
    wait_until(lambda: time.monotonic() - began > 1.5, "the state is confirmed for a while")
    assert all(entry.metric(CLOSED) == 1 for entry in group.entries)
    arrived = group.arrivals()
    group.open()
    opened = time.monotonic()
    for entry in group.entries:
        wait_for_metric(entry, CLOSED, 0)
    assert time.monotonic() - opened < OPENING_SEEN_SECONDS
    # Nothing but reports was requested in between.
    assert group.arrivals() == arrived
    for number, entry in enumerate(group.entries):
        assert group.call(entry, f"s-{number}").status == 200
    for entry in group.entries:
        assert '"message":"group closed"' in entry.logged()
        assert '"message":"group open"' in entry.logged()
    # The measured outage is named by the watchers that polled.
    assert any('"outage":' in e.logged() for e in watchers(group))


def test_overdue_streams_show_a_stall_before_the_ranks_do(group: GroupFleet) -> None:
    """Ranks report that one is missing only after their own stall of 1.5 s."""
    entry = watchers(group)[0]
    for engine in group.ink:
        engine.events = 400
    conn = entry.send("/stream/1", request_id="r-long")
    first = conn.getresponse()
    assert first.status == 200
    first.read(10)
    group.stall()
    wait_for_metric(entry, CLOSED, 1)
    group.lose_rank()
    for other in group.entries:
        wait_for_metric(other, CLOSED, 1)
    conn.close()
    group.open()
    for other in group.entries:
        wait_for_metric(other, CLOSED, 0)


def test_refused_callers_come_back_to_an_open_group(group: GroupFleet) -> None:
    """Callers told too short a time return into the same outage and are lost."""
    group.lose_rank()
    entry = group.entries[0]
    callers = 6
    replies: list[Reply] = []

    def refuse(number: int) -> None:
        replies.append(group.call(entry, f"r-{number}", 8_000))

    threads = [threading.Thread(target=refuse, args=(n,)) for n in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert [reply.status for reply in replies] == [503] * callers
    returns = [float(reply.headers["Retry-After"]) for reply in replies]
    assert all(0.6 <= after <= 8 / 3 for after in returns)
    # The ranks have stalled for 1.5 s when they refuse, and the forecast is as long again.
    assert min(returns) < 2.2
    # Within the third of their time that callers honour, returns are for different places.
    assert len(set(returns)) > callers / 2
    group.open()
    time.sleep(min(returns))
    back = entry.send("/stream/1", request_id="r-back", Request_Deadline="5000")
    assert read_reply(back).status == 200
