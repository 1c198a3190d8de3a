"""Soak of segments that crash backends, while entries are killed, stopped and started again.

Run by hand over many seeds: ``python -m tests.segment_soak FIRST_SEED LAST_SEED``.
"""

from __future__ import annotations

import http.client
import random
import signal
import sys
import threading
import time
import zlib
from dataclasses import dataclass, field

from fakes.platform_engine import PlatformEngine, shared_segments
from tests.crash_traffic import ENTRIES, CrashTraffic
from tests.direct import DirectEntry, Reply
from tests.test_crashing_segments import (
    FIRST_SEGMENT,
    LATER_SEGMENT,
    MAX_LATE_REQUESTS,
    MIN_SAMPLE,
    MIN_SUCCESS,
    PROPAGATION_TIME,
    RECOVERY_TIME,
    TOLERATED_CRASHES,
    prompt,
    success_rate,
)

#: Segments that crash backends; the second one from the middle of the soak on.
CRASHING = ("c0ffee", "facade")
REPEATS = 24
#: Range of seconds between two changes of the fleet of entries.
CHANGE_PAUSE = (1.0, 4.0)
#: Seconds from the end of a backend's connections until its port closes.
PORT_DELAYS = (0.0, 0.0, 0.05, 0.6)
_PATHS = ("/safe/1", "/shelf-stream/stream")


@dataclass
class SoakResult:
    """What a soak has shown."""

    crashes: int
    #: Requests with each crashing segment that came later than entries must know it.
    late: dict[str, int]
    #: Part of ordinary requests that were served, before the first crash and after the last time
    #: granted for recovery.
    success_before: float
    success_after: float
    #: Traits that entries keep from backends and that crash none.
    wrong: set[str]
    changes: list[str] = field(default_factory=list)

    def violations(self) -> list[str]:
        """Return the bounds that were broken."""
        broken = [f"late requests: {self.late}"] * (max(self.late.values()) > MAX_LATE_REQUESTS)
        if self.success_after < MIN_SUCCESS * self.success_before:
            broken.append(f"served: {self.success_before:.2f} -> {self.success_after:.2f}")
        return broken + [f"wrongly quarantined: {self.wrong}"] * bool(self.wrong)


class SegmentSoak(CrashTraffic):
    """Traffic with two crashing segments, and a fleet of entries that changes."""

    def __init__(self, seed: int) -> None:
        super().__init__(lambda rng: rng.choice(PORT_DELAYS), seed)
        self._chaos = random.Random(f"chaos {seed}")
        self._segments = random.Random(f"segments {seed}")
        self._changes: list[str] = []
        self._live: list[DirectEntry] = []

    def _start(self, port: int = 0) -> PlatformEngine:
        engine = super()._start(port)
        engine.crash_segments = frozenset(CRASHING)
        engine.is_unframed = self._rng.random() < 0.3
        return engine

    def soak(self) -> SoakResult:
        """Run the traffic, and return what it showed."""
        stop = threading.Event()
        chaos = threading.Thread(target=self._change_entries, args=(stop,))
        self._live = self.add_linked(ENTRIES)
        chaos.start()
        try:
            result = self.run(REPEATS, self._live)
        finally:
            stop.set()
            chaos.join()
        crashed = {segment: self._crashed_at(segment) for segment in CRASHING}
        known = [times[:TOLERATED_CRASHES][-1] for times in crashed.values() if times]
        first, last = min(times[0] for times in crashed.values() if times), max(known)
        before = [each for each in result.answered_at if each[0] < first]
        after = [each for each in result.answered_at if each[0] > last + RECOVERY_TIME]
        return SoakResult(
            crashes=len(result.crashed_at),
            late={
                segment: sum(at > times[:TOLERATED_CRASHES][-1] + PROPAGATION_TIME for at in times)
                for segment, times in crashed.items()
                if times
            },
            success_before=success_rate(before),
            success_after=success_rate(after) if len(after) >= MIN_SAMPLE else 1.0,
            wrong=self._quarantined() - {f"segment-{each}" for each in CRASHING},
            changes=self._changes,
        )

    def call_crashing(self, entry: DirectEntry, number: int) -> None:
        segment = CRASHING[number % 2] if number >= REPEATS // 2 else CRASHING[0]
        self._try(self._live_entry(), f"crashing-{number}", [FIRST_SEGMENT, segment])

    def call_ordinary(self, entry: DirectEntry, name: str) -> Reply:
        shared = [FIRST_SEGMENT, *([LATER_SEGMENT] if self._segments.random() < 0.03 else [])]
        return self._try(self._live_entry(), name, shared)

    def _live_entry(self) -> DirectEntry:
        return self._segments.choice(self._live)

    def _try(self, entry: DirectEntry, name: str, shared: list[str]) -> Reply:
        path, own = self._segments.choice(_PATHS), f"{zlib.crc32(name.encode()):x}"
        try:
            segments = prompt(*shared, own)
            return entry.call(path, body=name.encode(), request_id=name, Prompt_Prefix=segments)
        except (OSError, http.client.HTTPException):
            return Reply(0, {}, b"", complete=False)

    def _change_entries(self, stop: threading.Event) -> None:
        """Kill or stop entries, and start others in their place before the next change."""
        while not stop.wait(self._chaos.uniform(*CHANGE_PAUSE)):
            number = self._chaos.randrange(ENTRIES)
            how = self._chaos.choice([signal.SIGKILL, signal.SIGTERM])
            self._changes.append(f"{self._live[number].name} {how.name}")
            self._live[number].signal(how)
            started = self.add_entry()
            started.wait_ready()
            self._live[number] = started

    def _crashed_at(self, segment: str) -> list[float]:
        """Return when requests with a segment reached backends, each of which it crashes."""
        return sorted(
            arrival.at
            for engine in self._engines
            for arrival in engine.arrivals
            if segment in shared_segments(arrival.headers.get("Prompt-Prefix", ""))
        )

    def _quarantined(self) -> set[str]:
        return set(self.store.get("quarantine"))


def run_soak(seed: int) -> SoakResult:
    """Run one seeded soak."""
    soak = SegmentSoak(seed)
    try:
        return soak.soak()
    finally:
        soak.close()


def main() -> int:
    """Run the soaks of a range of seeds; return 1 if any breaks a bound."""
    first, last = (int(each) for each in sys.argv[1:])
    broken = 0
    for seed in range(first, last + 1):
        began = time.monotonic()
        result = run_soak(seed)
        violations = result.violations()
        broken += bool(violations)
        print(seed, f"{time.monotonic() - began:.0f} s", violations or "held", result, flush=True)
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
