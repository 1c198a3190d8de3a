"""One rank's process that stands between its failure domain and the owner of a large group.

The owner of 96 ranks has 3 to 6 Mbit/s. Readings of 32 ranks a turn took 2.3 Mbit/s of it,
and a map to each of 95 ranks 0.24 MB more; orders waited behind them for seconds, and no map
was ever taken. A relay adds up the counts of its domain and passes one sum on, and takes the
orders for all of its domain in one message with the map in it once. Statuses and answers go
through one by one, so the owner knows of each rank what it knew before.
"""

from __future__ import annotations

import threading
from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from canvasyoke._clock import Clock
from canvasyoke.experts._packing import PackingError, pack_counts, unpack_counts
from canvasyoke.observe import part_logger
from canvasyoke.protocol import (
    Message,
    RankLost,
    RankOrder,
    RankOrdered,
    RankReading,
    RelayedReadings,
)
from canvasyoke.transport import LinkServer, Session

_log = part_logger("relay")
#: Ranks up to which all link with the owner itself. Readings of 32 ranks with 1,536
#: numbers take 1.2 Mbit/s.
DIRECT_LIMIT: Final = 32
#: Ranks that are linked with the owner in any case: the owner and its standby.
_ALWAYS_DIRECT: Final = 2
#: Ranks behind one relay at the most, itself included. A map of 2 KB to each of 24 takes
#: 0.13 s of 3 Mbit/s.
_MEMBERS: Final = 24


def members_of_relay(rank: int, domains: Mapping[int, str]) -> Sequence[int]:
    """Return the ranks that share a relay with ``rank``, the relay first.

    Empty for a rank that is linked with the owner itself. ``domains`` has the failure
    domain of each rank that is known; a large domain has several relays.
    """
    domain = domains.get(rank)
    if len(domains) <= DIRECT_LIMIT or rank < _ALWAYS_DIRECT or not domain:
        return ()
    ranks = sorted(r for r, d in domains.items() if d == domain and r >= _ALWAYS_DIRECT)
    size = -(-len(ranks) // -(-len(ranks) // _MEMBERS))
    start = ranks.index(rank) // size * size
    return ranks[start : start + size]


def sharing_ranks(size: int) -> int:
    """Return how many ranks of a group share the way on which their readings take turns."""
    return size if size <= DIRECT_LIMIT else _MEMBERS


class Relay:
    """The links of one domain's ranks; fed by the link server's task and the process's own."""

    def __init__(
        self, address: str, link_key: bytes, instance: str, incarnation: str, clock: Clock
    ) -> None:
        self._lock = threading.Lock()
        self._sessions: dict[int, Session] = {}
        self._readings: dict[int, RankReading] = {}
        self._counts: list[int] = []
        #: The link to the owner, once there is one.
        self._owner: Session | None = None
        self._server = LinkServer(
            address,
            link_key,
            instance,
            incarnation,
            clock,
            self.took,
            lambda _session: None,
            self.closed,
        )

    def start(self) -> None:
        """Begin to take links."""
        self._server.start()

    def use_key(self, link_key: bytes) -> None:
        """Take new links by another key; those that stand go on."""
        self._server.use_key(link_key)

    def stop(self) -> None:
        """End the links of the domain."""
        self._server.stop()

    def took(self, session: Session, message: Message) -> None:
        """Take a message from the process beside another rank of the domain."""
        if isinstance(message, RankReading):
            self._took_reading(session, message)
        elif isinstance(message, RankOrdered):
            self._pass_up(message)

    def _took_reading(self, session: Session, reading: RankReading) -> None:
        try:
            counts = unpack_counts(reading.counts)
        except PackingError as exc:
            _log.warning("counts cannot be read", rank=reading.rank, cause=exc)
            counts = []
        with self._lock:
            self._sessions[reading.rank] = session
            self._readings[reading.rank] = msgspec.structs.replace(reading, counts=b"")
            self._counts = add_counts(self._counts, counts)

    def closed(self, session: Session) -> None:
        """Take note that a link of the domain has ended."""
        with self._lock:
            lost = [rank for rank, known in self._sessions.items() if known is session]
            for rank in lost:
                del self._sessions[rank]
                self._readings.pop(rank, None)
        for rank in lost:
            self._pass_up(RankLost(rank))

    def report(self, owner: Session, own: RankReading, own_counts: list[int]) -> None:
        """Tell the owner what all ranks of the domain have counted since the last time."""
        with self._lock:
            self._owner = owner
            counts = add_counts(self._counts, own_counts)
            self._counts = []
            readings = [own, *self._readings.values()]
            self._readings.clear()
        owner.send(RelayedReadings(readings, pack_counts(counts)))

    def order(self, message: RankOrder) -> bool:
        """Pass an order on; false when its rank is not linked here."""
        with self._lock:
            session = self._sessions.get(message.rank)
        if session is None or session.closed:
            return False
        session.send(message)
        return True

    def _pass_up(self, message: Message) -> None:
        owner = self._owner
        if owner is not None:
            owner.send(message)


def add_counts(one: list[int], other: list[int]) -> list[int]:
    """Return the sums of two readings; where their lengths differ, the newer ``other``."""
    if not other or not one:
        return other or one
    if len(one) != len(other):
        return other
    return [a + b for a, b in zip(one, other, strict=True)]
