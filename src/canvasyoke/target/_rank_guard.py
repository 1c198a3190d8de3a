"""Fencing of the orders that a map owner sends to this target's rank.

Some engines do not check the sender of an order, so the target does: an order with a lower
epoch, or a lower map number within the epoch, is never passed to the rank. After a restart, the
target first queries the rank for the highest version that it has seen.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass

from canvasyoke.backend import RankAnswer, RankOrder, RankPort
from canvasyoke.protocol import GroupOrder, GroupReply

_READ_ACTIONS = frozenset({"highest", "counts"})


@dataclass(frozen=True, slots=True, order=True)
class MapVersion:
    """Version of an expert map: the epoch identifies the owner, the number its map."""

    epoch: int = 0
    number: int = 0


class RankGuard:
    """Forwards orders to the rank and rejects outdated ones; thread-safe."""

    def __init__(self, port: RankPort, group: str, rank: int) -> None:
        self._port = port
        self._group = group
        self._rank = rank
        self._lock = threading.Lock()
        self._highest_version = MapVersion()
        self._highest_known = False
        #: Version of the active map, as last reported by the rank.
        self.active_version = MapVersion()

    def execute(self, order: GroupOrder) -> GroupReply:
        """Execute ``order`` on the rank, or reject it."""
        with self._lock:
            return self._execute(order)

    def _execute(self, order: GroupOrder) -> GroupReply:
        if (order.group, order.rank) != (self._group, self._rank):
            return GroupReply(order.order, False, "not this rank")
        if not self._highest_known and not self._fetch_highest():
            return GroupReply(order.order, False, "the rank does not answer")
        version = MapVersion(order.epoch, order.number)
        if order.action not in _READ_ACTIONS and version < self._highest_version:
            return self._reply(order, RankAnswer(False, "fenced: a higher map is known"))
        if order.epoch < self._highest_version.epoch:
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
        if answer.ok and order.action not in _READ_ACTIONS:
            self._highest_version = max(self._highest_version, version)
        if answer.ok:
            self.active_version = MapVersion(answer.epoch, answer.number)
        return self._reply(order, answer)

    def _fetch_highest(self) -> bool:
        answer = self._port.order(RankOrder("highest", 0, 0))
        if answer.ok:
            self._highest_version = max(
                self._highest_version, MapVersion(answer.epoch, answer.number)
            )
            self._highest_known = True
        return answer.ok

    def _reply(self, order: GroupOrder, answer: RankAnswer) -> GroupReply:
        return GroupReply(
            order.order,
            answer.ok,
            answer.detail,
            answer.epoch if answer.ok else self._highest_version.epoch,
            answer.number if answer.ok else self._highest_version.number,
            answer.step,
            answer.counts,
            answer.step_time,
            answer.ranks,
            answer.replicas,
        )
