"""The standby changes a group's map while the owner's process stands still: whole processes."""

from __future__ import annotations

import http.client
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import yaml

from fakes.launcher import child_environment
from fakes.object_store import ObjectStore, StoreEndpoint
from fakes.ports import free_address
from fakes.rank_engines import RankEngines
from tests.direct import ROOT, configuration, wait_until

RANKS, LAYERS, EXPERTS = 5, 2, 8
#: Skew below which the map was planned for the demand; after a move it is at 2 and more.
FITS = 1.5


class RankProcesses:
    """The processes beside the engines of one group."""

    def __init__(self, folder: Path, requires_fencing: bool = True) -> None:
        store = ObjectStore()
        store.put("config", "main", configuration(1))
        self.store = StoreEndpoint(store)
        self.engines = RankEngines(RANKS, LAYERS, EXPERTS, requires_fencing)
        self.metrics = [free_address() for _ in range(RANKS)]
        self.logs = [folder / f"{rank}.log" for rank in range(RANKS)]
        self.processes = [self._start(folder, rank) for rank in range(RANKS)]

    def _start(self, folder: Path, rank: int) -> subprocess.Popen[bytes]:
        settings = folder / f"{rank}.yaml"
        values = {
            "instance": f"side-{rank}",
            "engine": self.engines.addresses[rank],
            "peer": free_address(),
            "metrics": self.metrics[rank],
            "store": self.store.address,
            "adapter": "objects",
        }
        settings.write_text(yaml.safe_dump(values))
        command = [sys.executable, "-m", "canvasyoke", "ranks", "--settings", str(settings)]
        with self.logs[rank].open("w") as log:
            return subprocess.Popen(
                command, cwd=ROOT, env=child_environment(), stdout=log, stderr=log
            )

    def close(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()
        self.engines.close()
        self.store.close()

    def metric(self, rank: int, name: str) -> float:
        conn = http.client.HTTPConnection(self.metrics[rank], timeout=5)
        try:
            conn.request("GET", "/metrics")
            page = conn.getresponse().read().decode()
        except OSError:
            return 0.0
        finally:
            conn.close()
        rows = dict(line.rsplit(" ", 1) for line in page.splitlines() if not line.startswith("#"))
        return float(rows.get(name, 0))

    def follow(self, seed: int) -> float:
        """Move demand; return the seconds until the map in force fits it."""
        self.engines.move_demand(seed)
        assert self.engines.skew > FITS
        started_at = time.monotonic()
        wait_until(lambda: self.engines.skew < FITS, f"a map for the demand {seed}", 8.0)
        return time.monotonic() - started_at


@pytest.fixture
def ranks(tmp_path: Path) -> Iterator[RankProcesses]:
    processes = RankProcesses(tmp_path)
    yield processes
    processes.close()


def test_maps_follow_demand_while_the_owner_stands_still(ranks: RankProcesses) -> None:
    wait_until(lambda: ranks.metric(0, "canvasyoke_owns_map"), "the owner has the map")
    ranks.follow(1)
    linked = "canvasyoke_standby_linked"
    wait_until(lambda: all(ranks.metric(r, linked) for r in range(2, RANKS)), linked)
    assert not ranks.metric(1, "canvasyoke_acts_for_owner")
    ranks.processes[0].send_signal(signal.SIGSTOP)
    first = ranks.follow(2)
    assert ranks.metric(1, "canvasyoke_acts_for_owner")
    later = [ranks.follow(3), ranks.follow(4)]  # links with the owner end after 3 s
    ranks.processes[0].send_signal(signal.SIGCONT)
    wait_until(lambda: not ranks.metric(1, "canvasyoke_acts_for_owner"), "the standby steps back")
    resumed = ranks.follow(5)
    assert ranks.metric(0, "canvasyoke_owns_map")
    assert ranks.engines.mismatches == []
    assert max(later) < 1.5
    print(f"first map after {first:.2f} s, then {later} s; the owner's after {resumed:.2f} s")
    assert ranks.logs[1].read_text().count("no longer acts for the owner") == 1


def test_an_owner_that_wakes_while_arming_splits_no_group_without_fencing(tmp_path: Path) -> None:
    """Guards against orders of a change that the standby has rolled back meanwhile."""
    ranks = RankProcesses(tmp_path, requires_fencing=False)
    engines, owner = ranks.engines, ranks.processes[0]
    arms: list[int] = []

    def stop_owner(order: dict[str, Any]) -> None:
        if order["op"] != "arm":
            return
        arms.append(order["Version"])
        if len(arms) == 2:
            engines.is_idle = True
            owner.send_signal(signal.SIGSTOP)

    try:
        wait_until(lambda: ranks.metric(0, "canvasyoke_owns_map"), "the owner has the map")
        linked = "canvasyoke_standby_linked"
        wait_until(lambda: all(ranks.metric(r, linked) for r in range(2, RANKS)), linked)
        engines.on_order = stop_owner
        engines.move_demand(1)
        wait_until(lambda: len(arms) >= 2, "the owner stops while it arms ranks")
        wait_until(
            lambda: all(r.prepared > arms[0] and not r.held for r in engines.ranks),
            "the standby rolls the change back",
        )
        engines.on_order = lambda _order: None
        owner.send_signal(signal.SIGCONT)
        replaced = 'canvasyoke_map_changes_total{result="replaced"}'
        wait_until(lambda: ranks.metric(0, replaced), "the owner has been replaced")
        engines.is_idle = False
        ranks.follow(2)
        assert engines.mismatches == []
    finally:
        ranks.close()
