"""Tests of the watcher election over starts, failures, partitions and store outages."""

from __future__ import annotations

import random
import sys
import threading
from collections import defaultdict

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.membership import Node, WatcherElection, WatcherStatus, choose_peers
from canvasyoke.membership._nodes import hash_order

#: Milliseconds between decisions, and between reports to neighbours.
DECIDE_INTERVAL = 150
REPORT_INTERVAL = 300
#: Longest time in milliseconds without a connected watcher: the watcher timeout, the relay of
#: reports, and a start stagger of 700 ms for each of three failed or disconnected processes.
BOUND = 2_500 + 4 * REPORT_INTERVAL + 3 * 700 + 2 * DECIDE_INTERVAL


class Domain:
    """Simulates the processes, links and store connectivity of one failure domain."""

    def __init__(self, size: int) -> None:
        self.clock = ManualClock(start=10_000)
        self.nodes = [Node(f"front-{n}", f"10.0.0.{n}:7340", "nbo-a") for n in range(size)]
        self.alive: dict[str, WatcherElection] = {}
        #: Processes that cannot reach the store.
        self.disconnected: set[str] = set()
        #: Milliseconds for which no process has watched while connected to the store.
        self.unwatched_for = 0
        for node in self.nodes:
            self.start_process(node.name)

    def start_process(self, name: str) -> None:
        def is_store_reachable() -> bool:
            return name not in self.disconnected

        self.alive[name] = WatcherElection(name, self.clock, is_store_reachable)
        self.alive[name].set_domain([p.name for p in self.nodes])

    def links(self) -> dict[str, set[str]]:
        neighbors: defaultdict[str, set[str]] = defaultdict(set)
        living = [p for p in self.nodes if p.name in self.alive]
        for node in living:
            for name in choose_peers(node, [p for p in living if p is not node]):
                neighbors[node.name].add(name)
                neighbors[name].add(node.name)
        return neighbors

    def advance(self, duration: int) -> None:
        for _ in range(duration // DECIDE_INTERVAL):
            self.clock.advance(DECIDE_INTERVAL)
            neighbors = self.links()
            for name, election in self.alive.items():
                election.decide(bool(neighbors[name]), is_mesh=False)
            if self.clock.now() // DECIDE_INTERVAL % (REPORT_INTERVAL // DECIDE_INTERVAL) == 0:
                self.exchange_reports(neighbors)
            self.unwatched_for = (
                0 if self.connected_watchers() else self.unwatched_for + DECIDE_INTERVAL
            )

    def exchange_reports(self, neighbors: dict[str, set[str]]) -> None:
        statuses_by_name = {name: election.statuses() for name, election in self.alive.items()}
        for name, election in self.alive.items():
            for other in neighbors[name]:
                election.receive(statuses_by_name[other])

    def watchers(self) -> list[str]:
        return [name for name, election in self.alive.items() if election.is_watching]

    def connected_watchers(self) -> list[str]:
        return [name for name in self.watchers() if name not in self.disconnected]


@pytest.mark.parametrize("size", [1, 2, 5, 22, 44])
def test_two_processes_of_a_domain_watch(size: int) -> None:
    domain = Domain(size)
    domain.advance(10 * SECOND)
    order = sorted((p.name for p in domain.nodes), key=hash_order)
    assert sorted(domain.watchers(), key=hash_order) == order[:2]


def test_all_processes_of_a_mesh_watch() -> None:
    """Detecting a failed watcher takes 2.5 s, longer than a configuration may take."""
    clock = ManualClock(start=10_000)
    election = WatcherElection("front-1", clock, lambda: True)
    election.set_domain(["front-2", "front-3", "front-4"])
    for _ in range(40):
        election.receive([WatcherStatus(f"front-{n}", 0) for n in (2, 3, 4)])
        assert election.decide(is_linked=True, is_mesh=True)
        clock.advance(DECIDE_INTERVAL)


def test_simultaneous_start_leaves_two_watchers() -> None:
    """Additional watchers would all be woken by every backend that registers."""
    domain = Domain(22)
    domain.advance(4 * DECIDE_INTERVAL)
    assert len(domain.watchers()) == 2


def test_next_process_replaces_failed_watcher_until_it_restarts() -> None:
    domain = Domain(22)
    domain.advance(5 * SECOND)
    order = sorted((p.name for p in domain.nodes), key=hash_order)
    del domain.alive[order[0]]
    domain.advance(BOUND)
    assert sorted(domain.watchers(), key=hash_order) == order[1:3]
    domain.start_process(order[0])
    domain.advance(5 * SECOND)
    assert sorted(domain.watchers(), key=hash_order) == order[:2]


def test_disconnected_watcher_is_replaced() -> None:
    domain = Domain(22)
    domain.advance(5 * SECOND)
    order = sorted((p.name for p in domain.nodes), key=hash_order)
    domain.disconnected.add(order[0])
    domain.advance(BOUND)
    assert sorted(domain.connected_watchers(), key=hash_order) == order[1:3]


def test_watchers_report_that_they_lost_the_store() -> None:
    """Replacement must not wait for the timeout of 2.5 s, even if both lose the store."""
    domain = Domain(22)
    domain.advance(5 * SECOND)
    domain.disconnected.update(domain.watchers())
    domain.advance(5 * REPORT_INTERVAL + 700 + 2 * DECIDE_INTERVAL)
    assert domain.connected_watchers()


def test_store_outage_starts_few_watchers() -> None:
    """Not every process of the domain may call a store that does not answer."""
    domain = Domain(22)
    domain.advance(5 * SECOND)
    domain.disconnected.update(p.name for p in domain.nodes)
    domain.advance(5 * SECOND)
    assert len(domain.watchers()) <= 8


def test_unlinked_process_watches() -> None:
    clock = ManualClock(start=10_000)
    election = WatcherElection("front-1", clock, lambda: True)
    election.set_domain([f"front-{n}" for n in range(20)])
    assert election.decide(is_linked=False, is_mesh=False)
    election.receive([WatcherStatus("front-7", 0), WatcherStatus("front-8", 0)])
    election.decide(is_linked=True, is_mesh=False)
    clock.advance(10 * SECOND)
    election.decide(is_linked=False, is_mesh=False)
    assert election.decide(is_linked=False, is_mesh=False)


def test_reports_may_arrive_concurrently() -> None:
    """Links call ``receive`` from their own threads; a data race would end the process."""
    clock = ManualClock(start=10_000)
    election = WatcherElection("front-1", clock, lambda: True)
    done = threading.Event()

    def receive() -> None:
        for n in range(20_000):
            election.receive([WatcherStatus(f"front-{n % 500}", n % 2_000, n % 3 == 0)])
        done.set()

    previous_interval = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    task = threading.Thread(target=receive)
    try:
        task.start()
        while not done.is_set():
            election.decide(is_linked=True, is_mesh=False)
            election.statuses()
    finally:
        sys.setswitchinterval(previous_interval)
        task.join()


class WatcherElectionMachine(RuleBasedStateMachine):
    """Checks that a domain with connected processes is never unwatched for long."""

    def __init__(self) -> None:
        super().__init__()
        self.domain = Domain(12)
        self.rng = random.Random(7)

    @rule(n=st.integers(0, 11))
    def kill(self, n: int) -> None:
        if len(self.domain.alive) > 9:
            self.domain.alive.pop(f"front-{n}", None)
            self.domain.unwatched_for = 0

    @rule(n=st.integers(0, 11))
    def start(self, n: int) -> None:
        if f"front-{n}" not in self.domain.alive:
            self.domain.start_process(f"front-{n}")

    @rule(n=st.integers(0, 11))
    def lose_store(self, n: int) -> None:
        if len(self.domain.disconnected) < 3 and len(self.domain.alive) > 9:
            self.domain.disconnected.add(f"front-{n}")
            self.domain.unwatched_for = 0

    @rule()
    def regain_store(self) -> None:
        self.domain.disconnected.clear()

    @rule(duration=st.integers(1, 40))
    def wait(self, duration: int) -> None:
        self.domain.advance(duration * DECIDE_INTERVAL)

    @invariant()
    def domain_is_watched(self) -> None:
        # Six processes may have failed or lost the store, three more than BOUND allows for.
        assert self.domain.unwatched_for <= BOUND + 3 * 700


WatcherElectionMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=30, deadline=None
)
TestWatcherElection = WatcherElectionMachine.TestCase
