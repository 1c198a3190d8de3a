"""Relay between the ranks of a failure domain and the owner of a large group.

The owner's bandwidth does not suffice for readings from, and maps to, every rank of a large group.
A relay sends the owner one sum of its ranks' counts, and receives the orders for all of its ranks
in one message that contains the map once. Statuses and answers are forwarded individually, so that
the owner still knows the state of each rank.
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
    RankDisconnected,
    RankOrder,
    RankOrderResult,
    RankReading,
    RelayedReadings,
)
from canvasyoke.transport import LinkServer, Session

_log = part_logger("relay")
#: Maximum size of a group in which all ranks link directly to the owner. Readings of 32 ranks with
#: 1,536 numbers each take 1.2 Mbit/s.
MAX_DIRECT_RANKS: Final = 32
#: Number of ranks that never use a relay: the owner and its standby.
_DIRECT_RANKS: Final = 2
#: Maximum number of ranks per relay, including itself. It bounds the bandwidth for sending them a
#: map. A map of 2 KB to each of 24 ranks takes 0.13 s at 3 Mbit/s.
_MAX_RELAY_RANKS: Final = 24
#: First number of the standby's orders. The owner counts from 1, so that a relay can tell from an
#: answer whose order it answers.
FIRST_STANDBY_ORDER: Final = 1 << 40


def members_of_relay(rank: int, domains: Mapping[int, str]) -> Sequence[int]:
    """Return the ranks that share a relay with ``rank``, starting with the relay.

    Empty for a rank that links directly to the owner. ``domains`` maps known ranks to failure
    domains; a large domain has several relays.
    """
    domain = domains.get(rank)
    if len(domains) <= MAX_DIRECT_RANKS or rank < _DIRECT_RANKS or not domain:
        return ()
    ranks = sorted(r for r, d in domains.items() if d == domain and r >= _DIRECT_RANKS)
    size = -(-len(ranks) // -(-len(ranks) // _MAX_RELAY_RANKS))
    start = ranks.index(rank) // size * size
    return ranks[start : start + size]


def ranks_sharing_link(size: int) -> int:
    """Return the number of ranks that take turns in sending readings over a shared link."""
    return size if size <= MAX_DIRECT_RANKS else _MAX_RELAY_RANKS


class Relay:
    """Links to the ranks of one domain; used by the link server's and the process's threads."""

    def __init__(
        self, address: str, link_key: bytes, instance: str, incarnation: str, clock: Clock
    ) -> None:
        self._lock = threading.Lock()
        self._sessions: dict[int, Session] = {}
        self._readings: dict[int, RankReading] = {}
        #: Last reading of each linked rank, for a standby that knows none of them yet.
        self._last_readings: dict[int, RankReading] = {}
        self._was_sent_to_standby = False
        self._counts: list[int] = []
        #: Link to the owner; ``None`` before the first report.
        self._owner: Session | None = None
        #: Link to the standby; ``None`` until the owner has been silent.
        self._standby: Session | None = None
        self._server = LinkServer(
            address,
            link_key,
            instance,
            incarnation,
            clock,
            self.on_message,
            lambda _session: None,
            self.on_closed,
        )

    def start(self) -> None:
        """Start accepting links."""
        self._server.start()

    def use_key(self, link_key: bytes) -> None:
        """Use another key for new links; existing links are kept."""
        self._server.use_key(link_key)

    def stop(self) -> None:
        """Close the links to the ranks."""
        self._server.stop()

    def on_message(self, session: Session, message: Message) -> None:
        """Handle a message from another rank process of the domain."""
        if isinstance(message, RankReading):
            self._on_reading(session, message)
        elif isinstance(message, RankOrderResult):
            self._forward_answer(message)

    def _on_reading(self, session: Session, reading: RankReading) -> None:
        try:
            counts = unpack_counts(reading.counts)
        except PackingError as exc:
            _log.warning("undecodable counts", rank=reading.rank, cause=exc)
            counts = []
        with self._lock:
            self._sessions[reading.rank] = session
            status = msgspec.structs.replace(reading, counts=b"")
            self._readings[reading.rank] = self._last_readings[reading.rank] = status
            self._counts = add_counts(self._counts, counts)

    def on_closed(self, session: Session) -> None:
        """Report the ranks of a closed link to the owner as lost."""
        with self._lock:
            lost = [rank for rank, each in self._sessions.items() if each is session]
            for rank in lost:
                del self._sessions[rank]
                self._readings.pop(rank, None)
                self._last_readings.pop(rank, None)
        for rank in lost:
            for end in (self._owner, self._standby):
                if end is not None:
                    end.send(RankDisconnected(rank))

    def send_readings(
        self,
        target: Session,
        own: RankReading,
        own_counts: list[int],
        to_standby: bool = False,
    ) -> None:
        """Send the ranks' readings, with the sum of their counts since the last call.

        They go to the owner, or to the standby while the owner is silent.
        """
        with self._lock:
            if to_standby:
                self._standby = target
            else:
                self._owner = target
            counts = add_counts(self._counts, own_counts)
            self._counts = []
            is_first = to_standby and not self._was_sent_to_standby
            self._was_sent_to_standby = to_standby
            readings = [own, *(self._last_readings if is_first else self._readings).values()]
            self._readings.clear()
        target.send(RelayedReadings(readings, pack_counts(counts)))

    def discard_readings(self) -> None:
        """Drop the readings that can be sent neither to the owner nor to the standby."""
        with self._lock:
            self._counts = []
            self._readings.clear()

    def forward_order(self, message: RankOrder) -> bool:
        """Forward an order; return false if its rank is not linked."""
        with self._lock:
            session = self._sessions.get(message.rank)
        if session is None or session.closed:
            return False
        session.send(message)
        return True

    def _forward_answer(self, answer: RankOrderResult) -> None:
        """Send an answer to the process that gave the order."""
        session = self._standby if answer.order >= FIRST_STANDBY_ORDER else self._owner
        if session is not None:
            session.send(answer)


def add_counts(older: list[int], newer: list[int]) -> list[int]:
    """Return the sums of two lists of counts, or ``newer`` if their lengths differ."""
    if not newer or not older:
        return newer or older
    if len(older) != len(newer):
        return newer
    return [a + b for a, b in zip(older, newer, strict=True)]
