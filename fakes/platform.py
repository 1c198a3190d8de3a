"""Fake platform: versioned objects with watches, and an instance list.

    python -m fakes.platform 127.0.0.1:9000 nbo-a=127.0.0.1:9001 ...

``PUT /faults`` sets faults from JSON: ``slow_ms`` delays all responses, ``down`` refuses all
calls, ``lose_answers`` drops the responses of that many successful writes, ``stale_ms`` delays
the visibility of writes to reads, ``list_lag_ms`` delays the instance list.
``PUT /instances/NAME`` and ``DELETE /instances/NAME`` change the list.
``GET /calls`` returns call counts by kind.

Each further address serves the same store to one failure domain, with its own faults. Instances
whose ``views`` contain the domain are listed with the address given there, so that links can be
routed through a proxy per domain.
"""

from __future__ import annotations

import json
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote

from fakes.http_base import Handler, Server

MAX_VALUE_BYTES = 1 << 20


@dataclass
class Faults:
    """Active faults of one view."""

    slow_ms: int = 0
    down: bool = False
    lose_answers: int = 0
    stale_ms: int = 0
    list_lag_ms: int = 0


@dataclass
class Stored:
    """An object and its previous version."""

    version: int
    value: bytes
    written: float
    previous: tuple[int, bytes] | None = None


@dataclass
class Store:
    """Shared state, guarded by the condition that watches wait on."""

    changed: threading.Condition = field(default_factory=threading.Condition)
    objects: dict[str, Stored] = field(default_factory=dict)
    last_version: int = 0
    instances: dict[str, dict[str, Any]] = field(default_factory=dict)
    list_history: list[tuple[float, list[dict[str, Any]]]] = field(default_factory=list)
    calls: Counter[str] = field(default_factory=Counter)

    def write(self, key: str, value: bytes, expected: int) -> tuple[bool, int]:
        """Write if the version matches; return whether it did and the current version."""
        with self.changed:
            old = self.objects.get(key)
            current = old.version if old else 0
            if current != expected:
                return False, current
            self.last_version += 1
            previous = (old.version, old.value) if old else None
            self.objects[key] = Stored(self.last_version, value, time.monotonic(), previous)
            self.changed.notify_all()
            return True, self.last_version

    def read(self, key: str, faults: Faults) -> tuple[int, bytes] | None:
        """Return version and value, or the previous version while reads are stale."""
        with self.changed:
            stored = self.objects.get(key)
            if stored is None:
                return None
            age = (time.monotonic() - stored.written) * 1_000
            if age < faults.stale_ms:
                return stored.previous
            return stored.version, stored.value

    def watch(
        self, key: str, after: int, timeout: float, faults: Faults
    ) -> tuple[int, bytes] | None:
        """Wait for a version greater than ``after``."""
        end = time.monotonic() + timeout
        with self.changed:
            while not faults.down:
                stored = self.objects.get(key)
                if stored is not None and stored.version > after:
                    return stored.version, stored.value
                remaining = end - time.monotonic()
                if remaining <= 0:
                    return None
                self.changed.wait(remaining)
        return None

    def change_instance(self, name: str, value: dict[str, Any] | None) -> None:
        """Add, replace or remove an instance."""
        with self.changed:
            if value is None:
                self.instances.pop(name, None)
            else:
                self.instances[name] = {**value, "name": name}
            listed = [dict(v) for _, v in sorted(self.instances.items())]
            self.list_history.append((time.monotonic(), listed))

    def listed(self, view: str, faults: Faults) -> list[dict[str, Any]]:
        """Return the instance list of ``view`` as of ``list_lag_ms`` ago."""
        with self.changed:
            limit = time.monotonic() - faults.list_lag_ms / 1_000
            past = [listed for at, listed in self.list_history if at <= limit]
        shown = []
        for line in past[-1] if past else []:
            address = line.get("views", {}).get(view, line["address"])
            shown.append({**line, "address": address})
        return shown


class PlatformHandler(Handler):
    """HTTP interface to one view of a store."""

    store: Store
    view: str
    faults: Faults

    def handle_request(self, method: str, path: str, query: dict[str, str], body: bytes) -> None:
        """Handle one request."""
        if path == "/faults":
            self._set_faults(body)
        elif path == "/calls":
            self.reply_json(dict(self.store.calls))
        elif path.startswith("/instances/"):
            value = json.loads(body) if method == "PUT" else None
            self.store.change_instance(path.removeprefix("/instances/"), value)
            self.reply(200)
        else:
            self._serve(method, path, query, body)

    def _set_faults(self, body: bytes) -> None:
        with self.store.changed:
            for name, value in json.loads(body or b"{}").items():
                setattr(self.faults, name, value)
            self.store.changed.notify_all()
        self.reply(200)

    def _serve(self, method: str, path: str, query: dict[str, str], body: bytes) -> None:
        faults = self.faults
        if faults.slow_ms:
            time.sleep(faults.slow_ms / 1_000)
        if faults.down:
            self.reply(503)
            return
        if path == "/instances":
            self.store.calls["list"] += 1
            self.reply_json(self.store.listed(self.view, faults))
        elif path == "/keys":
            self.store.calls["keys"] += 1
            prefix = query.get("prefix", "")
            with self.store.changed:
                keys = sorted(k for k in self.store.objects if k.startswith(prefix))
            self.reply_json(keys)
        elif path.startswith("/objects/"):
            self._serve_object(method, unquote(path.removeprefix("/objects/")), query, body)
        else:
            self.reply(404)

    def _serve_object(self, method: str, key: str, query: dict[str, str], body: bytes) -> None:
        if method == "PUT":
            self._put(key, body)
        elif method == "DELETE":
            self.store.calls["write"] += 1
            with self.store.changed:
                self.store.objects.pop(key, None)
            self.reply(200)
        elif "after" in query:
            self.store.calls["watch"] += 1
            timeout = int(query.get("timeout", "0")) / 1_000
            found = self.store.watch(key, int(query["after"]), timeout, self.faults)
            if self.faults.down:
                self.reply(503)
            else:
                self._reply_object(found, 204)
        else:
            self.store.calls["read"] += 1
            self._reply_object(self.store.read(key, self.faults), 404)

    def _put(self, key: str, body: bytes) -> None:
        self.store.calls["write"] += 1
        if len(body) > MAX_VALUE_BYTES:
            self.reply(413)
            return
        expected = int(self.headers.get("X-Object-Version") or 0)
        done, version = self.store.write(key, body, expected)
        with self.store.changed:
            lose = done and self.faults.lose_answers > 0
            if lose:
                self.faults.lose_answers -= 1
        if lose:
            self.abort_connection()
            return
        self.reply(200 if done else 409, b"", {"X-Object-Version": str(version)})

    def _reply_object(self, found: tuple[int, bytes] | None, absent: int) -> None:
        if found is None:
            self.reply(absent)
        else:
            self.reply(200, found[1], {"X-Object-Version": str(found[0])})


def serve(address: str, store: Store, view: str = "") -> Server:
    """Create a server for one view of ``store`` without starting it."""
    members = {"store": store, "view": view, "faults": Faults()}
    handler: Any = type("BoundHandler", (PlatformHandler,), members)
    host, port = address.rsplit(":", 1)
    return Server((host, int(port)), handler)


def main(address: str, views: list[str]) -> None:
    """Serve one store at ``address`` and at each view's address."""
    store = Store()
    for each in views:
        view, _, view_address = each.partition("=")
        server = serve(view_address, store, view)
        threading.Thread(target=server.serve_forever, daemon=True).start()
    serve(address, store).serve_forever()


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2:])
