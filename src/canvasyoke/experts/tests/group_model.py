"""Model of a rank group with lost, delayed and unanswered orders."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from canvasyoke._clock import ManualClock
from canvasyoke.experts import Armed, MapOrder, MapOrderKind, OrderOutcome, RankReport
from canvasyoke.experts._group import OrderResult, RankGroup

#: Milliseconds by which engines' reports to other hosts lag.
_REMOTE_LAG = 200


class OwnerDiedError(Exception):
    """The owner's process died between two orders."""


class MapMismatchError(AssertionError):
    """A step began while two ranks had different maps."""


@dataclass
class Rank:
    """Model of one rank that follows the platform's specification of orders."""

    number: int
    epoch: int = 1
    map_version: int = 0
    highest_version: int = 0
    prepared: int = 0
    armed: Armed | None = None
    held_step: int = 0
    fence: int = 0
    #: Whether orders below the highest fence are rejected.
    requires_fencing: bool = True

    def apply(self, order: MapOrder, step: int) -> OrderOutcome:
        if self.requires_fencing and order.fence < self.fence:
            return OrderOutcome.FENCED
        self.fence = max(self.fence, order.fence)
        if order.epoch != self.epoch:
            return OrderOutcome.CONFLICT
        match order.kind:
            case MapOrderKind.PREPARE:
                return self._prepare(order.version)
            case MapOrderKind.ARM:
                return self._arm(Armed(order.version, order.step), step)
            case MapOrderKind.DISARM:
                if self.armed is not None and self.armed.version == order.version:
                    self.armed = None
                return OrderOutcome.DONE
            case MapOrderKind.HOLD:
                return self._hold(order.step, step)
            case MapOrderKind.RELEASE:
                if self.held_step not in (0, order.step):
                    return OrderOutcome.CONFLICT
                self.held_step = 0
                return OrderOutcome.DONE

    def _prepare(self, version: int) -> OrderOutcome:
        if version == self.prepared:
            return OrderOutcome.DONE
        if version <= self.highest_version or self.armed is not None:
            return OrderOutcome.CONFLICT
        self.highest_version = self.prepared = version
        return OrderOutcome.DONE

    def _arm(self, armed: Armed, step: int) -> OrderOutcome:
        if self.armed == armed:
            return OrderOutcome.DONE
        if self.prepared != armed.version or armed.step <= step or self.armed is not None:
            return OrderOutcome.CONFLICT
        self.armed = armed
        return OrderOutcome.DONE

    def _hold(self, requested: int, step: int) -> OrderOutcome:
        if self.held_step == requested:
            return OrderOutcome.DONE
        if self.held_step or requested <= step:
            return OrderOutcome.CONFLICT
        self.held_step = requested
        return OrderOutcome.DONE


@dataclass
class GroupModel:
    """Model of a group with its steps and the orders in flight."""

    size: int
    rng: random.Random
    clock: ManualClock = field(default_factory=ManualClock)
    step: int = 0
    epoch: int = 1
    ranks: list[Rank] = field(default_factory=list)
    delayed: list[tuple[int, MapOrder]] = field(default_factory=list)
    #: Probabilities that an order is executed without an answer, delayed or lost, and that the
    #: owner dies right after it.
    unanswered_rate: float = 0.0
    delay_rate: float = 0.0
    loss_rate: float = 0.0
    death_rate: float = 0.0
    #: Probabilities, between two orders, that a step begins, that a delayed order arrives, and that
    #: the group is re-formed.
    step_rate: float = 0.5
    arrival_rate: float = 0.2
    reform_rate: float = 0.0
    requires_fencing: bool = True

    #: Past reports of each rank with their times.
    history: list[list[tuple[int, RankReport]]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.ranks = [
            Rank(number, requires_fencing=self.requires_fencing) for number in range(self.size)
        ]
        self.history = [[] for _ in self.ranks]
        self.record_reports()

    def record_reports(self) -> None:
        """Record the current reports, for readers with a report lag."""
        for rank in self.ranks:
            self.history[rank.number].append((self.clock.now(), self.report(rank)))

    def advance(self) -> None:
        """Advance the clock and let random events happen."""
        self.clock.advance(self.rng.randint(1, 30))
        if self.rng.random() < self.step_rate:
            self.begin_step()
        if self.delayed and self.rng.random() < self.arrival_rate:
            rank, order = self.delayed.pop(self.rng.randrange(len(self.delayed)))
            self.ranks[rank].apply(order, self.step)
        if self.rng.random() < self.reform_rate:
            self.reform()
        self.record_reports()

    def begin_step(self) -> None:
        """Begin the next step unless a rank holds it."""
        requested = self.step + 1
        if any(rank.held_step == requested for rank in self.ranks):
            return
        self.step = requested
        for rank in self.ranks:
            if rank.armed is not None and rank.armed.step == requested:
                rank.map_version, rank.armed = rank.armed.version, None
        if len({rank.map_version for rank in self.ranks}) != 1:
            raise MapMismatchError([rank.map_version for rank in self.ranks])

    def reform(self) -> None:
        """Re-form the group in a new epoch; orders in flight stay in flight."""
        self.epoch += 1
        highest_version = max(rank.highest_version for rank in self.ranks)
        restarted = self.rng.randrange(self.size)
        for rank in self.ranks:
            fence = 0 if rank.number == restarted else rank.fence
            self.ranks[rank.number] = Rank(
                rank.number,
                epoch=self.epoch,
                highest_version=highest_version,
                fence=fence,
                requires_fencing=self.requires_fencing,
            )

    def report(self, rank: Rank) -> RankReport:
        return RankReport(
            group="g",
            rank=rank.number,
            size=self.size,
            epoch=rank.epoch,
            is_open=True,
            step=self.step,
            map_version=rank.map_version,
            prepared=rank.prepared,
            armed=rank.armed,
            held_step=rank.held_step,
        )


class ModelRankGroup(RankGroup):
    """The group as seen by one owner."""

    def __init__(
        self,
        model: GroupModel,
        own_rank: int = 0,
        unreachable: frozenset[int] = frozenset(),
        lag: int = 0,
    ) -> None:
        self.model = model
        self.own_rank = own_rank
        self._unreachable = unreachable
        self._lag = lag

    @property
    def size(self) -> int:
        return self.model.size

    @property
    def report_lag(self) -> int:
        return self._lag

    def pause(self, seconds: float) -> None:
        """Advance the model by at least the given time."""
        deadline = self.model.clock.now() + round(seconds * 1_000)
        while self.model.clock.now() < deadline:
            self.model.advance()

    def _report(self, rank: Rank) -> RankReport:
        """Return a report with the age given by this group's report lag."""
        return self._report_of(rank, self._lag)

    def _report_of(self, rank: Rank, lag: int) -> RankReport:
        if not lag or rank.number == self.own_rank:
            return self.model.report(rank)
        latest = self.model.clock.now() - lag
        history = [each for at, each in self.model.history[rank.number] if at <= latest]
        return history[-1] if history else self.model.history[rank.number][0][1]

    def send_orders(
        self, orders: Mapping[int, MapOrder], timeout: int
    ) -> Mapping[int, OrderResult]:
        answers = {}
        pending = list(orders.items())
        while pending:
            rank, order = pending.pop(0)
            self.model.advance()
            if rank in self._unreachable:
                answers[rank] = OrderResult(OrderOutcome.UNKNOWN)
                continue
            answers[rank] = self._send_one(self.model.ranks[rank], order)
            if self.model.rng.random() < self.model.death_rate:
                # Covers a paused owner that resumes and sends the rest after another took over.
                self.model.delayed.extend(pending)
                raise OwnerDiedError
        return answers

    def send_orders_directly(
        self, orders: Mapping[int, MapOrder], timeout: int
    ) -> Mapping[int, OrderResult]:
        """Send orders as another host does, whose reports lag."""
        results = self.send_orders(orders, timeout)
        return {
            rank: OrderResult(each.outcome, self._report_of(self.model.ranks[rank], _REMOTE_LAG))
            for rank, each in results.items()
        }

    def _send_one(self, rank: Rank, order: MapOrder) -> OrderResult:
        model, roll = self.model, self.model.rng.random()
        if roll < model.loss_rate:
            return OrderResult(OrderOutcome.UNKNOWN)
        if roll < model.loss_rate + model.delay_rate:
            model.delayed.append((rank.number, order))
            return OrderResult(OrderOutcome.UNKNOWN)
        outcome = rank.apply(order, model.step)
        if roll < model.loss_rate + model.delay_rate + model.unanswered_rate:
            return OrderResult(OrderOutcome.UNKNOWN, self._report(rank))
        return OrderResult(outcome, self._report(rank))

    def fetch_reports(self, timeout: int) -> Mapping[int, RankReport]:
        self.model.advance()
        return {
            rank.number: self._report(rank)
            for rank in self.model.ranks
            if rank.number not in self._unreachable
        }

    def own_report(self) -> RankReport | None:
        self.model.advance()
        return self.model.report(self.model.ranks[self.own_rank])

    def expert_count(self) -> int:
        return 1
