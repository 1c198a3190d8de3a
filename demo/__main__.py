"""Runs the demo: ``python -m demo panelmtaa`` or ``python -m demo volta``."""

from __future__ import annotations

import json
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import urllib3
import yaml

from demo._load import Load, LoadSpec
from demo._report import check_invariants, print_report
from fakes.launcher import Fleet, FleetSpec, TargetSpec, wait_until

_DIRECTORY: Final = Path(__file__).resolve().parent
#: Requests finished in each phase of the demo.
_REQUESTS_PER_PHASE: Final = 150


@dataclass(frozen=True)
class DemoFleet:
    """Names that differ between the example fleets."""

    domains: tuple[str, str]
    model_service: str
    plain_service: str
    save_path: str
    organisations: tuple[str, ...]


FLEETS: Final = {
    "panelmtaa": DemoFleet(
        ("nbo-a", "nbo-b"),
        "inkmodel",
        "shelf-api",
        "/bookmarks",
        ("kibanda-comics", "matatu-readers", "school-clubs"),
    ),
    "volta": DemoFleet(
        ("tema-hall", "airport-hall"),
        "assist-llm",
        "rider-api",
        "/charges",
        ("kumasi-franchise", "tamale-franchise", "rider-app"),
    ),
}


def fleet_spec(demo: DemoFleet) -> FleetSpec:
    """Return a fleet with 4 engines, 2 plain services and 2 entries per domain."""
    engines = [
        TargetSpec(
            f"{demo.model_service}-{i + 1}",
            demo.domains[i % 2],
            demo.model_service,
            "engine",
            rank=i,
        )
        for i in range(4)
    ]
    plain = [
        TargetSpec(
            f"{demo.plain_service}-{i + 1}", demo.domains[i], demo.plain_service, "plain", slots=16
        )
        for i in range(2)
    ]
    return FleetSpec(demo.domains, 2, [*engines, *plain], streams=64)


def main(name: str) -> int:
    """Run the demo with one fleet; return 1 if an invariant was violated."""
    demo = FLEETS[name]
    files = [_DIRECTORY / f"{name}.yaml", _DIRECTORY / f"{name}-organisations.yaml"]
    start_time = time.monotonic()

    def log(text: str) -> None:
        print(f"[{time.monotonic() - start_time:6.1f} s] {text}", flush=True)

    with Fleet(fleet_spec(demo)) as fleet:
        log(f"starting {name}: 4 engines, 2 plain services, 4 entries, platform stand-in")
        fleet.start()
        generation = fleet.apply(files, 0)
        fleet.wait_ready(generation)
        log(f"generation {generation} is active on all instances")
        load = Load(_load_spec(demo, fleet))
        load.start()
        _wait_for_requests(load, _REQUESTS_PER_PHASE)
        log(f"{load.finished} requests finished; killing an engine process")
        failed_engine = fleet.spec.targets[2].name
        ledger_before_failure = _step_ledger(fleet, failed_engine)
        fleet.kill(f"{failed_engine}-backend")
        _wait_for_requests(load, _REQUESTS_PER_PHASE)
        wait_until(lambda: _ranks_on_map(fleet) == 3, "the group goes on with three ranks")
        log(f"{load.finished} requests finished; group runs on three ranks; replacing a file")
        generation = fleet.apply([_changed_file(fleet, files[1])], generation)
        wait_until(lambda: fleet.in_force_everywhere(generation), "in force everywhere")
        log(f"generation {generation} is active on all instances; restarting the engine")
        fleet.start_backend(failed_engine)
        wait_until(lambda: _ranks_on_map(fleet) == 4, "the rank is back on the map")
        log("rank restored to the map; restarting a target and stopping an entry")
        _perform_planned_stops(fleet, demo, load)
        _wait_for_requests(load, _REQUESTS_PER_PHASE)
        load.stop()
        log(f"{load.finished} requests finished")
        ledgers = [
            ledger_before_failure,
            *(_step_ledger(fleet, t.name) for t in fleet.spec.targets[:4]),
        ]
        violations = check_invariants(fleet, load.result, ledgers)
        statuses = {e: fleet.status(e) for e in fleet.ports.entries if fleet.status(e)}
        print_report(fleet, load.result, violations, statuses)
        print("audit trail")
        print(fleet.command("audit", "--platform", fleet.ports.platform)[1])
    log("an invariant was VIOLATED" if violations.has_any else "all invariants held")
    return 1 if violations.has_any else 0


def _load_spec(demo: DemoFleet, fleet: Fleet) -> LoadSpec:
    return LoadSpec(
        entries=list(fleet.ports.entries.values()),
        tokens=[f"{organisation}-token" for organisation in demo.organisations],
        model_service=demo.model_service,
        plain_service=demo.plain_service,
        save_path=demo.save_path,
    )


def _wait_for_requests(load: Load, count: int) -> None:
    goal = load.finished + count
    wait_until(lambda: load.finished >= goal, f"{count} more requests", 60)


def _ranks_on_map(fleet: Fleet) -> int:
    """Return the number of ranks that are healthy and on the current map."""
    for entry in fleet.ports.entries:
        status = fleet.status(entry)
        if not status:
            continue
        healthy = sum(t["healthy"] for t in status["targets"][:4])
        return int(min(healthy, status["groups"][0]["ranks_on_map"]))
    return 0


def _step_ledger(fleet: Fleet, target: str) -> Any:
    url = f"http://{fleet.ports.backends[target]}/ledger"
    return json.loads(urllib3.request("GET", url, timeout=5.0).data)["steps"]


def _changed_file(fleet: Fleet, path: Path) -> Path:
    """Write a copy of the file with the first organisation's share doubled."""
    content = yaml.safe_load(path.read_text())
    first = next(iter(content["organisations"].values()))
    first["share"] *= 2
    changed = fleet.folder / path.name
    changed.write_text(yaml.safe_dump(content, sort_keys=False))
    return changed


def _perform_planned_stops(fleet: Fleet, demo: DemoFleet, load: Load) -> None:
    """Restart one target as in a rolling restart, then drain and stop one entry."""
    name = f"{demo.plain_service}-1"
    fleet.terminate(name)
    code = fleet.wait(name)
    if code:
        raise SystemExit(f"{name} exited with status {code}")
    fleet.start_target(name)
    entry = f"{demo.domains[0]}-entry-1"
    fleet.register_instance(entry, "entry", demo.domains[0], fleet.ports.admin[entry], "leaving")
    _drain_entry(fleet, load, entry)


def _drain_entry(fleet: Fleet, load: Load, entry: str) -> None:
    """Stop sending requests to an entry, then terminate it, as the platform's balancer does."""
    load.exclude_entry(fleet.ports.entries[entry])
    fleet.terminate(entry)
    code = fleet.wait(entry)
    if code:
        raise SystemExit(f"{entry} exited with status {code}")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else "panelmtaa"))
