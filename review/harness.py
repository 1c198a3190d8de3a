"""Starts the deployed roles as processes, and records what clients and stand-ins see."""

from __future__ import annotations

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from fakes.object_store import ObjectStore, StoreEndpoint
from fakes.ports import free_address

ROOT = Path(__file__).resolve().parent.parent
HOST = "rig.example"
KEY = "key-of-driller"
#: Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(RuntimeError):
    """Raised when a case cannot run."""


class Record:
    """Writes what was sent, answered and run; thread-safe."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
            self._file.flush()


def route(name: str, service: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return the configuration of a route with the path prefix ``/NAME/``."""
    base = {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "Service": service,
        "TimeoutMs": 8_000,
        "TargetLatencyMs": 500,
        "Priority": 1,
        "MaxAttempts": 2,
        "AllowAnonymous": False,
        "StreamResume": kind == "streaming",
    }
    return base | fields


def configuration(routes: list[dict[str, Any]], services: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a complete configuration with one tenant."""
    return {
        "Version": 3,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 8_192,
            "MaxBodyBytes": 1_048_576,
            "HeaderTimeoutMs": 2_000,
            "IdleTimeoutMs": 10_000,
        },
        "Tenants": [{"Name": "driller", "ApiKeys": [KEY], "Priority": 2}],
    }


class Deployment:
    """A store, and the processes of the project that use it."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.store = ObjectStore()
        self.store_endpoint = StoreEndpoint(self.store)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, list[str]] = {}

    def start(self, name: str, role: str, settings: dict[str, Any]) -> None:
        """Start a role with the command of the deploy file."""
        path = self.folder / f"{name}.yaml"
        path.write_text(json.dumps(settings))  # JSON is YAML
        command = [sys.executable, "-m", "canvasyoke", role, "--settings", str(path)]
        self._commands[name] = command
        self.restart(name)

    def restart(self, name: str) -> None:
        """Start a process again, after its end, with the same settings."""
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log_path(name).open("a") as log:
            self.processes[name] = subprocess.Popen(
                self._commands[name], cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def log_path(self, name: str) -> Path:
        """Return the path of a process's log."""
        return self.folder / f"{name}.log"

    def add_entry(self, name: str, domain: str = "hall-delft", **extra: Any) -> dict[str, Any]:
        """Start an entry; return its settings."""
        settings = {
            "instance": name,
            "domain": domain,
            "http": free_address(),
            "ready": free_address(),
            "peer": free_address(),
            "metrics": free_address(),
            "store": self.store_endpoint.address,
            "adapter": "objects",
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 92,
            **extra,
        }
        self.start(name, "direct", settings)
        return settings

    def add_rank(self, name: str, engine: str, domain: str = "hall-delft") -> dict[str, Any]:
        """Start a rank process beside an engine; return its settings."""
        settings = {
            "instance": name,
            "domain": domain,
            "engine": engine,
            "peer": free_address(),
            "metrics": free_address(),
            "store": self.store_endpoint.address,
            "adapter": "objects",
        }
        self.start(name, "ranks", settings)
        return settings

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def close(self) -> None:
        """Kill all processes and close the store."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.store_endpoint.close()
        self._folder.cleanup()


def wait_until_ready(address: str, timeout: float = 25.0) -> None:
    """Wait until an entry's readiness address answers 200."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if get_status(address, "/ready") == 200:
            return
        time.sleep(0.1)
    raise CaseError(f"no entry is ready at {address}")


def get_status(address: str, path: str) -> int:
    """Return the status of a GET; 0 without an answer."""
    conn = http.client.HTTPConnection(address, timeout=2)
    try:
        conn.request("GET", path)
        return conn.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        conn.close()


def metric(address: str, name: str) -> float:
    """Return a metric of a process; 0 if it is absent."""
    conn = http.client.HTTPConnection(address, timeout=2)
    try:
        conn.request("GET", "/metrics")
        page = conn.getresponse().read().decode()
    except (OSError, http.client.HTTPException):
        return 0.0
    finally:
        conn.close()
    rows = dict(line.rsplit(" ", 1) for line in page.splitlines() if not line.startswith("#"))
    return float(rows.get(name, 0))


def is_trouble_on() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
