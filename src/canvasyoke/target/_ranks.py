"""A map owner's links to the targets of all ranks of its group."""

from __future__ import annotations

import itertools
import random
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from canvasyoke._clock import SECOND, Clock
from canvasyoke.protocol import GroupOrder, GroupReply, Message
from canvasyoke.transport import LinkClient, Session


@dataclass(slots=True)
class _Pending:
    """Replies still awaited to one round of orders."""

    wanted: set[int]
    ranks: dict[int, int]
    replies: dict[int, GroupReply] = field(default_factory=dict)
    done: threading.Event = field(default_factory=threading.Event)


class RankLinks:
    """Sends one order to several ranks at once and gathers what they answer."""

    def __init__(
        self, link_key: bytes, instance: str, incarnation: str, clock: Clock, rng: random.Random
    ) -> None:
        self._link_key = link_key
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._clients: dict[int, LinkClient] = {}
        self._sessions: dict[str, Session] = {}
        self._numbers = itertools.count(1)
        self._pending: _Pending | None = None

    def connect(self, addresses: Mapping[int, str]) -> None:
        """Keep one link to each address; ranks that are not named lose theirs."""
        for rank, client in list(self._clients.items()):
            if addresses.get(rank) != client.address:
                client.stop()
                del self._clients[rank]
        for rank, address in addresses.items():
            if rank not in self._clients:
                self._clients[rank] = self._open(address)

    def close(self) -> None:
        """Give up all links."""
        self.connect({})

    def _open(self, address: str) -> LinkClient:
        def opened(session: Session) -> None:
            self._sessions[address] = session

        def closed(session: Session) -> None:
            if self._sessions.get(address) is session:
                del self._sessions[address]

        client = LinkClient(
            address,
            self._link_key,
            "owner",
            self._instance,
            self._incarnation,
            self._clock,
            self._rng,
            self._received,
            opened,
            closed,
        )
        client.start()
        return client

    def ask(
        self, ranks: list[int], make: Callable[[int, int], GroupOrder], timeout: int
    ) -> dict[int, GroupReply]:
        """Send ``make(order, rank)`` to each rank; return the replies that came in time."""
        pending = _Pending(set(), {})
        orders = []
        for rank in ranks:
            session = self._session(rank)
            if session is None:
                continue
            order = make(next(self._numbers), rank)
            pending.wanted.add(order.order)
            pending.ranks[order.order] = rank
            orders.append((session, order))
        if not orders:
            return {}
        with self._lock:
            self._pending = pending
        for session, order in orders:
            session.send(order)
        pending.done.wait(timeout / SECOND)
        with self._lock:
            self._pending = None
            return {pending.ranks[number]: reply for number, reply in pending.replies.items()}

    def _session(self, rank: int) -> Session | None:
        client = self._clients.get(rank)
        return self._sessions.get(client.address) if client else None

    def _received(self, session: Session, message: Message) -> None:
        if not isinstance(message, GroupReply):
            return
        with self._lock:
            pending = self._pending
            if pending is None or message.order not in pending.wanted:
                return
            pending.replies[message.order] = message
            if len(pending.replies) == len(pending.wanted):
                pending.done.set()
