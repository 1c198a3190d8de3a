"""Exchange of evacuations between entries.

A change is sent at once, and every entry passes on what is new to it. A new link starts with the
set in force, before all other messages. An entry that receives an outdated set which differs from
its own answers with its own: the sender has missed a change.

An empty set is sent only as such an answer. So entries of an earlier release, which would close
the link, get no message while nothing is evacuated.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.direct._evacuations import Evacuations
from canvasyoke.direct._roster import Roster
from canvasyoke.protocol import EvacuationList, Message
from canvasyoke.transport import Session

#: Milliseconds after the first report within which the set of a new link arrives. Another thread of
#: the sender can send a report to all links between the opening of the link and the set.
_START_GRACE: Final = 100


class EvacuationExchange:
    """Sends and receives the set of evacuated domains."""

    def __init__(
        self, roster: Roster, broadcast: Callable[[Message, Session | None], None], clock: Clock
    ) -> None:
        self._broadcast = broadcast
        self._clock = clock
        #: Clock time of the first report of another entry; ``None`` before.
        self._first_report_at: int | None = None
        #: The set in force.
        self.evacuations = Evacuations(roster, clock)

    @property
    def has_heard_peer(self) -> bool:
        """Return whether a link has delivered the set that it starts with, if there is one."""
        at = self._first_report_at
        return at is not None and self._clock.now() - at >= _START_GRACE

    def record_report(self) -> None:
        """Record a report of another entry, which follows the set on a new link."""
        if self._first_report_at is None:
            self._first_report_at = self._clock.now()

    def announce(self) -> None:
        """Send all linked entries the set in force."""
        self._broadcast(self._message(), None)

    def handle_open(self, session: Session) -> None:
        """Send a newly linked entry the set in force."""
        if self.evacuations.current.domains:
            session.send(self._message())

    def receive(self, session: Session, message: EvacuationList) -> None:
        """Put another entry's set in force if it is newer; forward it or answer it."""
        domains = frozenset(message.domains)
        source = f"peer {session.peer}"
        if self.evacuations.adopt(domains, message.position, source, message.age):
            self._broadcast(self._message(), session)
            return
        current = self.evacuations.current
        if current.position > message.position and current.domains != domains:
            session.send(self._message())

    def _message(self) -> EvacuationList:
        current = self.evacuations.current
        age = max(0, self._clock.now() - current.read_at)
        return EvacuationList(current.position, sorted(current.domains), age)
