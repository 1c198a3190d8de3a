"""Marginal costs per peer, engine, organisation, expert and key, used in CAPACITY.md."""

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
from canvasyoke.state._submission import content_digest, encode_file
from fakes.launcher import LINK_KEY, ROOT, Fleet, FleetSpec
from fakes.ports import free_address

_IDLE_SECONDS: Final = 6.0
_LINKS: Final = (1, 16, 48, 96)
_ENGINES: Final = (500, 2_000, 5_000, 10_000)
_ORGANISATIONS: Final = (10, 100, 500, 1_000)
_KEYS: Final = (1_000, 5_000, 20_000, 50_000)
_EXPERTS: Final = (16, 64, 128, 256)


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float, float]:
    """Return the slope, intercept and largest residual of a least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    variance_sum = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / variance_sum
    intercept = mean_y - slope * mean_x
    return slope, intercept, max(abs(y - intercept - slope * x) for x, y in points)


def slope_row(name: str, unit: str, points: Sequence[tuple[float, float]]) -> list[Cell]:
    """Return a table row with the points, the fitted line and its largest residual."""
    slope, intercept, residual = fit_line(points)
    point_list = ", ".join(f"{x:g}: {y:.3g}" for x, y in points)
    return [name, unit, point_list, slope, intercept, residual]


def link_costs() -> tuple[list[tuple[float, float]], list[tuple[float, float]]]:
    """Return memory (MB) and CPU time (% of a core) of an idle entry, by number of links."""
    memory, cpu = [], []
    for links in _LINKS:
        with Fleet(FleetSpec(["nbo-a"], 1, [], log_level="warning")) as fleet:
            fleet.start_platform()
            addresses = [free_address() for _ in range(links)]
            env = {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
            command = [sys.executable, "-m", "fakes.targets", LINK_KEY, *addresses]
            process = subprocess.Popen(command, cwd=ROOT, env=env)
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
                process.kill()
                process.wait()
    return memory, cpu


def configuration(engines: int, organisations: int) -> FileModel:
    """Return a configuration with the given numbers of engines and organisations."""
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
    """Return the memory used by the result of ``make``, in megabytes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    retained = make()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained
    return (after - before) / 1e6


def measure_configuration(model: FileModel) -> tuple[float, float, float]:
    """Return the encoded size (MB), memory (MB) and CPU seconds of parsing a file."""
    data = encode_file(model)
    digest = content_digest(data)
    root = msgspec.json.encode({"generation": 1, "files": {"f": digest}})
    snapshot = Snapshot(root, {digest: data})
    start_time = time.process_time()
    snapshot.parse()
    elapsed = time.process_time() - start_time
    return len(data) / 1e6, measure_memory(snapshot.parse), elapsed


def build_key_cache(count: int) -> IdempotencyCache:
    """Return a cache of ``count`` finished keys without stored answers."""
    rng = random.Random(1)
    cache = IdempotencyCache()
    for number in range(count):
        name = f"org/{new_key(number, rng)}"
        cache.begin(name, number, rng.randbytes(16), None)
        cache.finish(name, 0)
    return cache


def prepare_order_mb(experts: int) -> float:
    """Return the size in megabytes of a prepare order for 60 layers on 64 ranks."""
    mapping = initial_map(tuple(range(64)), experts, 60)
    replicas = [
        ExpertReplica(layer, expert, rank)
        for layer, expert_ranks in enumerate(mapping.layers)
        for expert, ranks in enumerate(expert_ranks)
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
    """Return the CPU seconds to plan 60 layers on 64 ranks."""
    rng = random.Random(1)
    loads = [[rng.lognormvariate(4.0, 0.7) for _ in range(experts)] for _ in range(60)]
    ranks = tuple(range(64))
    start = initial_map(ranks, experts, 60)
    start_time = time.process_time()
    plan_map(start, loads, ranks, max(2, experts // 64 + 2), POLICIES["skew-first"])
    return time.process_time() - start_time


@EXPERIMENTS.register("slopes")
def slopes(seed: int) -> Result:
    """Measure the slopes used in CAPACITY.md."""
    rows: list[list[Cell]] = []
    memory, cpu = link_costs()
    rows.append(slope_row("entry: memory by links", "MB a link", memory))
    rows.append(slope_row("entry: idle processor time by links", "% of a core a link", cpu))
    by_engines = [(float(n), measure_configuration(configuration(n, 100))) for n in _ENGINES]
    by_orgs = [(float(n), measure_configuration(configuration(500, n))) for n in _ORGANISATIONS]
    for name, points in (("engine", by_engines), ("organisation", by_orgs)):
        rows.append(
            slope_row(
                f"configuration: bytes by {name}s",
                f"MB each {name}",
                [(x, y[0]) for x, y in points],
            )
        )
        rows.append(
            slope_row(
                f"configuration: memory by {name}s",
                f"MB each {name}",
                [(x, y[1]) for x, y in points],
            )
        )
        rows.append(
            slope_row(
                f"configuration: time to adopt by {name}s",
                f"s each {name}",
                [(x, y[2]) for x, y in points],
            )
        )
    rows.append(
        slope_row(
            "target: memory by keys remembered",
            "MB a key",
            [(float(n), measure_memory(partial(build_key_cache, n))) for n in _KEYS],
        )
    )
    rows.append(
        slope_row(
            "map owner: bytes of one prepare by experts, 64 ranks x 60 layers",
            "MB an expert",
            [(float(n), prepare_order_mb(n)) for n in _EXPERTS],
        )
    )
    rows.append(
        slope_row(
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
