"""Starts the programs of the deploy file with settings rendered from its templates."""

from __future__ import annotations

import http.client
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
#: Where the deploy file expects the settings of a process.
_SETTINGS_PATH = "/etc/canvasyoke/node.json"
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_GAP = re.compile(r"\{\{([\w.]+)\}\}")
#: Ports below those that the kernel gives to outgoing connections.
_PORTS = range(12_000, 32_000)
_taken_ports: set[int] = set()
HOST = "reader.example"
KEY = "key-of-kibanda"

#: Bounds of the small sites.
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "ContactMs": 3000,
    "AckTimeoutMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxSkewMs": 5000,
    "StrictRevoke": False,
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "RetryWindowS": 10,
    "BudgetSlack": 92,
    "RecoveryS": 12,
    "pass_ms": 120,
    "again_s": 0,
    "stall_ms": 1500,
    "RequireFencing": True,
}


def free_address() -> str:
    """Return a loopback address whose port is free, another one each time."""
    for port in random.SystemRandom().sample(_PORTS, len(_PORTS)):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _taken_ports:
            _taken_ports.add(port)
            return f"127.0.0.1:{port}"
    raise OSError("no free port found")


def _look_up(name: str, fields: dict[str, Any]) -> Any:
    value: Any = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill a settings template as the platform does."""
    template = _SECTION.sub(lambda m: m[2] if _look_up(m[1], fields) else "", template)

    def fill(match: re.Match[str]) -> str:
        value = _look_up(match[1], fields)
        return "" if value is None else value if isinstance(value, str) else json.dumps(value)

    return _GAP.sub(fill, template)


def wait_until(condition: Callable[[], Any], what: str, timeout: float = 20.0) -> Any:
    """Poll ``condition`` and return its first true value."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise TimeoutError(f"timed out waiting for: {what}")


def fetch(address: str, path: str) -> tuple[int, bytes]:
    """Fetch ``path``; return status and body, 0 without an answer."""
    conn = http.client.HTTPConnection(address, timeout=5)
    try:
        conn.request("GET", path)
        response = conn.getresponse()
        return response.status, response.read()
    except OSError:
        return 0, b""
    finally:
        conn.close()


class Program:
    """One process of a role, on addresses of its own."""

    def __init__(self, role: str, name: str, store: str, folder: Path, **fields: Any) -> None:
        self.name = name
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][role]
        self.http, self.ready, self.peer, self.metrics = (free_address() for _ in range(4))
        ports = [int(each.rsplit(":", 1)[1]) for each in (self.peer, self.metrics)]
        self.fields: dict[str, Any] = {
            "NodeName": name,
            "Role": role,
            "MachineClass": deploy["on"],
            "Serves": deploy["serves"],
            "Ip": "127.0.0.1",
            "Zone": "nbo-a",
            "Region": "nbo",
            "Zones": {"nbo-a": "nbo"},
            "Listen": {"Front": self.http, "Readiness": self.ready},
            "InternalPortRange": ports,
            "HeartbeatMs": 1200,
            "Bounds": BOUNDS,
            "Platform": {"Address": store, "form": "objects"},
            **fields,
        }
        self._template = (ROOT / deploy["template"]).read_text()
        self.settings = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.write_settings()
        run = shlex.split(deploy["run"].replace(_SETTINGS_PATH, str(self.settings)))
        self._command = [sys.executable if part == "python3" else part for part in run]
        self.process: subprocess.Popen[bytes] | None = None
        self.start()

    def write_settings(self) -> None:
        """Lay the settings file."""
        self.settings.write_text(render(self._template, self.fields))

    def start(self) -> None:
        """Start the process, also once more after its end."""
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        env = {**kept, "PYTHONPATH": str(ROOT / "target/deps")}
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    def wait_ready(self) -> None:
        """Wait until the process calls itself ready."""
        wait_until(lambda: fetch(self.ready, "/ready")[0] == 200, f"{self.name} is ready")

    def metric(self, name: str) -> float:
        """Return a metric of the process; 0 without it."""
        page = fetch(self.metrics, "/metrics")[1].decode()
        rows = dict(line.rsplit(" ", 1) for line in page.splitlines() if not line.startswith("#"))
        return float(rows.get(name, 0))

    def logged(self) -> str:
        """Return the log of the process."""
        return self.log_path.read_text()


def route(name: str, service: str, kind: str = "unsafe", **fields: Any) -> dict[str, Any]:
    """Return a route with the path prefix ``/NAME/``."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "Service": service,
        "TimeoutMs": 8000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "MaxAttempts": 2,
        "AllowAnonymous": False,
        "StreamResume": kind == "streaming",
        **fields,
    }


def configuration(version: int, routes: list[dict[str, Any]], **fields: Any) -> dict[str, Any]:
    """Return a desired state."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": "shelf", "MaxConnections": 110}],
        "Limits": {
            "MaxHeaderBytes": 8192,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 20000,
        },
        "Tenants": [{"Name": "kibanda", "ApiKeys": [KEY]}],
        **fields,
    }


def server_entry(service: str, address: str, slots: int = 6, **fields: Any) -> dict[str, Any]:
    """Return the object that a server keeps of itself in the store."""
    return {
        "Service": service,
        "Address": address,
        "Zone": "nbo-a",
        "Version": "v1",
        "Slots": slots,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Sequence": 1,
        **fields,
    }
