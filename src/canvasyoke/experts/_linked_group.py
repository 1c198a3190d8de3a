"""A rank group reached over links to its rank processes."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final

import msgspec

from canvasyoke._clock import SECOND, Clock
from canvasyoke.experts._direct_group import ENGINE_REPORT_LAG
from canvasyoke.experts._group import OrderResult, RankGroup
from canvasyoke.experts._packing import PackingError, pack_layers, unpack_counts
from canvasyoke.experts._rank_client import (
    READ,
    READ_LAYERS,
    RankClient,
    encode_order,
    from_reading,
)
from canvasyoke.experts._rank_port import MapOrder, OrderOutcome, RankLayers, RankMap, RankReport
from canvasyoke.experts._relay import add_counts
from canvasyoke.observe import part_logger
from canvasyoke.protocol import (
    Message,
    RankDisconnected,
    RankOrder,
    RankOrderResult,
    RankOrders,
    RankReading,
    RelayedReadings,
)
from canvasyoke.transport import Session

_log = part_logger("map")
#: Milliseconds to wait for ranks to confirm that they still hold the group.
_HOLD_QUERY_TIMEOUT: Final = 200

#: Relative processing time from which a rank counts as slow. Smaller slowdowns are within the error
#: of the demand estimate.
_SLOWDOWN_THRESHOLD: Final = 1.2


@dataclass(slots=True)
class _Link:
    session: Session
    received_at: int
    reading: RankReading


@dataclass(slots=True)
class _PendingCall:
    """Answers that a call is waiting for."""

    missing: set[int] = field(default_factory=set)
    answers: dict[int, RankOrderResult] = field(default_factory=dict)


class LinkedGroup(RankGroup):
    """One group in one epoch; fed by the link server's thread, used by the owner's."""

    def __init__(
        self,
        own_client: RankClient,
        report: RankReport,
        clock: Clock,
        remote_client: Callable[[int], RankClient | None],
        first_order: int = 1,
    ) -> None:
        self.name = report.group
        self.epoch = report.epoch
        self.own_rank = report.rank
        self._size = report.size
        self._own_client = own_client
        #: Returns a client for another rank's engine. The platform charges for such calls, so it is
        #: used only for ranks whose process is not linked.
        self._remote_client = remote_client
        self._clock = clock
        self._order_ids = itertools.count(first_order)
        self._condition = threading.Condition()
        self._links: dict[int, _Link] = {}
        self._calls: dict[int, tuple[_PendingCall, int]] = {}
        self._counts: list[int] = []
        #: Time before which received counts are dropped.
        self._counts_from = 0

    @property
    def size(self) -> int:
        """Return the number of ranks."""
        return self._size

    @property
    def is_linked(self) -> bool:
        """Return whether the processes of all other ranks are linked and in this epoch."""
        with self._condition:
            return len(self._linked_ranks()) == self._size - 1

    @property
    def link_report_lag(self) -> int:
        """Return the milliseconds by which reports may lag: those of unlinked ranks' engines."""
        return 0 if self.is_linked else ENGINE_REPORT_LAG

    def _linked_ranks(self) -> set[int]:
        """Return the ranks whose processes are linked and in this epoch; call with the lock."""
        return {
            rank
            for rank, link in self._links.items()
            if not link.session.closed and link.reading.epoch == self.epoch
        }

    def on_message(self, session: Session, message: Message) -> None:
        """Handle a message from another rank's process."""
        match message:
            case RankReading():
                self._on_readings(session, [message], message.counts)
            case RelayedReadings():
                self._on_readings(session, message.readings, message.counts)
            case RankDisconnected():
                self._on_rank_lost(session, message.rank)
            case RankOrderResult():
                self._on_answer(message)

    def _on_readings(self, session: Session, readings: list[RankReading], packed: bytes) -> None:
        try:
            counts = unpack_counts(packed)
        except PackingError as exc:
            _log.warning("undecodable counts", group=self.name, peer=session.peer, cause=exc)
            counts = []
        with self._condition:
            for reading in readings:
                self._links[reading.rank] = _Link(session, self._clock.now(), reading)
            self._accumulate(counts)

    def _on_rank_lost(self, session: Session, rank: int) -> None:
        """Drop the link to a rank that a relay has lost, unless it has been linked otherwise."""
        with self._condition:
            link = self._links.get(rank)
            if link is not None and link.session is session:
                del self._links[rank]

    def _on_answer(self, message: RankOrderResult) -> None:
        with self._condition:
            if message.order in self._calls:
                pending, rank = self._calls.pop(message.order)
                pending.answers[rank] = message
                pending.missing.discard(rank)
                self._condition.notify_all()

    def add_own_counts(self, counts: list[int]) -> None:
        """Add the counts of the own rank."""
        with self._condition:
            self._accumulate(counts)

    def _accumulate(self, counts: list[int]) -> None:
        if self._clock.now() >= self._counts_from:
            self._counts = add_counts(self._counts, counts)

    def discard_counts(self, duration: int) -> None:
        """Drop the counts received so far and within the next ``duration`` milliseconds."""
        with self._condition:
            self._counts, self._counts_from = [], self._clock.now() + duration

    def take_counts(self) -> list[int]:
        """Return the counts of all ranks since the last call."""
        with self._condition:
            counts, self._counts = self._counts, []
        return counts

    def slowdowns(self) -> dict[int, float]:
        """Return the slow ranks with their relative processing times."""
        with self._condition:
            slowdowns = {rank: link.reading.pace for rank, link in self._links.items()}
        own_report = self._own_client.report()
        if own_report is not None:
            slowdowns[self.own_rank] = own_report.slowdown
        return {rank: factor for rank, factor in slowdowns.items() if factor >= _SLOWDOWN_THRESHOLD}

    def send_orders(
        self, orders: Mapping[int, MapOrder], timeout: int
    ) -> Mapping[int, OrderResult]:
        """Send orders to ranks over their links, and to the own rank directly."""
        messages = self._encode_orders(orders)
        own_order = orders.get(self.own_rank)
        answers = self._send_and_wait(messages, timeout, own_order)
        return {rank: answers.get(rank, OrderResult(OrderOutcome.UNKNOWN)) for rank in orders}

    def _encode_orders(self, orders: Mapping[int, MapOrder]) -> dict[int, RankOrder]:
        """Return the messages for ``orders``, packing a shared map only once."""
        packed: dict[int, bytes] = {}
        messages = {}
        for rank, order in orders.items():
            layers = order.layers_by_rank
            if id(layers) not in packed:
                packed[id(layers)] = pack_layers(layers)
            messages[rank] = encode_order(next(self._order_ids), rank, order, packed[id(layers)])
        return messages

    def send_orders_directly(
        self, orders: Mapping[int, MapOrder], timeout: int
    ) -> Mapping[int, OrderResult]:
        """Send orders to the engines; the adapter's timeout applies instead of ``timeout``."""
        results = {}
        for rank, order in orders.items():
            client = self._own_client if rank == self.own_rank else self._remote_client(rank)
            if client is not None:
                results[rank] = client.order(order)
        return {rank: results.get(rank, OrderResult(OrderOutcome.UNKNOWN)) for rank in orders}

    def fetch_reports(self, timeout: int) -> Mapping[int, RankReport]:
        """Return current reports of the ranks that answer in time."""
        answers = self._send_and_wait(self._report_requests(READ), timeout, None)
        own_report = self._own_client.report()
        reports = {r: o.report for r, o in answers.items() if o.report is not None}
        if own_report is not None:
            reports[self.own_rank] = own_report
        return reports

    def held_ranks(self) -> set[int]:
        """Return the ranks whose last reading shows a hold."""
        with self._condition:
            return {
                rank
                for rank, link in self._links.items()
                if link.reading.held_step and not link.session.closed
            }

    def confirms_hold(self) -> bool:
        """Return whether both the last reading and a current report of some rank show a hold."""
        held = self.held_ranks()
        if not held:
            return False
        reports = self.fetch_reports(_HOLD_QUERY_TIMEOUT)
        return any(reports[rank].held_step for rank in held & reports.keys())

    def own_report(self) -> RankReport | None:
        """Return the own rank's report."""
        return self._own_client.report()

    def expert_count(self) -> int:
        """Return the number of experts in each layer; 0 if the own rank does not answer."""
        return self._own_client.expert_count()

    def own_layers(self) -> RankMap | None:
        """Return the own rank's part of the map in force."""
        return self._own_client.layers()

    def fetch_layers(self, timeout: int) -> Mapping[int, RankLayers]:
        """Return the experts held by each of the other ranks that answer in time."""
        pending = self._send(self._report_requests(READ_LAYERS))
        self._wait(pending, timeout)
        return {
            rank: tuple(tuple(layer) for layer in answer.reading.layers)
            for rank, answer in pending.answers.items()
            if answer.reading is not None and answer.reading.layers
        }

    def _report_requests(self, kind: str) -> dict[int, RankOrder]:
        others = (rank for rank in range(self._size) if rank != self.own_rank)
        return {r: RankOrder(next(self._order_ids), kind, 0, self.epoch, rank=r) for r in others}

    def _send_and_wait(
        self, messages: Mapping[int, RankOrder], timeout: int, own_order: MapOrder | None
    ) -> dict[int, OrderResult]:
        pending = self._send(messages)
        linked = frozenset(pending.missing | pending.answers.keys())
        answers: dict[int, OrderResult] = {}
        if own_order is not None:
            answers[self.own_rank] = self._own_client.order(own_order)
        answers.update(self._execute_unlinked(messages, linked))
        self._wait(pending, timeout)
        for rank, answer in pending.answers.items():
            reading = answer.reading
            report = from_reading(reading, self.name, self._size) if reading else None
            answers[rank] = OrderResult(OrderOutcome(answer.outcome), report)
        return answers

    def _execute_unlinked(
        self, messages: Mapping[int, RankOrder], linked: frozenset[int]
    ) -> dict[int, OrderResult]:
        """Execute orders for unlinked ranks at their engines."""
        answers: dict[int, OrderResult] = {}
        for rank in messages.keys() - linked - {self.own_rank}:
            client = self._remote_client(rank)
            if client is not None:
                answers[rank] = client.execute(messages[rank])
        return answers

    def _send(self, messages: Mapping[int, RankOrder]) -> _PendingCall:
        pending = _PendingCall()
        by_session: dict[Session, list[RankOrder]] = {}
        with self._condition:
            for rank, message in messages.items():
                link = self._links.get(rank)
                if rank == self.own_rank or link is None or link.session.closed:
                    continue
                self._calls[message.order] = (pending, rank)
                pending.missing.add(rank)
                by_session.setdefault(link.session, []).append(message)
        for session, orders in by_session.items():
            session.send(_merge_orders(orders))
        return pending

    def _wait(self, pending: _PendingCall, timeout: int) -> None:
        deadline = self._clock.now() + timeout
        with self._condition:
            while pending.missing:
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    break
                self._condition.wait(remaining / SECOND)
            unanswered = [n for n, (call, _) in self._calls.items() if call is pending]
            for order_id in unanswered:
                del self._calls[order_id]


def _merge_orders(orders: list[RankOrder]) -> RankOrder | RankOrders:
    """Combine the orders for one link into one message that contains their shared map once."""
    if len(orders) == 1:
        return orders[0]
    without_layers = [msgspec.structs.replace(order, layers_by_rank=b"") for order in orders]
    return RankOrders(without_layers, orders[0].layers_by_rank)
