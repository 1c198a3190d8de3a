"""MAP: an owner of a map that wakes again goes on with its change after the standby has ended it.

One entry and the rank processes of one group, whose engines don't require fencing. Requests come in
small groups; between them the engines are idle and begin no pass. The owner's process is stopped as
it gives orders to arm, and continued seconds later; there is no other disruption. The engines
compare their maps as a pass begins.

With LATE=1 no process is stopped. Instead, for some seconds from each arrival of requests on, a
share of the orders to the engines gets no answer and is carried out 2 to 12 s later.
"""

from __future__ import annotations

import http.client
import itertools
import os
import random
import signal
import sys
import threading
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from review.engines import RankGroupEngines  # noqa: E402
from review.harness import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    KEY,
    NOT_RUN,
    CaseError,
    Deployment,
    Record,
    configuration,
    is_trouble_on,
    metric,
    route,
    wait_until_ready,
)

#: The process beside the engine of rank 0, which owns the map unless it is out of reach.
OWNER = "side-0"
RANKS, LAYERS, EXPERTS = 24, 16, 96
GEOMETRY = {
    "LinkMbps": 44_000.0,
    "sets": LAYERS,
    "experts": EXPERTS,
    "places": 5,
    "spare": 2,
    "expert_mb": 420.0,
    "form_ms": 600.0,
}
#: Seconds for which the owner's process is stopped.
STOP_SECONDS = (2.0, 4.0)
#: Seconds from the arrival of requests on within which orders to arm are expected, and from the
#: continuation of the owner's process until the next requests.
ARM_SECONDS, REST_SECONDS = 4.0, 1.0
#: Share of the orders that get no answer from the arrival of requests on, and for how many seconds:
#: the defaults of kinds, or with DOSE=site the figures of the site file.
LATE_SHARE, LATE_SECONDS = (0.35, 5.5) if os.environ.get("DOSE") == "site" else (0.5, 5.0)
#: Seconds from the start after which no further requests are sent.
RUN_SECONDS = 90.0
#: Seconds of the pause after each group of requests with LATE=1, and without any disruption.
PAUSE_SECONDS = (5.0, 6.5)
#: Requests that arrive together, and the seconds within which they do.
REQUESTS, ARRIVAL_SECONDS = 6, 0.06


class Callers:
    """Sends groups of streams to the entry."""

    def __init__(self, address: str, record: Record) -> None:
        self._address = address
        self._record = record
        self._numbers = itertools.count(1)
        self.answered = 0
        self.failed = 0

    def send(self) -> None:
        """Send some streams at nearly the same time and wait for the last one."""
        threads = [threading.Thread(target=self._send) for _ in range(REQUESTS)]
        for thread in threads:
            thread.start()
            time.sleep(ARRIVAL_SECONDS / REQUESTS)
        for thread in threads:
            thread.join()

    def _send(self) -> None:
        request_id = f"r{next(self._numbers)}"
        conn = http.client.HTTPConnection(self._address, timeout=10)
        headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Request-Deadline": "8041",
            "Authorization": f"Bearer {KEY}",
            "Model": "m",
            "Token-Usage": "674,96",
            "Prompt-Prefix": f"5c1e07a2:40,{random.getrandbits(32):08x}:634",
        }
        try:
            conn.request("POST", "/describe/1", body=b"core section", headers=headers)
            response = conn.getresponse()
            response.read()
            result = str(response.status)
        except (OSError, http.client.HTTPException) as exc:
            result = type(exc).__name__
        finally:
            conn.close()
        self.answered += result == "200"
        self.failed += result != "200"
        self._record.write(f"caller {request_id}: {result}")


class OwnerStops:
    """Stops the process that owns the map as it gives orders to arm, once each time it is asked."""

    def __init__(
        self, deployment: Deployment, engines: RankGroupEngines, record: Record, rng: random.Random
    ) -> None:
        self._deployment = deployment
        self._engines = engines
        self._record = record
        self._rng = rng
        self._lock = threading.Lock()
        #: Orders to arm until the stop; 0 if none is due.
        self._orders_left = 0
        self._seconds = 0.0
        self._has_stopped = threading.Event()
        self._goes_on = threading.Event()
        # With ENGINE=1 the engine beside the owner stands still as well.
        self._has_engine = os.environ.get("ENGINE", "0") == "1"
        self.count = 0

    def prepare(self) -> None:
        """Have the owner stopped after one of the next orders to arm, for some seconds."""
        self._has_stopped.clear()
        self._goes_on.clear()
        with self._lock:
            self._orders_left = self._rng.randrange(2, RANKS)
            self._seconds = self._rng.uniform(*STOP_SECONDS)
        self._engines.on_order = self._see

    def _see(self, order: dict[str, Any]) -> None:
        with self._lock:
            if order["op"] != "arm" or not self._orders_left:
                return
            self._orders_left -= 1
            if self._orders_left:
                return
            self._deployment.signal(OWNER, signal.SIGSTOP)
            if self._has_engine:
                self._engines.first_runs.clear()
            self.count += 1
            timer = threading.Timer(self._seconds, self._go_on)
            timer.daemon = True
            timer.start()
            self._has_stopped.set()
        self._record.write(f"{OWNER} is stopped")

    def _go_on(self) -> None:
        self._deployment.signal(OWNER, signal.SIGCONT)
        self._engines.first_runs.set()
        self._record.write(f"{OWNER} goes on")
        self._goes_on.set()

    def finish(self) -> None:
        """Wait until the process has been stopped and goes on, if an order to arm comes in time."""
        self._has_stopped.wait(ARM_SECONDS)
        with self._lock:
            self._orders_left = 0
        if self._has_stopped.is_set():
            self._goes_on.wait()
        time.sleep(REST_SECONDS)


def run(record: Record, seed: int, has_trouble: bool) -> int:
    """Run the case and return its exit code."""
    started_at = time.monotonic()
    rng = random.Random(seed)
    deployment = Deployment()
    # The deployment has ``RequireFencing`` false; with FENCING=1 the engines check fences.
    is_fenced = os.environ.get("FENCING", "0") == "1"
    has_late_orders = os.environ.get("LATE", "0") == "1"
    engines = RankGroupEngines(RANKS, LAYERS, EXPERTS, GEOMETRY, record, rng, is_fenced)
    stops = OwnerStops(deployment, engines, record, rng)
    try:
        services = [{"Name": "lith-llm", "MaxConnections": 408, "Engine": GEOMETRY}]
        routes = [route("describe", "lith-llm", "streaming", gap_aim_ms=120)]
        deployment.store.put("config", "main", configuration(routes, services))
        for rank in range(RANKS):
            deployment.store.put("servers", engines.ids[rank], engines.store_entry(rank))
        entry = deployment.add_entry("entry-1", retry_slack=88)
        ranks = [
            deployment.add_rank(f"side-{rank}", engines.addresses[rank]) for rank in range(RANKS)
        ]
        wait_until_ready(entry["ready"])
        deadline = time.monotonic() + 25
        callers = Callers(entry["http"], record)
        while not metric(ranks[0]["metrics"], "canvasyoke_owns_map"):
            if time.monotonic() > deadline:
                raise CaseError("no process owns the map")
            time.sleep(0.2)
        record.write("the map has an owner")
        for group in itertools.count(1):
            if time.monotonic() - started_at > RUN_SECONDS or engines.mismatches:
                break
            engines.move_demand(rng.randrange(1_000_000))
            if has_trouble and has_late_orders:
                engines.leave_orders_unanswered(LATE_SHARE, LATE_SECONDS)
            elif has_trouble:
                stops.prepare()
            record.write(f"requests, group {group}")
            callers.send()
            if has_trouble and not has_late_orders:
                stops.finish()
            else:
                time.sleep(rng.uniform(*PAUSE_SECONDS))
        changes = engines.activations
        record.write(
            f"answered={callers.answered} failed={callers.failed} map changes={changes} "
            f"stops={stops.count} late orders={engines.late_orders} "
            f"mismatches={engines.mismatches[:3]}"
        )
        for name in ("side-0", "side-1"):
            for line in deployment.log_path(name).read_text().splitlines():
                if "map" in line:
                    record.write(f"{name} {line[:400]}")
        # A stop shows that a change had begun.
        if not (changes or stops.count) or not callers.answered:
            raise CaseError("no map change was ever begun")
        if has_trouble and not stops.count and not engines.late_orders:
            raise CaseError("there was no disruption")
        return BROKEN if engines.mismatches else HELD
    finally:
        deployment.close()
        engines.first_runs.set()
        engines.close()


def main() -> int:
    """Run the case; ``SEED`` in the environment sets its seed."""
    record = Record(Path(__file__).with_name("record.txt"))
    seed = int(os.environ.get("SEED", "1"))
    try:
        code = run(record, seed, is_trouble_on())
    except CaseError as exc:
        record.write(f"not run: {exc}")
        code = NOT_RUN
    record.write(f"exit {code}")
    return code


if __name__ == "__main__":
    sys.exit(main())
