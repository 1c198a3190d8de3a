"""MAP: an engine that does not require fencing carries an order out late, after newer ones.

One entry and the rank processes of one group. Requests come in small groups; between them the
engines are idle and begin no pass. For 5 s from each arrival on, a share of the orders to the
engines gets no answer and is carried out 2 to 12 s later. The engines compare their maps as a pass
begins.
"""

from __future__ import annotations

import http.client
import itertools
import os
import random
import sys
import threading
import time
from pathlib import Path

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
#: Share of the orders that get no answer from the arrival of requests on, and for how many seconds:
#: the defaults of kinds, or with DOSE=site the figures of the site file.
LATE_SHARE, LATE_SECONDS = (0.35, 5.5) if os.environ.get("DOSE") == "site" else (0.5, 5.0)
#: Seconds from the start after which no further requests are sent.
RUN_SECONDS = 90.0
#: Seconds of the pause after each group of requests.
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


def run(record: Record, seed: int, has_trouble: bool) -> int:
    """Run the case and return its exit code."""
    started_at = time.monotonic()
    rng = random.Random(seed)
    deployment = Deployment()
    # The deployment has ``RequireFencing`` false; with FENCING=1 the engines check fences.
    is_fenced = os.environ.get("FENCING", "0") == "1"
    engines = RankGroupEngines(RANKS, LAYERS, EXPERTS, GEOMETRY, record, rng, is_fenced)
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
            if has_trouble:
                engines.leave_orders_unanswered(LATE_SHARE, LATE_SECONDS)
            record.write(f"requests, group {group}")
            callers.send()
            time.sleep(rng.uniform(*PAUSE_SECONDS))
        changes = engines.activations
        record.write(
            f"answered={callers.answered} failed={callers.failed} map changes={changes} "
            f"late orders={engines.late_orders} mismatches={engines.mismatches[:3]}"
        )
        for name in ("side-0", "side-1"):
            for line in deployment.log_path(name).read_text().splitlines():
                if "map" in line:
                    record.write(f"{name} {line[:400]}")
        if not changes or not callers.answered:
            raise CaseError("no map was ever changed")
        return BROKEN if engines.mismatches else HELD
    finally:
        deployment.close()
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
