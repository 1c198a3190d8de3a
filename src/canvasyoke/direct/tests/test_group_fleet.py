"""States of a group among many entries on a simulated network."""

from __future__ import annotations

import pytest

from canvasyoke._clock import SECOND
from canvasyoke.backend import GroupReport
from canvasyoke.direct import _peers
from canvasyoke.direct._group_monitor import GroupMonitor
from canvasyoke.direct.tests.calls import CannedPort
from canvasyoke.direct.tests.fleet_model import SETTLE_STEPS, STEP_INTERVAL, SimFleet, SimLinks
from canvasyoke.protocol import GroupStateUpdate, decode_batch
from canvasyoke.state import Endpoint, EndpointState

RANKS_PER_DOMAIN = 3


class GroupSimulation:
    """Entries of a fleet that follow one group over all domains."""

    def __init__(self, sizes: tuple[int, ...]) -> None:
        self.fleet = SimFleet(sizes)
        self.report = GroupReport("g", 4, True)
        #: Bytes of group states that each entry has sent.
        self.sent = dict.fromkeys(self.fleet.entries, 0)
        self.monitors = []
        port = CannedPort(lambda: pytest.fail("a request was sent"))
        port.group_report = self._answer  # type: ignore[method-assign]
        for entry in self.fleet.entries.values():
            for domain in range(len(sizes)):
                for rank in range(RANKS_PER_DOMAIN):
                    run = f"b-{domain}-{rank}"
                    entry.roster.put(
                        Endpoint(run, "ink", "a:1", f"domain-{domain}", 5, EndpointState.READY, 1)
                    )
                    entry.roster.learn_group(run, "g")
            self.monitors.append(
                GroupMonitor(
                    port,
                    entry.roster,
                    entry.peers.is_watching,
                    entry.peers.groups.share,
                    self.fleet.clock,
                )
            )
        self.fleet.run_steps(SETTLE_STEPS)

    def _answer(self, endpoint: Endpoint) -> GroupReport | None:
        return self.report

    def run(self, duration: int) -> None:
        for _ in range(duration // STEP_INTERVAL):
            for monitor in self.monitors:
                monitor.poll()
            self._count()
            self.fleet.run_steps(1)

    def _count(self) -> None:
        for name, entry in self.fleet.entries.items():
            for session in entry.links.open.values():
                for frame in session.queue:
                    if any(isinstance(m, GroupStateUpdate) for m in decode_batch(frame)):
                        self.sent[name] += len(frame)

    def lose_rank(self) -> None:
        """Have one watcher of each domain see a refusal."""
        self.report = GroupReport("g", 4, False)
        seen = set()
        for entry in self.fleet.entries.values():
            if entry.peers.is_watching() and entry.node.domain not in seen:
                seen.add(entry.node.domain)
                entry.roster.record_group_failure("b-0-0", is_refused=True)

    def open_count(self) -> int:
        states = [e.roster.group_states.service_state("ink") for e in self.fleet.entries.values()]
        return sum(state.is_open for state in states)


@pytest.fixture(autouse=True)
def simulated_links(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_peers, "OverlayLinks", SimLinks)


#: Entries by domain. A fleet of up to 12 entries is a full mesh.
SIZES = [(4, 4, 4), (13, 12, 12), (33, 33, 33)]


@pytest.mark.parametrize("sizes", SIZES)
def test_all_entries_know_the_state_and_the_links_carry_little(sizes: tuple[int, ...]) -> None:
    """Entries that miss an update send requests to a stalled group, or none to an open one."""
    group = GroupSimulation(sizes)
    group.run(SECOND)
    assert sum(group.sent.values()) == 0
    group.lose_rank()
    group.run(SECOND)
    for _ in range(5):
        assert group.open_count() == 0
        group.run(SECOND)
    assert max(group.sent.values()) / 6 < 2_000
    group.report = GroupReport("g", 5, True)
    group.run(SECOND)
    assert group.open_count() == sum(sizes)
    before = dict(group.sent)
    group.run(SECOND)
    group.run(SECOND)
    assert group.sent == before


def test_a_domain_that_is_cut_off_follows_its_own_engines() -> None:
    """Its entries hear nothing of the others, and theirs must not stay closed after the cut."""
    group = GroupSimulation((13, 12, 12))
    group.lose_rank()
    group.fleet.partitioned = {"domain-0"}
    for _ in range(5):
        group.run(SECOND)
        assert group.open_count() == 0
    group.fleet.partitioned = set()
    group.report = GroupReport("g", 5, True)
    group.run(SECOND)
    assert group.open_count() == 37
