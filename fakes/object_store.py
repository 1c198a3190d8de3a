"""Fake object store with paged lists, watches and conditional writes.

Runs in the test process, so that tests can change objects and inject faults directly.
"""

from __future__ import annotations

import copy
import json
import threading
import time
from collections import Counter
from contextlib import AbstractContextManager
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

from fakes.http_base import Handler, Server

_PAGE = 3
#: Result of a call whose connection is to be closed.
_DISCONNECT: tuple[int, dict[str, Any]] = (0, {})


@dataclass
class StoreFaults:
    """Active faults of one store endpoint."""

    #: Status returned for every call; 0 for none.
    status: int = 0
    #: Body returned for every call; empty for none.
    garbage: bytes = b""
    #: Whether connections are closed after a write instead of a response.
    lose_writes: bool = False
    #: Seconds by which every response is delayed.
    delay: float = 0.0
    #: Kinds of objects for which every call is rejected with status 503.
    rejected_kinds: frozenset[str] = frozenset()


@dataclass(frozen=True)
class StoreSnapshot:
    """Contents of the store at one revision."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]
    history: list[tuple[int, str, dict[str, Any], bool]]


class StoreEndpoint:
    """An HTTP address of the store with its own faults."""

    def __init__(self, store: ObjectStore) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        self.calls_by_kind: Counter[str] = Counter()
        #: Incremented to silence all connections opened before.
        self._silence_count = 0
        self._closed = threading.Event()
        endpoint = self

        class _Handler(Handler):
            def setup(self) -> None:
                super().setup()
                self._silence_count_at_open = endpoint._silence_count

            def handle_request(
                self, method: str, path: str, query: dict[str, str], body: bytes
            ) -> None:
                kind = path.split("/")[2]
                endpoint.calls += 1
                endpoint.calls_by_kind[kind] += 1
                faults = endpoint.faults
                headers = store.headers()
                if kind in faults.rejected_kinds:
                    self.reply(503, headers=headers)
                    return
                if faults.status:
                    self.reply(faults.status, headers=headers)
                    return
                if faults.garbage:
                    self.reply(200, faults.garbage, headers)
                    return
                status, value = store.answer(method, path, query, body)
                if faults.delay:
                    endpoint._closed.wait(faults.delay)
                if self._silence_count_at_open < endpoint._silence_count:
                    endpoint._closed.wait()
                    return
                if (status, value) == _DISCONNECT or (faults.lose_writes and method != "GET"):
                    self.abort_connection()
                else:
                    # Read again: the store may have been restored while a watch waited.
                    self.reply_json(value, status, store.headers())

        self._server = Server(("127.0.0.1", 0), _Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def silence_connections(self) -> None:
        """Stop responding on all open connections without closing them."""
        self._silence_count += 1

    def close(self) -> None:
        """Stop the server."""
        self._closed.set()
        self._server.shutdown()
        self._server.server_close()


class ObjectStore:
    """Objects with revisions and a history of changes."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._revision = 1
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        #: Revision, kind, object, and whether it was removed.
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._compacted_revision = 0
        #: Whether watches time out without reporting events.
        self._events_suppressed = False
        self._disconnects = 0
        #: Number of restores from a snapshot.
        self._era = 0
        #: Active watches by kind.
        self.watching: Counter[str] = Counter()

    def suppress_watch_events(self) -> None:
        """Hide all changes from watches."""
        with self._changed:
            self._events_suppressed = True

    def resume_watch_events(self) -> None:
        """Disconnect all watches, drop the history, and report new events again."""
        with self._changed:
            self._events_suppressed = False
            self._disconnects += 1
            self._compacted_revision = self._revision
            self._history.clear()
            self._changed.notify_all()

    def headers(self) -> dict[str, str]:
        """Return the headers of every response."""
        return {"Store-Era": str(self._era)}

    def locked(self) -> AbstractContextManager[object]:
        """Return a context manager that blocks all calls."""
        return self._changed

    def snapshot(self) -> StoreSnapshot:
        """Return a snapshot of the store."""
        with self._changed:
            return StoreSnapshot(self._revision, copy.deepcopy(self._objects), list(self._history))

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Restore a snapshot; revisions continue from the snapshot's."""
        with self._changed:
            self._era += 1
            self._disconnects += 1
            self._revision = snapshot.revision
            self._objects = copy.deepcopy(snapshot.objects)
            self._history = list(snapshot.history)
            self._changed.notify_all()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Create or replace an object; return its revision."""
        with self._changed:
            return int(self._put(kind, name, spec)["Metadata"]["Revision"])

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self._changed:
            removed = self._objects.pop((kind, name))
            self._record_change(kind, removed, True)

    def compact_history(self) -> None:
        """Make watches from an earlier revision fail with 410 after the next event."""
        with self._changed:
            self._compacted_revision = self._revision
            self._history.clear()

    def get(self, kind: str) -> dict[str, Any]:
        """Return the specs of all objects of a kind by name."""
        with self._changed:
            return {n: o["Spec"] for (k, n), o in self._objects.items() if k == kind}

    def answer(self, method: str, path: str, query: dict[str, str], body: bytes) -> tuple[int, Any]:
        """Handle one call; return its status and response value."""
        _, _, kind, *rest = path.split("/")
        with self._changed:
            if method == "GET" and "watch" in query:
                self.watching[kind] += 1
                try:
                    return self._watch(kind, int(query["watch"]), int(query["WaitMs"]))
                finally:
                    self.watching[kind] -= 1
            if method == "GET" and rest:
                existing = self._objects.get((kind, unquote(rest[0])))
                return (200, existing) if existing is not None else (404, {})
            if method == "GET":
                return self._list(kind, query.get("After", ""))
            sent = json.loads(body)
            if method == "POST":
                name = sent["Metadata"]["Name"]
                existing = self._objects.get((kind, name))
                if existing is not None:
                    return 409, existing
                return 200, self._put(kind, name, sent["Spec"])
            existing = self._objects.get((kind, rest[0]))
            if existing is None:
                return 404, {}
            if sent["Metadata"].get("Revision") not in (None, existing["Metadata"]["Revision"]):
                return 409, existing
            return 200, self._put(kind, rest[0], sent["Spec"])

    def _put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        existing = self._objects.get((kind, name))
        if existing is not None and existing["Spec"] == spec:
            return existing
        meta = {"Name": name, "Revision": self._revision + 1, "made": 1}
        created = {"Metadata": meta, "Spec": spec, "Status": None}
        self._objects[kind, name] = created
        self._record_change(kind, created, False)
        return created

    def _record_change(self, kind: str, changed: dict[str, Any], removed: bool) -> None:
        self._revision += 1
        self._history.append((self._revision, kind, changed, removed))
        self._changed.notify_all()

    def _list(self, kind: str, after: str) -> tuple[int, Any]:
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        items = [self._objects[kind, name] for name in names[:_PAGE]]
        return 200, {"Items": items, "more": len(names) > _PAGE, "at": self._revision}

    def _watch(self, kind: str, after: int, wait_ms: int) -> tuple[int, Any]:
        deadline = time.monotonic() + wait_ms / 1_000
        disconnects = self._disconnects
        while True:
            if disconnects != self._disconnects:
                return _DISCONNECT
            if after > self._revision:
                return 410, {}  # revision from before a restore
            if after < self._compacted_revision and any(
                changed_kind == kind for _, changed_kind, _, _ in self._history
            ):
                return 410, {}  # reported only once the kind has a new event
            events = [
                {"object": changed, "gone": removed}
                for revision, changed_kind, changed, removed in self._history
                if revision > after and changed_kind == kind
            ]
            remaining = deadline - time.monotonic()
            if remaining <= 0 or (events and not self._events_suppressed):
                visible = [] if self._events_suppressed else events
                return 200, {"events": visible, "at": self._revision}
            self._changed.wait(remaining)
