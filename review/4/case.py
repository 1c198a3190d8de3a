"""A request that crashes its servers is quarantined while one of them still answers it."""

from __future__ import annotations

import http.client
import os
import subprocess
import sys
import threading
import time
from pathlib import Path

from fakes.object_store import ObjectStore, StoreEndpoint
from review.standins.deadly_server import DEADLY_PATH, WHOLE
from review.standins.deployment import (
    HOST,
    KEY,
    ROOT,
    Program,
    configuration,
    free_address,
    route,
    server_entry,
    wait_until,
)
from review.standins.record import Record
from review.standins.runner import BROKEN, HELD, NOT_RUN, Processes, run_case

FOLDER = Path(__file__).resolve().parent
IS_DISTURBED = os.environ.get("TROUBLE", "1") != "0"
SERVERS = 4
#: Requests that crash their servers, and harmless ones before them: 0.5 in 100 of all, and 3 in 100
#: of the answers of a server at most.
REQUESTS = 4
HARMLESS = 800
HARMLESS_CLIENTS = 8
#: Seconds between two requests that crash their servers, and from the first half of an answer to
#: them until its end.
GAP_SECONDS = 0.6
PAUSE_SECONDS = 2.0


def ask(address: str, attempt: str, path: str, bodies: dict[str, bytes], record: Record) -> None:
    """Send one request; keep the body of a complete success."""
    conn = http.client.HTTPConnection(address, timeout=20)
    headers = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Request-Deadline": "8000",
        "Authorization": f"Bearer {KEY}",
    }
    try:
        conn.request("GET", path, headers=headers)
        response = conn.getresponse()
        body = response.read()
        if 200 <= response.status < 300:
            bodies[attempt] = body
        outcome = f"status {response.status}, {body!r}"
    except (OSError, http.client.HTTPException) as exc:
        outcome = f"no complete answer: {exc!r}"
    finally:
        conn.close()
    if path == DEADLY_PATH or bodies.get(attempt) != WHOLE:
        record.add(f"answered {attempt}: {outcome}")


def ask_harmless(address: str, client: int, bodies: dict[str, bytes], record: Record) -> None:
    """Send harmless requests, one after the other."""
    for number in range(HARMLESS // HARMLESS_CLIENTS):
        attempt = f"harmless-{client}-{number}"
        ask(address, attempt, f"/fetch/{client}-{number}", bodies, record)


def ask_deadly(address: str, number: int, bodies: dict[str, bytes], record: Record) -> None:
    """Send a request that crashes its server, in its turn."""
    time.sleep(number * GAP_SECONDS)
    record.add(f"sent deadly-{number}: GET {DEADLY_PATH}")
    ask(address, f"deadly-{number}", DEADLY_PATH, bodies, record)


def run_all(threads: list[threading.Thread]) -> None:
    """Start threads and wait for their end."""
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def play(folder: Path, record: Record, closing: Processes) -> int:
    """Play the case; return the exit code."""
    store = ObjectStore()
    endpoint = StoreEndpoint(store)
    store.put("config", "main", configuration(1, [route("fetch", "shelf", "safe")]))
    names = [f"shelf-{number}" for number in range(1, SERVERS + 1)]
    for name in names:
        address = free_address()
        command = [sys.executable, "-m", "review.standins.deadly_server", name]
        command += [address.rsplit(":", 1)[1], str(PAUSE_SECONDS)]
        command += ["crashes" if IS_DISTURBED else "sound", str(folder)]
        with (folder / f"{name}.log").open("wb") as log:
            closing.append(subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log))
        store.put("servers", name, server_entry("shelf", address))
    entry = Program("entry", "front-1", endpoint.address, folder)
    assert entry.process is not None
    closing.append(entry.process)
    entry.wait_ready()
    wait_until(lambda: entry.metric("canvasyoke_backends") == SERVERS, "the list of servers")
    bodies: dict[str, bytes] = {}
    run_all(
        [
            threading.Thread(target=ask_harmless, args=(entry.http, client, bodies, record))
            for client in range(HARMLESS_CLIENTS)
        ]
    )
    record.add(f"{HARMLESS} harmless requests sent, {len(bodies)} answered with success")
    run_all(
        [
            threading.Thread(target=ask_deadly, args=(entry.http, number, bodies, record))
            for number in range(REQUESTS)
        ]
    )
    ran = [line for name in names for line in (folder / f"{name}.log").read_text().splitlines()]
    for line in ran:
        record.add(f"ran: {line}")
    return judge(bodies, sum(" crashes " in line for line in ran), record)


def judge(bodies: dict[str, bytes], crashes: int, record: Record) -> int:
    """Look for a success whose body is not the server's whole body."""
    cut = [attempt for attempt, body in sorted(bodies.items()) if body != WHOLE]
    for attempt in cut:
        record.add(f"BROKEN: the success of {attempt} has {len(bodies[attempt])} bytes")
    record.add(f"result: {len(cut)} answers break MIXED")
    if cut:
        return BROKEN
    is_whole = len(bodies) == REQUESTS + HARMLESS
    return HELD if (crashes if IS_DISTURBED else is_whole) else NOT_RUN


if __name__ == "__main__":
    run_case(FOLDER, play)
