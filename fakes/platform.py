"""Stand-in for the platform: an object API with versions and watches, an instance list.

``PUT /faults`` with JSON sets faults: ``slow_ms`` delays every answer, ``down``
refuses all, ``lose_answers`` drops the answers of that many writes after they took
effect, ``stale_ms`` lets reads lag, ``list_lag_ms`` lets the instance list lag.
``PUT /instances/NAME`` and ``DELETE /instances/NAME`` change the list.
``GET /calls`` tells the calls counted by kind.

    python -m fakes.platform 127.0.0.1:9000 nbo-a=127.0.0.1:9001 ...

Each further address serves the same store as one failure domain sees it: it has
faults of its own (``PUT /faults`` there), and an instance line whose ``views`` name
the domain is shown with the address given there, so that links can be led through
a proxy of their own for each domain.
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
    """What is wrong with the platform now."""

    slow_ms: int = 0
    down: bool = False
    lose_answers: int = 0
    stale_ms: int = 0
    list_lag_ms: int = 0


@dataclass
class Stored:
    """One object and what it was before."""

    version: int
    value: bytes
    written: float
    before: tuple[int, bytes] | None = None


@dataclass
class Store:
    """All state, under one condition that watches wait on."""

    changed: threading.Condition = field(default_factory=threading.Condition)
    objects: dict[str, Stored] = field(default_factory=dict)
    versions: int = 0
    instances: dict[str, dict[str, Any]] = field(default_factory=dict)
    list_history: list[tuple[float, list[dict[str, Any]]]] = field(default_factory=list)
    calls: Counter[str] = field(default_factory=Counter)

    def write(self, key: str, value: bytes, expected: int) -> tuple[bool, int]:
        """Write conditionally; return whether it took effect and the version."""
        with self.changed:
            old = self.objects.get(key)
            current = old.version if old else 0
            if current != expected:
                return False, current
            self.versions += 1
            before = (old.version, old.value) if old else None
            self.objects[key] = Stored(self.versions, value, time.monotonic(), before)
            self.changed.notify_all()
            return True, self.versions

    def read(self, key: str, faults: Faults) -> tuple[int, bytes] | None:
        """Return version and value, or an older version while reads are stale."""
        with self.changed:
            stored = self.objects.get(key)
            if stored is None:
                return None
            age = (time.monotonic() - stored.written) * 1_000
            if age < faults.stale_ms:
                return stored.before
            return stored.version, stored.value

    def watch(
        self, key: str, after: int, timeout: float, faults: Faults
    ) -> tuple[int, bytes] | None:
        """Wait for a version above ``after``."""
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
        """Add, change or remove a line of the instance list."""
        with self.changed:
            if value is None:
                self.instances.pop(name, None)
            else:
                self.instances[name] = {**value, "name": name}
            listed = [dict(v) for _, v in sorted(self.instances.items())]
            self.list_history.append((time.monotonic(), listed))

    def listed(self, view: str, faults: Faults) -> list[dict[str, Any]]:
        """Return the list as it was ``list_lag_ms`` ago, as ``view`` sees it."""
        with self.changed:
            limit = time.monotonic() - faults.list_lag_ms / 1_000
            past = [listed for at, listed in self.list_history if at <= limit]
        shown = []
        for line in past[-1] if past else []:
            address = line.get("views", {}).get(view, line["address"])
            shown.append({**line, "address": address})
        return shown


class PlatformHandler(Handler):
    """Serves one store, as one view of it."""

    store: Store
    view: str
    faults: Faults

    def handle_request(self, method: str, path: str, query: dict[str, str], body: bytes) -> None:
        """Answer one request."""
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
            self.break_off()
            return
        self.reply(200 if done else 409, b"", {"X-Object-Version": str(version)})

    def _reply_object(self, found: tuple[int, bytes] | None, absent: int) -> None:
        if found is None:
            self.reply(absent)
        else:
            self.reply(200, found[1], {"X-Object-Version": str(found[0])})


def serve(address: str, store: Store, view: str = "") -> Server:
    """Return a server on ``address`` for one view of ``store``, not yet started."""
    members = {"store": store, "view": view, "faults": Faults()}
    handler: Any = type("BoundHandler", (PlatformHandler,), members)
    host, port = address.rsplit(":", 1)
    return Server((host, int(port)), handler)


def main(address: str, views: list[str]) -> None:
    """Serve one store at ``address`` and at the address of each view."""
    store = Store()
    for each in views:
        view, _, view_address = each.partition("=")
        server = serve(view_address, store, view)
        threading.Thread(target=server.serve_forever, daemon=True).start()
    serve(address, store).serve_forever()


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2:])
