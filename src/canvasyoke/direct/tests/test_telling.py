"""How often an entry tells the others its load."""

from __future__ import annotations

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.direct._telling import Telling
from canvasyoke.protocol import EntryLoad

#: Entries that tell each other, whether the load changes, and tellings in three seconds of
#: looks every 150 ms.
CASES = [
    ("few, and it changes", 6, True, 20),
    ("few, and it stays", 6, False, 4),
    ("nine tell every second time", 9, True, 10),
    ("thirty-two tell every fourth time", 32, True, 5),
    ("as many, and it stays", 32, False, 4),
]


@pytest.mark.parametrize(("entries", "changes", "expected"), [case[1:] for case in CASES])
def test_more_entries_tell_less_often(entries: int, changes: bool, expected: int) -> None:
    clock = ManualClock(start=10_000)
    telling = Telling(clock)
    told = 0
    for look in range(20):
        load = EntryLoad(1, {"b-1": look if changes else 1})
        told += telling.is_due(load, entries)
        clock.advance(150)
    assert told == expected


def test_what_is_forgotten_is_told_at_once() -> None:
    clock = ManualClock(start=10_000)
    telling = Telling(clock)
    assert telling.is_due(EntryLoad(1), 32)
    assert not telling.is_due(EntryLoad(2), 32)
    telling.forget()
    assert telling.is_due(EntryLoad(2), 32)
