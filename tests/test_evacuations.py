"""No request reaches a failure domain after the operator's time to evacuate it.

The engines judge the rule by the times of arrival, under traffic through all entries. Without the
mechanism (``evacuate_ms`` of 0) requests go on reaching the evacuated domain, and the tests fail.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from fakes.http_base import Handler
from fakes.object_store import StoreEndpoint
from fakes.platform_engine import PlatformEngine, answer
from tests.direct import TIMEOUT_SECONDS, DirectEntry, DirectFleet, configuration, wait_until

#: Time within which requests must stop after the store has acknowledged an evacuation.
EVACUATE_SECONDS = 2.0
#: Time by which the limit grows while the store loses events, as operators allow.
SKEW_SECONDS = 6.0
#: The limit where a connection to the store is dead.
LONG_EVACUATE_SECONDS = 5.0
DOMAINS = ("nbo-a", "nbo-b", "nbo-c")
GAUGE = "canvasyoke_domains_evacuated"
#: Seconds between two requests of a caller.
REQUEST_PAUSE = 0.01
#: Requests after the limit that must not reach the domain.
REQUESTS_AFTER_LIMIT = 60


class EvacuatedFleet(DirectFleet):
    """A fleet with one engine and one entry in each domain, and callers at all entries."""

    def __init__(self) -> None:
        super().__init__()
        self.shelf.append(PlatformEngine("shelf-3"))
        self.engines = dict(zip(DOMAINS, self.shelf, strict=True))
        self.statuses: Counter[int] = Counter()
        self._stop = threading.Event()
        self._callers = ThreadPoolExecutor(len(DOMAINS) + 2)

    def populate_store(self, version: int = 3) -> None:
        """Write the configuration and one engine for each domain."""
        self.store.put("config", "main", configuration(version))
        for domain, engine in self.engines.items():
            self.store.put("servers", engine.id, engine.store_entry("shelf", zone=domain))

    def start(
        self, seconds: float = EVACUATE_SECONDS, stores: dict[str, StoreEndpoint] | None = None
    ) -> None:
        """Start one entry for each domain; ``stores`` has entries' own store endpoints."""
        self.populate_store()
        for domain in DOMAINS:
            own = (stores or {}).get(domain)
            self.add_evacuating_entry(domain, own.address if own else "", seconds)
        for entry in self.entries:
            entry.wait_ready()
            wait_until(
                lambda e=entry: e.metric("canvasyoke_peers") == len(DOMAINS) - 1,  # type: ignore[misc]
                f"{entry.name} is linked",
            )
            self.start_traffic(entry)

    def add_evacuating_entry(
        self, domain: str, store: str = "", seconds: float = EVACUATE_SECONDS
    ) -> DirectEntry:
        """Start an entry that follows evacuations."""
        return self.add_entry(store, domain=domain, evacuate_ms=round(seconds * 1_000))

    def start_traffic(self, entry: DirectEntry) -> None:
        """Send requests through an entry until the fleet is closed."""
        self._callers.submit(self._call_repeatedly, entry)

    def _call_repeatedly(self, entry: DirectEntry) -> None:
        number = 0
        while not self._stop.wait(REQUEST_PAUSE):
            number += 1
            reply = entry.call("/safe/1", method="GET", request_id=f"{entry.name}-{number}")
            self.statuses[reply.status] += 1

    def evacuate(self, domain: str) -> float:
        """Evacuate a domain; return the time of the store's acknowledgement."""
        self.store.put("evacuations", domain, {})
        return time.monotonic()

    def take_back(self, domain: str) -> None:
        """Take an evacuation back."""
        self.store.remove("evacuations", domain)

    def wait_in_force(self, count: int, entries: list[DirectEntry] | None = None) -> None:
        """Wait until entries know of ``count`` evacuated domains."""
        for entry in self.entries if entries is None else entries:
            wait_until(lambda e=entry: e.metric(GAUGE) == count, f"{entry.name} knows {count}")  # type: ignore[misc]

    def assert_evacuated(self, domain: str, acknowledged_at: float, seconds: float) -> None:
        """Judge the rule at the domain's engine, some requests after the limit."""
        limit = acknowledged_at + seconds
        wait_until(lambda: time.monotonic() > limit, "the limit has passed")
        self.wait_for_requests(REQUESTS_AFTER_LIMIT)
        late = [a.at - limit for a in self.engines[domain].arrivals if a.at > limit]
        assert not late, f"{len(late)} requests after the limit, the last by {late[-1]:.3f} s"

    def wait_for_requests(self, count: int) -> None:
        """Wait until callers have got that many more responses."""
        until = self.statuses.total() + count
        wait_until(lambda: self.statuses.total() >= until, f"{count} more responses")

    def wait_reached(self, domain: str) -> None:
        """Wait until requests reach a domain."""
        before = len(self.engines[domain].arrivals)
        wait_until(lambda: len(self.engines[domain].arrivals) > before, f"requests reach {domain}")

    def close(self) -> None:
        """Stop the callers and all processes."""
        self._stop.set()
        self._callers.shutdown()
        super().close()


@pytest.fixture
def fleet() -> Iterator[EvacuatedFleet]:
    made = EvacuatedFleet()
    yield made
    made.close()


def test_an_evacuated_domain_gets_no_requests_until_it_is_taken_back(
    fleet: EvacuatedFleet,
) -> None:
    """Callers notice nothing, and a response that the domain has begun is completed there."""
    fleet.start()
    begun, released, answered = threading.Event(), threading.Event(), threading.Event()

    def held(handler: Handler, engine: PlatformEngine) -> None:
        begun.set()
        released.wait(TIMEOUT_SECONDS)
        answer(handler, engine)
        answered.set()

    fleet.engines["nbo-b"].behaviours.append(held)
    wait_until(begun.is_set, "a request runs in the domain")
    acknowledged_at = fleet.evacuate("nbo-b")
    fleet.assert_evacuated("nbo-b", acknowledged_at, EVACUATE_SECONDS)
    assert fleet.engines["nbo-a"].arrivals[-1].at > acknowledged_at + EVACUATE_SECONDS
    released.set()
    wait_until(answered.is_set, "the domain has completed it")
    assert set(fleet.statuses) == {200}
    fleet.take_back("nbo-b")
    fleet.wait_reached("nbo-b")
    fleet.wait_in_force(0)
    for entry in fleet.entries:
        assert entry.logged().count("evacuated domains changed") == 2


def test_requests_are_refused_at_once_while_all_domains_are_evacuated(
    fleet: EvacuatedFleet,
) -> None:
    fleet.start()
    for domain in DOMAINS:
        acknowledged_at = fleet.evacuate(domain)
    fleet.wait_in_force(len(DOMAINS))
    began = time.monotonic()
    reply = fleet.entries[0].call("/save/1", request_id="refused")
    assert (reply.status, time.monotonic() - began < 0.5) == (503, True)
    assert 1.5 < float(reply.headers["Retry-After"]) < 2.0  # under a third of the remaining 6 s
    assert "evacuated" in fleet.entries[0].logged()
    assert [entry.ready_status() for entry in fleet.entries] == [200] * len(DOMAINS)
    for domain in DOMAINS:
        fleet.assert_evacuated(domain, acknowledged_at, EVACUATE_SECONDS)
    fleet.take_back("nbo-c")
    fleet.wait_reached("nbo-c")
    assert set(fleet.statuses) <= {200, 503}


def test_the_last_set_stays_in_force_while_the_store_is_down(fleet: EvacuatedFleet) -> None:
    fleet.start()
    acknowledged_at = fleet.evacuate("nbo-b")
    fleet.wait_in_force(1)
    fleet.store_endpoint.faults.status = 503
    for entry in fleet.entries:
        wait_until(lambda e=entry: e.metric("canvasyoke_store_lost") == 1, "the store is lost")  # type: ignore[misc]
    fleet.assert_evacuated("nbo-b", acknowledged_at, EVACUATE_SECONDS)
    fleet.take_back("nbo-b")
    fleet.store.compact_history()
    fleet.assert_evacuated("nbo-b", acknowledged_at, EVACUATE_SECONDS)
    fleet.store_endpoint.faults.status = 0
    fleet.wait_reached("nbo-b")
    assert set(fleet.statuses) == {200}


#: What the store does, seconds of the limit in the settings, and seconds allowed in addition.
UNSTABLE_STORES = [
    ("slow", LONG_EVACUATE_SECONDS, 0.0),
    ("connections are dead", LONG_EVACUATE_SECONDS, 0.0),
    ("history is lost", EVACUATE_SECONDS, 0.0),
    ("events are lost", EVACUATE_SECONDS, SKEW_SECONDS),
]


@pytest.mark.parametrize(
    ("what", "seconds", "skew"), UNSTABLE_STORES, ids=[case[0] for case in UNSTABLE_STORES]
)
def test_an_unstable_store_delays_an_evacuation_within_the_limit(
    fleet: EvacuatedFleet, what: str, seconds: float, skew: float
) -> None:
    fleet.start(seconds)
    watchers = len(fleet.entries)
    wait_until(lambda: fleet.store.watching["evacuations"] == watchers, "all entries watch")
    match what:
        case "slow":
            fleet.store_endpoint.faults.delay = 0.8
        case "connections are dead":
            fleet.store_endpoint.silence_connections()
        case _:
            fleet.store.suppress_watch_events()
    acknowledged_at = fleet.evacuate("nbo-b")
    if what == "history is lost":
        fleet.store.resume_watch_events()
    fleet.assert_evacuated("nbo-b", acknowledged_at, seconds + skew)
    assert set(fleet.statuses) == {200}


def test_a_store_restored_from_an_older_copy_replaces_the_set(fleet: EvacuatedFleet) -> None:
    """The set of the copy has a lower revision, but a higher era."""
    fleet.start()
    fleet.evacuate("nbo-b")
    snapshot = fleet.store.snapshot()
    fleet.take_back("nbo-b")
    fleet.evacuate("nbo-c")
    for number in range(30):  # raise the revision well above the snapshot's
        fleet.store.put("others", f"o-{number}", number)
    acknowledged_at = fleet.evacuate("nbo-a")
    fleet.wait_in_force(2)
    fleet.store.restore(snapshot)
    restored_at = time.monotonic()
    fleet.wait_in_force(1)
    fleet.assert_evacuated("nbo-b", restored_at, EVACUATE_SECONDS)
    fleet.wait_reached("nbo-a")
    acknowledged_at = fleet.evacuate("nbo-a")
    fleet.assert_evacuated("nbo-a", acknowledged_at, EVACUATE_SECONDS)
    assert set(fleet.statuses) == {200}


def test_an_entry_without_the_store_learns_an_evacuation_over_its_links(
    fleet: EvacuatedFleet,
) -> None:
    rejecting = fleet.add_store_endpoint()
    fleet.start(stores={"nbo-c": rejecting})
    rejecting.faults.status = 503
    cut_off = fleet.entries[2]
    lost = '"message":"lost the store","what":"evacuations"'
    wait_until(lambda: lost in cut_off.logged(), "it has lost the store")
    acknowledged_at = fleet.evacuate("nbo-b")
    fleet.assert_evacuated("nbo-b", acknowledged_at, EVACUATE_SECONDS)
    changes = [line for line in cut_off.logged().splitlines() if "evacuated domains" in line]
    assert len(changes) == 1
    assert '"source":"peer entry-' in changes[0]
    fleet.take_back("nbo-b")
    fleet.wait_in_force(0)


#: Kinds that the store rejects for the new entry; without them it is linked, and learns from peers.
REJECTED_KINDS = [
    ("evacuations alone", frozenset({"evacuations"})),
    ("all that callers need", frozenset({"evacuations", "config", "servers"})),
]


@pytest.mark.parametrize(
    "kinds", [case[1] for case in REJECTED_KINDS], ids=[case[0] for case in REJECTED_KINDS]
)
def test_a_new_entry_learns_the_set_before_it_accepts_callers(
    fleet: EvacuatedFleet, kinds: frozenset[str]
) -> None:
    """Not one of its requests reaches the evacuated domain."""
    fleet.start(LONG_EVACUATE_SECONDS)
    fleet.evacuate("nbo-b")
    fleet.wait_in_force(1)
    fleet.wait_for_requests(30)
    rejecting = fleet.add_store_endpoint()
    rejecting.faults.rejected_kinds = kinds
    reached = len(fleet.engines["nbo-b"].arrivals)
    new = fleet.add_evacuating_entry("nbo-b", rejecting.address, LONG_EVACUATE_SECONDS)
    wait_until(lambda: new.ready_status() == 503, "it has started")
    fleet.start_traffic(new)  # callers that do not wait for readiness
    new.wait_ready()
    fleet.wait_for_requests(REQUESTS_AFTER_LIMIT)
    assert new.metric(GAUGE) == 1
    assert len(fleet.engines["nbo-b"].arrivals) == reached


def test_an_entry_that_starts_while_the_store_is_down_knows_the_set_when_it_serves(
    fleet: EvacuatedFleet,
) -> None:
    fleet.start(LONG_EVACUATE_SECONDS)
    fleet.evacuate("nbo-b")
    fleet.wait_in_force(1)
    fleet.wait_for_requests(30)
    fleet.store_endpoint.faults.status = 503
    reached = len(fleet.engines["nbo-b"].arrivals)
    new = fleet.add_evacuating_entry("nbo-b", seconds=LONG_EVACUATE_SECONDS)
    wait_until(lambda: "lost the store" in new.logged(), "it has noticed")
    fleet.start_traffic(new)
    fleet.wait_for_requests(REQUESTS_AFTER_LIMIT)
    fleet.store_endpoint.faults.status = 0
    new.wait_ready()
    wait_until(lambda: new.metric(GAUGE) == 1, "it knows the set")
    fleet.wait_for_requests(REQUESTS_AFTER_LIMIT)
    assert len(fleet.engines["nbo-b"].arrivals) == reached


def test_calls_to_the_store_are_few_and_none_without_the_setting(fleet: EvacuatedFleet) -> None:
    """At most one list at the start and three calls in two watches; each call is priced."""
    fleet.populate_store()
    other = fleet.add_store_endpoint()
    without = fleet.add_entry(other.address, domain="nbo-b")
    entry = fleet.add_evacuating_entry("nbo-a", seconds=EVACUATE_SECONDS)
    for each in (entry, without):
        each.wait_ready()
    calls = fleet.store_endpoint.calls_by_kind
    wait_until(lambda: calls["evacuations"] >= 1, "it lists the evacuations")
    before, began = calls["evacuations"], time.monotonic()
    wait_until(lambda: calls["evacuations"] >= before + 9, "three rounds of calls")
    # Two watches of 0.6 of the limit and a list take 2.4 s.
    assert time.monotonic() - began > 2.4 * 9 / 3 - 1.3
    assert other.calls_by_kind["evacuations"] == 0
    fleet.evacuate("nbo-b")
    fleet.wait_in_force(1, [entry])
