"""Link from a rank process to the owner of its group's map, direct or through a relay."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Final

import msgspec

from canvasyoke._clock import SECOND, Clock
from canvasyoke.experts._change_types import OWNER_RANK, OWNER_TIMEOUT
from canvasyoke.experts._lookup_limiter import LookupLimiter
from canvasyoke.experts._rank_client import RankClient, to_reading
from canvasyoke.experts._rank_directory import RankNote
from canvasyoke.experts._rank_port import RankReport
from canvasyoke.experts._reading_schedule import intervals_per_round
from canvasyoke.experts._relay import MAX_DIRECT_RANKS, Relay, members_of_relay
from canvasyoke.experts._standby import STANDBY_RANK
from canvasyoke.experts._standby_link import StandbyLink
from canvasyoke.observe import part_logger
from canvasyoke.protocol import Message, RankOrder, RankOrders
from canvasyoke.transport import LinkClient, Session

_log = part_logger("ranks")
#: Milliseconds without a link after which addresses are looked up again and a relay is bypassed.
_LINK_TIMEOUT: Final = 3 * SECOND
#: Milliseconds to wait for the notes of all ranks of a large group. With incomplete notes a rank
#: would link directly to the owner, and stay linked there.
_NOTES_TIMEOUT: Final = 5 * SECOND
_ROLE: Final = "rank"


class OwnerLink:
    """A rank's connection to the owner. ``make_relay`` starts a relay for the failure domain."""

    def __init__(
        self,
        instance: str,
        incarnation: str,
        rank_client: RankClient,
        lookup_limiter: LookupLimiter,
        read_notes: Callable[[str], Mapping[int, RankNote]],
        make_relay: Callable[[], Relay],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._rank_client = rank_client
        self._lookup_limiter = lookup_limiter
        self._read_notes = read_notes
        self._make_relay = make_relay
        self._clock = clock
        self._rng = rng
        self._client: LinkClient | None = None
        self._session: Session | None = None
        #: Time of the last message from the other end as of the last tick or the link's end,
        #: initially the start of the process.
        self._last_heard_at = clock.now()
        #: Time of the last reading sent to the owner.
        self._last_sent_at = 0
        #: Whether the owner was silent at the last tick.
        self._was_silent = False
        #: Start of the current wait for a link.
        self._link_wait_start = -_LINK_TIMEOUT
        #: Ticks at which a reading could have been sent.
        self._reading_intervals = 0
        #: Whether a reading has been sent over the current link.
        self._has_sent_reading = False
        self._rank = 0
        #: Time of the first lookup of notes; 0 before it.
        self._first_lookup_at = 0
        #: Number of ranks that share the relay, including this one.
        self._relay_size = 0
        #: Whether the link goes to a relay.
        self._is_relayed = False
        #: Whether linking to the relay failed, so that the owner is dialled instead.
        self._bypasses_relay = False
        self._relay: Relay | None = None
        self._standby_link = StandbyLink(_ROLE, instance, incarnation, clock, rng, self._on_message)

    @property
    def is_linked(self) -> bool:
        """Return whether the link is up."""
        return self._session is not None and not self._session.closed

    @property
    def is_standby_linked(self) -> bool:
        """Return whether the idle link to the standby is up."""
        return self._standby_link.session is not None

    @property
    def is_relay(self) -> bool:
        """Return whether this process is a relay for other ranks."""
        return self._relay is not None

    @property
    def silence(self) -> int:
        """Return the milliseconds since the last message from the other end.

        Before the first link this counts from the start of the process, so that the standby does
        not treat the owner as unresponsive while all processes are starting.
        """
        session = self._session
        if session is not None and not session.closed:
            return session.time_since_received
        return self._clock.now() - self._last_heard_at

    @property
    def is_owner_silent(self) -> bool:
        """Return whether the owner has left a reading unanswered for too long.

        A rank of a small group sends seldom and hears as seldom, so silence alone says nothing.
        """
        if self._is_relayed or not self._last_sent_at or self.silence < OWNER_TIMEOUT:
            return False
        is_unanswered = self._last_sent_at > self._clock.now() - self.silence
        return not self.is_linked or is_unanswered

    def use_key(self, link_key: bytes) -> None:
        """Use another key for new links; existing links are kept."""
        if self._client is not None:
            self._client.use_key(link_key)
        if self._relay is not None:
            self._relay.use_key(link_key)
        self._standby_link.use_key(link_key)

    def stop(self) -> None:
        """Close the links, as this process has become the owner."""
        self._standby_link.stop()
        if self._client is not None:
            self._client.stop()
            self._client = None
        self.stop_relay()

    def stop_relay(self) -> None:
        """Stop relaying, as this process listens for itself."""
        if self._relay is not None:
            self._relay.stop()
            self._relay = None

    def tick(self, report: RankReport, link_key: bytes) -> None:
        """Send a reading if the link is up; otherwise dial when that is due."""
        self._rank = report.rank
        session = self._session
        is_linked = session is not None and not session.closed
        was_silent, self._was_silent = self._was_silent, self.is_owner_silent
        if self._was_silent != was_silent:
            self._has_sent_reading = False
        if self._was_silent:
            self._send_to_standby(report)
        elif session is not None and is_linked:
            self._send_reading(session, report)
            self._keep_standby_link(report, link_key)
        if session is not None and is_linked:
            self._last_heard_at = self._clock.now() - session.time_since_received
            self._link_wait_start = self._clock.now()
        elif (
            self._clock.now() - self._link_wait_start > _LINK_TIMEOUT
            and self._lookup_limiter.try_acquire()
        ):
            self._dial(report, link_key)

    def _keep_standby_link(self, report: RankReport, link_key: bytes) -> None:
        """Link to the standby if this rank sends its readings to the owner directly."""
        if self._is_relayed or report.rank == STANDBY_RANK:
            return
        if self._standby_link.is_lookup_due() and self._lookup_limiter.try_acquire():
            self._dial_standby(self._read_notes(report.group), link_key)

    def _dial_standby(self, notes: Mapping[int, RankNote], link_key: bytes) -> None:
        note = notes.get(STANDBY_RANK)
        self._standby_link.dial(note.peer if note is not None else "", link_key)

    def _send_to_standby(self, report: RankReport) -> None:
        """Send the counts to the standby, as the owner is silent.

        Counts that it cannot get are dropped, and none are sent to the owner: it would plan from
        outdated ones when it resumes. The standby's own process reads its counts itself.
        """
        if report.rank == STANDBY_RANK:
            return
        session = self._standby_link.session
        if session is not None:
            self._send_counts(session, report, to_standby=True)
            return
        self._rank_client.read_counts()
        if self._relay is not None:
            self._relay.discard_readings()

    def _send_reading(self, session: Session, report: RankReport) -> None:
        """Send the counts to the owner or the relay if this rank's turn has come."""
        if self._send_counts(session, report):
            self._last_sent_at = self._clock.now()

    def _send_counts(self, session: Session, report: RankReport, to_standby: bool = False) -> bool:
        """Send the counts if this rank's turn has come; return whether it has.

        The standby sends at every tick, as the answers show that the owner is alive.
        """
        counts = self._rank_client.read_counts()
        if self._relay is not None:
            self._relay.send_readings(session, to_reading(report, []), counts, to_standby)
            return True
        self._reading_intervals += 1
        senders = self._relay_size if self._is_relayed else report.size
        intervals = intervals_per_round(senders, len(counts))
        is_due = not (self._reading_intervals + report.rank) % intervals
        if is_due or not self._has_sent_reading or report.rank == STANDBY_RANK:
            self._has_sent_reading = True
            session.send(to_reading(report, counts))
            return True
        return False

    def _dial(self, report: RankReport, link_key: bytes) -> None:
        """Link to the relay or the owner at its current address."""
        notes = self._read_notes(report.group)
        now = self._clock.now()
        self._first_lookup_at = self._first_lookup_at or now
        is_missing_notes = report.size > MAX_DIRECT_RANKS and len(notes) < report.size
        if is_missing_notes and now - self._first_lookup_at < _NOTES_TIMEOUT:
            return
        members = members_of_relay(report.rank, {r: n.domain for r, n in notes.items()})
        if members and members[0] == report.rank:
            self._start_relay(report)
        if self._client is not None and self._is_relayed:
            self._bypasses_relay = True
        is_member = bool(members) and members[0] != report.rank
        self._is_relayed = is_member and not self._bypasses_relay
        self._relay_size = len(members)
        note = notes.get(members[0] if self._is_relayed else OWNER_RANK)
        if note is None:
            return
        if not self._is_relayed and report.rank != STANDBY_RANK and STANDBY_RANK in notes:
            self._dial_standby(notes, link_key)
        self._link_wait_start = now
        if self._client is not None:
            if self._client.address == note.peer:
                return
            self._client.stop()
        self._client = LinkClient(
            note.peer,
            link_key,
            _ROLE,
            self._instance,
            self._incarnation,
            self._clock,
            self._rng,
            self._on_message,
            self._on_opened,
            self._on_closed,
        )
        self._client.start()

    def _start_relay(self, report: RankReport) -> None:
        if self._relay is None:
            self._relay = self._make_relay()
            _log.info("relaying for the failure domain", group=report.group, rank=report.rank)

    def _on_message(self, session: Session, message: Message) -> None:
        if isinstance(message, RankOrder):
            self._execute_orders(session, [message])
        elif isinstance(message, RankOrders):
            layers = message.layers_by_rank
            orders = message.orders
            if layers:
                orders = [msgspec.structs.replace(o, layers_by_rank=layers) for o in orders]
            self._execute_orders(session, orders)

    def _execute_orders(self, session: Session, orders: list[RankOrder]) -> None:
        """Forward the orders for other ranks, then execute the own one."""
        own_orders = [order for order in orders if order.rank == self._rank]
        relay = self._relay
        for order in orders:
            if order.rank != self._rank and not (relay is not None and relay.forward_order(order)):
                _log.warning("dropped an order for a rank that is not linked", rank=order.rank)
        for order in own_orders:
            session.send(self._rank_client.handle_order(order))

    def _on_opened(self, session: Session) -> None:
        self._session = session
        self._has_sent_reading = False
        _log.info("linked with the owner", owner=session.peer, relayed=self._is_relayed)

    def _on_closed(self, session: Session) -> None:
        if self._session is session:
            self._session = None
            self._last_heard_at = self._clock.now() - session.time_since_received
            _log.info("lost the owner", owner=session.peer)
