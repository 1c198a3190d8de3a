"""The link of a rank's process to the owner of its group's map, direct or over a relay."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Final

import msgspec

from canvasyoke._clock import SECOND, Clock
from canvasyoke.experts._change_types import OWNER_RANK
from canvasyoke.experts._looks import Looks
from canvasyoke.experts._member import RankMember, to_reading
from canvasyoke.experts._rank_port import RankReport
from canvasyoke.experts._relay import DIRECT_LIMIT, Relay, members_of_relay
from canvasyoke.experts._rounds import reading_rounds
from canvasyoke.experts._standby import STANDBY_RANK
from canvasyoke.observe import part_logger
from canvasyoke.protocol import Message, RankOrder, RankOrders
from canvasyoke.state import NotedAddress
from canvasyoke.transport import LinkClient, Session

_log = part_logger("ranks")
#: Milliseconds without a link after which an address is looked up again, and the owner is
#: dialled in place of a relay.
_LINK_PATIENCE: Final = 3 * SECOND
#: Milliseconds for all ranks' notes to be there when a large group starts for the first time. A
#: rank that went by fewer would link with the owner itself, and stay.
_NOTES_PATIENCE: Final = 5 * SECOND
_ROLE: Final = "rank"


class RankNote(msgspec.Struct, frozen=True):
    """Where the process beside a rank listens, and where its engine does."""

    peer: NotedAddress
    engine: NotedAddress
    #: Failure domain; empty in notes of older processes.
    domain: str = ""


class OwnerLink:
    """One rank's way to its owner. ``make_relay`` begins to take links of the domain."""

    def __init__(
        self,
        instance: str,
        incarnation: str,
        member: RankMember,
        looks: Looks,
        read_notes: Callable[[str], Mapping[int, RankNote]],
        make_relay: Callable[[], Relay],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._member = member
        self._looks = looks
        self._read_notes = read_notes
        self._make_relay = make_relay
        self._clock = clock
        self._rng = rng
        self._client: LinkClient | None = None
        self._session: Session | None = None
        #: When a link stood last, or this process began.
        self._linked_at = clock.now()
        #: Since when a link is waited for.
        self._waits_since = -_LINK_PATIENCE
        #: Turns at which a reading could have been sent.
        self._turns = 0
        #: Whether the other end has had a reading over the present link.
        self._is_heard = False
        self._rank = 0
        #: Since when notes are read; 0 before that.
        self._looked_since = 0
        #: Ranks that share the relay, itself included.
        self._members = 0
        #: Whether the link goes to a relay.
        self._is_relayed = False
        #: Whether a relay was dialled in vain, so that the owner is dialled.
        self._is_avoiding_relay = False
        self._relay: Relay | None = None

    @property
    def is_linked(self) -> bool:
        """Tell whether the link stands."""
        return self._session is not None and not self._session.closed

    @property
    def is_relay(self) -> bool:
        """Tell whether other ranks are linked with the owner over this one."""
        return self._relay is not None

    @property
    def silence(self) -> int:
        """Return the milliseconds since anything came from the other end.

        A process that has just begun has heard nobody yet: taken for a silent owner's,
        its standby took fences above the owner's own while all processes were starting
        together, and the first map came 1.2 s later.
        """
        session = self._session
        if session is not None and not session.closed:
            return session.silence
        return self._clock.now() - self._linked_at

    def use_key(self, link_key: bytes) -> None:
        """Begin further links with another key; those that stand go on."""
        if self._client is not None:
            self._client.use_key(link_key)
        if self._relay is not None:
            self._relay.use_key(link_key)

    def stop(self) -> None:
        """End the link: this process is the owner now."""
        if self._client is not None:
            self._client.stop()
            self._client = None
        if self._relay is not None:
            self._relay.stop()
            self._relay = None

    def turn(self, report: RankReport, link_key: bytes) -> None:
        """Tell what the rank has counted, or see that there is a link."""
        self._rank = report.rank
        session = self._session
        if session is not None and not session.closed:
            self._linked_at = self._waits_since = self._clock.now()
            self._tell(session, report)
        elif self._clock.now() - self._waits_since > _LINK_PATIENCE and self._looks.take():
            self._dial(report, link_key)

    def _tell(self, session: Session, report: RankReport) -> None:
        """Tell what was counted, unless it is another rank's turn.

        The standby always does: the answers tell it that the owner is alive.
        """
        counts = self._member.read_counts()
        if self._relay is not None:
            self._relay.report(session, to_reading(report, []), counts)
            return
        self._turns += 1
        senders = self._members if self._is_relayed else report.size
        rounds = reading_rounds(senders, len(counts))
        is_due = not (self._turns + report.rank) % rounds
        if is_due or not self._is_heard or report.rank == STANDBY_RANK:
            self._is_heard = True
            session.send(to_reading(report, counts))

    def _dial(self, report: RankReport, link_key: bytes) -> None:
        """Link with the relay or the owner, wherever it is now."""
        notes = self._read_notes(report.group)
        now = self._clock.now()
        self._looked_since = self._looked_since or now
        lacks_notes = report.size > DIRECT_LIMIT and len(notes) < report.size
        if lacks_notes and now - self._looked_since < _NOTES_PATIENCE:
            return
        members = members_of_relay(report.rank, {r: n.domain for r, n in notes.items()})
        if members and members[0] == report.rank:
            self._begin_to_relay(report)
        if self._client is not None and self._is_relayed:
            self._is_avoiding_relay = True
        is_member = bool(members) and members[0] != report.rank
        self._is_relayed = is_member and not self._is_avoiding_relay
        self._members = len(members)
        note = notes.get(members[0] if self._is_relayed else OWNER_RANK)
        if note is None:
            return
        self._waits_since = now
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
            self._took,
            self._opened,
            self._closed,
        )
        self._client.start()

    def _begin_to_relay(self, report: RankReport) -> None:
        if self._relay is None:
            self._relay = self._make_relay()
            _log.info("relays for its domain", group=report.group, rank=report.rank)

    def _took(self, session: Session, message: Message) -> None:
        if isinstance(message, RankOrder):
            self._carry_out(session, [message])
        elif isinstance(message, RankOrders):
            layers = message.layers_by_rank
            orders = message.orders
            if layers:
                orders = [msgspec.structs.replace(o, layers_by_rank=layers) for o in orders]
            self._carry_out(session, orders)

    def _carry_out(self, session: Session, orders: list[RankOrder]) -> None:
        """Pass the orders for other ranks on, then carry out the own one."""
        own = [order for order in orders if order.rank == self._rank]
        relay = self._relay
        for order in orders:
            if order.rank != self._rank and not (relay is not None and relay.order(order)):
                _log.warning("order for a rank that is not linked", rank=order.rank)
        for order in own:
            session.send(self._member.answer(order))

    def _opened(self, session: Session) -> None:
        self._session = session
        self._is_heard = False
        _log.info("linked with the owner", owner=session.peer, relayed=self._is_relayed)

    def _closed(self, session: Session) -> None:
        if self._session is session:
            self._session = None
            _log.info("lost the owner", owner=session.peer)
