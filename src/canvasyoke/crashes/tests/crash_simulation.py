"""Simulation of backends that end, for causes within and outside of the requests they run."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeAlias

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.crashes._quarantine import Quarantine

#: Milliseconds after which a backend begins to answer a request, and after which the response has
#: been going on for some time.
_BEGIN = 500
_ESTABLISHED = 800


@dataclass
class InFlight:
    """A request at a backend."""

    name: str
    backend: int
    #: Clock times.
    sent_at: int
    done_at: int
    #: Retries that are left.
    attempts: int
    is_established: bool = False


@dataclass
class CrashingFleet:
    """Simulates backends that end for reasons unrelated to the requests they run.

    Requests take one to two seconds. One whose backend ends is retried by the entry and then by its
    caller. All entries are assumed to share one quarantine.
    """

    seed: int
    backends: int = 40
    #: Fraction of requests that are identical.
    hot_fraction: float = 0.0
    #: Whether prompts have segments: one that all share, one of 60 topics, and a session's.
    has_segments: bool = False
    #: Fraction of requests with each of some further segments.
    extra_fraction: float = 0.0
    extra_segments: tuple[str, ...] = ()
    #: Segments that crash backends.
    crashing: frozenset[str] = frozenset()
    #: Whether all backends are ranks of one group, which stands still until all are back.
    is_one_group: bool = False
    #: Number of immediate retries by a caller.
    caller_retries: int = 1
    #: Range of milliseconds after which entries learn that a backend has ended.
    evidence_delay: tuple[int, int] = (0, 0)
    clock: ManualClock = field(default_factory=lambda: ManualClock(start=100_000))

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        #: Separate, so that the same requests fail whenever that becomes known.
        self.evidence_rng = random.Random(self.seed)
        self.quarantine = Quarantine(self.clock, lambda _name, _case: None)
        self.blamed: set[str] = set()
        self.refused = 0
        self.ends = 0
        #: Clock times at which requests crashed backends.
        self.crashed_at: list[int] = []
        self.sent = 0
        self.in_flight: list[InFlight] = []
        self._segments: dict[str, list[str]] = {}
        self.starts = [0] * self.backends
        self.restart_at = [0] * self.backends
        #: Evidence that entries do not have yet: when it comes, request, run, time of the end.
        self.pending: list[tuple[int, str, str, int]] = []

    def segments_of(self, name: str) -> list[str]:
        """Return the names of the shared traits of a request."""
        if not self.has_segments:
            return []
        if name not in self._segments:
            self._segments[name] = self._choose_segments(name)
        return self._segments[name]

    def _choose_segments(self, name: str) -> list[str]:
        rng = random.Random(name)
        topic, session = rng.paretovariate(1.0), rng.randrange(400)
        shared = ["all", f"topic-{min(60, round(topic))}", f"session-{session}"]
        extra = [each for each in self.extra_segments if rng.random() < self.extra_fraction]
        return [f"segment-{each}" for each in [*shared[:1], *extra, *shared[1:]]]

    def is_crashing(self, name: str) -> bool:
        """Return whether a request has a segment that crashes its backend."""
        return not self.crashing.isdisjoint(self.segments_of(name))

    def send(self, name: str, attempts: int) -> None:
        self.quarantine.record_request(self.segments_of(name))
        if self.quarantine.find_quarantined([name, *self.segments_of(name)]):
            self.refused += 1
            return
        if self.is_one_group and max(self.restart_at) > self.clock.now():
            return
        up = [b for b in range(self.backends) if self.restart_at[b] <= self.clock.now()]
        if up:
            now = self.clock.now()
            done = now + self.rng.randint(1_000, 2_000)
            self.in_flight.append(InFlight(name, self.rng.choice(up), now, done, attempts))

    def end(self, ending: list[int]) -> None:
        """End backends at once; each restarts after three seconds."""
        broken = [req for req in self.in_flight if req.backend in ending]
        self.in_flight = [req for req in self.in_flight if req.backend not in ending]
        for backend in ending:
            self.restart_at[backend] = self.clock.now() + 3 * SECOND
            self.starts[backend] += 1
            self.ends += 1
        now = self.clock.now()
        due = {backend: now + self.evidence_rng.randint(*self.evidence_delay) for backend in ending}
        for req in broken:
            run = f"{req.backend}@{self.starts[req.backend]}"
            shared = [] if req.is_established else self.segments_of(req.name)
            for trait in [req.name, *shared]:
                self.pending.append((due[req.backend], trait, run, now))
        if self.is_one_group:
            broken, self.in_flight = [*broken, *self.in_flight], []
        self.record_evidence()
        for req in broken:
            if req.attempts:
                self.send(req.name, req.attempts - 1)

    def establish(self) -> None:
        """Record responses that have been going on for some time."""
        now = self.clock.now()
        for req in self.in_flight:
            if not req.is_established and now - req.sent_at >= _ESTABLISHED:
                req.is_established = True
                self.quarantine.record_shared_answer(self.segments_of(req.name), req.sent_at)

    def crash_backends(self) -> None:
        """End backends that begin to answer a request with a segment that crashes them."""
        begun = self.clock.now() - _BEGIN
        ending = {
            req.backend
            for req in self.in_flight
            if req.sent_at <= begun and self.is_crashing(req.name)
        }
        self.crashed_at += [self.clock.now()] * len(ending)
        if ending:
            self.end(sorted(ending))

    def record_evidence(self) -> None:
        """Record the ends of backends that entries know of by now."""
        now = self.clock.now()
        found = [each for each in self.pending if each[0] <= now]
        self.pending = [each for each in self.pending if each[0] > now]
        for _, name, run, ended_at in found:
            self.quarantine.record_end(name, run, ended_at)
            self.blamed |= self.quarantine.quarantined

    def simulate(self, seconds: int, every: int, ending: list[list[int]]) -> None:
        """Send 40 requests a second, and apply the next entry of ``ending`` every ``every`` ms."""
        for turn in range(seconds * 40):
            self.clock.advance(25)
            self.sent += 1
            is_hot = self.rng.random() < self.hot_fraction
            self.send("hot" if is_hot else f"r-{turn}", 1 + 2 * self.caller_retries)
            self.crash_backends()
            self.establish()
            now = self.clock.now()
            for req in self.in_flight:
                if req.done_at <= now:
                    self.quarantine.record_answer(req.name)
            self.in_flight = [req for req in self.in_flight if req.done_at > now]
            self.record_evidence()
            self.quarantine.refresh()
            self.blamed |= self.quarantine.quarantined
            if ending and turn * 25 % every == 0 and turn:
                self.end(ending.pop(0))


def _one_by_one(rng: random.Random) -> list[list[int]]:
    return [[rng.randrange(40)] for _ in range(30)]


def _tenth(rng: random.Random) -> list[list[int]]:
    return [rng.sample(range(40), 4) for _ in range(10)]


def _group(_rng: random.Random) -> list[list[int]]:
    return [list(range(8 * (n % 5), 8 * (n % 5) + 8)) for n in range(6)]


def _domain(_rng: random.Random) -> list[list[int]]:
    return [list(range(13 * (n % 3), 13 * (n % 3) + 13)) for n in range(4)]


#: Description, end schedule, interval in ms, fraction of hot requests, caller retries.
EXTERNAL_CAUSES = [
    ("one after the other", _one_by_one, 300, 0.0, 1),
    ("a tenth at once", _tenth, 1_000, 0.0, 1),
    ("a group at once", _group, 2_000, 0.0, 1),
    ("a domain at once", _domain, 4_000, 0.0, 1),
    ("a domain, and one request is hot", _domain, 4_000, 0.4, 1),
    ("a tenth, and one request is hot", _tenth, 1_000, 0.4, 1),
    ("a tenth, and callers repeat at once", _tenth, 1_000, 0.0, 3),
    ("a domain, one is hot, callers repeat", _domain, 4_000, 0.4, 3),
]

#: Row of ``EXTERNAL_CAUSES``.
ExternalCause: TypeAlias = tuple[str, Callable[[random.Random], list[list[int]]], int, float, int]


def simulate_cause(cause: ExternalCause, seed: int, **settings: Any) -> CrashingFleet:
    """Return a fleet after 20 seconds in which its backends ended for an external cause."""
    _, plan, every, hot_fraction, caller_retries = cause
    fleet = CrashingFleet(
        seed, hot_fraction=hot_fraction, caller_retries=caller_retries, **settings
    )
    fleet.simulate(20, every, plan(random.Random(seed)))
    assert fleet.ends
    return fleet
