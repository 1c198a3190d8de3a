"""Links from a map owner to the targets of all ranks in its group."""

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
class _PendingRound:
    """State of one round of orders whose replies are pending."""

    expected: set[int]
    ranks: dict[int, int]
    replies: dict[int, GroupReply] = field(default_factory=dict)
    done: threading.Event = field(default_factory=threading.Event)


class RankLinks:
    """Sends orders to several ranks in parallel and collects the replies."""

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
        self._order_numbers = itertools.count(1)
        self._pending: _PendingRound | None = None

    def set_addresses(self, addresses: Mapping[int, str]) -> None:
        """Keep one link per address; close the links of ranks that are not listed."""
        for rank, client in list(self._clients.items()):
            if addresses.get(rank) != client.address:
                client.stop()
                del self._clients[rank]
        for rank, address in addresses.items():
            if rank not in self._clients:
                self._clients[rank] = self._open_link(address)

    def close(self) -> None:
        """Close all links."""
        self.set_addresses({})

    def _open_link(self, address: str) -> LinkClient:
        def on_open(session: Session) -> None:
            self._sessions[address] = session

        def on_close(session: Session) -> None:
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
            self._on_message,
            on_open,
            on_close,
        )
        client.start()
        return client

    def send_orders(
        self, ranks: list[int], make_order: Callable[[int, int], GroupOrder], timeout: int
    ) -> dict[int, GroupReply]:
        """Send ``make_order(order, rank)`` to each rank; return the replies within ``timeout``."""
        pending = _PendingRound(set(), {})
        orders = []
        for rank in ranks:
            session = self._session(rank)
            if session is None:
                continue
            order = make_order(next(self._order_numbers), rank)
            pending.expected.add(order.order)
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
            return {
                pending.ranks[order_number]: reply
                for order_number, reply in pending.replies.items()
            }

    def _session(self, rank: int) -> Session | None:
        client = self._clients.get(rank)
        return self._sessions.get(client.address) if client else None

    def _on_message(self, session: Session, message: Message) -> None:
        if not isinstance(message, GroupReply):
            return
        with self._lock:
            pending = self._pending
            if pending is None or message.order not in pending.expected:
                return
            pending.replies[message.order] = message
            if len(pending.replies) == len(pending.expected):
                pending.done.set()
