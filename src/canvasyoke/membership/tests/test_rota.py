"""Who watches the store, over starts, deaths, cuts and outages."""

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
from canvasyoke.membership import Place, StoreContact, WatchRota, choose_dials
from canvasyoke.membership._places import precedence

#: Milliseconds between looks, and between words to neighbours.
LOOK = 150
TELL = 300
#: Milliseconds without a watcher after which one must have begun: silence, word that is
#: as old as its hops, and as many processes in order as may be dead or cut off from the
#: store (three here), each 700 ms after the one before.
BOUND = 2_500 + 4 * TELL + 3 * 700 + 2 * LOOK


class Domain:
    """One failure domain in simulated time: processes, links, and who reaches the store."""

    def __init__(self, size: int) -> None:
        self.clock = ManualClock(start=10_000)
        self.places = [Place(f"front-{n}", f"10.0.0.{n}:7340", "nbo-a") for n in range(size)]
        self.alive: dict[str, WatchRota] = {}
        #: Processes that the store does not answer.
        self.without_store: set[str] = set()
        #: Time for which no living process has watched the store with success.
        self.unwatched = 0
        for place in self.places:
            self.begin(place.name)

    def begin(self, name: str) -> None:
        def in_contact() -> bool:
            return name not in self.without_store

        self.alive[name] = WatchRota(name, self.clock, in_contact)
        self.alive[name].set_domain([p.name for p in self.places])

    def links(self) -> dict[str, set[str]]:
        linked: defaultdict[str, set[str]] = defaultdict(set)
        living = [p for p in self.places if p.name in self.alive]
        for place in living:
            for name in choose_dials(place, [p for p in living if p is not place]):
                linked[place.name].add(name)
                linked[name].add(place.name)
        return linked

    def pass_time(self, duration: int) -> None:
        for _ in range(duration // LOOK):
            self.clock.advance(LOOK)
            linked = self.links()
            for name, rota in self.alive.items():
                rota.decide(bool(linked[name]), is_mesh=False)
            if self.clock.now() // LOOK % (TELL // LOOK) == 0:
                self.tell(linked)
            self.unwatched = 0 if self.served() else self.unwatched + LOOK

    def tell(self, linked: dict[str, set[str]]) -> None:
        words = {name: rota.tell() for name, rota in self.alive.items()}
        for name, rota in self.alive.items():
            for other in linked[name]:
                rota.hear(words[other])

    def watchers(self) -> list[str]:
        return [name for name, rota in self.alive.items() if rota.is_watching]

    def served(self) -> list[str]:
        return [name for name in self.watchers() if name not in self.without_store]


@pytest.mark.parametrize("size", [1, 2, 5, 22, 44])
def test_two_processes_of_a_domain_watch(size: int) -> None:
    domain = Domain(size)
    domain.pass_time(10 * SECOND)
    order = sorted((p.name for p in domain.places), key=precedence)
    assert sorted(domain.watchers(), key=precedence) == order[:2]


def test_all_watch_in_a_fleet_that_is_a_mesh() -> None:
    """A silent watcher is noticed after 2.5 s; a configuration may have 2 s to be in force."""
    clock = ManualClock(start=10_000)
    rota = WatchRota("front-1", clock, lambda: True)
    rota.set_domain(["front-2", "front-3", "front-4"])
    for _ in range(40):
        rota.hear([StoreContact(f"front-{n}", 0) for n in (2, 3, 4)])
        assert rota.decide(is_linked=True, is_mesh=True)
        clock.advance(LOOK)


def test_a_start_of_all_does_not_keep_all_watching() -> None:
    """Each of them would be woken by each entry that the backends write as they start."""
    domain = Domain(22)
    domain.pass_time(4 * LOOK)
    assert len(domain.watchers()) == 2


def test_the_next_one_takes_over_and_gives_back() -> None:
    domain = Domain(22)
    domain.pass_time(5 * SECOND)
    order = sorted((p.name for p in domain.places), key=precedence)
    del domain.alive[order[0]]
    domain.pass_time(BOUND)
    assert sorted(domain.watchers(), key=precedence) == order[1:3]
    domain.begin(order[0])
    domain.pass_time(5 * SECOND)
    assert sorted(domain.watchers(), key=precedence) == order[:2]


def test_one_that_the_store_turns_away_is_relieved() -> None:
    domain = Domain(22)
    domain.pass_time(5 * SECOND)
    order = sorted((p.name for p in domain.places), key=precedence)
    domain.without_store.add(order[0])
    domain.pass_time(BOUND)
    assert sorted(domain.served(), key=precedence) == order[1:3]


def test_watchers_that_lose_the_store_say_so() -> None:
    """Both of a domain at once; their silence alone would be noticed after 2.5 s."""
    domain = Domain(22)
    domain.pass_time(5 * SECOND)
    domain.without_store.update(domain.watchers())
    domain.pass_time(5 * TELL + 700 + 2 * LOOK)
    assert domain.served()


def test_an_outage_of_the_store_brings_few_to_it() -> None:
    """All 22 of a domain, asking twice a second, would make 220 calls in five seconds."""
    domain = Domain(22)
    domain.pass_time(5 * SECOND)
    domain.without_store.update(p.name for p in domain.places)
    domain.pass_time(5 * SECOND)
    assert len(domain.watchers()) <= 8


def test_a_process_that_is_linked_with_none_watches_by_itself() -> None:
    clock = ManualClock(start=10_000)
    rota = WatchRota("front-1", clock, lambda: True)
    rota.set_domain([f"front-{n}" for n in range(20)])
    assert rota.decide(is_linked=False, is_mesh=False)
    rota.hear([StoreContact("front-7", 0), StoreContact("front-8", 0)])
    rota.decide(is_linked=True, is_mesh=False)
    clock.advance(10 * SECOND)
    rota.decide(is_linked=False, is_mesh=False)
    assert rota.decide(is_linked=False, is_mesh=False)


def test_word_from_links_may_come_at_any_moment() -> None:
    """Links have tasks of their own; a rota that broke under them would end its process."""
    clock = ManualClock(start=10_000)
    rota = WatchRota("front-1", clock, lambda: True)
    done = threading.Event()

    def hear() -> None:
        for n in range(20_000):
            rota.hear([StoreContact(f"front-{n % 500}", n % 2_000, n % 3 == 0)])
        done.set()

    before = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    task = threading.Thread(target=hear)
    try:
        task.start()
        while not done.is_set():
            rota.decide(is_linked=True, is_mesh=False)
            rota.tell()
    finally:
        sys.setswitchinterval(before)
        task.join()


class RotaMachine(RuleBasedStateMachine):
    """A domain never stays without a watcher that the store answers, if one can be had."""

    def __init__(self) -> None:
        super().__init__()
        self.domain = Domain(12)
        self.rng = random.Random(7)

    @rule(n=st.integers(0, 11))
    def kill(self, n: int) -> None:
        if len(self.domain.alive) > 9:
            self.domain.alive.pop(f"front-{n}", None)
            self.domain.unwatched = 0

    @rule(n=st.integers(0, 11))
    def start(self, n: int) -> None:
        if f"front-{n}" not in self.domain.alive:
            self.domain.begin(f"front-{n}")

    @rule(n=st.integers(0, 11))
    def lose_store(self, n: int) -> None:
        if len(self.domain.without_store) < 3 and len(self.domain.alive) > 9:
            self.domain.without_store.add(f"front-{n}")
            self.domain.unwatched = 0

    @rule()
    def regain_store(self) -> None:
        self.domain.without_store.clear()

    @rule(duration=st.integers(1, 40))
    def wait(self, duration: int) -> None:
        self.domain.pass_time(duration * LOOK)

    @invariant()
    def somebody_watches(self) -> None:
        # Six processes may be dead or without the store, three more than in the bound.
        assert self.domain.unwatched <= BOUND + 3 * 700


RotaMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=30, deadline=None)
TestRota = RotaMachine.TestCase
