"""A rank group as a model: steps, maps, orders that are lost, doubled or late."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from canvasyoke._clock import ManualClock
from canvasyoke.experts import Armed, MapOrder, MapOrderKind, OrderOutcome, RankReport
from canvasyoke.experts._group import Ordered, RankGroup

#: Milliseconds by which engines' reports to other machines lag.
_FAR_LAG = 200


class OwnerDied(Exception):
    """The owner's process ended between two orders."""


class MapsDiffer(AssertionError):
    """A step began while two ranks had different maps."""


@dataclass
class Rank:
    """One rank; does what the platform's pages say of orders."""

    number: int
    epoch: int = 1
    map_version: int = 0
    highest: int = 0
    prepared: int = 0
    armed: Armed | None = None
    held_step: int = 0
    fence: int = 0

    def take(self, order: MapOrder, step: int) -> OrderOutcome:
        if order.fence < self.fence:
            return OrderOutcome.FENCED
        self.fence = order.fence
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
                if self.held_step == order.step:
                    self.held_step = 0
                return OrderOutcome.DONE

    def _prepare(self, version: int) -> OrderOutcome:
        if version == self.prepared:
            return OrderOutcome.DONE
        if version <= self.highest or self.armed is not None:
            return OrderOutcome.CONFLICT
        self.highest = self.prepared = version
        return OrderOutcome.DONE

    def _arm(self, armed: Armed, step: int) -> OrderOutcome:
        if self.armed == armed:
            return OrderOutcome.DONE
        if self.prepared != armed.version or armed.step <= step or self.armed is not None:
            return OrderOutcome.CONFLICT
        self.armed = armed
        return OrderOutcome.DONE

    def _hold(self, wanted: int, step: int) -> OrderOutcome:
        if self.held_step == wanted:
            return OrderOutcome.DONE
        if self.held_step or wanted <= step:
            return OrderOutcome.CONFLICT
        self.held_step = wanted
        return OrderOutcome.DONE


@dataclass
class World:
    """A group, its steps, and the orders on their way."""

    size: int
    rng: random.Random
    clock: ManualClock = field(default_factory=ManualClock)
    step: int = 0
    epoch: int = 1
    ranks: list[Rank] = field(default_factory=list)
    late: list[tuple[int, MapOrder]] = field(default_factory=list)
    #: Chances of an order: that it is carried out without an answer, late, or never;
    #: and that its owner dies right after it.
    silent: float = 0.0
    tardy: float = 0.0
    lost: float = 0.0
    death: float = 0.0
    #: Chance that a step begins, that a late order arrives, and that the group is
    #: formed anew, between two orders.
    busy: float = 0.5
    arrival: float = 0.2
    reform: float = 0.0

    #: What each rank would have reported, with the time.
    past: list[list[tuple[int, RankReport]]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.ranks = [Rank(number) for number in range(self.size)]
        self.past = [[] for _ in self.ranks]
        self.remember()

    def remember(self) -> None:
        """Keep what each rank would report now, for those who hear of it late."""
        for rank in self.ranks:
            self.past[rank.number].append((self.clock.now(), self.report(rank)))

    def pass_time(self) -> None:
        """Let something happen between two orders."""
        self.clock.advance(self.rng.randint(1, 30))
        if self.rng.random() < self.busy:
            self.begin_step()
        if self.late and self.rng.random() < self.arrival:
            rank, order = self.late.pop(self.rng.randrange(len(self.late)))
            self.ranks[rank].take(order, self.step)
        if self.rng.random() < self.reform:
            self.form_anew()
        self.remember()

    def begin_step(self) -> None:
        """Begin the next step unless a rank holds it."""
        wanted = self.step + 1
        if any(rank.held_step == wanted for rank in self.ranks):
            return
        self.step = wanted
        for rank in self.ranks:
            if rank.armed is not None and rank.armed.step == wanted:
                rank.map_version, rank.armed = rank.armed.version, None
        if len({rank.map_version for rank in self.ranks}) != 1:
            raise MapsDiffer([rank.map_version for rank in self.ranks])

    def form_anew(self) -> None:
        """Break the group and form it in a new epoch; orders under way stay under way."""
        self.epoch += 1
        highest = max(rank.highest for rank in self.ranks)
        restarted = self.rng.randrange(self.size)
        for rank in self.ranks:
            fence = 0 if rank.number == restarted else rank.fence
            self.ranks[rank.number] = Rank(
                rank.number, epoch=self.epoch, highest=highest, fence=fence
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


class ModelGroup(RankGroup):
    """The group as one owner reaches it."""

    def __init__(
        self,
        world: World,
        own_rank: int = 0,
        out_of_reach: frozenset[int] = frozenset(),
        lag: int = 0,
    ) -> None:
        self.world = world
        self._own_rank = own_rank
        self._out_of_reach = out_of_reach
        self._lag = lag

    @property
    def size(self) -> int:
        return self.world.size

    @property
    def report_lag(self) -> int:
        return self._lag

    def pause(self, seconds: float) -> None:
        """Let at least so much time pass."""
        until = self.world.clock.now() + round(seconds * 1_000)
        while self.world.clock.now() < until:
            self.world.pass_time()

    def _report(self, rank: Rank) -> RankReport:
        """Return a report as old as reports of this group may be."""
        return self._report_of(rank, self._lag)

    def _report_of(self, rank: Rank, lag: int) -> RankReport:
        if not lag or rank.number == self._own_rank:
            return self.world.report(rank)
        limit = self.world.clock.now() - lag
        past = [each for at, each in self.world.past[rank.number] if at <= limit]
        return past[-1] if past else self.world.past[rank.number][0][1]

    def give(self, orders: Mapping[int, MapOrder], timeout: int) -> Mapping[int, Ordered]:
        answers = {}
        waiting = list(orders.items())
        while waiting:
            rank, order = waiting.pop(0)
            self.world.pass_time()
            if rank in self._out_of_reach:
                answers[rank] = Ordered(OrderOutcome.UNKNOWN)
                continue
            answers[rank] = self._give_one(self.world.ranks[rank], order)
            if self.world.rng.random() < self.world.death:
                # Or it is paused, and wakes to send the rest when another owns the map.
                self.world.late.extend(waiting)
                raise OwnerDied
        return answers

    def give_directly(self, orders: Mapping[int, MapOrder], timeout: int) -> Mapping[int, Ordered]:
        """Give orders as from another machine, which hears of their effect late."""
        given = self.give(orders, timeout)
        return {
            rank: Ordered(each.outcome, self._report_of(self.world.ranks[rank], _FAR_LAG))
            for rank, each in given.items()
        }

    def _give_one(self, rank: Rank, order: MapOrder) -> Ordered:
        world, roll = self.world, self.world.rng.random()
        if roll < world.lost:
            return Ordered(OrderOutcome.UNKNOWN)
        if roll < world.lost + world.tardy:
            world.late.append((rank.number, order))
            return Ordered(OrderOutcome.UNKNOWN)
        outcome = rank.take(order, world.step)
        if roll < world.lost + world.tardy + world.silent:
            return Ordered(OrderOutcome.UNKNOWN, self._report(rank))
        return Ordered(outcome, self._report(rank))

    def ask(self, timeout: int) -> Mapping[int, RankReport]:
        self.world.pass_time()
        return {
            rank.number: self._report(rank)
            for rank in self.world.ranks
            if rank.number not in self._out_of_reach
        }

    def own_report(self) -> RankReport | None:
        self.world.pass_time()
        return self.world.report(self.world.ranks[self._own_rank])
