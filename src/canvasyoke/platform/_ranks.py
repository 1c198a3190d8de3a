"""HTTP client for reports, expert counts and orders of an engine that is a rank of a group."""

from __future__ import annotations

from typing import Any, Final, TypeVar

import msgspec
import urllib3

from canvasyoke._clock import SECOND
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


class _Group(msgspec.Struct, frozen=True):
    name: str = msgspec.field(name="Name")
    epoch: int
    rank: int
    state: str = msgspec.field(name="State")


class _Armed(msgspec.Struct, frozen=True):
    version: int = msgspec.field(name="Version")
    step: int


class _Report(msgspec.Struct, frozen=True):
    group: _Group | None = None
    size: int = 0
    step: int | None = None
    # A version here; an object in the response of ``/picked?lists=1``.
    map_version: int | None = msgspec.field(name="map", default=None)
    prepared: int | None = None
    armed: _Armed | None = None
    held_step: int | None = msgspec.field(name="held", default=None)
    # Processing time relative to the usual one for the same work.
    pace: float | None = None


class _CountsResponse(msgspec.Struct, frozen=True):
    counts: list[int] = msgspec.field(name="Counts")


class _Map(msgspec.Struct, frozen=True):
    version: int = msgspec.field(name="Version")
    experts: list[list[int]]


class _MapResponse(msgspec.Struct, frozen=True):
    map: _Map


BodyT = TypeVar("BodyT")


@RANK_PORTS.register("objects")
class ObjectsRankPort(RankPort):
    """Client of one engine. Connections are reused, since engines count new ones."""

    def __init__(self, address: str, timeout: int = REMOTE_TIMEOUT) -> None:
        host, port = address.rsplit(":", 1)
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=2, retries=False, timeout=timeout / SECOND
        )

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
        except msgspec.MsgspecError as exc:
            return RankUnreachable(f"the answer cannot be read: {exc}")

    def _call(
        self, method: str, path: str, body: bytes | None = None
    ) -> urllib3.BaseHTTPResponse | RankUnreachable:
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            return self._pool.urlopen(method, path, body=body, headers=headers, redirect=False)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return RankUnreachable(f"{type(exc).__name__}: {exc}")


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
