"""Tests of the schedule of load updates."""

from __future__ import annotations

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.direct._load_schedule import LoadSchedule
from canvasyoke.protocol import EntryLoad

#: Name, number of entries, whether the load changes, and updates sent in 20 checks.
CASES = [
    ("few, and it changes", 6, True, 20),
    ("few, and it stays", 6, False, 4),
    ("nine tell every second time", 9, True, 10),
    ("thirty-two tell every fourth time", 32, True, 5),
    ("as many, and it stays", 32, False, 4),
]


@pytest.mark.parametrize(("entries", "changes", "expected"), [case[1:] for case in CASES])
def test_more_entries_send_less_often(entries: int, changes: bool, expected: int) -> None:
    clock = ManualClock(start=10_000)
    schedule = LoadSchedule(clock)
    sent = 0
    for tick in range(20):
        load = EntryLoad(1, {"b-1": tick if changes else 1})
        sent += schedule.is_due(load, entries)
        clock.advance(150)
    assert sent == expected


def test_load_is_due_after_reset() -> None:
    clock = ManualClock(start=10_000)
    schedule = LoadSchedule(clock)
    assert schedule.is_due(EntryLoad(1), 32)
    assert not schedule.is_due(EntryLoad(2), 32)
    schedule.reset()
    assert schedule.is_due(EntryLoad(2), 32)
