"""What each further peer, engine, organisation, expert and key costs; for CAPACITY.md."""

from __future__ import annotations

import os
import random
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, Final

import msgspec
import yaml

from bench._process import cpu_seconds, resident_mb
from bench._registry import EXPERIMENTS, Cell, Result, Table
from canvasyoke.coordination import POLICIES, IdempotencyCache, initial_map, plan_map
from canvasyoke.protocol import (
    ExpertReplica,
    GroupOrder,
    LoadReport,
    encode_batch,
    new_key,
)
from canvasyoke.state import FileModel, Snapshot
from canvasyoke.state._submission import digest_of, encode_file
from fakes.launcher import LINK_KEY, ROOT, Fleet, FleetSpec
from fakes.ports import free_address

_IDLE_SECONDS: Final = 6.0
_LINKS: Final = (1, 16, 48, 96)
_ENGINES: Final = (500, 2_000, 5_000, 10_000)
_ORGANISATIONS: Final = (10, 100, 500, 1_000)
_KEYS: Final = (1_000, 5_000, 20_000, 50_000)
_EXPERTS: Final = (16, 64, 128, 256)


def fit(points: Sequence[tuple[float, float]]) -> tuple[float, float, float]:
    """Return slope, intercept and the largest error of a straight line, least squares."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    return slope, intercept, max(abs(y - intercept - slope * x) for x, y in points)


def row(name: str, unit: str, points: Sequence[tuple[float, float]]) -> list[Cell]:
    """Return one line: the points, the slope and how well it fits."""
    slope, intercept, error = fit(points)
    shown = ", ".join(f"{x:g}: {y:.3g}" for x, y in points)
    return [name, unit, shown, slope, intercept, error]


def link_costs() -> tuple[list[tuple[float, float]], list[tuple[float, float]]]:
    """Return memory in MB and processor time in % of a core of an idle entry, by links."""
    memory, cpu = [], []
    for links in _LINKS:
        with Fleet(FleetSpec(["nbo-a"], 1, [], log_level="warning")) as fleet:
            fleet.start_platform()
            addresses = [free_address() for _ in range(links)]
            env = {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
            command = [sys.executable, "-m", "fakes.targets", LINK_KEY, *addresses]
            child = subprocess.Popen(command, cwd=ROOT, env=env)
            try:
                for index, address in enumerate(addresses):
                    fleet.register_instance(f"t-{index}", "target", "nbo-a", address)
                path = fleet.folder / "slopes.yaml"
                path.write_text(yaml.safe_dump({"services": {"ink": {"kind": "model"}}}))
                fleet.apply([path], 0)
                fleet.start_entry("nbo-a-entry-1")
                time.sleep(4.0)
                pid = fleet.pid("nbo-a-entry-1")
                before = cpu_seconds(pid)
                time.sleep(_IDLE_SECONDS)
                cpu.append((float(links), 100 * (cpu_seconds(pid) - before) / _IDLE_SECONDS))
                memory.append((float(links), resident_mb(pid)))
            finally:
                child.kill()
                child.wait()
    return memory, cpu


def configuration(engines: int, organisations: int) -> FileModel:
    """Return a configuration of so many engines and organisations."""
    content: dict[str, Any] = {
        "services": {f"model-{i}": {"kind": "model"} for i in range(14)},
        "engines": {
            f"engine-{i}": {"service": f"model-{i % 14}", "slots": 32} for i in range(engines)
        },
        "organisations": {
            f"org-{i}": {"token_sha256": f"{i:064x}", "share": 1 + i % 5}
            for i in range(organisations)
        },
    }
    return msgspec.convert(content, FileModel)


def measure_memory(make: Callable[[], object]) -> float:
    """Return the megabytes that what ``make`` returns takes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return (after - before) / 1e6


def adopt(model: FileModel) -> tuple[float, float, float]:
    """Return the bytes (MB) of a file, memory (MB) and seconds to put it in force."""
    data = encode_file(model)
    digest = digest_of(data)
    root = msgspec.json.encode({"generation": 1, "files": {"f": digest}})
    snapshot = Snapshot(root, {digest: data})
    began = time.process_time()
    snapshot.parse()
    took = time.process_time() - began
    return len(data) / 1e6, measure_memory(snapshot.parse), took


def key_memory(count: int) -> IdempotencyCache:
    """Return a memory of so many finished keys without answers."""
    rng = random.Random(1)
    memory = IdempotencyCache()
    for number in range(count):
        name = f"org/{new_key(number, rng)}"
        memory.begin(name, number, rng.randbytes(16), None)
        memory.finish(name, 0)
    return memory


def map_bytes(experts: int) -> float:
    """Return the megabytes of one order that prepares a map of 60 layers on 64 ranks."""
    mapping = initial_map(tuple(range(64)), experts, 60)
    replicas = [
        ExpertReplica(layer, expert, rank)
        for layer, row_of in enumerate(mapping.layers)
        for expert, ranks in enumerate(row_of)
        for rank in ranks
    ]
    order = GroupOrder(
        order=1,
        group="g",
        rank=0,
        epoch=1,
        number=1,
        action="prepare",
        ranks=list(range(64)),
        replicas=replicas,
    )
    return len(encode_batch([order])) / 1e6


def plan_seconds(experts: int) -> float:
    """Return the processor seconds of one plan of 60 layers on 64 ranks."""
    rng = random.Random(1)
    loads = [[rng.lognormvariate(4.0, 0.7) for _ in range(experts)] for _ in range(60)]
    ranks = tuple(range(64))
    start = initial_map(ranks, experts, 60)
    began = time.process_time()
    plan_map(start, loads, ranks, max(2, experts // 64 + 2), POLICIES["skew-first"])
    return time.process_time() - began


@EXPERIMENTS.register("slopes")
def slopes(seed: int) -> Result:
    """Measure the slopes that CAPACITY.md works with."""
    rows: list[list[Cell]] = []
    memory, cpu = link_costs()
    rows.append(row("entry: memory by links", "MB a link", memory))
    rows.append(row("entry: idle processor time by links", "% of a core a link", cpu))
    by_engines = [(float(n), adopt(configuration(n, 100))) for n in _ENGINES]
    by_orgs = [(float(n), adopt(configuration(500, n))) for n in _ORGANISATIONS]
    for name, points in (("engine", by_engines), ("organisation", by_orgs)):
        rows.append(
            row(
                f"configuration: bytes by {name}s",
                f"MB each {name}",
                [(x, y[0]) for x, y in points],
            )
        )
        rows.append(
            row(
                f"configuration: memory by {name}s",
                f"MB each {name}",
                [(x, y[1]) for x, y in points],
            )
        )
        rows.append(
            row(
                f"configuration: time to adopt by {name}s",
                f"s each {name}",
                [(x, y[2]) for x, y in points],
            )
        )
    rows.append(
        row(
            "target: memory by keys remembered",
            "MB a key",
            [(float(n), measure_memory(partial(key_memory, n))) for n in _KEYS],
        )
    )
    rows.append(
        row(
            "map owner: bytes of one prepare by experts, 64 ranks x 60 layers",
            "MB an expert",
            [(float(n), map_bytes(n)) for n in _EXPERTS],
        )
    )
    rows.append(
        row(
            "map owner: time of a plan by experts, 64 ranks x 60 layers",
            "s an expert",
            [(float(n), plan_seconds(n)) for n in _EXPERTS],
        )
    )
    report = len(encode_batch([_report()]))
    columns = ["what", "unit", "points measured", "slope", "at zero", "largest error"]
    return Result(
        name="slopes",
        method=(
            "Four points each and a straight line by least squares; the largest error is that "
            f"of a point from the line. An idle load report has {report} bytes."
        ),
        seed=seed,
        tables=[Table("Slopes", columns, rows)],
    )


def _report() -> LoadReport:
    return LoadReport(
        instance="inkmodel-10000",
        domain="nbo-a",
        service="inkmodel",
        running=8,
        queued=3,
        slots=32,
        duration=440,
        generation=19_000,
        leaving=False,
        healthy=True,
        group="ink-150",
        rank=63,
        map_epoch=3,
        map_number=1_000,
    )
