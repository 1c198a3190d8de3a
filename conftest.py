"""Marks the tests listed in KNOWN-RED.txt as expected failures and prints the list.

Also checks after each test that no thread has closed a socket of a link that another one used.
"""

from __future__ import annotations

import os
import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest

from fakes.socket_monitor import REPORT_DIR_VARIABLE, SocketMonitor

_LIST = Path(__file__).resolve().parent / "KNOWN-RED.txt"
_monitor = SocketMonitor()


@pytest.fixture(scope="session", autouse=True)
def socket_reports() -> Iterator[Path]:
    """Monitor the sockets of links in this process and in those that tests start."""
    _monitor.install()
    with tempfile.TemporaryDirectory() as directory:
        os.environ[REPORT_DIR_VARIABLE] = directory
        yield Path(directory)
        del os.environ[REPORT_DIR_VARIABLE]


@pytest.fixture(autouse=True)
def link_sockets_have_one_owner(socket_reports: Path) -> Iterator[None]:
    """Fail a test in which a thread closed a socket that another thread used."""
    yield
    conflicts = _monitor.conflicts.copy()
    _monitor.conflicts.clear()
    for report in socket_reports.iterdir():
        conflicts += report.read_text().splitlines()
        report.unlink()
    assert not conflicts


def known_red() -> dict[str, str]:
    """Map the id of each listed test to its cause and issue."""
    lines = _LIST.read_text().splitlines() if _LIST.exists() else []
    parts = (line.split("|", 1) for line in lines if line.strip())
    return {test.strip(): rest.strip() for test, rest in parts}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark listed tests as non-strict expected failures."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests at the end of the run."""
    for test, rest in known_red().items():
        terminalreporter.write_line(f"known red: {test} | {rest}")
