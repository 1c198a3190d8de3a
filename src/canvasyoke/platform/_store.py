"""Client of the platform's object store: paged lists, watches and conditional writes."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from canvasyoke._clock import SECOND
from canvasyoke.platform._config import decode_table
from canvasyoke.platform._endpoints import (
    Revision,
    StoredObject,
    UnreadableObject,
    read_changes,
    read_list,
    read_name,
    read_object,
)
from canvasyoke.platform._evacuations import read_evacuation_changes, read_evacuations
from canvasyoke.platform._json_parts import DECODE_ERRORS, split_list, split_object
from canvasyoke.state import (
    CALL_TIMEOUT,
    FLEET_STORES,
    EndpointList,
    EndpointWatchResult,
    EvacuationRead,
    EvacuationWatchResult,
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
from canvasyoke.transport import ApiAnswer, ApiClient, CallFailed

#: Milliseconds to connect to the store.
_CONNECT_TIMEOUT: Final = 1 * SECOND
#: Milliseconds to wait for the response of a watch after its own wait has elapsed. A
#: connection can stop responding without a reset. Both times add up to 2.5 s, less than the
#: shortest time within which an operator requires an entry to apply changes, 3 s.
_WATCH_GRACE: Final = 700
#: Connections kept open: two watches and one other call.
_POOL_SIZE: Final = 3
#: Largest answer. A page of a list has about 1 MB.
_MAX_ANSWER_BYTES: Final = 32 << 20
#: Largest list of all pages together, in bytes.
_MAX_LIST_BYTES: Final = 64 << 20
_OK: Final = 200
_CREATED: Final = 201
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_GONE: Final = 410

#: Number of times that the store was restored from an older copy; part of every response.
_ERA_HEADER: Final = "Store-Era"
#: Largest era that is accepted; a store is restored a few times in its life.
_MAX_ERA: Final = 9_999
_MAX_ERA_DIGITS: Final = len(str(_MAX_ERA))
_ENDPOINTS: Final = "servers"
_CONFIG: Final = "config"
_CONFIG_NAME: Final = "main"
_EVACUATIONS: Final = "evacuations"


class _Envelope(msgspec.Struct, frozen=True):
    """Fields of a response with several items, without the items."""

    revision: Revision = msgspec.field(name="at")
    more: bool | str = False


class _Page(_Envelope, frozen=True, kw_only=True):
    items: list[msgspec.Raw] = msgspec.field(name="Items")


class _Events(_Envelope, frozen=True, kw_only=True):
    items: list[msgspec.Raw] = msgspec.field(name="events")


class _TableEvent(msgspec.Struct, frozen=True):
    object: StoredObject
    gone: bool = False


class _NoteWrite(msgspec.Struct, frozen=True):
    meta: dict[str, Any] = msgspec.field(name="Metadata")
    spec: Any = msgspec.field(name="Spec")


@FLEET_STORES.register("objects")
class ObjectsFleetStore(FleetStore):
    """Client of the store's API under ``/objects/KIND``."""

    def __init__(self, address: str) -> None:
        self._client = ApiClient(address, _POOL_SIZE, _MAX_ANSWER_BYTES)

    def endpoints(self, timeout: int = CALL_TIMEOUT) -> EndpointList | Unavailable | Unusable:
        """Return all endpoints."""
        listed = self._list(_ENDPOINTS, timeout=timeout)
        if isinstance(listed, Unavailable | Unusable):
            return listed
        items, position = listed
        return read_list(items, position)

    def watch_endpoints(self, after: StorePosition, wait: int) -> EndpointWatchResult:
        """Wait up to ``wait`` milliseconds for changes of endpoints."""
        result = self._watch(_ENDPOINTS, after, wait)
        if not isinstance(result, _Events):
            return result
        era = era_of(after)
        events = [bytes(event) for event in result.items]
        return read_changes(events, store_position(era, result.revision), era)

    def table(self, timeout: int = CALL_TIMEOUT) -> TableWatchResult:
        """Return the configuration in the store."""
        listed = self._list(_CONFIG, timeout=timeout)
        if isinstance(listed, Unavailable | Unusable):
            return listed
        items, position = listed
        return _find_table([read_object(item) for item in items], position)

    def watch_table(self, after: StorePosition, wait: int) -> TableWatchResult:
        """Wait up to ``wait`` milliseconds for a change of the configuration."""
        result = self._watch(_CONFIG, after, wait)
        if not isinstance(result, _Events):
            return result
        try:
            events = [msgspec.json.decode(event, type=_TableEvent) for event in result.items]
        except DECODE_ERRORS as exc:
            return Unusable(f"a change of the configuration cannot be read: {exc}")
        position = store_position(era_of(after), result.revision)
        return _find_table([e.object for e in events if not e.gone], position)

    def parse_table(self, document: bytes) -> RoutingTable | Unusable:
        """Decode the routing table in ``document``."""
        return decode_table(document)

    def evacuations(self, timeout: int = CALL_TIMEOUT) -> EvacuationRead | Unavailable | Unusable:
        """Return all evacuations."""
        listed = self._list(_EVACUATIONS, timeout=timeout)
        return listed if isinstance(listed, Unavailable | Unusable) else read_evacuations(*listed)

    def watch_evacuations(self, after: StorePosition, wait: int) -> EvacuationWatchResult:
        """Wait up to ``wait`` milliseconds for changes of evacuations."""
        result = self._watch(_EVACUATIONS, after, wait)
        if not isinstance(result, _Events):
            return result
        position = store_position(era_of(after), result.revision)
        return read_evacuation_changes([bytes(event) for event in result.items], position)

    def notes(self, kind: str, allow_stale: bool = False) -> list[Note] | Unavailable | Unusable:
        """Return all notes of ``kind``."""
        listed = self._list(kind, allow_stale)
        if isinstance(listed, Unavailable | Unusable):
            return listed
        items, position = listed
        read = (_decode_listed_note(item, era_of(position)) for item in items)
        return [note for note in read if note is not None]

    def note(
        self, kind: str, name: str, allow_stale: bool = False
    ) -> Note | Unavailable | Unusable | None:
        """Return a note, or ``None`` if it does not exist."""
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
        """Create a note, or return the existing one."""
        payload = _NoteWrite({"Name": name}, msgspec.Raw(body))
        answer = self._call("POST", f"/objects/{kind}", msgspec.json.encode(payload))
        if isinstance(answer, Unavailable):
            return answer
        if answer.status not in (_OK, _CREATED, _CONFLICT):
            return Unavailable(f"status {answer.status}", ambiguous=True)
        return _decode_note(answer)

    def put_note(self, kind: str, name: str, body: bytes) -> Note | Unavailable | Unusable:
        """Create or replace a note."""
        created = self.create_note(kind, name, body)
        if not isinstance(created, Note) or created.body == body:
            return created
        payload = _NoteWrite(
            {"Name": name, "Revision": revision_of(created.position)}, msgspec.Raw(body)
        )
        path = f"/objects/{kind}/{quote(name, safe='')}"
        answer = self._call("PUT", path, msgspec.json.encode(payload))
        if isinstance(answer, Unavailable):
            return answer
        if answer.status != _OK:
            return Unavailable(f"status {answer.status}", ambiguous=True)
        return _decode_note(answer)

    def _list(
        self, kind: str, allow_stale: bool = False, timeout: int = CALL_TIMEOUT
    ) -> tuple[list[bytes], StorePosition] | Unavailable | Unusable:
        """Return all objects of ``kind``, undecoded, and the position of the first page.

        A watch from that position repeats the changes made while later pages were read.
        """
        items: list[bytes] = []
        size = 0
        position: StorePosition = 0
        after = ""
        while True:
            query = {"stale": "1"} if allow_stale else {}
            if after:
                query["After"] = after
            answer = self._call("GET", f"/objects/{kind}?{urlencode(query)}", timeout=timeout)
            if isinstance(answer, Unavailable):
                return answer
            era = _response_era(answer)
            if items and era != era_of(position):
                return Unavailable("the store was restored from a copy between two pages")
            if answer.status == _NOT_FOUND:
                return items, position or store_position(era, 0)
            if answer.status != _OK:
                return Unavailable(f"status {answer.status}")
            page = _decode_items(answer.data, _Page, "Items")
            if isinstance(page, Unusable):
                return Unusable(f"a list of {kind} cannot be read: {page.detail}")
            size += len(answer.data)
            if size > _MAX_LIST_BYTES:
                return Unusable(f"the list of {kind} has more than {_MAX_LIST_BYTES} bytes")
            items.extend(bytes(item) for item in page.items)
            position = position or store_position(era, page.revision)
            if not page.more or not page.items:
                return items, position
            names = (read_name(bytes(item)) for item in reversed(page.items))
            next_after = next((name for name in names if name not in ("", after)), "")
            if not next_after:
                return Unusable(f"the list of {kind} has no next page after {after}")
            after = next_after

    def _watch(
        self, kind: str, after: StorePosition, wait: int
    ) -> _Events | NoChange | HistoryGone | Unavailable | Unusable:
        path = f"/objects/{kind}?watch={revision_of(after)}&WaitMs={wait}"
        answer = self._call("GET", path, timeout=wait + _WATCH_GRACE)
        if isinstance(answer, Unavailable):
            return answer
        # After a restore the revision can exceed ``after`` again. Continuing the watch would
        # then miss the objects that were lost and the changes made up to ``after``.
        if answer.status == _GONE or _response_era(answer) != era_of(after):
            return HistoryGone()
        if answer.status != _OK:
            return Unavailable(f"status {answer.status}")
        result = _decode_items(answer.data, _Events, "events")
        if isinstance(result, Unusable):
            return Unusable(f"a watch of {kind} cannot be read: {result.detail}")
        if result.items:
            return result
        return NoChange(store_position(era_of(after), result.revision))

    def _call(
        self, method: str, path: str, body: bytes | None = None, timeout: int = CALL_TIMEOUT
    ) -> ApiAnswer | Unavailable:
        answer = self._client.call(
            method,
            path,
            connect_timeout=min(_CONNECT_TIMEOUT, timeout),
            read_timeout=timeout,
            body=body,
            headers={"Content-Type": "application/json"} if body is not None else {},
        )
        if isinstance(answer, CallFailed):
            return Unavailable(answer.detail, ambiguous=method != "GET")
        if _response_era(answer) > _MAX_ERA:
            return Unavailable("the era of the answer makes no sense", ambiguous=method != "GET")
        return answer


ItemsT = TypeVar("ItemsT", _Page, _Events)


def _decode_items(data: bytes, response_type: type[ItemsT], items_name: str) -> ItemsT | Unusable:
    """Decode a response with several items, without decoding the items.

    An item that is invalid JSON does not prevent the others from being decoded.
    """
    try:
        return msgspec.json.decode(data, type=response_type)
    except DECODE_ERRORS as exc:
        fault = str(exc)
    try:
        parts = split_object(data)
        envelope = msgspec.json.decode(_encode_without(parts, items_name), type=_Envelope)
        items = [msgspec.Raw(item) for item in split_list(parts[items_name])]
    except (*DECODE_ERRORS, KeyError):
        return Unusable(fault)
    return response_type(envelope.revision, envelope.more, items=items)


def _encode_without(parts: dict[str, bytes], excluded: str) -> bytes:
    """Encode an object without the member ``excluded``."""
    kept = {name: msgspec.Raw(value) for name, value in parts.items() if name != excluded}
    return msgspec.json.encode(kept)


def _find_table(
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


def _response_era(answer: ApiAnswer) -> int:
    """Return the store's era from the headers of a response; 0 if it has none."""
    text = answer.headers.get(_ERA_HEADER, "")
    if not (text.isascii() and text.isdigit()):
        return 0
    return int(text) if len(text) <= _MAX_ERA_DIGITS else _MAX_ERA + 1


def _to_note(item: StoredObject, era: int) -> Note:
    return Note(item.meta.name, store_position(era, item.meta.revision), bytes(item.spec))


def _decode_listed_note(data: bytes, era: int) -> Note | None:
    """Return a note; the whole object is its body if only its metadata can be decoded."""
    match read_object(data):
        case StoredObject() as item:
            return _to_note(item, era)
        case UnreadableObject(name, revision):
            return Note(name, store_position(era, revision), data)
    return None


def _decode_note(answer: ApiAnswer) -> Note | Unusable:
    try:
        return _to_note(msgspec.json.decode(answer.data, type=StoredObject), _response_era(answer))
    except DECODE_ERRORS as exc:
        return Unusable(f"an object cannot be read: {exc}")
