"""A stand-in for the platform's store: objects by kind, pages, watches, conditional writes.

Runs in the test's own process, which reaches into it to change objects and to make it
misbehave.
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
#: Stands for a call that is cut.
_CUT: tuple[int, dict[str, Any]] = (0, {})


@dataclass
class StoreFaults:
    """What is wrong with the store now."""

    #: Status that every call gets; 0 for none.
    status: int = 0
    #: Bytes that every call gets instead of its answer.
    garbage: bytes = b""
    #: Answers of writes are lost after they took effect.
    lose_writes: bool = False


@dataclass(frozen=True)
class StoreCopy:
    """All that the store held at one moment."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]
    history: list[tuple[int, str, dict[str, Any], bool]]


class StoreDoor:
    """An address at which the store is reached, with faults of its own."""

    def __init__(self, store: ObjectStore) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        #: Connections that were opened before the last hush say nothing any more.
        self._hushes = 0
        self._closed = threading.Event()
        door = self

        class _Handler(Handler):
            def setup(self) -> None:
                super().setup()
                self._opened_after = door._hushes

            def handle_request(
                self, method: str, path: str, query: dict[str, str], body: bytes
            ) -> None:
                door.calls += 1
                faults = door.faults
                headers = store.headers()
                if faults.status:
                    self.reply(faults.status, headers=headers)
                    return
                if faults.garbage:
                    self.reply(200, faults.garbage, headers)
                    return
                status, value = store.answer(method, path, query, body)
                if self._opened_after < door._hushes:
                    door._closed.wait()
                    return
                if (status, value) == _CUT or (faults.lose_writes and method != "GET"):
                    self.break_off()
                else:
                    # As of the answer: a watch may have waited through a return.
                    self.reply_json(value, status, store.headers())

        self._server = Server(("127.0.0.1", 0), _Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def hush(self) -> None:
        """Let the connections that are open fall silent for good, without a reset."""
        self._hushes += 1

    def close(self) -> None:
        """Stop serving."""
        self._closed.set()
        self._server.shutdown()
        self._server.server_close()


class ObjectStore:
    """Objects, revisions and history."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._revision = 1
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        #: Revision, kind, object and whether it went.
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._forgotten = 0
        #: Watches hear nothing of what changes, and end as if nothing had.
        self._mute = False
        self._cuts = 0
        #: Times that the store has come back from a copy.
        self._era = 0
        #: Watches that wait now, by kind of object.
        self.watching: Counter[str] = Counter()

    def mute(self) -> None:
        """Hide from watches what changes from now on."""
        with self._changed:
            self._mute = True

    def unmute(self) -> None:
        """Cut all watches, forget the history, and let watches hear what changes next."""
        with self._changed:
            self._mute = False
            self._cuts += 1
            self._forgotten = self._revision
            self._history.clear()
            self._changed.notify_all()

    def headers(self) -> dict[str, str]:
        """Return what every answer says of the store."""
        return {"Store-Era": str(self._era)}

    def held(self) -> AbstractContextManager[object]:
        """Keep all calls waiting meanwhile."""
        return self._changed

    def copy(self) -> StoreCopy:
        """Return a copy to come back from."""
        with self._changed:
            return StoreCopy(self._revision, copy.deepcopy(self._objects), list(self._history))

    def return_from(self, older: StoreCopy) -> None:
        """Forget all that came after a copy; revisions are given out again from there."""
        with self._changed:
            self._era += 1
            self._cuts += 1
            self._revision = older.revision
            self._objects = copy.deepcopy(older.objects)
            self._history = list(older.history)
            self._changed.notify_all()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Create or replace an object as the operator or an engine does."""
        with self._changed:
            return int(self._put(kind, name, spec)["Metadata"]["Revision"])

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self._changed:
            gone = self._objects.pop((kind, name))
            self._note(kind, gone, True)

    def forget_history(self) -> None:
        """Answer 410 to watches that go on from before now, once there is an event."""
        with self._changed:
            self._forgotten = self._revision
            self._history.clear()

    def get(self, kind: str) -> dict[str, Any]:
        """Return the specs of a kind by name."""
        with self._changed:
            return {n: o["Spec"] for (k, n), o in self._objects.items() if k == kind}

    def answer(self, method: str, path: str, query: dict[str, str], body: bytes) -> tuple[int, Any]:
        """Answer one call."""
        _, _, kind, *rest = path.split("/")
        with self._changed:
            if method == "GET" and "watch" in query:
                self.watching[kind] += 1
                try:
                    return self._watch(kind, int(query["watch"]), int(query["WaitMs"]))
                finally:
                    self.watching[kind] -= 1
            if method == "GET" and rest:
                there = self._objects.get((kind, unquote(rest[0])))
                return (200, there) if there is not None else (404, {})
            if method == "GET":
                return self._list(kind, query.get("After", ""))
            sent = json.loads(body)
            if method == "POST":
                name = sent["Metadata"]["Name"]
                there = self._objects.get((kind, name))
                if there is not None:
                    return 409, there
                return 200, self._put(kind, name, sent["Spec"])
            there = self._objects.get((kind, rest[0]))
            if there is None:
                return 404, {}
            if sent["Metadata"].get("Revision") not in (None, there["Metadata"]["Revision"]):
                return 409, there
            return 200, self._put(kind, rest[0], sent["Spec"])

    def _put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        there = self._objects.get((kind, name))
        if there is not None and there["Spec"] == spec:
            return there
        meta = {"Name": name, "Revision": self._revision + 1, "made": 1}
        made = {"Metadata": meta, "Spec": spec, "Status": None}
        self._objects[kind, name] = made
        self._note(kind, made, False)
        return made

    def _note(self, kind: str, changed: dict[str, Any], gone: bool) -> None:
        self._revision += 1
        self._history.append((self._revision, kind, changed, gone))
        self._changed.notify_all()

    def _list(self, kind: str, after: str) -> tuple[int, Any]:
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        items = [self._objects[kind, name] for name in names[:_PAGE]]
        return 200, {"Items": items, "more": len(names) > _PAGE, "at": self._revision}

    def _watch(self, kind: str, after: int, wait_ms: int) -> tuple[int, Any]:
        deadline = time.monotonic() + wait_ms / 1_000
        cuts = self._cuts
        while True:
            if cuts != self._cuts:
                return _CUT
            if after > self._revision:
                return 410, {}  # another era's
            if after < self._forgotten and any(of == kind for _, of, _, _ in self._history):
                return 410, {}  # told only with the next event of the kind
            events = [
                {"object": changed, "gone": gone}
                for revision, of, changed, gone in self._history
                if revision > after and of == kind
            ]
            left = deadline - time.monotonic()
            if left <= 0 or (events and not self._mute):
                heard = [] if self._mute else events
                return 200, {"events": heard, "at": self._revision}
            self._changed.wait(left)
