"""Reports, counts and orders of an engine that is a rank of a group."""

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
_OPEN: Final = "open"


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
    # Versions here; an object in the answer to a request for lists.
    map_version: int | None = msgspec.field(name="map", default=None)
    prepared: int | None = None
    armed: _Armed | None = None
    held_step: int | None = msgspec.field(name="held", default=None)
    # How many times as long as usual the engine takes for the same work.
    pace: float | None = None


class _Counts(msgspec.Struct, frozen=True):
    counts: list[int] = msgspec.field(name="Counts")


class _Map(msgspec.Struct, frozen=True):
    version: int = msgspec.field(name="Version")
    experts: list[list[int]]


class _Lists(msgspec.Struct, frozen=True):
    map: _Map


BodyT = TypeVar("BodyT")


@RANK_PORTS.register("objects")
class ObjectsRankPort(RankPort):
    """One engine, over connections that are kept: engines count new ones."""

    def __init__(self, address: str, timeout: int = REMOTE_TIMEOUT) -> None:
        host, port = address.rsplit(":", 1)
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=2, retries=False, timeout=timeout / SECOND
        )

    def report(self) -> RankReport | RankUnreachable | None:
        """Return the rank's report."""
        seen = self._get("/report", _Report)
        if isinstance(seen, RankUnreachable):
            return seen
        if seen.group is None:
            return None
        return RankReport(
            group=seen.group.name,
            rank=seen.group.rank,
            size=seen.size,
            epoch=seen.group.epoch,
            is_open=seen.group.state == _OPEN,
            step=seen.step or 0,
            map_version=seen.map_version or 0,
            prepared=seen.prepared or 0,
            armed=Armed(seen.armed.version, seen.armed.step) if seen.armed else None,
            held_step=seen.held_step or 0,
            slowdown=max(1.0, seen.pace or 1.0),
        )

    def counts(self) -> tuple[int, ...] | RankUnreachable:
        """Return the counts since the rank's start."""
        seen = self._get("/picked", _Counts)
        return seen if isinstance(seen, RankUnreachable) else tuple(seen.counts)

    def current_map(self) -> RankMap | RankUnreachable:
        """Return what the rank holds."""
        seen = self._get("/picked?lists=1", _Lists)
        if isinstance(seen, RankUnreachable):
            return seen
        return RankMap(seen.map.version, tuple(tuple(layer) for layer in seen.map.experts))

    def order(self, order: MapOrder) -> OrderOutcome:
        """Give an order."""
        answer = self._call("POST", "/order", msgspec.json.encode(_order_body(order)))
        if isinstance(answer, RankUnreachable):
            return OrderOutcome.UNKNOWN
        return _OUTCOMES.get(answer.status, OrderOutcome.REJECTED)

    def _get(self, path: str, kind: type[BodyT]) -> BodyT | RankUnreachable:
        answer = self._call("GET", path)
        if isinstance(answer, RankUnreachable):
            return answer
        if answer.status != _OK:
            return RankUnreachable(f"status {answer.status}")
        try:
            return msgspec.json.decode(answer.data, type=kind)
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
        # By layer and rank on the wire, by rank and layer here.
        body["map"] = list(zip(*order.layers_by_rank, strict=True))
    return body
