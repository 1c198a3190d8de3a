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
from demo._report import judge, print_report
from fakes.launcher import Fleet, FleetSpec, TargetSpec, wait_until

_HERE: Final = Path(__file__).resolve().parent
#: Requests that callers bring to an end in each phase.
_PHASE: Final = 150


@dataclass(frozen=True)
class DemoFleet:
    """What differs between the two fleets."""

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
    """Return the processes of one fleet: 4 engines, 2 plain, 2 entries a domain."""
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
    """Run one fleet through the demo; 1 when an invariant was broken."""
    demo = FLEETS[name]
    files = [_HERE / f"{name}.yaml", _HERE / f"{name}-organisations.yaml"]
    began = time.monotonic()

    def say(text: str) -> None:
        print(f"[{time.monotonic() - began:6.1f} s] {text}", flush=True)

    with Fleet(fleet_spec(demo)) as fleet:
        say(f"starting {name}: 4 engines, 2 plain services, 4 entries, platform stand-in")
        fleet.start()
        generation = fleet.apply(files, 0)
        fleet.wait_ready(generation)
        say(f"generation {generation} is in force everywhere")
        load = Load(_load_spec(demo, fleet))
        load.start()
        _wait_for_requests(load, _PHASE)
        say(f"{load.done} requests done; killing an engine's process")
        victim = fleet.spec.targets[2].name
        early_ledger = _step_ledger(fleet, victim)
        fleet.kill(f"{victim}-backend")
        _wait_for_requests(load, _PHASE)
        wait_until(lambda: _ranks_on_map(fleet) == 3, "the group goes on with three ranks")
        say(f"{load.done} requests done; the group goes on with three ranks; replacing a file")
        generation = fleet.apply([_changed_file(fleet, files[1])], generation)
        wait_until(lambda: fleet.in_force_everywhere(generation), "in force everywhere")
        say(f"generation {generation} is in force everywhere; the engine comes back")
        fleet.start_backend(victim)
        wait_until(lambda: _ranks_on_map(fleet) == 4, "the rank is back on the map")
        say("the rank is back on the map; stopping a target and an entry as planned")
        _planned_stops(fleet, demo, load)
        _wait_for_requests(load, _PHASE)
        load.stop()
        say(f"{load.done} requests done")
        ledgers = [early_ledger, *(_step_ledger(fleet, t.name) for t in fleet.spec.targets[:4])]
        verdict = judge(fleet, load.result, ledgers)
        statuses = {e: fleet.status(e) for e in fleet.ports.entries if fleet.status(e)}
        print_report(fleet, load.result, verdict, statuses)
        print("audit trail")
        print(fleet.command("audit", "--platform", fleet.ports.platform)[1])
    say("an invariant was BROKEN" if verdict.broken else "all invariants held")
    return 1 if verdict.broken else 0


def _load_spec(demo: DemoFleet, fleet: Fleet) -> LoadSpec:
    return LoadSpec(
        entries=list(fleet.ports.entries.values()),
        tokens=[f"{organisation}-token" for organisation in demo.organisations],
        model_service=demo.model_service,
        plain_service=demo.plain_service,
        save_path=demo.save_path,
    )


def _wait_for_requests(load: Load, count: int) -> None:
    goal = load.done + count
    wait_until(lambda: load.done >= goal, f"{count} more requests", 60)


def _ranks_on_map(fleet: Fleet) -> int:
    """Return the ranks whose engine is up and on the newest map."""
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
    """Write the file with one organisation's share doubled, under the same name."""
    content = yaml.safe_load(path.read_text())
    first = next(iter(content["organisations"].values()))
    first["share"] *= 2
    changed = fleet.folder / path.name
    changed.write_text(yaml.safe_dump(content, sort_keys=False))
    return changed


def _planned_stops(fleet: Fleet, demo: DemoFleet, load: Load) -> None:
    """Stop one target and start it again, as a rolling restart would."""
    name = f"{demo.plain_service}-1"
    fleet.terminate(name)
    code = fleet.wait(name)
    if code:
        raise SystemExit(f"{name} ended with {code}")
    fleet.start_target(name)
    entry = f"{demo.domains[0]}-entry-1"
    fleet.register_instance(entry, "entry", demo.domains[0], fleet.ports.admin[entry], "leaving")
    _leave_balancer(fleet, load, entry)


def _leave_balancer(fleet: Fleet, load: Load, entry: str) -> None:
    """Stop an entry the way the platform's balancer does: no new callers, then SIGTERM."""
    load.avoid(fleet.ports.entries[entry])
    fleet.terminate(entry)
    code = fleet.wait(entry)
    if code:
        raise SystemExit(f"{entry} ended with {code}")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else "panelmtaa"))
