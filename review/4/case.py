"""A leaving server ends while it answers streams without a length."""

from __future__ import annotations

import http.client
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from fakes.object_store import ObjectStore, StoreEndpoint
from fakes.ports import free_address
from review.standins.deployment import (
    BOUNDS,
    HOST,
    KEY,
    ROOT,
    Program,
    configuration,
    route,
    server_entry,
    wait_until,
)
from review.standins.record import Record
from review.standins.stream_server import LONG_PATH, SHORT_EVENTS, event

FOLDER = Path(__file__).resolve().parent
IS_DISTURBED = os.environ.get("TROUBLE", "1") != "0"
#: One of seven servers leaves: 15 in 100 at most.
SERVERS = 7
LEAVING = "writer-1"
#: Short streams before the long ones, so that those without a length are 3 in 100 at most.
SHORT_STREAMS = 800
SHORT_CLIENTS = 8
LONG_STREAMS = 28
EVENTS = 40
PAUSE_SECONDS = 0.1
#: Seconds from the first request until a server says that it leaves, and from then until it ends.
NOTICE_AFTER = 0.5
ENDS_AFTER = BOUNDS["DrainMs"] / 1_000 + 0.5
WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


@dataclass
class Answer:
    """What a client got."""

    status: int = 0
    body: bytes = b""
    is_complete: bool = False


def ask(address: str, attempt: str, path: str) -> Answer:
    """Send one request and read its stream to the end."""
    conn = http.client.HTTPConnection(address, timeout=20)
    headers = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Request-Deadline": "8000",
        "Authorization": f"Bearer {KEY}",
    }
    conn.request("POST", path, body=f"prompt of {attempt}".encode(), headers=headers)
    response = conn.getresponse()
    answer = Answer(response.status)
    try:
        answer.body = response.read()
        answer.is_complete = True
    except http.client.IncompleteRead as exc:
        answer.body = exc.partial
    conn.close()
    return answer


def ask_long(address: str, number: int, answers: list[Answer], record: Record) -> None:
    """Request one long stream."""
    record.add(f"sent long-{number}")
    answer = ask(address, f"long-{number}", f"{LONG_PATH}{number}")
    answers.append(answer)
    record.add(
        f"answered long-{number}: status {answer.status}, {answer.body.count(b'id: ')} events,"
        f" {'complete' if answer.is_complete else 'broken off'}"
    )


def ask_short(address: str, client: int, wrong: list[str]) -> None:
    """Request short streams, one after the other."""
    for number in range(SHORT_STREAMS // SHORT_CLIENTS):
        answer = ask(address, f"short-{client}-{number}", f"/talk/short/{number}")
        if not answer.is_complete or answer.body.count(b"id: ") != SHORT_EVENTS:
            wrong.append(f"short-{client}-{number}: status {answer.status}")


def start_servers(
    folder: Path, store: ObjectStore, closing: list[subprocess.Popen[bytes]]
) -> dict[str, tuple[str, subprocess.Popen[bytes]]]:
    """Start the servers and enter them in the store; return addresses and processes."""
    servers: dict[str, tuple[str, subprocess.Popen[bytes]]] = {}
    for number in range(1, SERVERS + 1):
        name, address = f"writer-{number}", free_address()
        command = [sys.executable, "-m", "review.standins.stream_server", name]
        command += [address.rsplit(":", 1)[1], str(EVENTS), str(PAUSE_SECONDS)]
        with (folder / f"{name}.log").open("wb") as log:
            process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        closing.append(process)
        servers[name] = (address, process)
        store.put("servers", name, server_entry("writers", address))
    return servers


def run_all(threads: list[threading.Thread]) -> None:
    """Start threads and wait for their end."""
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def play(folder: Path, record: Record, closing: list[subprocess.Popen[bytes]]) -> int:
    """Play the case; return the exit code."""
    store = ObjectStore()
    endpoint = StoreEndpoint(store)
    desired = configuration(
        1, [route("talk", "writers", "streaming")], Services=[{"Name": "writers"}]
    )
    store.put("config", "main", desired)
    servers = start_servers(folder, store, closing)
    entry = Program("entry", "front-1", endpoint.address, folder)
    assert entry.process is not None
    closing.append(entry.process)
    entry.wait_ready()
    wait_until(lambda: entry.metric("canvasyoke_backends") == SERVERS, "the list of servers")
    wrong: list[str] = []
    run_all(
        [
            threading.Thread(target=ask_short, args=(entry.http, client, wrong))
            for client in range(SHORT_CLIENTS)
        ]
    )
    record.add(f"{SHORT_STREAMS} short streams sent, wrong answers: {wrong}")
    answers: list[Answer] = []
    threads = [
        threading.Thread(target=ask_long, args=(entry.http, number, answers, record))
        for number in range(LONG_STREAMS)
    ]
    if IS_DISTURBED:
        threads.append(threading.Thread(target=leave, args=(store, *servers[LEAVING], record)))
    run_all(threads)
    for name in servers:
        for line in (folder / f"{name}.log").read_text().splitlines():
            record.add(f"ran: {line}")
    endpoint.close()
    return judge(answers, record)


def leave(
    store: ObjectStore, address: str, process: subprocess.Popen[bytes], record: Record
) -> None:
    """Have a server say that it leaves, and end it later than it has to serve."""
    time.sleep(NOTICE_AFTER)
    store.put("servers", LEAVING, server_entry("writers", address, State="draining"))
    record.add(f"{LEAVING} says that it leaves")
    time.sleep(ENDS_AFTER)
    process.send_signal(signal.SIGTERM)
    process.wait()
    store.remove("servers", LEAVING)
    record.add(f"{LEAVING} has ended")


def judge(answers: list[Answer], record: Record) -> int:
    """Return 1 if a stream ended as complete before its last event, or has wrong events."""
    successes = [answer for answer in answers if answer.status == 200]
    short = [a for a in successes if a.is_complete and a.body != WHOLE]
    mixed = [a for a in successes if not WHOLE.startswith(a.body)]
    record.add(f"result: {len(short)} of {len(answers)} streams end as complete too early")
    record.add(f"result: {len(mixed)} of {len(answers)} streams have wrong events")
    if not IS_DISTURBED and len(successes) < len(answers):
        record.add("could not run: not every stream was answered")
        return 2
    return 1 if short or mixed else 0


def main() -> int:
    """Run the case and end all processes that it started."""
    record = Record(FOLDER)
    closing: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            return play(Path(folder), record, closing)
        except (OSError, TimeoutError) as exc:
            record.add(f"could not run: {exc!r}")
            return 2
        finally:
            for process in closing:
                if process.poll() is None:
                    process.kill()
                process.wait()


if __name__ == "__main__":
    sys.exit(main())
