"""A segment of prompts that crashes backends is quarantined, whatever else its requests hold.

Guards against counting crashes by whole requests, so that requests with a common segment never
add up.
"""

from __future__ import annotations

import time

from fakes import platform_engine
from fakes.platform_engine import PlatformEngine, shared_segments
from tests.crash_traffic import CrashTraffic
from tests.direct import TIMEOUT_SECONDS, DirectEntry, Reply, read_reply, wait_until

SEED = 1
REPEATS = 14
CRASHING_SEGMENT = "c0ffee"
FIRST_SEGMENT = "f1"
LATER_SEGMENT = "1a"
#: Crashes after which all entries must know the segment, seconds until they do, and requests with
#: it that may reach backends afterwards.
TOLERATED_CRASHES = 5
PROPAGATION_TIME = 3.0
MAX_LATE_REQUESTS = 3
#: Seconds after those crashes from which on ordinary requests must be served again, and the least
#: fraction of their success before.
RECOVERY_TIME = 2 * PROPAGATION_TIME
MIN_SUCCESS = 0.5
#: Seconds between crashes that are not taken for simultaneous ones.
MOMENT = 0.2
#: Least number of ordinary requests that a comparison takes.
MIN_SAMPLE = 20


def prompt(*segments: str) -> str:
    return ",".join(f"{segment}:100" for segment in segments)


class SegmentTraffic(CrashTraffic):
    """Requests with a crashing segment, among ordinary ones that share their other segments."""

    def __init__(self, path: str, is_unframed: bool, port_close_delay: float) -> None:
        self._path = path
        self._is_unframed = is_unframed
        super().__init__(lambda _rng: port_close_delay, SEED)

    def _start(self, port: int = 0) -> PlatformEngine:
        engine = super()._start(port)
        engine.crash_segments = frozenset({CRASHING_SEGMENT})
        engine.is_unframed = self._is_unframed
        return engine

    def call_crashing(self, entry: DirectEntry, number: int) -> None:
        segments = [FIRST_SEGMENT, CRASHING_SEGMENT, LATER_SEGMENT, f"dead{number:x}"]
        self._send(entry, f"crashing-{number}", segments)

    def call_ordinary(self, entry: DirectEntry, name: str) -> Reply:
        number = int(name.rsplit("-", 1)[1])
        return self._send(entry, name, [FIRST_SEGMENT, LATER_SEGMENT, f"beef{number:x}"])

    def warm_up(self, entries: list[DirectEntry]) -> None:
        """Have ordinary requests answered at each entry."""
        for number in range(MIN_SAMPLE):
            self.call_ordinary(entries[number % len(entries)], f"ordinary-{number}")

    def crash_backends(self, entry: DirectEntry) -> None:
        """Send crashing requests in different moments."""
        for number in range(TOLERATED_CRASHES):
            self.call_crashing(entry, number)
            time.sleep(MOMENT)

    def _send(self, entry: DirectEntry, name: str, segments: list[str]) -> Reply:
        return entry.call(
            self._path, body=name.encode(), request_id=name, Prompt_Prefix=prompt(*segments)
        )

    def arrivals_with_segment(self) -> list[float]:
        """Return when requests with the crashing segment reached backends, in order."""
        return sorted(
            arrival.at
            for engine in self._engines
            for arrival in engine.arrivals
            if CRASHING_SEGMENT in shared_segments(arrival.headers.get("Prompt-Prefix", ""))
        )


def success_rate(answers: list[tuple[float, bool]]) -> float:
    assert len(answers) >= MIN_SAMPLE
    return sum(ok for _, ok in answers) / len(answers)


def check_crash_limit(path: str, is_unframed: bool = False, port_close_delay: float = 0.0) -> None:
    """Repeat requests with a crashing segment; check who reaches backends and who is served."""
    traffic = SegmentTraffic(path, is_unframed, port_close_delay)
    try:
        result = traffic.run(REPEATS)
        crashed_at = sorted(result.crashed_at)
        known_at = crashed_at[min(TOLERATED_CRASHES, len(crashed_at)) - 1]
        late = [at for at in traffic.arrivals_with_segment() if at > known_at + PROPAGATION_TIME]
        assert len(late) <= MAX_LATE_REQUESTS, (len(late), len(crashed_at))
        before = [each for each in result.answered_at if each[0] < crashed_at[0]]
        after = [each for each in result.answered_at if each[0] > known_at + RECOVERY_TIME]
        assert success_rate(after) >= MIN_SUCCESS * success_rate(before)
    finally:
        traffic.close()


def test_a_crashing_segment_reaches_few_backends() -> None:
    check_crash_limit("/safe/1")


def test_a_crashing_segment_reaches_few_backends_whose_ports_close_late() -> None:
    check_crash_limit("/safe/1", port_close_delay=0.6)


def test_a_crash_during_an_answer_without_length_or_chunks_counts() -> None:
    check_crash_limit("/safe/1", is_unframed=True)


def test_a_segment_that_crashes_during_streams_reaches_few_backends() -> None:
    check_crash_limit("/shelf-stream/stream")


def test_a_crash_during_a_stream_without_length_or_chunks_counts() -> None:
    check_crash_limit("/shelf-stream/stream", is_unframed=True)


def test_requests_in_queues_are_withdrawn_when_their_segment_is_quarantined() -> None:
    """A backend that begins such a request later would crash too."""
    traffic = SegmentTraffic("/safe/1", is_unframed=False, port_close_delay=0.0)
    try:
        entries = traffic.add_linked(2)
        traffic.warm_up(entries)
        held = PlatformEngine("held-1")
        held.behaviours.append(platform_engine.silent)
        traffic.shelf.append(held)
        traffic.store.put("servers", held.id, held.store_entry("held"))
        wait_until(lambda: f'"{held.id}"' in entries[0].logged(), "the entry knows the backend")
        queued = entries[0].send(
            "/held/1",
            body=b"queued",
            request_id="queued",
            Prompt_Prefix=prompt(CRASHING_SEGMENT, "1"),
        )
        assert held.arrived.wait(TIMEOUT_SECONDS)
        traffic.crash_backends(entries[1])
        assert read_reply(queued).status == 502
        assert held.cancelled.wait(TIMEOUT_SECONDS)
    finally:
        traffic.close()


def test_a_restarted_entry_knows_the_quarantine_before_it_admits_requests() -> None:
    traffic = SegmentTraffic("/safe/1", is_unframed=False, port_close_delay=0.0)
    try:
        (entry,) = traffic.add_linked(1)
        traffic.warm_up([entry])
        traffic.crash_backends(entry)
        wait_until(lambda: traffic.store.get("quarantine"), "it stands in the store")
        entry.process.kill()
        entry.process.wait()
        again = traffic.add_entry()
        again.wait_ready()
        arrivals = len(traffic.arrivals_with_segment())
        again.call(
            "/safe/1", body=b"late", request_id="late", Prompt_Prefix=prompt(CRASHING_SEGMENT, "2")
        )
        assert len(traffic.arrivals_with_segment()) == arrivals
    finally:
        traffic.close()
