"""Runs direct entries as processes, with the store and engines in the test process."""

from __future__ import annotations

import http.client
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

from fakes.launcher import child_environment
from fakes.object_store import ObjectStore, StoreEndpoint
from fakes.platform_engine import PlatformEngine
from fakes.ports import free_address

ROOT = Path(__file__).resolve().parent.parent
KEY = "key-of-kibanda"
HOST = "reader.example"
#: Seconds to wait for an expected condition.
TIMEOUT_SECONDS = 20.0

LIMITS = {
    "MaxHeaderBytes": 4_096,
    "MaxBodyBytes": 20_000,
    "HeaderTimeoutMs": 500,
    "IdleTimeoutMs": 5_000,
}

#: Engine parameters of the rank groups of service ``ink``.
ENGINE = {
    "LinkMbps": 92_000.0,
    "sets": 2,
    "experts": 8,
    "places": 3,
    "spare": 1,
    "expert_mb": 1_700.0,
}


def route(name: str, service: str, kind: str = "unsafe", **fields: Any) -> dict[str, Any]:
    """Return the configuration of a route with the path prefix ``/NAME/``."""
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
    route("shelf-stream", "shelf", "streaming"),
    route("held", "held", "safe"),
    route("once", "ink", "streaming", StreamResume=False),
    route("short", "shelf", TimeoutMs=400),
    route("open", "shelf", AllowAnonymous=True),
]


def configuration(version: int, routes: list[dict[str, Any]] = ROUTES) -> dict[str, Any]:
    """Return a complete configuration."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": "shelf", "MaxConnections": 100},
            {"Name": "held", "MaxConnections": 100},
            {"Name": "ink", "Engine": ENGINE},
        ],
        "Limits": LIMITS,
        "Tenants": [{"Name": "kibanda", "ApiKeys": [KEY], "Priority": 2}],
    }


def wait_until(condition: Callable[[], Any], what: str, timeout: float = TIMEOUT_SECONDS) -> Any:
    """Poll ``condition`` and return its first true value."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"timed out waiting for: {what}")


@dataclass
class Reply:
    """Response to a request."""

    status: int
    headers: dict[str, str]
    body: bytes
    #: Whether the body was complete according to its framing.
    complete: bool = True


@dataclass
class DirectEntry:
    """Process of a direct entry."""

    name: str
    store: str
    folder: Path
    overrides: dict[str, Any] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.http, self.ready, self.peer, self.metrics = (free_address() for _ in range(4))
        self.settings = self.folder / f"{self.name}.yaml"
        self.write_settings({})
        self.log = (self.folder / f"{self.name}.log").open("w+")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "canvasyoke", "direct", "--settings", str(self.settings)],
            cwd=ROOT,
            env=child_environment(),
            stdout=self.log,
            stderr=self.log,
        )

    def write_settings(self, changes: dict[str, Any]) -> None:
        """Write the settings file with ``changes`` applied."""
        values = {
            "instance": self.name,
            "domain": "nbo-a",
            "http": self.http,
            "ready": self.ready,
            "peer": self.peer,
            "metrics": self.metrics,
            "store": self.store,
            "adapter": "objects",
            **self.overrides,
            **changes,
        }
        self.settings.write_text(yaml.safe_dump(values))

    def wait_ready(self) -> None:
        """Wait until the readiness check succeeds."""
        try:
            wait_until(lambda: self.ready_status() == 200, f"{self.name} is ready")
        except AssertionError as exc:
            exc.add_note(f"its process: {self.process.poll()}; its log: {self.logged()[-2_000:]}")
            raise

    def ready_status(self) -> int:
        """Return the status of the readiness check; 0 without a response."""
        try:
            return self.fetch(self.ready, "/ready").status
        except OSError:
            return 0

    def metric(self, name: str) -> float:
        """Return the value of a metric; 0 if it is absent."""
        page = self.fetch(self.metrics, "/metrics").body.decode()
        rows = dict(line.rsplit(" ", 1) for line in page.splitlines() if not line.startswith("#"))
        return float(rows.get(name, 0))

    def fetch(self, address: str, path: str) -> Reply:
        """Fetch ``path`` from an administrative address."""
        conn = http.client.HTTPConnection(address, timeout=TIMEOUT_SECONDS)
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
        """Send a request and read its response."""
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
        """Send a request and return its connection."""
        conn = http.client.HTTPConnection(self.http, timeout=TIMEOUT_SECONDS)
        sent = {"Host": HOST, "Request-Deadline": "6000"}
        if key:
            sent["Authorization"] = f"Bearer {key}"
        if request_id:
            sent["Attempt-Id"] = request_id
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        conn.request(method, path, body=body or None, headers=sent)
        return conn

    def logged(self) -> str:
        """Return the log of the process."""
        return Path(self.log.name).read_text()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def close(self) -> None:
        """Kill the process."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


def read_reply(conn: http.client.HTTPConnection) -> Reply:
    """Read a response to its end or to where it is truncated."""
    response = conn.getresponse()
    headers = dict(response.getheaders())
    try:
        return Reply(response.status, headers, response.read())
    except http.client.IncompleteRead as exc:
        return Reply(response.status, headers, exc.partial, complete=False)


class DirectFleet:
    """A store with engines and entries."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.store = ObjectStore()
        self.store_endpoint = StoreEndpoint(self.store)
        self.shelf = [PlatformEngine("shelf-1"), PlatformEngine("shelf-2")]
        #: Two rank groups: engines 1 and 2, and engine 3.
        self.ink = [
            PlatformEngine("ink-1", group="g-1"),
            PlatformEngine("ink-2", group="g-1"),
            PlatformEngine("ink-3", group="g-2"),
        ]
        self.entries: list[DirectEntry] = []
        self._store_endpoints = [self.store_endpoint]

    def populate_store(self, version: int = 3) -> None:
        """Write the configuration and all engines to the store."""
        self.store.put("config", "main", configuration(version))
        for engine in self.shelf:
            self.store.put("servers", engine.id, engine.store_entry("shelf"))
        for engine in self.ink:
            self.store.put("servers", engine.id, engine.store_entry("ink"))

    def add_store_endpoint(self) -> StoreEndpoint:
        """Open another endpoint of the store."""
        store_endpoint = StoreEndpoint(self.store)
        self._store_endpoints.append(store_endpoint)
        return store_endpoint

    def add_entry(self, store: str = "", **settings: Any) -> DirectEntry:
        """Start an entry process."""
        name = f"entry-{len(self.entries) + 1}"
        entry = DirectEntry(
            name, store or self.store_endpoint.address, Path(self._folder.name), settings
        )
        self.entries.append(entry)
        return entry

    def arrivals(self) -> int:
        """Return the number of requests received by all engines."""
        return sum(len(engine.arrivals) for engine in [*self.shelf, *self.ink])

    def queue_behaviour(self, engines: list[PlatformEngine], behaviour: Any) -> None:
        """Queue ``behaviour`` for the next request at each of ``engines``."""
        for engine in engines:
            engine.behaviours.append(behaviour)

    def close(self) -> None:
        """Stop all processes and servers."""
        for entry in self.entries:
            entry.close()
        for engine in [*self.shelf, *self.ink]:
            engine.close()
        for store_endpoint in self._store_endpoints:
            store_endpoint.close()
        self._folder.cleanup()
