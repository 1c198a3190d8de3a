"""A short soak of crashing segments while the fleet of entries changes.

Guards against verdicts that are lost, late or wrong when entries come and go.
"""

from __future__ import annotations

from tests.segment_soak import run_soak


def test_crashing_segments_are_quarantined_while_entries_come_and_go() -> None:
    result = run_soak(seed=1)
    assert not result.violations(), result
