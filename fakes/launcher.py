"""Runs a small fleet as local processes on loopback, for the demo, tests and benchmarks."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

import urllib3
import yaml

from fakes.ports import free_address

LINK_KEY = "5f" * 32
ROOT = Path(__file__).resolve().parent.parent
_STOP_SECONDS = 30.0


def child_environment() -> dict[str, str]:
    """Return the environment of processes of the product."""
    path = (ROOT / "src", ROOT, ROOT / "fakes" / "child_process")
    return {**os.environ, "PYTHONPATH": os.pathsep.join(str(each) for each in path)}


class FleetError(RuntimeError):
    """Raised when the fleet fails to start or to reach an expected state."""


@dataclass(frozen=True)
class TargetSpec:
    """One target instance: a fake backend and its target process."""

    name: str
    domain: str
    service: str
    #: ``engine`` or ``plain``.
    kind: str
    rank: int = -1
    slots: int = 8


@dataclass(frozen=True)
class FleetSpec:
    """The processes of a fleet and their parameters."""

    domains: Sequence[str]
    entries_per_domain: int
    targets: Sequence[TargetSpec]
    experts: int = 16
    layers: int = 1
    token_ms: float = 5.0
    plain_ms: int = 5
    streams: int = 320
    log_level: str = "info"
    #: Whether links go through a fault-injecting proxy, with one route per target and
    #: source domain.
    proxied: bool = False
    #: Further settings of entries and targets.
    settings: Mapping[str, Any] = field(default_factory=dict)


@dataclass
class Ports:
    """Addresses of all processes in a fleet."""

    platform: str = ""
    #: Platform address by domain.
    views: dict[str, str] = field(default_factory=dict)
    proxy: str = ""
    entries: dict[str, str] = field(default_factory=dict)
    admin: dict[str, str] = field(default_factory=dict)
    links: dict[str, str] = field(default_factory=dict)
    backends: dict[str, str] = field(default_factory=dict)
    ranks: dict[str, str] = field(default_factory=dict)


def wait_until(condition: Callable[[], bool], what: str, seconds: float = 30.0) -> None:
    """Return once ``condition`` holds; raise :class:`FleetError` if it does not in time."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise FleetError(f"timed out after {seconds:g} s waiting for: {what}")
        time.sleep(0.02)


class Fleet:
    """A running fleet; a context manager that kills all its processes on exit."""

    def __init__(self, spec: FleetSpec) -> None:
        self.spec = spec
        self.ports = Ports()
        self.folder = Path(tempfile.mkdtemp(prefix="canvasyoke-"))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._http = urllib3.PoolManager(maxsize=8, retries=False)
        self._targets = {t.name: t for t in spec.targets}
        self._assign_ports()

    def __enter__(self) -> Fleet:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def _assign_ports(self) -> None:
        ports = self.ports
        ports.platform = free_address()
        ports.proxy = free_address()
        for domain in self.spec.domains:
            ports.views[domain] = free_address()
            for number in range(1, self.spec.entries_per_domain + 1):
                name = f"{domain}-entry-{number}"
                ports.entries[name] = free_address()
                ports.admin[name] = free_address()
        for target in self.spec.targets:
            ports.links[target.name] = free_address()
            ports.backends[target.name] = free_address()
            if target.rank >= 0:
                ports.ranks[target.name] = free_address(socket.SOCK_DGRAM)

    # Processes.

    def start(self) -> None:
        """Start all processes without waiting for them to be ready."""
        self.start_platform()
        for target in self.spec.targets:
            self.start_backend(target.name)
            self.start_target(target.name)
        for name in self.ports.entries:
            self.start_entry(name)

    def start_platform(self) -> None:
        """Start the fake platform and populate its instance list."""
        views = [f"{domain}={address}" for domain, address in self.ports.views.items()]
        self._start("platform", ["-m", "fakes.platform", self.ports.platform, *views])
        wait_until(lambda: is_listening(self.ports.platform), "platform answers")
        if self.spec.proxied:
            self._start("proxy", ["-m", "fakes.proxy", self.ports.proxy])
            wait_until(lambda: is_listening(self.ports.proxy), "proxy answers")
        for target in self.spec.targets:
            self.register_target(target.name)
        for name, address in self.ports.admin.items():
            self.register_instance(name, "entry", name.rsplit("-entry-", 1)[0], address)

    def register_target(self, name: str) -> None:
        """Add a target to the instance list, with proxy routes if the fleet is proxied."""
        target, address = self._targets[name], self.ports.links[name]
        views = {}
        for domain in self.spec.domains if self.spec.proxied else ():
            views[domain] = free_address()
            route = {"listen": views[domain], "to": address}
            self._call(self.ports.proxy, "PUT", f"/routes/{self.route(domain, name)}", route)
        self.register_instance(name, "target", target.domain, address, views=views)

    def route(self, domain: str, target: str) -> str:
        """Return the name of the proxy route from ``domain`` to ``target``."""
        return f"{domain}>{self._targets[target].domain}>{target}"

    def set_link_faults(self, routes: str, **faults: object) -> None:
        """Set faults on all proxy routes whose names start with ``routes``."""
        self._call(self.ports.proxy, "PUT", "/faults", {"routes": routes, **faults})

    def replay(self, route: str) -> int:
        """Replay the recorded traffic of a route; return the number of bytes received."""
        return int(self._call(self.ports.proxy, "POST", f"/replay/{route}")["received"])

    def partition_domain(self, domain: str, cut: bool = True) -> None:
        """Partition a domain from the platform and the other domains, or reconnect it."""
        self.set_faults(domain, down=cut)
        for other in self.spec.domains:
            if other != domain:
                self.set_link_faults(f"{domain}>{other}>", cut=cut)
                self.set_link_faults(f"{other}>{domain}>", cut=cut)

    def register_instance(
        self,
        name: str,
        role: str,
        domain: str,
        address: str,
        state: str = "live",
        views: Mapping[str, str] | None = None,
    ) -> None:
        """Add or replace an instance in the instance list."""
        instance = {
            "role": role,
            "domain": domain,
            "address": address,
            "state": state,
            "views": dict(views or {}),
        }
        self.platform_call("PUT", f"/instances/{name}", instance)

    def start_backend(self, name: str) -> None:
        """Start the fake backend of one target."""
        target = self._targets[name]
        address = self.ports.backends[name]
        if target.kind == "plain":
            arguments = [
                "-m",
                "fakes.plain",
                address,
                str(self.ledger(name)),
                str(self.spec.plain_ms),
            ]
        else:
            arguments = ["-m", "fakes.engine", json.dumps(self._engine_settings(target))]
        self._start(f"{name}-backend", arguments)

    def _engine_settings(self, target: TargetSpec) -> dict[str, Any]:
        ranked = sorted(
            (t for t in self.spec.targets if t.rank >= 0 and t.service == target.service),
            key=lambda t: t.rank,
        )
        return {
            "address": self.ports.backends[target.name],
            "slots": target.slots,
            "token_ms": self.spec.token_ms,
            "rank": target.rank,
            "ranks": [self.ports.ranks[t.name] for t in ranked] if target.rank >= 0 else [],
            "experts": self.spec.experts,
            "layers": self.spec.layers,
        }

    def start_target(self, name: str) -> None:
        """Start the target process of one target instance."""
        target = self._targets[name]
        adapter = "plain-http" if target.kind == "plain" else "engine-http"
        settings = {
            "instance": name,
            "domain": target.domain,
            "service": target.service,
            "listen": self.ports.links[name],
            "backend": {"address": self.ports.backends[name], "adapter": adapter},
            **self._common_settings(target.domain),
        }
        self._start_role("target", name, settings)

    def start_entry(self, name: str) -> None:
        """Start one entry process."""
        domain = name.rsplit("-entry-", 1)[0]
        settings = {
            "instance": name,
            "domain": domain,
            "http": self.ports.entries[name],
            "admin": self.ports.admin[name],
            "streams": self.spec.streams,
            **self._common_settings(domain),
        }
        self._start_role("entry", name, settings)

    def _common_settings(self, domain: str) -> dict[str, Any]:
        return {
            "link_key": LINK_KEY,
            "platform": {"address": self.ports.views[domain]},
            "log": {"level": self.spec.log_level},
            **self.spec.settings,
        }

    def _start_role(self, role: str, name: str, settings: Mapping[str, Any]) -> None:
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(dict(settings), sort_keys=False))
        self._start(name, ["-m", "canvasyoke", role, "--settings", str(path)])

    def _start(self, name: str, arguments: Sequence[str]) -> None:
        env = child_environment()
        with open(self.log(name), "ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *arguments], cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def pid(self, name: str) -> int:
        """Return the process id of a component."""
        return self._processes[name].pid

    def pids(self) -> dict[str, int]:
        """Return the process ids of all running components."""
        return {n: p.pid for n, p in self._processes.items() if p.poll() is None}

    def kill(self, name: str) -> None:
        """Kill a component with SIGKILL and wait for its exit."""
        process = self._processes[name]
        process.kill()
        process.wait()

    def pause(self, name: str) -> None:
        """Suspend a component with SIGSTOP."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended component."""
        self._processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a component without waiting for its exit."""
        self._processes[name].terminate()

    def wait(self, name: str, seconds: float = _STOP_SECONDS) -> int:
        """Wait for a component to exit; return its exit code."""
        return self._processes[name].wait(seconds)

    def close(self) -> None:
        """Kill all processes of the fleet that still run."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait()

    # Inspection.

    def log(self, name: str) -> Path:
        """Return the log file of a component."""
        return self.folder / f"{name}.log"

    def ledger(self, name: str) -> Path:
        """Return the ledger file of a fake plain service."""
        return self.folder / f"{name}.ledger"

    def platform_call(self, method: str, path: str, value: Any = None) -> Any:
        """Call the fake platform directly."""
        return self._call(self.ports.platform, method, path, value)

    def _call(self, address: str, method: str, path: str, value: Any = None) -> Any:
        body = json.dumps(value).encode() if value is not None else b""
        url = f"http://{address}{path}"
        response = self._http.request(method, url, body=body, timeout=5.0, retries=False)
        return json.loads(response.data) if response.data else None

    def set_faults(self, domain: str, **faults: object) -> None:
        """Set faults on the platform view of one domain."""
        self._call(self.ports.views[domain], "PUT", "/faults", faults)

    def status(self, entry: str) -> dict[str, Any]:
        """Return the status of an entry; empty if it does not respond."""
        try:
            url = f"http://{self.ports.admin[entry]}/status"
            response = self._http.request("GET", url, timeout=2.0, retries=False)
        except (urllib3.exceptions.HTTPError, OSError):
            return {}
        status: dict[str, Any] = json.loads(response.data) if response.status == 200 else {}
        return status

    def command(self, *arguments: str) -> tuple[int, str]:
        """Run a ``canvasyoke`` command; return its exit code and output."""
        env = child_environment()
        done = subprocess.run(
            [sys.executable, "-m", "canvasyoke", *arguments],
            cwd=ROOT,
            env=env,
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
        )
        return done.returncode, done.stdout + done.stderr

    def apply(self, files: Sequence[Path | str], generation: int) -> int:
        """Apply configuration files; return the resulting generation."""
        arguments = [str(f) for f in files]
        code, output = self.command(
            "apply", *arguments, "--platform", self.ports.platform, "--generation", str(generation)
        )
        if code:
            raise FleetError(f"apply failed: {output}")
        return int(output.rsplit(" ", 1)[1])

    def in_force_everywhere(self, generation: int) -> bool:
        """Return whether all entries and all targets have at least ``generation``."""
        return all(self._has_generation(entry, generation) for entry in self.ports.entries)

    def _has_generation(self, entry: str, generation: int) -> bool:
        status = self.status(entry)
        if not status or status["entry"]["generation"] < generation:
            return False
        up = [t for t in status["targets"] if t["connected"]]
        return len(up) == len(self._targets) and all(t["generation"] >= generation for t in up)

    def wait_ready(self, generation: int, seconds: float = 30.0) -> None:
        """Wait until ``generation`` is in force everywhere and all key slots are held."""
        wait_until(lambda: self.in_force_everywhere(generation), "in force everywhere", seconds)
        wait_until(self._key_slots_held, "all key slots are held", seconds)

    def _key_slots_held(self) -> bool:
        plain = {t.service for t in self.spec.targets if t.kind == "plain"}
        for entry in self.ports.entries:
            targets = self.status(entry).get("targets", [])
            for service in plain:
                if sum(t["key_slots"] for t in targets if t["service"] == service) < 16:
                    return False
        return True


def is_listening(address: str) -> bool:
    """Return whether a process accepts connections on ``address``."""
    host, port = address.rsplit(":", 1)
    try:
        with socket.create_connection((host, int(port)), timeout=1.0):
            return True
    except OSError:
        return False
