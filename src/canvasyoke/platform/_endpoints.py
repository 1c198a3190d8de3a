"""Entries of backends in the platform's store, each read alone.

Others may write there too. An entry that is not as a backend writes it names none; it must
not hide the others: a list that was read whole or not at all left every process with the
backends it had known, those that had left since among them.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, Final, Literal

import msgspec

from canvasyoke.platform._json_parts import PartsError, object_parts
from canvasyoke.state import (
    Endpoint,
    EndpointChanges,
    EndpointGone,
    EndpointList,
    EndpointState,
    StorePosition,
    Unusable,
    era_of,
    store_position,
)

#: What reading what others wrote may raise; nested lists without end are the last.
UNREADABLE: Final = (msgspec.MsgspecError, PartsError, RecursionError)
#: Longest name or other text taken; what processes tell each other has the same limit.
_LONGEST_TEXT: Final = 200
_STATES: Final = {"ready": EndpointState.READY, "draining": EndpointState.LEAVING}

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=_LONGEST_TEXT)]


class Metadata(msgspec.Struct, frozen=True):
    """What the store itself says of an object."""

    name: _Text = msgspec.field(name="Name")
    revision: Annotated[int, msgspec.Meta(ge=0)] = msgspec.field(name="Revision", default=0)


class StoredObject(msgspec.Struct, frozen=True):
    """An object of any kind; its body is read by whoever knows the kind."""

    meta: Metadata = msgspec.field(name="Metadata")
    spec: msgspec.Raw = msgspec.field(name="Spec", default=msgspec.Raw(b"null"))


@dataclass(frozen=True, slots=True)
class UnreadableObject:
    """An object of which only the store's own word can be read."""

    name: str
    revision: int
    #: What is wrong with the rest.
    fault: str


class _Event(msgspec.Struct, frozen=True):
    object: msgspec.Raw
    gone: bool = False


class _Server(msgspec.Struct, frozen=True):
    """All that a backend writes; it always writes all of it, but for its start."""

    service: _Text = msgspec.field(name="Service")
    address: _Text = msgspec.field(name="Address")
    zone: _Text = msgspec.field(name="Zone")
    version: str = msgspec.field(name="Version")
    slots: Annotated[int, msgspec.Meta(ge=1)] = msgspec.field(name="Slots")
    state: Literal["ready", "draining"] = msgspec.field(name="State")
    cold_remaining: float = msgspec.field(name="ColdRemainingMs")
    sequence: int = msgspec.field(name="Sequence")
    started: Annotated[int, msgspec.Meta(ge=0)] = msgspec.field(name="born", default=0)


def read_object(data: bytes) -> StoredObject | UnreadableObject | Unusable:
    """Return the object in ``data``, or what it is called where only that can be read."""
    try:
        return msgspec.json.decode(data, type=StoredObject)
    except UNREADABLE as exc:
        fault = str(exc)
    try:
        meta = msgspec.json.decode(object_parts(data)["Metadata"], type=Metadata)
    except (*UNREADABLE, KeyError):
        return Unusable(f"an object without a name that can be read: {fault}")
    return UnreadableObject(meta.name, meta.revision, fault)


def read_name(data: bytes) -> str:
    """Return an object's name, however long; empty when not even that can be read."""
    try:
        return msgspec.json.decode(object_parts(object_parts(data)["Metadata"])["Name"], type=str)
    except (*UNREADABLE, KeyError):
        return ""


def read_list(items: Iterable[bytes], position: StorePosition) -> EndpointList:
    """Return the backends that a list names, and which entries name none."""
    era = era_of(position)
    endpoints = []
    unreadable = []
    for item in items:
        match _read_endpoint(item, era):
            case Endpoint() as endpoint:
                endpoints.append(endpoint)
            case EndpointGone() as gone:
                unreadable.append(gone)
            case Unusable(detail):
                unreadable.append(EndpointGone("", 0, detail))
    return EndpointList(tuple(endpoints), position, tuple(unreadable))


def read_changes(
    events: Iterable[bytes], position: StorePosition, era: int = 0
) -> EndpointChanges | Unusable:
    """Return what a watch has brought, in order; unusable where a name cannot be read.

    A removal has no revision of its own. It came to be before the event that follows it, so
    that a backend which is back within the same batch is not taken for older than its
    removal.
    """
    changes: list[Endpoint | EndpointGone] = []
    newest = position
    for event in reversed([_read_event(data, era) for data in events]):
        match event:
            case Unusable():
                return event
            case Endpoint():
                newest = min(newest, event.position - 1)
                changes.append(event)
            case EndpointGone(name, own_position, fault):
                changes.append(EndpointGone(name, max(newest, own_position), fault))
    return EndpointChanges(tuple(reversed(changes)), position)


def _read_event(data: bytes, era: int) -> Endpoint | EndpointGone | Unusable:
    event = _split_event(data)
    if isinstance(event, Unusable):
        return event
    item = bytes(event.object)
    if not event.gone:
        return _read_endpoint(item, era)
    match read_object(item):
        case StoredObject(meta):
            return EndpointGone(meta.name, store_position(era, meta.revision))
        case UnreadableObject(name, revision):
            return EndpointGone(name, store_position(era, revision))
        case fault:
            return fault


def _split_event(data: bytes) -> _Event | Unusable:
    """Return an event with its object as it stands, which need not be JSON."""
    try:
        return msgspec.json.decode(data, type=_Event)
    except UNREADABLE:
        pass  # what is wrong may be in the object alone
    try:
        parts = object_parts(data)
        is_gone = msgspec.json.decode(parts.get("gone", b"false"), type=bool)
        return _Event(msgspec.Raw(parts["object"]), is_gone)
    except (*UNREADABLE, KeyError) as exc:
        return Unusable(f"an event cannot be read: {exc}")


def _read_endpoint(data: bytes, era: int) -> Endpoint | EndpointGone | Unusable:
    found = read_object(data)
    if isinstance(found, UnreadableObject):
        return EndpointGone(found.name, store_position(era, found.revision), found.fault)
    if isinstance(found, Unusable):
        return found
    name, position = found.meta.name, store_position(era, found.meta.revision)
    try:
        server = msgspec.json.decode(found.spec, type=_Server)
    except UNREADABLE as exc:
        return EndpointGone(name, position, str(exc))
    if not _is_address(server.address):
        return EndpointGone(name, position, f"no address: {server.address}")
    return Endpoint(
        id=name,
        service=server.service,
        address=server.address,
        domain=server.zone,
        slots=server.slots,
        state=_STATES[server.state],
        position=position,
        started=server.started,
    )


def _is_address(text: str) -> bool:
    """Tell whether a text is ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= 0xFFFF
    return is_port and not address.is_unspecified
