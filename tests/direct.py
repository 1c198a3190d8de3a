"""Direct entries as real processes, with the store and engines in the test's process."""

from __future__ import annotations

import http.client
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from fakes.object_store import ObjectStore, StoreDoor
from fakes.platform_engine import PlatformEngine
from fakes.ports import free_address

ROOT = Path(__file__).resolve().parent.parent
KEY = "key-of-kibanda"
HOST = "reader.example"
#: Seconds within which something that must happen has happened.
PATIENCE = 20.0

LIMITS = {
    "MaxHeaderBytes": 4_096,
    "MaxBodyBytes": 20_000,
    "HeaderTimeoutMs": 500,
    "IdleTimeoutMs": 5_000,
}


#: Shape of the rank groups of service ``ink``.
ENGINE = {
    "LinkMbps": 92_000.0,
    "sets": 2,
    "experts": 8,
    "places": 3,
    "spare": 1,
    "expert_mb": 1_700.0,
}


def route(name: str, service: str, kind: str = "unsafe", **fields: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration, under ``/NAME/``."""
    base = {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "Service": service,
        "TimeoutMs": 8_000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "MaxAttempts": 2,
        "AllowAnonymous": False,
        "StreamResume": kind == "streaming",
    }
    return base | fields


ROUTES = [
    route("save", "shelf", MaxAttempts=1),
    route("safe", "shelf", "safe"),
    route("stream", "ink", "streaming"),
    route("once", "ink", "streaming", StreamResume=False),
    route("short", "shelf", TimeoutMs=400),
    route("open", "shelf", AllowAnonymous=True),
]


def configuration(version: int, routes: list[dict[str, Any]] = ROUTES) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": "shelf", "MaxConnections": 100}, {"Name": "ink", "Engine": ENGINE}],
        "Limits": LIMITS,
        "Tenants": [{"Name": "kibanda", "ApiKeys": [KEY], "Priority": 2}],
    }


def wait_until(happened: Callable[[], Any], what: str, patience: float = PATIENCE) -> Any:
    """Return what ``happened`` gives once it is true."""
    deadline = time.monotonic() + patience
    while time.monotonic() < deadline:
        value = happened()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"did not happen: {what}")


@dataclass
class Reply:
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes
    #: Whether the answer ended as its framing announced.
    whole: bool = True


@dataclass
class DirectEntry:
    """One entry's process."""

    name: str
    store: str
    folder: Path
    extra: dict[str, Any] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.http, self.ready, self.peer, self.metrics = (free_address() for _ in range(4))
        self.settings = self.folder / f"{self.name}.yaml"
        self.write_settings({})
        self.log = (self.folder / f"{self.name}.log").open("w+")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "canvasyoke", "direct", "--settings", str(self.settings)],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
            stdout=self.log,
            stderr=self.log,
        )

    def write_settings(self, changes: dict[str, Any]) -> None:
        """Write the settings file."""
        values = {
            "instance": self.name,
            "domain": "nbo-a",
            "http": self.http,
            "ready": self.ready,
            "peer": self.peer,
            "metrics": self.metrics,
            "store": self.store,
            "adapter": "objects",
            **self.extra,
            **changes,
        }
        self.settings.write_text(yaml.safe_dump(values))

    def wait_ready(self) -> None:
        """Wait until the balancer would send callers here."""
        try:
            wait_until(lambda: self.ready_status() == 200, f"{self.name} is ready")
        except AssertionError as exc:
            exc.add_note(f"its process: {self.process.poll()}; its log: {self.logged()[-2_000:]}")
            raise

    def ready_status(self) -> int:
        """Return what the balancer gets; 0 without an answer."""
        try:
            return self.fetch(self.ready, "/ready").status
        except OSError:
            return 0

    def metric(self, name: str) -> float:
        """Return a figure of the metrics page."""
        page = self.fetch(self.metrics, "/metrics").body.decode()
        rows = dict(line.rsplit(" ", 1) for line in page.splitlines() if not line.startswith("#"))
        return float(rows.get(name, 0))

    def fetch(self, address: str, path: str) -> Reply:
        """Get something that is not a caller's."""
        conn = http.client.HTTPConnection(address, timeout=PATIENCE)
        try:
            conn.request("GET", path)
            response = conn.getresponse()
            return Reply(response.status, dict(response.getheaders()), response.read())
        finally:
            conn.close()

    def call(
        self,
        path: str,
        method: str = "POST",
        body: bytes = b"",
        key: str = KEY,
        request_id: str = "r-1",
        **headers: str,
    ) -> Reply:
        """Make one request as a caller."""
        conn = self.send(path, method, body, key, request_id, **headers)
        try:
            return read_reply(conn)
        finally:
            conn.close()

    def send(
        self,
        path: str,
        method: str = "POST",
        body: bytes = b"",
        key: str = KEY,
        request_id: str = "r-1",
        **headers: str,
    ) -> http.client.HTTPConnection:
        """Send a request and return the connection that the answer will come on."""
        conn = http.client.HTTPConnection(self.http, timeout=PATIENCE)
        sent = {"Host": HOST, "Request-Deadline": "6000"}
        if key:
            sent["Authorization"] = f"Bearer {key}"
        if request_id:
            sent["Attempt-Id"] = request_id
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        conn.request(method, path, body=body or None, headers=sent)
        return conn

    def logged(self) -> str:
        """Return what the process has written."""
        return Path(self.log.name).read_text()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def close(self) -> None:
        """End the process."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


def read_reply(conn: http.client.HTTPConnection) -> Reply:
    """Read an answer to its end, or to where it breaks off."""
    response = conn.getresponse()
    headers = dict(response.getheaders())
    try:
        return Reply(response.status, headers, response.read())
    except http.client.IncompleteRead as exc:
        return Reply(response.status, headers, exc.partial, whole=False)


class DirectFleet:
    """A store, engines and entries."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.store = ObjectStore()
        self.door = StoreDoor(self.store)
        self.shelf = [PlatformEngine("shelf-1"), PlatformEngine("shelf-2")]
        #: Two groups: engines 1 and 2, and engine 3.
        self.ink = [
            PlatformEngine("ink-1", group="g-1"),
            PlatformEngine("ink-2", group="g-1"),
            PlatformEngine("ink-3", group="g-2"),
        ]
        self.entries: list[DirectEntry] = []
        self._doors = [self.door]

    def fill_store(self, version: int = 3) -> None:
        """Write the configuration and all engines into the store."""
        self.store.put("config", "main", configuration(version))
        for engine in self.shelf:
            self.store.put("servers", engine.id, engine.entry("shelf"))
        for engine in self.ink:
            self.store.put("servers", engine.id, engine.entry("ink"))

    def add_door(self) -> StoreDoor:
        """Return another address of the store."""
        door = StoreDoor(self.store)
        self._doors.append(door)
        return door

    def add_entry(self, store: str = "", **settings: Any) -> DirectEntry:
        """Start an entry."""
        name = f"entry-{len(self.entries) + 1}"
        entry = DirectEntry(name, store or self.door.address, Path(self._folder.name), settings)
        self.entries.append(entry)
        return entry

    def arrivals(self) -> int:
        """Return the requests that reached any engine."""
        return sum(len(engine.arrivals) for engine in [*self.shelf, *self.ink])

    def behave(self, engines: list[PlatformEngine], behaviour: Any) -> None:
        """Have each of ``engines`` treat its next request so."""
        for engine in engines:
            engine.behaviours.append(behaviour)

    def close(self) -> None:
        """End all that was started."""
        for entry in self.entries:
            entry.close()
        for engine in [*self.shelf, *self.ink]:
            engine.close()
        for door in self._doors:
            door.close()
        self._folder.cleanup()
