"""Client of one rank: reads reports and counts, executes orders, and encodes both for links."""

from __future__ import annotations

import threading
from dataclasses import replace

from canvasyoke.experts._group import OrderResult
from canvasyoke.experts._packing import PackingError, pack_counts, unpack_layers
from canvasyoke.experts._rank_port import (
    Armed,
    MapOrder,
    MapOrderKind,
    OrderOutcome,
    RankLayers,
    RankMap,
    RankPort,
    RankReport,
    RankUnreachable,
)
from canvasyoke.observe import part_logger
from canvasyoke.protocol import RankOrder, RankOrderResult, RankReading

_log = part_logger("map")
#: Kinds of orders that request a report, without and with the rank's layers.
READ = "read"
READ_LAYERS = "read-layers"


class RankClient:
    """Client of one rank; thread-safe."""

    def __init__(self, port: RankPort) -> None:
        self._port = port
        self._lock = threading.Lock()
        self._last_counts: tuple[int, ...] = ()
        #: Whether the last report could be read; only changes are logged.
        self._has_report = True

    def report(self) -> RankReport | None:
        """Return the rank's report, or ``None`` if it does not answer or has no group."""
        response = self._port.report()
        if isinstance(response, RankUnreachable):
            if self._has_report:
                _log.warning("a rank's report cannot be read", cause=response.detail)
            self._has_report = False
            return None
        self._has_report = True
        return response

    def read_counts(self) -> list[int]:
        """Return the choices of each expert since the last call; empty if unknown."""
        response = self._port.counts()
        if isinstance(response, RankUnreachable):
            return []
        with self._lock:
            previous, self._last_counts = self._last_counts, response
        if len(previous) != len(response) or any(
            a < b for a, b in zip(response, previous, strict=True)
        ):
            return []  # first reading, or the rank was restarted
        return [a - b for a, b in zip(response, previous, strict=True)]

    def layers(self) -> RankMap | None:
        """Return the rank's part of the map in force."""
        response = self._port.current_map()
        return None if isinstance(response, RankUnreachable) else response

    def order(self, order: MapOrder) -> OrderResult:
        """Execute an order and read the rank's report after it."""
        if order.kind is MapOrderKind.PREPARE and not order.layers_by_rank:
            layers_by_rank = self._unchanged_layers(order.experts)
            if not layers_by_rank:
                return OrderResult(OrderOutcome.UNKNOWN, self.report())
            order = replace(order, layers_by_rank=layers_by_rank)
        return OrderResult(self._port.order(order), self.report())

    def expert_count(self) -> int:
        """Return the number of experts in each layer; 0 if the rank does not answer."""
        rank_map = self.layers()
        with self._lock:
            counts = self._last_counts
        if not counts:
            response = self._port.counts()
            counts = () if isinstance(response, RankUnreachable) else response
        return len(counts) // len(rank_map.layers) if rank_map is not None else 0

    def _unchanged_layers(self, experts: int) -> tuple[RankLayers, ...]:
        """Return a map in which the rank keeps its experts; empty if it does not answer.

        The other experts are dealt to the other ranks in turn, as the platform accepts complete
        maps only.
        """
        rank_map, report = self.layers(), self.report()
        if rank_map is None or report is None:
            return ()
        others = [rank for rank in range(report.size) if rank != report.rank]
        layers_by_rank: list[list[tuple[int, ...]]] = [[] for _ in range(report.size)]
        for held in rank_map.layers:
            own = frozenset(held)
            missing = [expert for expert in range(experts) if expert not in own]
            layers_by_rank[report.rank].append(held)
            for index, rank in enumerate(others):
                layers_by_rank[rank].append(tuple(missing[index :: len(others)]))
        return tuple(tuple(layers) for layers in layers_by_rank)

    def execute(self, message: RankOrder) -> OrderResult:
        """Execute an order or a request for a report."""
        if message.kind not in (READ, READ_LAYERS):
            return self._execute_order(message)
        report = self.report()
        return OrderResult(OrderOutcome.UNKNOWN if report is None else OrderOutcome.DONE, report)

    def _execute_order(self, message: RankOrder) -> OrderResult:
        try:
            return self.order(_decode_order(message))
        except PackingError as exc:
            _log.warning("undecodable expert map", order=message.order, cause=exc)
            return OrderResult(OrderOutcome.REJECTED)

    def handle_order(self, message: RankOrder) -> RankOrderResult:
        """Execute an order received over a link and return the answer."""
        result = self.execute(message)
        reading = None
        if result.report is not None:
            rank_map = self.layers() if message.kind == READ_LAYERS else None
            reading = to_reading(result.report, [], rank_map)
        return RankOrderResult(message.order, result.outcome.value, reading)


def _decode_order(message: RankOrder) -> MapOrder:
    return MapOrder(
        MapOrderKind(message.kind),
        message.fence,
        message.epoch,
        message.version,
        message.step,
        unpack_layers(message.layers_by_rank),
        message.experts,
    )


def encode_order(order_id: int, rank: int, order: MapOrder, packed_layers: bytes) -> RankOrder:
    """Return the message for an order to a rank, with the map already packed."""
    return RankOrder(
        order=order_id,
        kind=order.kind.value,
        fence=order.fence,
        epoch=order.epoch,
        version=order.version,
        step=order.step,
        layers_by_rank=packed_layers,
        experts=order.experts,
        rank=rank,
    )


def to_reading(
    report: RankReport, counts: list[int], rank_map: RankMap | None = None
) -> RankReading:
    """Return the message for a report."""
    return RankReading(
        rank=report.rank,
        epoch=report.epoch,
        is_open=report.is_open,
        step=report.step,
        map_version=report.map_version,
        prepared=report.prepared,
        armed_version=report.armed.version if report.armed else 0,
        armed_step=report.armed.step if report.armed else 0,
        held_step=report.held_step,
        counts=pack_counts(counts),
        layers=[list(layer) for layer in rank_map.layers] if rank_map is not None else [],
        pace=report.slowdown,
    )


def from_reading(reading: RankReading, group: str, size: int) -> RankReport:
    """Return the report contained in a message."""
    armed = Armed(reading.armed_version, reading.armed_step) if reading.armed_version else None
    return RankReport(
        group=group,
        rank=reading.rank,
        size=size,
        epoch=reading.epoch,
        is_open=reading.is_open,
        step=reading.step,
        map_version=reading.map_version,
        prepared=reading.prepared,
        armed=armed,
        held_step=reading.held_step,
        slowdown=reading.pace,
    )
