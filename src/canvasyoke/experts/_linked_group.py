"""The ranks of a group over links to the processes beside them."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final

import msgspec

from canvasyoke._clock import SECOND, Clock
from canvasyoke.experts._group import Ordered, RankGroup
from canvasyoke.experts._member import (
    READ,
    READ_LAYERS,
    RankMember,
    from_reading,
    to_message,
)
from canvasyoke.experts._packing import PackingError, pack_layers, unpack_counts
from canvasyoke.experts._rank_port import MapOrder, OrderOutcome, RankLayers, RankMap, RankReport
from canvasyoke.experts._relay import add_counts
from canvasyoke.observe import part_logger
from canvasyoke.protocol import (
    Message,
    RankLost,
    RankOrder,
    RankOrdered,
    RankOrders,
    RankReading,
    RelayedReadings,
)
from canvasyoke.transport import Session

_log = part_logger("map")
#: Milliseconds for a rank to say whether it still holds its group.
_HELD_TIMEOUT: Final = 200

#: Times that a rank takes for the same work from which on it counts as slow. Demand is
#: known to a tenth.
_SLOW: Final = 1.2


@dataclass(slots=True)
class _Link:
    session: Session
    heard_at: int
    reading: RankReading


@dataclass(slots=True)
class _Waiting:
    """Answers that one call still waits for."""

    missing: set[int] = field(default_factory=set)
    answers: dict[int, RankOrdered] = field(default_factory=dict)


class LinkedGroup(RankGroup):
    """One group in one epoch; fed by the link server's task, used by the owner's."""

    def __init__(
        self,
        own: RankMember,
        report: RankReport,
        clock: Clock,
        far: Callable[[int], RankMember | None],
    ) -> None:
        self.name = report.group
        self.epoch = report.epoch
        self.own_rank = report.rank
        self._size = report.size
        self._own = own
        #: Makes a member that speaks to another rank's engine from here. The platform
        #: prices that, so it serves only ranks whose own process is not linked.
        self._far = far
        self._clock = clock
        self._numbers = itertools.count(1)
        self._changed = threading.Condition()
        self._links: dict[int, _Link] = {}
        self._calls: dict[int, tuple[_Waiting, int]] = {}
        self._counts: list[int] = []

    @property
    def size(self) -> int:
        """Return the number of ranks."""
        return self._size

    @property
    def is_linked(self) -> bool:
        """Tell whether every other rank's process is linked and in this epoch."""
        with self._changed:
            links = [li for li in self._links.values() if not li.session.closed]
            in_epoch = [li for li in links if li.reading.epoch == self.epoch]
        return len(in_epoch) == self._size - 1

    def took(self, session: Session, message: Message) -> None:
        """Take a message from the process beside another rank."""
        match message:
            case RankReading():
                self._took_readings(session, [message], message.counts)
            case RelayedReadings():
                self._took_readings(session, message.readings, message.counts)
            case RankLost():
                self._lost(session, message.rank)
            case RankOrdered():
                self._took_answer(message)

    def _took_readings(self, session: Session, readings: list[RankReading], packed: bytes) -> None:
        try:
            counts = unpack_counts(packed)
        except PackingError as exc:
            _log.warning("counts cannot be read", group=self.name, peer=session.peer, cause=exc)
            counts = []
        with self._changed:
            for reading in readings:
                self._links[reading.rank] = _Link(session, self._clock.now(), reading)
            self._add_counts(counts)

    def _lost(self, session: Session, rank: int) -> None:
        """Take note that a relay has no link with a rank; it may have another way by now."""
        with self._changed:
            link = self._links.get(rank)
            if link is not None and link.session is session:
                del self._links[rank]

    def _took_answer(self, message: RankOrdered) -> None:
        with self._changed:
            if message.order in self._calls:
                waiting, rank = self._calls.pop(message.order)
                waiting.answers[rank] = message
                waiting.missing.discard(rank)
                self._changed.notify_all()

    def took_own_counts(self, counts: list[int]) -> None:
        """Take the counts of the own rank."""
        with self._changed:
            self._add_counts(counts)

    def _add_counts(self, counts: list[int]) -> None:
        self._counts = add_counts(self._counts, counts)

    def take_counts(self) -> list[int]:
        """Return the counts of all ranks since the last call."""
        with self._changed:
            counts, self._counts = self._counts, []
        return counts

    def paces(self) -> dict[int, float]:
        """Return the ranks that take longer for the same work, and how many times."""
        with self._changed:
            paces = {rank: link.reading.pace for rank, link in self._links.items()}
        own = self._own.report()
        if own is not None:
            paces[self.own_rank] = own.pace
        return {rank: pace for rank, pace in paces.items() if pace >= _SLOW}

    def give(self, orders: Mapping[int, MapOrder], timeout: int) -> Mapping[int, Ordered]:
        """Give orders to ranks over their links; the own rank directly."""
        messages = self._messages(orders)
        own = orders.get(self.own_rank)
        answers = self._exchange(messages, timeout, own)
        return {rank: answers.get(rank, Ordered(OrderOutcome.UNKNOWN)) for rank in orders}

    def _messages(self, orders: Mapping[int, MapOrder]) -> dict[int, RankOrder]:
        """Return the messages for ``orders``; a map that several share is packed once."""
        packed: dict[int, bytes] = {}
        messages = {}
        for rank, order in orders.items():
            layers = order.layers_by_rank
            if id(layers) not in packed:
                packed[id(layers)] = pack_layers(layers)
            messages[rank] = to_message(next(self._numbers), rank, order, packed[id(layers)])
        return messages

    def give_directly(self, orders: Mapping[int, MapOrder], timeout: int) -> Mapping[int, Ordered]:
        """Give orders at the ranks' engines; the adapter's own limit of time holds."""
        given = {}
        for rank, order in orders.items():
            member = self._own if rank == self.own_rank else self._far(rank)
            if member is not None:
                given[rank] = member.order(order)
        return {rank: given.get(rank, Ordered(OrderOutcome.UNKNOWN)) for rank in orders}

    def ask(self, timeout: int) -> Mapping[int, RankReport]:
        """Return fresh reports."""
        answers = self._exchange(self._questions(READ), timeout, None)
        own = self._own.report()
        reports = {r: o.report for r, o in answers.items() if o.report is not None}
        if own is not None:
            reports[self.own_rank] = own
        return reports

    def last_held(self, rank: int) -> bool:
        """Tell whether a rank's last reading, and a fresh report, tell of a hold."""
        with self._changed:
            link = self._links.get(rank)
        if link is None or not link.reading.held_step:
            return False
        report = self.ask(_HELD_TIMEOUT).get(rank)
        return report is not None and bool(report.held_step)

    def own_report(self) -> RankReport | None:
        """Return the own rank's report."""
        return self._own.report()

    def own_layers(self) -> RankMap | None:
        """Return the map in force as far as the own rank holds it."""
        return self._own.layers()

    def ask_layers(self, timeout: int) -> Mapping[int, RankLayers]:
        """Return the experts that each of the other ranks holds."""
        waiting = self._send(self._questions(READ_LAYERS))
        self._wait(waiting, timeout)
        return {
            rank: tuple(tuple(layer) for layer in answer.reading.layers)
            for rank, answer in waiting.answers.items()
            if answer.reading is not None and answer.reading.layers
        }

    def _questions(self, kind: str) -> dict[int, RankOrder]:
        others = (rank for rank in range(self._size) if rank != self.own_rank)
        return {r: RankOrder(next(self._numbers), kind, 0, self.epoch, rank=r) for r in others}

    def _exchange(
        self, messages: Mapping[int, RankOrder], timeout: int, own: MapOrder | None
    ) -> dict[int, Ordered]:
        waiting = self._send(messages)
        linked = frozenset(waiting.missing | waiting.answers.keys())
        answers: dict[int, Ordered] = {}
        if own is not None:
            answers[self.own_rank] = self._own.order(own)
        answers.update(self._reach_far(messages, linked))
        self._wait(waiting, timeout)
        for rank, answer in waiting.answers.items():
            reading = answer.reading
            report = from_reading(reading, self.name, self._size) if reading else None
            answers[rank] = Ordered(OrderOutcome(answer.outcome), report)
        return answers

    def _reach_far(
        self, messages: Mapping[int, RankOrder], linked: frozenset[int]
    ) -> dict[int, Ordered]:
        """Order the ranks without a link at their engines."""
        answers: dict[int, Ordered] = {}
        for rank in messages.keys() - linked - {self.own_rank}:
            member = self._far(rank)
            if member is not None:
                answers[rank] = member.answer_order(messages[rank])
        return answers

    def _send(self, messages: Mapping[int, RankOrder]) -> _Waiting:
        waiting = _Waiting()
        by_session: dict[Session, list[RankOrder]] = {}
        with self._changed:
            for rank, message in messages.items():
                link = self._links.get(rank)
                if rank == self.own_rank or link is None or link.session.closed:
                    continue
                self._calls[message.order] = (waiting, rank)
                waiting.missing.add(rank)
                by_session.setdefault(link.session, []).append(message)
        for session, orders in by_session.items():
            session.send(_joined(orders))
        return waiting

    def _wait(self, waiting: _Waiting, timeout: int) -> None:
        deadline = self._clock.now() + timeout
        with self._changed:
            while waiting.missing:
                left = deadline - self._clock.now()
                if left <= 0:
                    break
                self._changed.wait(left / SECOND)
            stale = [n for n, (of, _) in self._calls.items() if of is waiting]
            for number in stale:
                del self._calls[number]


def _joined(orders: list[RankOrder]) -> RankOrder | RankOrders:
    """Return one message for all orders over one link, with the map that they share once."""
    if len(orders) == 1:
        return orders[0]
    bare = [msgspec.structs.replace(order, layers_by_rank=b"") for order in orders]
    return RankOrders(bare, orders[0].layers_by_rank)
