"""Carries a map owner's orders to the rank beside this target, and fences them.

Some engines do not check who gives them an order, so the target checks for all:
an order from a lower epoch, or a lower number within an epoch, never reaches the
rank. After a restart the target first asks its rank for the highest it has seen.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass

from canvasyoke.backend import RankAnswer, RankOrder, RankPort
from canvasyoke.protocol import GroupOrder, GroupReply

_READING = frozenset({"highest", "counts"})


@dataclass(frozen=True, slots=True, order=True)
class Fence:
    """Position of an expert map: owners are told apart by epoch, maps by number."""

    epoch: int = 0
    number: int = 0


class RankGuard:
    """Passes on the orders that are not behind; thread-safe."""

    def __init__(self, port: RankPort, group: str, rank: int) -> None:
        self._port = port
        self._group = group
        self._rank = rank
        self._lock = threading.Lock()
        self._highest = Fence()
        self._learned = False
        #: Map the rank last said it has in force.
        self.in_force = Fence()

    def carry(self, order: GroupOrder) -> GroupReply:
        """Carry out ``order`` or refuse it."""
        with self._lock:
            return self._carry(order)

    def _carry(self, order: GroupOrder) -> GroupReply:
        if (order.group, order.rank) != (self._group, self._rank):
            return GroupReply(order.order, False, "not this rank")
        if not self._learned and not self._learn():
            return GroupReply(order.order, False, "the rank does not answer")
        fence = Fence(order.epoch, order.number)
        if order.action not in _READING and fence < self._highest:
            return self._reply(order, RankAnswer(False, "fenced: a higher map is known"))
        if order.epoch < self._highest.epoch:
            return self._reply(order, RankAnswer(False, "fenced: a higher epoch is known"))
        answer = self._port.order(
            RankOrder(
                order.action,
                order.epoch,
                order.number,
                order.step,
                order.jump,
                order.ranks,
                order.replicas,
            )
        )
        if answer.ok and order.action not in _READING:
            self._highest = max(self._highest, fence)
        if answer.ok:
            self.in_force = Fence(answer.epoch, answer.number)
        return self._reply(order, answer)

    def _learn(self) -> bool:
        answer = self._port.order(RankOrder("highest", 0, 0))
        if answer.ok:
            self._highest = max(self._highest, Fence(answer.epoch, answer.number))
            self._learned = True
        return answer.ok

    def _reply(self, order: GroupOrder, answer: RankAnswer) -> GroupReply:
        return GroupReply(
            order.order,
            answer.ok,
            answer.detail,
            answer.epoch if answer.ok else self._highest.epoch,
            answer.number if answer.ok else self._highest.number,
            answer.step,
            answer.counts,
            answer.step_time,
            answer.ranks,
            answer.replicas,
        )
