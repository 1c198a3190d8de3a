"""A request that ends backends is kept from them also where the end shows a moment later.

What callers would see: backend after backend ends under one request, and requests beside it
break off, as if nothing were known of it.

Why: whether a backend has ended is asked once, within 30 ms of the break. Where the port is
there for a moment longer than the connections (a front that outlives its worker, a supervisor,
a slow exit) the answer is that it listens, and nothing is held against the request. The line
that shows it, each time: `exchange broke fingerprint=... fate=listens`.

Figures: ten times the same request at three entries ended 19, 19 and 20 backends with a port
that is there for 20, 200 and 1,000 ms longer; six are what an operator grants.
"""

from __future__ import annotations

from fakes.platform_engine import PlatformEngine
from tests.direct import wait_until
from tests.test_crashing_requests import (
    DEADLY,
    ENDED_UNKNOWN,
    GRANTED_AFTER,
    TIMES,
    DeadlyFleet,
)


class LateFleet(DeadlyFleet):
    """Backends whose ports are there for a moment longer than their connections."""

    def __init__(self, port_outlives: float) -> None:
        self._port_outlives = port_outlives
        super().__init__()

    def _start(self, port: int = 0) -> PlatformEngine:
        engine = super()._start(port)
        engine.port_outlives = self._port_outlives
        return engine

    def wait_ended(self) -> None:
        """Wait until all whose connections have ended are gone."""
        for engine in self.shelf:
            if engine.broke.is_set():
                wait_until(engine.ended.is_set, f"{engine.id} has ended")


def send_all_along(port_outlives: float) -> None:
    """Send one request again and again, and count the backends that end."""
    fleet = LateFleet(port_outlives)
    try:
        entries = fleet.add_linked(3)
        for number in range(TIMES):
            entry = entries[number % len(entries)]
            entry.call("/safe/1", body=DEADLY, request_id=f"deadly-{number}")
            fleet.wait_ended()
            fleet.replace_ended()
        assert fleet.ended <= ENDED_UNKNOWN + GRANTED_AFTER
        for entry in entries:
            assert entry.call("/safe/1", body=b"another", request_id="sound").status == 200
    finally:
        fleet.close()


def test_an_end_that_shows_20_ms_late_counts() -> None:
    send_all_along(0.02)


def test_an_end_that_shows_200_ms_late_counts() -> None:
    send_all_along(0.2)


def test_an_end_that_shows_a_second_late_counts() -> None:
    send_all_along(1.0)
