"""Decodes the entries of backends in the platform's store, each independently.

Other programs can write to the store too. An invalid entry is reported and names no backend,
but must not prevent the others from being decoded: otherwise all processes would keep an
outdated list that includes backends which have left.
"""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, Final, Literal, TypeAlias

import msgspec

from canvasyoke.platform._bounds import MAX_SLOTS, MAX_TEXT_LENGTH, WholeNumber
from canvasyoke.platform._json_parts import DECODE_ERRORS, split_object
from canvasyoke.state import (
    MAX_REVISION,
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

#: Longest cold time in milliseconds that an entry can state.
_MAX_COLD_REMAINING: Final = 3_600_000.0
_STATES: Final = {"ready": EndpointState.READY, "draining": EndpointState.LEAVING}

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]
#: Revision of a stored object; a position has room for no larger ones.
Revision: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


class Metadata(msgspec.Struct, frozen=True):
    """Metadata of a stored object."""

    name: _Text = msgspec.field(name="Name")
    revision: Revision = msgspec.field(name="Revision", default=0)


class StoredObject(msgspec.Struct, frozen=True):
    """An object of any kind; its body is decoded separately, according to the kind."""

    meta: Metadata = msgspec.field(name="Metadata")
    spec: msgspec.Raw = msgspec.field(name="Spec", default=msgspec.Raw(b"null"))


@dataclass(frozen=True, slots=True)
class UnreadableObject:
    """An object of which only the metadata can be decoded."""

    name: str
    revision: int
    #: Why the object cannot be decoded.
    fault: str


class _Event(msgspec.Struct, frozen=True):
    object: msgspec.Raw
    gone: bool = False


class _EndpointSpec(msgspec.Struct, frozen=True):
    """Body of a backend's entry; all fields but the start time are required."""

    service: _Text = msgspec.field(name="Service")
    address: _Text = msgspec.field(name="Address")
    zone: _Text = msgspec.field(name="Zone")
    version: str = msgspec.field(name="Version")
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)] = msgspec.field(name="Slots")
    state: Literal["ready", "draining"] = msgspec.field(name="State")
    cold_remaining: float = msgspec.field(name="ColdRemainingMs")
    sequence: int = msgspec.field(name="Sequence")
    started: WholeNumber = msgspec.field(name="born", default=0)


def read_object(data: bytes) -> StoredObject | UnreadableObject | Unusable:
    """Decode an object, or just its metadata if the rest is invalid."""
    try:
        return msgspec.json.decode(data, type=StoredObject)
    except DECODE_ERRORS as exc:
        fault = str(exc)
    try:
        meta = msgspec.json.decode(split_object(data)["Metadata"], type=Metadata)
    except (*DECODE_ERRORS, KeyError):
        return Unusable(f"the object's name cannot be read: {fault}")
    return UnreadableObject(meta.name, meta.revision, fault)


def read_name(data: bytes) -> str:
    """Return an object's name, of any length; empty if it cannot be decoded."""
    try:
        return msgspec.json.decode(split_object(split_object(data)["Metadata"])["Name"], type=str)
    except (*DECODE_ERRORS, KeyError):
        return ""


def read_list(items: Iterable[bytes], position: StorePosition) -> EndpointList:
    """Decode the entries of a list into endpoints and invalid entries."""
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
    """Decode the events of a watch, in order; unusable if the name of one cannot be decoded.

    A removal has no revision of its own, only that of the removed object. It is placed right
    before the changes that follow it, so that a backend which is added again in the same batch
    is newer than its removal.
    """
    changes: list[Endpoint | EndpointGone] = []
    max_position = position
    for event in reversed([_read_event(data, era) for data in events]):
        match event:
            case Unusable():
                return event
            case Endpoint():
                max_position = min(max_position, event.position - 1)
                changes.append(event)
            case EndpointGone(name, own_position, fault):
                changes.append(EndpointGone(name, max(max_position, own_position), fault))
    return EndpointChanges(tuple(reversed(changes)), position)


def _read_event(data: bytes, era: int) -> Endpoint | EndpointGone | Unusable:
    event = _decode_event(data)
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


def _decode_event(data: bytes) -> _Event | Unusable:
    """Decode an event but not its object, which may be invalid JSON."""
    try:
        return msgspec.json.decode(data, type=_Event)
    except DECODE_ERRORS:
        pass  # the object alone may be invalid
    try:
        parts = split_object(data)
        is_gone = msgspec.json.decode(parts.get("gone", b"false"), type=bool)
        return _Event(msgspec.Raw(parts["object"]), is_gone)
    except (*DECODE_ERRORS, KeyError) as exc:
        return Unusable(f"an event cannot be read: {exc}")


def _read_endpoint(data: bytes, era: int) -> Endpoint | EndpointGone | Unusable:
    stored = read_object(data)
    if isinstance(stored, UnreadableObject):
        return EndpointGone(stored.name, store_position(era, stored.revision), stored.fault)
    if isinstance(stored, Unusable):
        return stored
    name, position = stored.meta.name, store_position(era, stored.meta.revision)
    try:
        server = msgspec.json.decode(stored.spec, type=_EndpointSpec)
    except DECODE_ERRORS as exc:
        return EndpointGone(name, position, str(exc))
    if not _is_address(server.address):
        return EndpointGone(name, position, f"invalid address: {server.address}")
    return Endpoint(
        id=name,
        service=server.service,
        address=server.address,
        domain=server.zone,
        slots=server.slots,
        state=_STATES[server.state],
        position=position,
        started=server.started,
        cold_remaining=math.ceil(min(max(0.0, server.cold_remaining), _MAX_COLD_REMAINING)),
    )


def _is_address(text: str) -> bool:
    """Return whether ``text`` is an IPv4 address and port that can be connected to."""
    host, _, port = text.rpartition(":")
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= 0xFFFF
    return is_port and not address.is_unspecified
