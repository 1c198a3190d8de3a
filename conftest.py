"""Passes over the tests that KNOWN-RED.txt lists, and prints them."""

from __future__ import annotations

from pathlib import Path

import pytest

_LIST = Path(__file__).resolve().parent / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Return the cause and issue of each test listed, by the test's id."""
    lines = _LIST.read_text().splitlines() if _LIST.exists() else []
    parts = (line.split("|", 1) for line in lines if line.strip())
    return {test.strip(): rest.strip() for test, rest in parts}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let a listed test fail without failing the run; it still runs."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list, so that nobody takes the run for one without it."""
    for test, rest in known_red().items():
        terminalreporter.write_line(f"known red: {test} | {rest}")
