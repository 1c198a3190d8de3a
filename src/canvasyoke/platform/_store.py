"""The platform's store: lists in pages, watches, conditional writes.

The only client of the store; every process makes its calls through one of these.
"""

from __future__ import annotations

from typing import Any, Final
from urllib.parse import quote, urlencode

import msgspec
import urllib3

from canvasyoke._clock import SECOND
from canvasyoke.platform._config import decode_table
from canvasyoke.state import (
    FLEET_STORES,
    Endpoint,
    EndpointChanges,
    EndpointList,
    EndpointsSeen,
    EndpointState,
    FleetStore,
    HistoryGone,
    Note,
    NothingNew,
    RoutingTable,
    TableRead,
    TableSeen,
    Unavailable,
    Unusable,
)

#: Milliseconds for a connection to the store and for an answer that does not wait. The
#: store answers in 4 ms; fifty times that when it is slow.
_CONNECT_TIMEOUT: Final = 1 * SECOND
_CALL_TIMEOUT: Final = 2 * SECOND
#: Connections kept: two watches and one call.
_CONNECTIONS: Final = 3
_OK: Final = 200
_CREATED: Final = 201
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_GONE: Final = 410

_ENDPOINTS: Final = "servers"
_CONFIG: Final = "config"
_CONFIG_NAME: Final = "main"


class _Metadata(msgspec.Struct, frozen=True):
    name: str = msgspec.field(name="Name")
    revision: int = msgspec.field(name="Revision", default=0)


class _Object(msgspec.Struct, frozen=True):
    meta: _Metadata = msgspec.field(name="Metadata")
    spec: msgspec.Raw = msgspec.field(name="Spec", default=msgspec.Raw(b"null"))


class _Page(msgspec.Struct, frozen=True):
    items: list[_Object] = msgspec.field(name="Items")
    revision: int = msgspec.field(name="at")
    more: bool | str = False


class _Event(msgspec.Struct, frozen=True):
    object: _Object
    gone: bool = False


class _Events(msgspec.Struct, frozen=True):
    events: list[_Event]
    revision: int = msgspec.field(name="at")


class _Server(msgspec.Struct, frozen=True):
    service: str = msgspec.field(name="Service", default="")
    address: str = msgspec.field(name="Address", default="")
    zone: str = msgspec.field(name="Zone", default="")
    slots: int = msgspec.field(name="Slots", default=1)
    state: str = msgspec.field(name="State", default="ready")


class _NoteOut(msgspec.Struct, frozen=True):
    meta: dict[str, Any] = msgspec.field(name="Metadata")
    spec: Any = msgspec.field(name="Spec")


@FLEET_STORES.register("objects")
class ObjectsFleetStore(FleetStore):
    """Calls to ``/objects/KIND``."""

    def __init__(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=_CONNECTIONS, retries=False
        )

    def endpoints(self) -> EndpointList | Unavailable | Unusable:
        """Return every endpoint."""
        listed = self._list(_ENDPOINTS)
        if isinstance(listed, Unavailable | Unusable):
            return listed
        items, revision = listed
        endpoints = [_endpoint(item) for item in items]
        fault = next((e for e in endpoints if isinstance(e, Unusable)), None)
        if fault is not None:
            return fault
        return EndpointList(tuple(e for e in endpoints if isinstance(e, Endpoint)), revision)

    def watch_endpoints(self, after: int, wait: int) -> EndpointsSeen:
        """Wait for changes of backends."""
        seen = self._watch(_ENDPOINTS, after, wait)
        if not isinstance(seen, _Events):
            return seen
        changes: list[tuple[Endpoint, bool]] = []
        for event in seen.events:
            endpoint = _endpoint(event.object)
            if isinstance(endpoint, Unusable):
                return endpoint
            changes.append((endpoint, event.gone))
        return EndpointChanges(tuple(changes), seen.revision)

    def table(self) -> TableSeen:
        """Return the configuration in the store."""
        listed = self._list(_CONFIG)
        if isinstance(listed, Unavailable | Unusable):
            return listed
        items, revision = listed
        return _table_in(items, revision)

    def watch_table(self, after: int, wait: int) -> TableSeen:
        """Wait for another configuration."""
        seen = self._watch(_CONFIG, after, wait)
        if not isinstance(seen, _Events):
            return seen
        return _table_in([e.object for e in seen.events if not e.gone], seen.revision)

    def parse_table(self, document: bytes) -> RoutingTable | Unusable:
        """Return the table in ``document``."""
        return decode_table(document)

    def notes(self, kind: str, may_be_old: bool = False) -> list[Note] | Unavailable | Unusable:
        """Return the system's own objects of ``kind``."""
        listed = self._list(kind, may_be_old)
        if isinstance(listed, Unavailable | Unusable):
            return listed
        return [_note(item) for item in listed[0]]

    def create_note(self, kind: str, name: str, body: bytes) -> Note | Unavailable | Unusable:
        """Create an object, or return the one that is there."""
        out = _NoteOut({"Name": name}, msgspec.Raw(body))
        answer = self._call("POST", f"/objects/{kind}", msgspec.json.encode(out))
        if isinstance(answer, Unavailable):
            return answer
        if answer.status not in (_OK, _CREATED, _CONFLICT):
            return Unavailable(f"status {answer.status}", ambiguous=True)
        return _decode_note(answer.data)

    def put_note(self, kind: str, name: str, body: bytes) -> Note | Unavailable | Unusable:
        """Create or replace an object."""
        made = self.create_note(kind, name, body)
        if not isinstance(made, Note) or made.body == body:
            return made
        out = _NoteOut({"Name": name, "Revision": made.revision}, msgspec.Raw(body))
        path = f"/objects/{kind}/{quote(name, safe='')}"
        answer = self._call("PUT", path, msgspec.json.encode(out))
        if isinstance(answer, Unavailable):
            return answer
        if answer.status != _OK:
            return Unavailable(f"status {answer.status}", ambiguous=True)
        return _decode_note(answer.data)

    def _list(
        self, kind: str, may_be_old: bool = False
    ) -> tuple[list[_Object], int] | Unavailable | Unusable:
        """Return all objects of ``kind`` and the revision of the first page.

        A watch from that revision repeats what changed while later pages were read.
        """
        items: list[_Object] = []
        revision = 0
        after = ""
        while True:
            query = {"stale": "1"} if may_be_old else {}
            if after:
                query["After"] = after
            answer = self._call("GET", f"/objects/{kind}?{urlencode(query)}")
            if isinstance(answer, Unavailable):
                return answer
            if answer.status == _NOT_FOUND:
                return items, revision
            if answer.status != _OK:
                return Unavailable(f"status {answer.status}")
            try:
                page = msgspec.json.decode(answer.data, type=_Page)
            except msgspec.MsgspecError as exc:
                return Unusable(f"a list of {kind} cannot be read: {exc}")
            items.extend(page.items)
            revision = revision or page.revision
            if not page.more or not page.items:
                return items, revision
            after = page.items[-1].meta.name

    def _watch(
        self, kind: str, after: int, wait: int
    ) -> _Events | NothingNew | HistoryGone | Unavailable | Unusable:
        path = f"/objects/{kind}?watch={after}&WaitMs={wait}"
        answer = self._call("GET", path, timeout=wait + _CALL_TIMEOUT)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == _GONE:
            return HistoryGone()
        if answer.status != _OK:
            return Unavailable(f"status {answer.status}")
        try:
            seen = msgspec.json.decode(answer.data, type=_Events)
        except msgspec.MsgspecError as exc:
            return Unusable(f"a watch of {kind} cannot be read: {exc}")
        return seen if seen.events else NothingNew(seen.revision)

    def _call(
        self, method: str, path: str, body: bytes | None = None, timeout: int = _CALL_TIMEOUT
    ) -> urllib3.BaseHTTPResponse | Unavailable:
        limits = urllib3.Timeout(connect=_CONNECT_TIMEOUT / SECOND, read=timeout / SECOND)
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            return self._pool.urlopen(
                method, path, body=body, headers=headers, timeout=limits, redirect=False
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return Unavailable(f"{type(exc).__name__}: {exc}", ambiguous=method != "GET")


def _table_in(items: list[_Object], revision: int) -> TableSeen:
    """Return the newest configuration among ``items``."""
    documents = [bytes(item.spec) for item in items if item.meta.name == _CONFIG_NAME]
    if not documents:
        return NothingNew(revision)
    table = decode_table(documents[-1])
    return table if isinstance(table, Unusable) else TableRead(table, revision, documents[-1])


def _endpoint(item: _Object) -> Endpoint | Unusable:
    try:
        server = msgspec.json.decode(item.spec, type=_Server)
    except msgspec.MsgspecError as exc:
        return Unusable(f"the entry of backend {item.meta.name} cannot be read: {exc}")
    leaving = server.state != "ready"
    return Endpoint(
        id=item.meta.name,
        service=server.service,
        address=server.address,
        domain=server.zone,
        slots=max(1, server.slots),
        state=EndpointState.LEAVING if leaving else EndpointState.READY,
        revision=item.meta.revision,
    )


def _note(item: _Object) -> Note:
    return Note(item.meta.name, item.meta.revision, bytes(item.spec))


def _decode_note(data: bytes) -> Note | Unusable:
    try:
        return _note(msgspec.json.decode(data, type=_Object))
    except msgspec.MsgspecError as exc:
        return Unusable(f"an object cannot be read: {exc}")
