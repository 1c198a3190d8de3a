"""HTTP client for reports, expert counts and orders of an engine that is a rank of a group."""

from __future__ import annotations

from typing import Annotated, Any, Final, TypeAlias, TypeVar

import msgspec

from canvasyoke.experts import (
    RANK_PORTS,
    REMOTE_TIMEOUT,
    Armed,
    MapOrder,
    MapOrderKind,
    OrderOutcome,
    RankMap,
    RankPort,
    RankReport,
    RankUnreachable,
)
from canvasyoke.platform._bounds import Quantity, RankCount, Text, WholeNumber
from canvasyoke.platform._json_parts import DECODE_ERRORS
from canvasyoke.transport import ApiAnswer, ApiClient, CallFailed

_OK: Final = 200
_OUTCOMES: Final = {
    200: OrderOutcome.DONE,
    202: OrderOutcome.DONE,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
}
_OPERATIONS: Final = {
    MapOrderKind.PREPARE: "prepare",
    MapOrderKind.ARM: "arm",
    MapOrderKind.DISARM: "disarm",
    MapOrderKind.HOLD: "hold",
    MapOrderKind.RELEASE: "go",
}
_OPEN_STATE: Final = "open"
#: Connections kept open to an engine.
_CONNECTIONS: Final = 2
#: Largest answer. Counts of 61 layers of 256 experts take 0.2 MB.
_MAX_ANSWER_BYTES: Final = 4 << 20
#: Largest number of counts, and of layers or experts in a list.
_MAX_COUNTS: Final = 1_000_000
_MAX_EXPERTS: Final = 10_000


class _Group(msgspec.Struct, frozen=True):
    name: Text = msgspec.field(name="Name")
    epoch: WholeNumber
    rank: RankCount
    state: str = msgspec.field(name="State")


class _Armed(msgspec.Struct, frozen=True):
    version: WholeNumber = msgspec.field(name="Version")
    step: WholeNumber


class _Report(msgspec.Struct, frozen=True):
    group: _Group | None = None
    size: RankCount = 0
    step: WholeNumber | None = None
    # A version here; an object in the response of ``/picked?lists=1``.
    map_version: WholeNumber | None = msgspec.field(name="map", default=None)
    prepared: WholeNumber | None = None
    armed: _Armed | None = None
    held_step: WholeNumber | None = msgspec.field(name="held", default=None)
    # Processing time relative to the usual one for the same work.
    pace: Quantity | None = None


class _CountsResponse(msgspec.Struct, frozen=True):
    counts: Annotated[list[WholeNumber], msgspec.Meta(max_length=_MAX_COUNTS)] = msgspec.field(
        name="Counts"
    )


_Layers: TypeAlias = Annotated[
    list[Annotated[list[WholeNumber], msgspec.Meta(max_length=_MAX_EXPERTS)]],
    msgspec.Meta(max_length=_MAX_EXPERTS),
]


class _Map(msgspec.Struct, frozen=True):
    version: WholeNumber = msgspec.field(name="Version")
    experts: _Layers


class _MapResponse(msgspec.Struct, frozen=True):
    map: _Map


BodyT = TypeVar("BodyT")


@RANK_PORTS.register("objects")
class ObjectsRankPort(RankPort):
    """Client of one engine. Connections are reused, since engines count new ones."""

    def __init__(self, address: str, timeout: int = REMOTE_TIMEOUT) -> None:
        self._client = ApiClient(address, _CONNECTIONS, _MAX_ANSWER_BYTES)
        self._timeout = timeout

    def report(self) -> RankReport | RankUnreachable | None:
        """Return the rank's report."""
        response = self._get("/report", _Report)
        if isinstance(response, RankUnreachable):
            return response
        if response.group is None:
            return None
        return RankReport(
            group=response.group.name,
            rank=response.group.rank,
            size=response.size,
            epoch=response.group.epoch,
            is_open=response.group.state == _OPEN_STATE,
            step=response.step or 0,
            map_version=response.map_version or 0,
            prepared=response.prepared or 0,
            armed=Armed(response.armed.version, response.armed.step) if response.armed else None,
            held_step=response.held_step or 0,
            slowdown=max(1.0, response.pace or 1.0),
        )

    def counts(self) -> tuple[int, ...] | RankUnreachable:
        """Return the tokens of each expert since the rank's start."""
        response = self._get("/picked", _CountsResponse)
        return response if isinstance(response, RankUnreachable) else tuple(response.counts)

    def current_map(self) -> RankMap | RankUnreachable:
        """Return the rank's part of the map in force."""
        response = self._get("/picked?lists=1", _MapResponse)
        if isinstance(response, RankUnreachable):
            return response
        return RankMap(response.map.version, tuple(tuple(layer) for layer in response.map.experts))

    def order(self, order: MapOrder) -> OrderOutcome:
        """Send an order and return its outcome."""
        answer = self._call("POST", "/order", msgspec.json.encode(_order_body(order)))
        if isinstance(answer, RankUnreachable):
            return OrderOutcome.UNKNOWN
        return _OUTCOMES.get(answer.status, OrderOutcome.REJECTED)

    def _get(self, path: str, body_type: type[BodyT]) -> BodyT | RankUnreachable:
        answer = self._call("GET", path)
        if isinstance(answer, RankUnreachable):
            return answer
        if answer.status != _OK:
            return RankUnreachable(f"status {answer.status}")
        try:
            return msgspec.json.decode(answer.data, type=body_type)
        except DECODE_ERRORS as exc:
            return RankUnreachable(f"the answer cannot be read: {exc}")

    def _call(
        self, method: str, path: str, body: bytes | None = None
    ) -> ApiAnswer | RankUnreachable:
        answer = self._client.call(
            method,
            path,
            connect_timeout=self._timeout,
            read_timeout=self._timeout,
            body=body,
            headers={"Content-Type": "application/json"} if body is not None else {},
        )
        return RankUnreachable(answer.detail) if isinstance(answer, CallFailed) else answer


def _order_body(order: MapOrder) -> dict[str, Any]:
    body: dict[str, Any] = {
        "op": _OPERATIONS[order.kind],
        "fence": order.fence,
        "epoch": order.epoch,
    }
    if order.kind in (MapOrderKind.PREPARE, MapOrderKind.ARM, MapOrderKind.DISARM):
        body["Version"] = order.version
    if order.kind in (MapOrderKind.ARM, MapOrderKind.HOLD, MapOrderKind.RELEASE):
        body["step"] = order.step
    if order.kind is MapOrderKind.PREPARE:
        # Indexed by layer and rank on the wire, by rank and layer in an order.
        body["map"] = list(zip(*order.layers_by_rank, strict=True))
    return body
