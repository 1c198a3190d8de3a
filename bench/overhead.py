"""Measures the latency and CPU time added by an entry, and the memory of each role."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from dataclasses import dataclass
from typing import Any, Final

import yaml

from bench._process import cpu_seconds, quantile, resident_mb
from bench._registry import EXPERIMENTS, Cell, Result, Table
from fakes.launcher import ROOT, Fleet, FleetSpec, TargetSpec

_TOKEN: Final = "kibanda-comics-token"
_STREAMS: Final = (1, 32, 256)
_SECONDS: Final = 8
_TOKENS: Final = 16
_LOAD_PROCESSES: Final = 4


@dataclass(frozen=True)
class LoadRun:
    """Combined measurements of one load run."""

    first_token_ms: list[float]
    inter_token_ms: list[float]
    requests_per_second: float
    tokens_per_second: float
    failed: int
    completed: int


def run_load(address: str, path: str, streams: int, seed: int, seconds: int = _SECONDS) -> LoadRun:
    """Load ``address`` from up to four processes and return their combined measurements."""
    process_count = min(_LOAD_PROCESSES, streams)
    processes = []
    for index in range(process_count):
        part = streams // process_count
        arguments = [address, path, _TOKEN, str(part), str(seconds), str(_TOKENS)]
        command = [sys.executable, "-m", "bench.load", *arguments, str(seed + 1_000 * index)]
        processes.append(subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE))
    parts: list[dict[str, Any]] = [json.loads(process.communicate()[0]) for process in processes]
    elapsed = max(part["seconds"] for part in parts)
    return LoadRun(
        first_token_ms=[v for part in parts for v in part["first_ms"]],
        inter_token_ms=[v for part in parts for v in part["between_ms"]],
        requests_per_second=sum(part["done"] for part in parts) / elapsed,
        tokens_per_second=sum(part["tokens"] for part in parts) / elapsed,
        failed=sum(part["failed"] for part in parts),
        completed=sum(part["done"] for part in parts),
    )


def one_engine_fleet(token_ms: float = 20.0) -> FleetSpec:
    """Return a fleet of one entry, one engine without a group and one plain service."""
    return FleetSpec(
        ["nbo-a"],
        1,
        [
            TargetSpec("ink-1", "nbo-a", "ink", "engine", slots=512),
            TargetSpec("shelf-1", "nbo-a", "shelf-api", "plain"),
        ],
        token_ms=token_ms,
        streams=320,
        log_level="warning",
    )


def configure(fleet: Fleet) -> None:
    """Apply a configuration for :func:`one_engine_fleet`."""
    content = {
        "services": {
            "ink": {
                "kind": "model",
                "deadline_ms": 60_000,
                "routes": [{"path": "/generate", "methods": ["POST"], "repeatable": True}],
            },
            "shelf-api": {"kind": "plain"},
        },
        "engines": {
            "ink-1": {"service": "ink", "slots": 512, "queue": 512},
            "shelf-1": {"service": "shelf-api", "slots": 16},
        },
        "organisations": {
            "kibanda-comics": {
                "token_sha256": "".join(_sha256(_TOKEN)),
            }
        },
    }
    path = fleet.folder / "bench.yaml"
    path.write_text(yaml.safe_dump(content))
    fleet.wait_ready(fleet.apply([path], 0))


def _sha256(text: str) -> str:
    import hashlib

    return hashlib.sha256(text.encode()).hexdigest()


@EXPERIMENTS.register("overhead")
def overhead(seed: int) -> Result:
    """Compare calls through one entry with direct calls, at three numbers of streams."""
    rows: list[list[Cell]] = []
    memory: list[list[Cell]] = []
    with Fleet(one_engine_fleet()) as fleet:
        fleet.start()
        configure(fleet)
        entry = "nbo-a-entry-1"
        roles = {"entry": entry, "target (engine)": "ink-1", "target (plain)": "shelf-1"}
        time.sleep(2)
        idle = {role: resident_mb(fleet.pid(name)) for role, name in roles.items()}
        for streams in _STREAMS:
            direct = run_load(fleet.ports.backends["ink-1"], "/generate", streams, seed)
            before = {name: cpu_seconds(fleet.pid(name)) for name in (entry, "ink-1")}
            via_entry = run_load(fleet.ports.entries[entry], "/ink/generate", streams, seed)
            used = {name: cpu_seconds(fleet.pid(name)) - before[name] for name in before}
            rows.append(_row(streams, direct, via_entry, used[entry], used["ink-1"]))
        memory = [[role, idle[role], resident_mb(fleet.pid(name))] for role, name in roles.items()]
    columns = [
        "streams",
        "first token p50 direct, ms",
        "added p50, ms",
        "added p99, ms",
        "between tokens p99 direct, ms",
        "added p99, ms",
        "requests/s direct",
        "requests/s",
        "entry CPU ms/request",
        "target CPU ms/request",
        "failed",
    ]
    return Result(
        name="overhead",
        method=(
            f"Closed loop of streams of {_TOKENS} tokens, 20 ms a token, {_SECONDS} s each, from "
            "separate processes; the engine stand-in called directly, then through one entry and "
            "one target process."
        ),
        seed=seed,
        tables=[
            Table("One entry against calling the engine directly", columns, rows),
            Table("Resident memory, MB", ["role", "idle", "after load"], memory),
        ],
    )


def _row(
    streams: int, direct: LoadRun, via_entry: LoadRun, entry_cpu: float, target_cpu: float
) -> list[Cell]:
    def added(fraction: float) -> float:
        return quantile(via_entry.first_token_ms, fraction) - quantile(
            direct.first_token_ms, fraction
        )

    inter_token_p99 = quantile(direct.inter_token_ms, 0.99)
    completed = max(1, via_entry.completed)
    return [
        streams,
        quantile(direct.first_token_ms, 0.5),
        added(0.5),
        added(0.99),
        inter_token_p99,
        quantile(via_entry.inter_token_ms, 0.99) - inter_token_p99,
        direct.requests_per_second,
        via_entry.requests_per_second,
        entry_cpu * 1_000 / completed,
        target_cpu * 1_000 / completed,
        via_entry.failed,
    ]
