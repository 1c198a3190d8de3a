"""One entry that gets nearly all new connections serves them as the entries together did.

Guards against limits that an entry keeps for callers who are at no other entry either.
"""

from __future__ import annotations

import itertools
import random
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from fakes.platform_engine import PlatformEngine
from tests.direct import DirectEntry, DirectFleet, read_reply
from tests.test_crashing_segments import success_rate

ENTRIES = 4
ENGINES = 10
#: New connections a second before and while one entry gets them.
CALM_RATE = 40
PEAK_RATE = 100
#: Part of the new connections that the one entry gets meanwhile.
CONCENTRATION = 0.95
#: Seconds of each phase, and from which on the second one counts.
CALM_TIME = 4.0
PEAK_TIME = 8.0
GRACE_TIME = 3.0
#: Least part of the requests served at their first attempt, compared with before.
MIN_RATIO = 0.75


@dataclass
class Crowd:
    """Callers who open a connection for each request and send it once."""

    entries: list[DirectEntry]
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    #: Times at which requests were sent, and whether they were served at the first attempt.
    results: list[tuple[float, bool]] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=itertools.count)

    def send(self, seconds: float, rate: int, concentration: float) -> None:
        """Send ``rate`` requests a second, whether or not earlier ones are answered."""
        began, threads = time.monotonic(), []
        for number in range(round(seconds * rate)):
            time.sleep(max(0.0, began + number / rate - time.monotonic()))
            is_moved = self.rng.random() < concentration
            entry = self.entries[0] if is_moved else self.rng.choice(self.entries)
            threads.append(threading.Thread(target=self._call, args=(entry,)))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def _call(self, entry: DirectEntry) -> None:
        at, name = time.monotonic(), f"q-{next(self.numbers)}"
        conn = entry.send("/shelf-stream/stream", body=name.encode(), request_id=name)
        try:
            reply = read_reply(conn)
            self.results.append((at, reply.status == 200 and reply.complete))
        finally:
            conn.close()


@pytest.fixture
def fleet() -> Iterator[DirectFleet]:
    fleet = DirectFleet()
    for engine in fleet.shelf:
        engine.close()
    fleet.shelf = [PlatformEngine(f"shelf-{n}", event_pause=0.1) for n in range(ENGINES)]
    fleet.populate_store()
    yield fleet
    fleet.close()


def test_requests_are_served_while_one_entry_gets_nearly_all(fleet: DirectFleet) -> None:
    entries = [fleet.add_entry() for _ in range(ENTRIES)]
    for entry in entries:
        entry.wait_ready()
    crowd = Crowd(entries)
    crowd.send(CALM_TIME, CALM_RATE, 0.0)
    before = list(crowd.results)
    began = time.monotonic()
    crowd.send(PEAK_TIME, PEAK_RATE, CONCENTRATION)
    during = [each for each in crowd.results if each[0] > began + GRACE_TIME]
    assert success_rate(during) >= MIN_RATIO * success_rate(before)
