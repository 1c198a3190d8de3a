"""One rank as the process beside it works with it: reads it and carries out orders."""

from __future__ import annotations

import threading

from canvasyoke.experts._group import Ordered
from canvasyoke.experts._packing import PackingError, pack_counts, unpack_layers
from canvasyoke.experts._rank_port import (
    Armed,
    MapOrder,
    MapOrderKind,
    OrderOutcome,
    RankMap,
    RankPort,
    RankReport,
    RankUnreachable,
)
from canvasyoke.observe import part_logger
from canvasyoke.protocol import RankOrder, RankOrdered, RankReading

_log = part_logger("map")
#: Kind of an order that asks for a report, and for a report with the layers held.
READ = "read"
READ_LAYERS = "read-layers"


class RankMember:
    """The rank beside this process; thread-safe."""

    def __init__(self, port: RankPort) -> None:
        self._port = port
        self._lock = threading.Lock()
        self._counted: tuple[int, ...] = ()

    def report(self) -> RankReport | None:
        """Return the rank's report, or ``None`` when it does not answer or has no group."""
        seen = self._port.report()
        return None if isinstance(seen, RankUnreachable) else seen

    def read_counts(self) -> list[int]:
        """Return how often each expert was chosen since the last call; empty when unknown."""
        seen = self._port.counts()
        if isinstance(seen, RankUnreachable):
            return []
        with self._lock:
            before, self._counted = self._counted, seen
        if len(before) != len(seen) or any(a < b for a, b in zip(seen, before, strict=True)):
            return []  # the first reading, or the rank was restarted
        return [a - b for a, b in zip(seen, before, strict=True)]

    def layers(self) -> RankMap | None:
        """Return the part of the map in force that the rank holds."""
        seen = self._port.map_in_force()
        return None if isinstance(seen, RankUnreachable) else seen

    def order(self, order: MapOrder) -> Ordered:
        """Give the rank an order and read it back."""
        return Ordered(self._port.order(order), self.report())

    def answer_order(self, message: RankOrder) -> Ordered:
        """Carry out an order, or the question for a report."""
        if message.kind not in (READ, READ_LAYERS):
            return self._carry_out(message)
        report = self.report()
        return Ordered(OrderOutcome.UNKNOWN if report is None else OrderOutcome.DONE, report)

    def _carry_out(self, message: RankOrder) -> Ordered:
        try:
            return self.order(_order(message))
        except PackingError as exc:
            _log.warning("a map cannot be read", order=message.order, cause=exc)
            return Ordered(OrderOutcome.REJECTED)

    def answer(self, message: RankOrder) -> RankOrdered:
        """Carry out an order that came over a link."""
        ordered = self.answer_order(message)
        reading = None
        if ordered.report is not None:
            held = self.layers() if message.kind == READ_LAYERS else None
            reading = to_reading(ordered.report, [], held)
        return RankOrdered(message.order, ordered.outcome.value, reading)


def _order(message: RankOrder) -> MapOrder:
    return MapOrder(
        MapOrderKind(message.kind),
        message.fence,
        message.epoch,
        message.version,
        message.step,
        unpack_layers(message.layers_by_rank),
    )


def to_message(number: int, rank: int, order: MapOrder, packed_layers: bytes) -> RankOrder:
    """Return an order to a rank as it goes over a link, with its map packed."""
    return RankOrder(
        order=number,
        kind=order.kind.value,
        fence=order.fence,
        epoch=order.epoch,
        version=order.version,
        step=order.step,
        layers_by_rank=packed_layers,
        rank=rank,
    )


def to_reading(report: RankReport, counts: list[int], held: RankMap | None = None) -> RankReading:
    """Return a report as it goes over a link."""
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
        layers=[list(layer) for layer in held.layers] if held is not None else [],
        pace=report.pace,
    )


def from_reading(reading: RankReading, group: str, size: int) -> RankReport:
    """Return the report that came over a link."""
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
        pace=reading.pace,
    )
