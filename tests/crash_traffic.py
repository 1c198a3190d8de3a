"""A crashing request that is repeated among ordinary traffic, for tests and measurements."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from fakes import platform_engine
from fakes.http_base import Handler
from fakes.platform_engine import PlatformEngine
from tests.direct import DirectEntry, Reply, wait_until
from tests.test_crashing_requests import CRASHING_BODY, CrashingFleet

ENTRIES = 3
ENGINES = 8
_CALLERS = 8
#: Seconds between two ordinary requests of a caller, and that an engine takes for one.
_CALLER_PAUSE = 0.04
_SERVICE_TIME = 0.03
#: Ordinary requests that are answered before the first crashing one.
_WARM_UP = 40
#: Seconds between two repetitions of the crashing request.
_REPEAT_INTERVAL = 1.0
#: Seconds from the exit of an engine until the next one is started at its address.
_RESTART_DELAY = 0.5
#: Seconds after the third crash within which all entries must know the crashing request.
PROPAGATION_TIME = 3.0
_QUARANTINE_THRESHOLD = 3


@dataclass
class TrafficResult:
    """What the engines and the callers of ordinary requests saw."""

    #: Times at which engines crashed, in seconds.
    crashed_at: list[float] = field(default_factory=list)
    #: Number of ordinary requests.
    sent: int = 0
    #: Statuses of ordinary requests that failed.
    failures: list[int] = field(default_factory=list)
    #: Times at which ordinary requests were answered, and whether with success.
    answered_at: list[tuple[float, bool]] = field(default_factory=list)

    @property
    def late_crashes(self) -> int:
        """Return the crashes later than the propagation time after the third one."""
        if len(self.crashed_at) < _QUARANTINE_THRESHOLD:
            return 0
        limit = sorted(self.crashed_at)[_QUARANTINE_THRESHOLD - 1] + PROPAGATION_TIME
        return sum(1 for at in self.crashed_at if at > limit)


class CrashTraffic(CrashingFleet):
    """Sends ordinary requests and a crashing one, and restarts the engines that crash."""

    def __init__(self, choose_delay: Callable[[random.Random], float], seed: int) -> None:
        #: Returns the seconds from the end of an engine's connections until its port closes.
        self._choose_delay = choose_delay
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._result = TrafficResult()
        self._engines: list[PlatformEngine] = []
        super().__init__()
        self.shelf += [self._start() for _ in range(ENGINES - len(self.shelf))]
        self.populate_store()

    def _start(self, port: int = 0) -> PlatformEngine:
        engine = super()._start(port)
        engine.port_close_delay = self._choose_delay(self._rng)
        engine.behaviours.extend([_answer_slowly] * 10_000)
        self._engines.append(engine)
        return engine

    def run(self, repeats: int, entries: list[DirectEntry] | None = None) -> TrafficResult:
        """Send the crashing request ``repeats`` times, with ordinary traffic before and after.

        ``entries`` is the fleet; by default, entries are started.
        """
        entries = entries or self.add_linked(ENTRIES)
        threads = [
            threading.Thread(target=self._call, args=(entries, number))
            for number in range(_CALLERS)
        ]
        threads += [threading.Thread(target=self._watch, args=(n,)) for n in range(ENGINES)]
        for thread in threads:
            thread.start()
        wait_until(lambda: self._result.sent >= _WARM_UP, "ordinary requests are answered")
        for number in range(repeats):
            entry = entries[number % ENTRIES]
            self.call_crashing(entry, number)
            time.sleep(_REPEAT_INTERVAL)
        self._stop.set()
        for thread in threads:
            thread.join()
        return self._result

    def call_crashing(self, entry: DirectEntry, number: int) -> None:
        """Send one crashing request."""
        entry.call("/safe/1", body=CRASHING_BODY, request_id=f"crashing-{number}")

    def call_ordinary(self, entry: DirectEntry, name: str) -> Reply:
        """Send one ordinary request."""
        return entry.call("/safe/1", body=name.encode(), request_id=name)

    def _call(self, entries: list[DirectEntry], caller: int) -> None:
        rng = random.Random(caller)
        number = 0
        while not self._stop.wait(_CALLER_PAUSE):
            number += 1
            name = f"ordinary-{caller}-{number}"
            reply = self.call_ordinary(rng.choice(entries), name)
            with self._lock:
                self._result.sent += 1
                self._result.answered_at.append((time.monotonic(), reply.status == 200))
                if reply.status != 200:
                    self._result.failures.append(reply.status)

    def _watch(self, number: int) -> None:
        """Record the crashes of one engine, and start the next one at its address."""
        while not self._stop.is_set():
            engine = self.shelf[number]
            if not engine.crashed.wait(0.05):
                continue
            with self._lock:
                self._result.crashed_at.append(time.monotonic())
            engine.exited.wait()
            time.sleep(_RESTART_DELAY)
            with self._lock:
                started = self._start(int(engine.address.rsplit(":", 1)[1]))
            self.shelf[number] = started
            self.store.remove("servers", engine.id)
            self.store.put("servers", started.id, started.store_entry("shelf"))


def _answer_slowly(handler: Handler, engine: PlatformEngine) -> None:
    time.sleep(_SERVICE_TIME)
    if not engine.crashed.is_set():
        platform_engine.answer(handler, engine)
