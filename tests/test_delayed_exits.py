"""A crash counts against a request even if the backend's port closes after its connections.

Guards against attributing no crash when the port still listens shortly after the break.
"""

from __future__ import annotations

from fakes.platform_engine import PlatformEngine
from tests.direct import wait_until
from tests.test_crashing_requests import (
    CRASHING_BODY,
    MAX_CRASHES_AFTER_QUARANTINE,
    MAX_CRASHES_BEFORE_QUARANTINE,
    REPEATS,
    CrashingFleet,
)


class DelayedExitFleet(CrashingFleet):
    """Backends whose ports close some time after their connections."""

    def __init__(self, port_close_delay: float) -> None:
        self._port_close_delay = port_close_delay
        super().__init__()

    def _start(self, port: int = 0) -> PlatformEngine:
        engine = super()._start(port)
        engine.port_close_delay = self._port_close_delay
        return engine

    def wait_exited(self) -> None:
        """Wait until all crashed backends have closed their ports."""
        for engine in self.shelf:
            if engine.crashed.is_set():
                wait_until(engine.exited.is_set, f"{engine.id} has ended")


def check_crash_limit(port_close_delay: float) -> None:
    """Repeat a crashing request and check the number of crashed backends."""
    fleet = DelayedExitFleet(port_close_delay)
    try:
        entries = fleet.add_linked(3)
        for number in range(REPEATS):
            entry = entries[number % len(entries)]
            entry.call("/safe/1", body=CRASHING_BODY, request_id=f"deadly-{number}")
            fleet.wait_exited()
            fleet.restart_crashed()
        assert fleet.crashes <= MAX_CRASHES_BEFORE_QUARANTINE + MAX_CRASHES_AFTER_QUARANTINE
        for entry in entries:
            assert entry.call("/safe/1", body=b"another", request_id="sound").status == 200
    finally:
        fleet.close()


def test_an_exit_delayed_by_20_ms_counts() -> None:
    check_crash_limit(0.02)


def test_an_exit_delayed_by_200_ms_counts() -> None:
    check_crash_limit(0.2)


def test_an_exit_delayed_by_1_s_counts() -> None:
    check_crash_limit(1.0)
