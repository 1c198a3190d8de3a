"""Tests of what a fleet of entries knows after the store was restored."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from canvasyoke.direct import _peers
from canvasyoke.direct.tests.fleet_model import SETTLE_STEPS, SimLinks
from canvasyoke.direct.tests.restored_fleet import RESTORE_STEPS, RestoredFleet, Snapshot
from canvasyoke.state import EndpointState

SIZES = (4, 3, 3)
READY, LEAVING = EndpointState.READY, EndpointState.LEAVING


@pytest.fixture(autouse=True)
def simulated_links(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr(_peers, "OverlayLinks", SimLinks)
    yield


def started() -> RestoredFleet:
    """Return a fleet in which all entries know four backends."""
    fleet = RestoredFleet(SIZES)
    for n in range(4):
        fleet.change(f"b-{n}", READY)
    for name in fleet.entries:
        fleet.list_store(name)
    fleet.run_steps(SETTLE_STEPS)
    assert not fleet.wrong_views()
    return fleet


def test_entries_never_trust_an_outdated_copy() -> None:
    """Checks after each step, with a leaving, an ended and a new backend since the snapshot."""
    fleet = started()
    snapshot = fleet.snapshot()
    for _ in range(40):
        fleet.change("b-0", READY, is_restart=True)
    fleet.change("b-1", LEAVING)
    fleet.change("b-2", None)
    fleet.change("b-4", READY)
    fleet.apply_watch_events_at_watchers()
    fleet.run_steps(SETTLE_STEPS)
    assert not fleet.wrong_views()
    fleet.restore(snapshot)
    for step in range(RESTORE_STEPS):
        fleet.run_steps(1)
        for name, known in fleet.wrong_views().items():
            assert known.get("b-1") == "LEAVING", (step, name)
            assert "b-2" not in known, (step, name)
            assert "b-4" in known, (step, name)
    assert not fleet.wrong_views()


def test_changes_after_a_restore_are_applied() -> None:
    """State from before the restore must not persist once the restore has settled."""
    fleet = started()
    snapshot = fleet.snapshot()
    fleet.change("b-4", READY)
    fleet.change("b-1", LEAVING)
    fleet.apply_watch_events_at_watchers()
    fleet.run_steps(SETTLE_STEPS)
    fleet.restore(snapshot)
    fleet.change("b-4", None)
    fleet.change("b-1", READY, is_restart=True)
    fleet.apply_watch_events_at_watchers()
    fleet.run_steps(RESTORE_STEPS)
    assert not fleet.wrong_views()


def test_restore_takes_few_messages() -> None:
    """Only the backends that differ from the snapshot are announced, 5 of 200.

    Each one is announced after the restore and after the rewrite, at most once per link and
    direction; in addition each entry requests one list.
    """
    fleet = RestoredFleet((4, 4, 4))
    entries = len(fleet.entries)
    for n in range(200):
        fleet.change(f"b-{n}", READY)
    for name in fleet.entries:
        fleet.list_store(name)
    fleet.run_steps(SETTLE_STEPS)
    snapshot = fleet.snapshot()
    for n in range(5):
        fleet.change(f"b-{n}", LEAVING)
    fleet.apply_watch_events_at_watchers()
    fleet.run_steps(SETTLE_STEPS)
    fleet.delivered = 0
    fleet.run_steps(RESTORE_STEPS)
    calm = fleet.delivered
    fleet.restore(snapshot)
    fleet.delivered = 0
    fleet.run_steps(RESTORE_STEPS)
    assert not fleet.wrong_views()
    assert fleet.delivered <= calm + 2 * 5 * entries * (entries - 1) + 2 * entries


def test_entry_started_during_a_restore_learns_from_its_peers() -> None:
    fleet = started()
    snapshot = fleet.snapshot()
    fleet.change("b-1", LEAVING)
    fleet.change("b-2", None)
    fleet.apply_watch_events_at_watchers()
    fleet.run_steps(SETTLE_STEPS)
    fleet.restore(snapshot, relist=False)
    fleet.kill("front-0-0")
    fleet.restart("front-0-0")
    fleet.list_store("front-0-0")  # the new entry is the first to list the restored store
    fleet.run_steps(1)
    fleet.list_store_at_watchers()
    fleet.run_steps(3)
    known = fleet.entries["front-0-0"].known_backends()
    assert known["b-1"][1] == "LEAVING"
    assert "b-2" not in known


class StoreRestoreMachine(RuleBasedStateMachine):
    """Changes, snapshots, restores, partitions and restarts of entries, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(_peers, "OverlayLinks", SimLinks)
        self.fleet = started()
        self.snapshots: list[Snapshot] = [self.fleet.snapshot()]
        self.ended: set[str] = set()
        self.created = 4

    def teardown(self) -> None:
        self.patch.undo()

    @rule()
    def add_backend(self) -> None:
        self.fleet.change(f"b-{self.created}", READY)
        self.created += 1
        self.fleet.apply_watch_events_at_watchers()

    @precondition(lambda self: bool(self.fleet.announced))
    @rule(n=st.integers(0, 9), ends=st.booleans())
    def leave(self, n: int, ends: bool) -> None:
        """A backend announces that it leaves, or ends; neither is revoked."""
        names = sorted(self.fleet.announced)
        self.fleet.change(names[n % len(names)], None if ends else LEAVING)
        self.fleet.apply_watch_events_at_watchers()

    @rule()
    def snapshot(self) -> None:
        self.snapshots.append(self.fleet.snapshot())

    @rule(n=st.integers(0, 9), relist=st.booleans())
    def restore(self, n: int, relist: bool) -> None:
        """Restore one of the three latest snapshots of this era."""
        self.fleet.restore(self.snapshots[-1 - n % len(self.snapshots[-3:])], relist=relist)
        self.snapshots = [self.fleet.snapshot()]
        if not relist:
            self.fleet.run_steps(2)
            self.fleet.list_store_at_watchers()

    @rule(steps=st.integers(1, 20))
    def wait(self, steps: int) -> None:
        self.fleet.run_steps(steps)

    @rule(domain=st.integers(1, 2))
    def partition(self, domain: int) -> None:
        self.fleet.partitioned = {f"domain-{domain}"}

    @rule()
    def heal(self) -> None:
        self.fleet.partitioned = set()

    @rule(n=st.integers(0, 9), reads_list=st.booleans())
    def restart_entry(self, n: int, reads_list: bool) -> None:
        name = self.fleet.nodes[n].name
        self.fleet.kill(name)
        self.fleet.restart(name)
        if reads_list or name in self.fleet.watchers():
            self.fleet.list_store(name)

    @rule()
    def settle(self) -> None:
        self.fleet.partitioned = set()
        self.fleet.run_steps(RESTORE_STEPS)
        assert not self.fleet.wrong_views()
        self.snapshots = [self.fleet.snapshot()]


StoreRestoreMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)
TestStoreRestore = StoreRestoreMachine.TestCase
