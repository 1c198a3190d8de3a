"""The platform's store: lists in pages, watches, conditional writes.

The only client of the store; every process makes its calls through one of these.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final, TypeVar
from urllib.parse import quote, urlencode

import msgspec
import urllib3

from canvasyoke._clock import SECOND
from canvasyoke.platform._config import decode_table
from canvasyoke.platform._endpoints import (
    UNREADABLE,
    StoredObject,
    UnreadableObject,
    read_changes,
    read_list,
    read_name,
    read_object,
)
from canvasyoke.platform._json_parts import list_parts, object_parts
from canvasyoke.state import (
    CALL_TIMEOUT,
    FLEET_STORES,
    EndpointList,
    EndpointWatchResult,
    FleetStore,
    HistoryGone,
    NoChange,
    Note,
    RoutingTable,
    StorePosition,
    TableRead,
    TableWatchResult,
    Unavailable,
    Unusable,
    era_of,
    revision_of,
    store_position,
)

#: Milliseconds for a connection to the store, which takes one round trip.
_CONNECT_TIMEOUT: Final = 1 * SECOND
#: Milliseconds after its end that a watch without an answer is believed to go on. The
#: store answers within 240 ms when it is slow. A connection can fall silent for good
#: without a reset; with the time that a watch waits this comes to 2.5 s, less than the 3 s
#: after which the tightest operator holds an entry to what the store has told since.
_WATCH_GRACE: Final = 700
#: Connections kept: two watches and one call.
_CONNECTIONS: Final = 3
_OK: Final = 200
_CREATED: Final = 201
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_GONE: Final = 410

#: How many times the store has come back from an older copy; in all its answers.
_ERA: Final = "Store-Era"
_ENDPOINTS: Final = "servers"
_CONFIG: Final = "config"
_CONFIG_NAME: Final = "main"


class _Rest(msgspec.Struct, frozen=True):
    """What an answer with several items says beside them."""

    revision: int = msgspec.field(name="at")
    more: bool | str = False


class _Page(_Rest, frozen=True, kw_only=True):
    items: list[msgspec.Raw] = msgspec.field(name="Items")


class _Events(_Rest, frozen=True, kw_only=True):
    items: list[msgspec.Raw] = msgspec.field(name="events")


class _TableEvent(msgspec.Struct, frozen=True):
    object: StoredObject
    gone: bool = False


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

    def endpoints(self, timeout: int = CALL_TIMEOUT) -> EndpointList | Unavailable | Unusable:
        """Return every endpoint."""
        listed = self._list(_ENDPOINTS, timeout=timeout)
        if isinstance(listed, Unavailable | Unusable):
            return listed
        items, position = listed
        return read_list(items, position)

    def watch_endpoints(self, after: StorePosition, wait: int) -> EndpointWatchResult:
        """Wait for changes of backends."""
        seen = self._watch(_ENDPOINTS, after, wait)
        if not isinstance(seen, _Events):
            return seen
        era = era_of(after)
        events = [bytes(event) for event in seen.items]
        return read_changes(events, store_position(era, seen.revision), era)

    def table(self, timeout: int = CALL_TIMEOUT) -> TableWatchResult:
        """Return the configuration in the store."""
        listed = self._list(_CONFIG, timeout=timeout)
        if isinstance(listed, Unavailable | Unusable):
            return listed
        items, position = listed
        return _table_in([read_object(item) for item in items], position)

    def watch_table(self, after: StorePosition, wait: int) -> TableWatchResult:
        """Wait for another configuration."""
        seen = self._watch(_CONFIG, after, wait)
        if not isinstance(seen, _Events):
            return seen
        try:
            events = [msgspec.json.decode(event, type=_TableEvent) for event in seen.items]
        except UNREADABLE as exc:
            return Unusable(f"a change of the configuration cannot be read: {exc}")
        position = store_position(era_of(after), seen.revision)
        return _table_in([e.object for e in events if not e.gone], position)

    def parse_table(self, document: bytes) -> RoutingTable | Unusable:
        """Return the table in ``document``."""
        return decode_table(document)

    def notes(self, kind: str, allow_stale: bool = False) -> list[Note] | Unavailable | Unusable:
        """Return the system's own objects of ``kind``."""
        listed = self._list(kind, allow_stale)
        if isinstance(listed, Unavailable | Unusable):
            return listed
        items, position = listed
        read = (_listed_note(item, era_of(position)) for item in items)
        return [note for note in read if note is not None]

    def note(
        self, kind: str, name: str, allow_stale: bool = False
    ) -> Note | Unavailable | Unusable | None:
        """Return one object of the system's own; ``None`` where there is none."""
        path = f"/objects/{kind}/{quote(name, safe='')}{'?stale=1' if allow_stale else ''}"
        answer = self._call("GET", path)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == _NOT_FOUND:
            return None
        if answer.status != _OK:
            return Unavailable(f"status {answer.status}")
        return _decode_note(answer)

    def create_note(self, kind: str, name: str, body: bytes) -> Note | Unavailable | Unusable:
        """Create an object, or return the one that is there."""
        out = _NoteOut({"Name": name}, msgspec.Raw(body))
        answer = self._call("POST", f"/objects/{kind}", msgspec.json.encode(out))
        if isinstance(answer, Unavailable):
            return answer
        if answer.status not in (_OK, _CREATED, _CONFLICT):
            return Unavailable(f"status {answer.status}", ambiguous=True)
        return _decode_note(answer)

    def put_note(self, kind: str, name: str, body: bytes) -> Note | Unavailable | Unusable:
        """Create or replace an object."""
        made = self.create_note(kind, name, body)
        if not isinstance(made, Note) or made.body == body:
            return made
        out = _NoteOut({"Name": name, "Revision": revision_of(made.position)}, msgspec.Raw(body))
        path = f"/objects/{kind}/{quote(name, safe='')}"
        answer = self._call("PUT", path, msgspec.json.encode(out))
        if isinstance(answer, Unavailable):
            return answer
        if answer.status != _OK:
            return Unavailable(f"status {answer.status}", ambiguous=True)
        return _decode_note(answer)

    def _list(
        self, kind: str, allow_stale: bool = False, timeout: int = CALL_TIMEOUT
    ) -> tuple[list[bytes], StorePosition] | Unavailable | Unusable:
        """Return all objects of ``kind``, each as it was written, and the first page's position.

        A watch from that position repeats what changed while later pages were read.
        """
        items: list[bytes] = []
        position: StorePosition = 0
        after = ""
        while True:
            query = {"stale": "1"} if allow_stale else {}
            if after:
                query["After"] = after
            answer = self._call("GET", f"/objects/{kind}?{urlencode(query)}", timeout=timeout)
            if isinstance(answer, Unavailable):
                return answer
            era = _era(answer)
            if items and era != era_of(position):
                return Unavailable("the store came back from a copy between two pages")
            if answer.status == _NOT_FOUND:
                return items, position or store_position(era, 0)
            if answer.status != _OK:
                return Unavailable(f"status {answer.status}")
            page = _read_parts(answer.data, _Page, "Items")
            if isinstance(page, Unusable):
                return Unusable(f"a list of {kind} cannot be read: {page.detail}")
            items.extend(bytes(item) for item in page.items)
            position = position or store_position(era, page.revision)
            if not page.more or not page.items:
                return items, position
            names = (read_name(bytes(item)) for item in reversed(page.items))
            last = next((name for name in names if name not in ("", after)), "")
            if not last:
                return Unusable(f"a list of {kind} does not go on after {after}")
            after = last

    def _watch(
        self, kind: str, after: StorePosition, wait: int
    ) -> _Events | NoChange | HistoryGone | Unavailable | Unusable:
        path = f"/objects/{kind}?watch={revision_of(after)}&WaitMs={wait}"
        answer = self._call("GET", path, timeout=wait + _WATCH_GRACE)
        if isinstance(answer, Unavailable):
            return answer
        # A count that has passed ``after`` since the store's return would be taken for the
        # same history, and what was lost and changed before it never be heard of.
        if answer.status == _GONE or _era(answer) != era_of(after):
            return HistoryGone()
        if answer.status != _OK:
            return Unavailable(f"status {answer.status}")
        seen = _read_parts(answer.data, _Events, "events")
        if isinstance(seen, Unusable):
            return Unusable(f"a watch of {kind} cannot be read: {seen.detail}")
        if seen.items:
            return seen
        return NoChange(store_position(era_of(after), seen.revision))

    def _call(
        self, method: str, path: str, body: bytes | None = None, timeout: int = CALL_TIMEOUT
    ) -> urllib3.BaseHTTPResponse | Unavailable:
        connect = min(_CONNECT_TIMEOUT, timeout)
        limits = urllib3.Timeout(connect=connect / SECOND, read=timeout / SECOND)
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            return self._pool.urlopen(
                method, path, body=body, headers=headers, timeout=limits, redirect=False
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return Unavailable(f"{type(exc).__name__}: {exc}", ambiguous=method != "GET")


PartsT = TypeVar("PartsT", _Page, _Events)


def _read_parts(data: bytes, kind: type[PartsT], items_name: str) -> PartsT | Unusable:
    """Return an answer with several items, which are left as they stand.

    An item that is no JSON does not keep the others from being read.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except UNREADABLE as exc:
        fault = str(exc)
    try:
        parts = object_parts(data)
        rest = msgspec.json.decode(_without(parts, items_name), type=_Rest)
        items = [msgspec.Raw(item) for item in list_parts(parts[items_name])]
    except (*UNREADABLE, KeyError):
        return Unusable(fault)
    return kind(rest.revision, rest.more, items=items)


def _without(parts: dict[str, bytes], left_out: str) -> bytes:
    """Return an object without one of its values."""
    kept = {name: msgspec.Raw(value) for name, value in parts.items() if name != left_out}
    return msgspec.json.encode(kept)


def _table_in(
    objects: Iterable[StoredObject | UnreadableObject | Unusable], position: StorePosition
) -> TableWatchResult:
    """Return the newest configuration among ``objects``."""
    found: TableWatchResult = NoChange(position)
    for item in objects:
        match item:
            case StoredObject(meta, spec) if meta.name == _CONFIG_NAME:
                found = _read_table(bytes(spec), position)
            case UnreadableObject(name, _, fault) if name == _CONFIG_NAME:
                found = Unusable(f"the configuration cannot be read: {fault}")
    return found


def _read_table(document: bytes, position: StorePosition) -> TableRead | Unusable:
    table = decode_table(document)
    return table if isinstance(table, Unusable) else TableRead(table, position, document)


def _era(answer: urllib3.BaseHTTPResponse) -> int:
    """Return the store's era as an answer tells it; 0 of a store that has none."""
    text = answer.headers.get(_ERA, "")
    return int(text) if text.isascii() and text.isdigit() else 0


def _note(item: StoredObject, era: int) -> Note:
    return Note(item.meta.name, store_position(era, item.meta.revision), bytes(item.spec))


def _listed_note(data: bytes, era: int) -> Note | None:
    """Return a note; one of which only the name can be read has a body that cannot be."""
    match read_object(data):
        case StoredObject() as item:
            return _note(item, era)
        case UnreadableObject(name, revision):
            return Note(name, store_position(era, revision), data)
    return None


def _decode_note(answer: urllib3.BaseHTTPResponse) -> Note | Unusable:
    try:
        return _note(msgspec.json.decode(answer.data, type=StoredObject), _era(answer))
    except msgspec.MsgspecError as exc:
        return Unusable(f"an object cannot be read: {exc}")
